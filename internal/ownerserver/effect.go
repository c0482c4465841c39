package ownerserver

import (
	"go.uber.org/zap"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/ownerrouter"
)

// execute performs one effect. For the effects of a packet, p is that packet
// and b its batch; otherwise both are nil. It keeps no reference to the effect.
func (s *Server) execute(e *ownerrouter.Effect, b *batch, p *receivedPacket) {
	switch e.Kind {
	case ownerrouter.ApplyBalancerEffect:
		s.executeBalancer(&e.Balancer, b, p)
	case ownerrouter.Probe:
		s.probe(e)
	case ownerrouter.IndirectProbe:
		s.indirectProbe(e)
	case ownerrouter.Fetch:
		s.fetch(e)
	case ownerrouter.ReadPlatform:
		s.readPlatform(e)
	case ownerrouter.LogEvent:
		s.logEvent(e)
	case ownerrouter.ProbeReply:
		// Only ProbeReceived causes this effect; see peerHandler.Probe.
	}
}

func (s *Server) logEvent(e *ownerrouter.Effect) {
	fields := make([]zap.Field, len(e.Fields))
	for n, f := range e.Fields {
		fields[n] = zap.String(f.Key, f.Value)
	}
	s.log.Info(e.Text, fields...)
}

func (s *Server) executeBalancer(e *balancer.Effect, b *batch, p *receivedPacket) {
	switch e.Kind {
	case balancer.Forward, balancer.Relay, balancer.Refuse:
		if p != nil {
			s.queuePacket(e, b, p)
		}
	case balancer.Drop:
		s.metrics.countDrop(e.Reason.String())
	case balancer.SendHandover:
		s.sendHandover(e)
	case balancer.RequestRelease:
		s.requestRelease(e)
	case balancer.PollStatus:
		s.pollStatus(e.Upstream)
	case balancer.Stopped:
		s.stopped = true
	case balancer.FetchView:
		// Handled by the router, which emits a Fetch effect instead.
	}
}

// queuePacket adds a packet to the outputs of the batch.
func (s *Server) queuePacket(e *balancer.Effect, b *batch, p *receivedPacket) {
	o := b.addOutput()
	var err error
	switch e.Kind {
	case balancer.Forward:
		o.buffers[0], err = s.encoder.Forward(o.header, e.Service, p.outer.Inner)
		s.metrics.forwarded.Inc()
	case balancer.Relay:
		o.buffers[0], err = s.encoder.Relay(o.header, e.Service, e.Header, s.id, p.packet.ID, p.outer.Inner)
		s.metrics.relayed.Inc()
	default:
		s.queueReset(e, b, p, o)
		return
	}
	if err != nil {
		b.removeOutput()
		s.metrics.countDrop(reasonEncode)
		return
	}
	o.buffers[1] = p.outer.Inner
	o.setDestination(e.Address, 2)
}

// queueReset adds a TCP reset for the caller to the outputs of the batch. It is
// sent through the fabric address that the packet came from. A relayed packet
// does not carry that address, so the flow ID selects one.
func (s *Server) queueReset(e *balancer.Effect, b *batch, p *receivedPacket, o *output) {
	s.metrics.countRefusal(e.Reason.String())
	datagram, err := s.encoder.Reset(p.outer.Inner)
	if err != nil || len(s.settings.Fabric) == 0 {
		b.removeOutput()
		s.metrics.countDrop(reasonEncode)
		return
	}
	address := p.source
	if p.outer.Relayed {
		address = s.settings.Fabric[p.packet.ID.Low%uint64(len(s.settings.Fabric))]
	}
	o.buffers[0] = datagram
	o.setDestination(address, 1)
}
