package instance

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/node"
	"github.com/chervilhaven/chervilhaven/internal/view"
)

// loop is the only goroutine that touches the reducer. It ends when the node
// has stopped and all handovers are delivered, or StopBound after stop.
func (i *Instance) loop(stop <-chan struct{}) {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	var deadline <-chan time.Time
	i.lastEvent = time.Now()
	i.apply(i.lastEvent, &balancer.Tick{})
	for !i.stopped || !i.outbox.empty() {
		select {
		case b := <-i.socket.received:
			i.handleBatch(i.wake(), b)
		case m := <-i.inbox:
			i.handleMessage(i.wake(), m)
		case <-ticker.C:
			i.apply(i.wake(), &balancer.Tick{})
			i.observe()
		case <-stop:
			stop = nil
			deadline = time.After(StopBound)
			i.log.Info("stopping", zap.Duration("bound", StopBound))
			i.apply(i.wake(), &balancer.StopRequested{})
		case <-i.work.Done():
			return
		case <-deadline:
			i.log.Warn("stop-bound-passed", zap.Duration("bound", StopBound))
			return
		}
	}
}

// wake returns the time and tells the node of a pause before any other event.
func (i *Instance) wake() time.Time {
	now := time.Now()
	// The monotonic clock stands still while a machine is suspended and the
	// wall clock may be set back, so the longer of the two counts.
	gap := max(now.Sub(i.lastEvent), now.Round(0).Sub(i.lastEvent.Round(0)))
	i.lastEvent = now
	if gap > GapBound {
		i.metrics.pauses.Inc()
		i.log.Warn("woke", zap.Duration("gap", gap))
		i.apply(now, &balancer.Resumed{Pause: gap})
	}
	return now
}

func (i *Instance) handleMessage(now time.Time, m message) {
	if m.run != nil {
		m.run()
		close(m.done)
		return
	}
	if s, ok := m.event.(*balancer.StatusReported); ok {
		delete(i.polling, s.Upstream)
	}
	i.apply(now, m.event)
}

// handleBatch decides on all packets of a batch and hands it to the writer.
func (i *Instance) handleBatch(now time.Time, b *batch) {
	for n := range b.packets[:b.count] {
		p := &b.packets[n]
		event, reason := i.packetEvent(p)
		if reason != "" {
			i.metrics.dropped(reason)
			continue
		}
		for _, e := range i.reducer.Apply(now, event) {
			i.carryOut(&e, b, p)
		}
	}
	b.decided = now
	i.socket.decided <- b
}

// packetEvent returns the event of a packet or the reason to drop it.
func (i *Instance) packetEvent(p *received) (node.Event, string) {
	switch {
	case p.reason != "":
		return nil, p.reason
	case !p.outer.Relayed && p.outer.Quoted:
		i.quoted.Packet = p.packet
		return &i.quoted, ""
	case !p.outer.Relayed:
		i.fabric.Packet = p.packet
		return &i.fabric, ""
	}
	// The source has to be the very instance that the option names.
	if address := i.packetsOf(p.outer.From); !address.IsValid() || address != p.source {
		return nil, reasonUnknownPeer
	}
	i.peer = balancer.RelayedPacket{From: p.outer.From, Header: p.outer.Header, Packet: p.packet}
	return &i.peer, ""
}

// apply gives one event that is not a packet to the node.
func (i *Instance) apply(now time.Time, event node.Event) {
	for _, e := range i.reducer.Apply(now, event) {
		i.carryOut(&e, nil, nil)
	}
}

// packetsOf returns the address that a known instance sends packets from.
func (i *Instance) packetsOf(id view.ID) netip.AddrPort {
	if v := i.reducer.View(); v != nil {
		if listed, ok := v.Instance(id); ok {
			return listed.Packets
		}
	}
	return i.unlisted[id]
}

// observe keeps the members that the platform's lagging list lacks and shows
// members and view as metrics.
func (i *Instance) observe() {
	clear(i.unlisted)
	v, members := i.reducer.View(), i.reducer.Members()
	i.metrics.members.Store(uint64(len(members)))
	if v == nil {
		return
	}
	i.metrics.generation.Store(v.Version.Generation)
	i.metrics.revision.Store(v.Version.Revision)
	for _, m := range members {
		if _, ok := v.Instance(m.ID); !ok {
			i.unlisted[m.ID] = m.Packets
		}
	}
}
