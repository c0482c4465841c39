package ownerserver

import (
	"go.uber.org/zap"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/ownerrouter"
)

// execute performs one effect. For the effects of a packet, p is that packet
// and b its batch; otherwise both are nil. It keeps no reference to the effect.
func (i *Server) execute(e *ownerrouter.Effect, b *batch, p *receivedPacket) {
	switch e.Kind {
	case ownerrouter.ApplyBalancerEffect:
		i.executeBalancer(&e.Balancer, b, p)
	case ownerrouter.Probe:
		i.probe(e)
	case ownerrouter.IndirectProbe:
		i.indirectProbe(e)
	case ownerrouter.Fetch:
		i.fetch(e)
	case ownerrouter.ReadPlatform:
		i.readPlatform(e)
	case ownerrouter.LogEvent:
		i.logEvent(e)
	case ownerrouter.ProbeReply:
		// Only ProbeReceived causes this effect; see peerHandler.Probe.
	}
}

func (i *Server) logEvent(e *ownerrouter.Effect) {
	fields := make([]zap.Field, len(e.Fields))
	for n, f := range e.Fields {
		fields[n] = zap.String(f.Key, f.Value)
	}
	i.log.Info(e.Text, fields...)
}

func (i *Server) executeBalancer(e *balancer.Effect, b *batch, p *receivedPacket) {
	switch e.Kind {
	case balancer.Forward, balancer.Relay, balancer.Refuse:
		if p != nil {
			i.queuePacket(e, b, p)
		}
	case balancer.Drop:
		i.metrics.countDrop(e.Reason.String())
	case balancer.SendHandover:
		i.sendHandover(e)
	case balancer.RequestRelease:
		i.requestRelease(e)
	case balancer.PollStatus:
		i.pollStatus(e.Upstream)
	case balancer.Stopped:
		i.stopped = true
	case balancer.FetchView:
		// Handled by the router, which emits a Fetch effect instead.
	}
}

// queuePacket adds a packet to the outputs of the batch.
func (i *Server) queuePacket(e *balancer.Effect, b *batch, p *receivedPacket) {
	o := b.addOutput()
	var err error
	switch e.Kind {
	case balancer.Forward:
		o.buffers[0], err = i.encoder.Forward(o.header, e.Service, p.outer.Inner)
		i.metrics.forwarded.Inc()
	case balancer.Relay:
		o.buffers[0], err = i.encoder.Relay(o.header, e.Service, e.Header, i.id, p.packet.ID, p.outer.Inner)
		i.metrics.relayed.Inc()
	default:
		i.queueReset(e, b, p, o)
		return
	}
	if err != nil {
		b.removeOutput()
		i.metrics.countDrop(reasonEncode)
		return
	}
	o.buffers[1] = p.outer.Inner
	o.setDestination(e.Address, 2)
}

// queueReset adds a TCP reset for the caller to the outputs of the batch. It is
// sent through the fabric address that the packet came from. A relayed packet
// does not carry that address, so the flow ID selects one.
func (i *Server) queueReset(e *balancer.Effect, b *batch, p *receivedPacket, o *output) {
	i.metrics.countRefusal(e.Reason.String())
	datagram, err := i.encoder.Reset(p.outer.Inner)
	if err != nil || len(i.settings.Fabric) == 0 {
		b.removeOutput()
		i.metrics.countDrop(reasonEncode)
		return
	}
	address := p.source
	if p.outer.Relayed {
		address = i.settings.Fabric[p.packet.ID.Low%uint64(len(i.settings.Fabric))]
	}
	o.buffers[0] = datagram
	o.setDestination(address, 1)
}
