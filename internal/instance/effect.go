package instance

import (
	"go.uber.org/zap"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/node"
)

// carryOut performs one effect. For the effects of a packet p is that packet
// and b its batch. Nothing of the effect is kept after the return.
func (i *Instance) carryOut(e *node.Effect, b *batch, p *received) {
	switch e.Kind {
	case node.Balance:
		i.carryOutBalancer(&e.Balancer, b, p)
	case node.Probe:
		i.probe(e)
	case node.ProbeFor:
		i.probeFor(e)
	case node.Fetch:
		i.fetch(e)
	case node.ReadPlatform:
		i.readPlatform(e)
	case node.LogChange:
		i.logChange(e)
	case node.AnswerProbe:
		// Only the answer to a probe has this effect; see Probe.
	}
}

func (i *Instance) logChange(e *node.Effect) {
	fields := make([]zap.Field, len(e.Fields))
	for n, f := range e.Fields {
		fields[n] = zap.String(f.Key, f.Value)
	}
	i.log.Info(e.Text, fields...)
}

func (i *Instance) carryOutBalancer(e *balancer.Effect, b *batch, p *received) {
	switch e.Kind {
	case balancer.Forward, balancer.Relay, balancer.Refuse:
		if p != nil {
			i.send(e, b, p)
		}
	case balancer.Drop:
		i.metrics.dropped(e.Reason.String())
	case balancer.SendHandover:
		i.sendHandover(e)
	case balancer.RequestRelease:
		i.askRelease(e)
	case balancer.PollStatus:
		i.pollStatus(e.Upstream)
	case balancer.Stopped:
		i.stopped = true
	case balancer.FetchView:
		// The node turns it into Fetch and ReadPlatform.
	}
}

// send adds a packet to the batch's output.
func (i *Instance) send(e *balancer.Effect, b *batch, p *received) {
	o := b.next()
	var err error
	switch e.Kind {
	case balancer.Forward:
		o.buffers[0], err = i.encoder.Forward(o.header, e.Service, p.outer.Inner)
		i.metrics.forwarded.Inc()
	case balancer.Relay:
		o.buffers[0], err = i.encoder.Relay(o.header, e.Service, e.Header, i.id, p.packet.ID, p.outer.Inner)
		i.metrics.relayed.Inc()
	default:
		i.reset(e, b, p, o)
		return
	}
	if err != nil {
		b.drop()
		i.metrics.dropped(reasonEncode)
		return
	}
	o.buffers[1] = p.outer.Inner
	o.to(e.Address, 2)
}

// reset answers the caller through the fabric; a relayed packet does not tell
// which fabric address it came from, so the flow chooses one.
func (i *Instance) reset(e *balancer.Effect, b *batch, p *received, o *output) {
	i.metrics.refused(e.Reason.String())
	datagram, err := i.encoder.Reset(p.outer.Inner)
	if err != nil || len(i.settings.Fabric) == 0 {
		b.drop()
		i.metrics.dropped(reasonEncode)
		return
	}
	address := p.source
	if p.outer.Relayed {
		address = i.settings.Fabric[p.packet.ID.Low%uint64(len(i.settings.Fabric))]
	}
	o.buffers[0] = datagram
	o.to(address, 1)
}
