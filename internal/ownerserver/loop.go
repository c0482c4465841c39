package ownerserver

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/ownerrouter"
	"github.com/chervilhaven/chervilhaven/internal/view"
)

// loop is the event loop, the only goroutine that accesses the reducer. It
// returns when the router has stopped and all handovers are delivered, or
// StopTimeout after stop is closed.
func (i *Server) loop(stop <-chan struct{}) {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	var deadline <-chan time.Time
	i.lastEvent = time.Now()
	i.apply(i.lastEvent, &balancer.Tick{})
	for !i.stopped || !i.outbox.empty() {
		select {
		case b := <-i.socket.received:
			i.handleBatch(i.nextEventTime(), b)
		case m := <-i.inbox:
			i.handleMessage(i.nextEventTime(), m)
		case <-ticker.C:
			i.apply(i.nextEventTime(), &balancer.Tick{})
			i.refreshMembers()
		case <-stop:
			stop = nil
			deadline = time.After(StopTimeout)
			i.log.Info("stopping", zap.Duration("bound", StopTimeout))
			i.apply(i.nextEventTime(), &balancer.StopRequested{})
		case <-i.lifetime.Done():
			return
		case <-deadline:
			i.log.Warn("stop-bound-passed", zap.Duration("bound", StopTimeout))
			return
		}
	}
}

// nextEventTime returns the current time. If the time since the last event
// exceeds PauseThreshold, it first reports the pause to the router.
func (i *Server) nextEventTime() time.Time {
	now := time.Now()
	// The monotonic clock does not advance while the machine is suspended,
	// and the wall clock may be set back, so use the larger difference.
	pause := max(now.Sub(i.lastEvent), now.Round(0).Sub(i.lastEvent.Round(0)))
	i.lastEvent = now
	if pause > PauseThreshold {
		i.metrics.pauses.Inc()
		i.log.Warn("woke", zap.Duration("gap", pause))
		i.apply(now, &balancer.Resumed{Pause: pause})
	}
	return now
}

func (i *Server) handleMessage(now time.Time, m message) {
	if m.task != nil {
		m.task()
		close(m.done)
		return
	}
	if s, ok := m.event.(*balancer.StatusReported); ok {
		delete(i.polling, s.Upstream)
	}
	i.apply(now, m.event)
}

// handleBatch decides on all packets of a batch and passes it to the writer.
func (i *Server) handleBatch(now time.Time, b *batch) {
	for n := range b.packets[:b.packetCount] {
		p := &b.packets[n]
		event, reason := i.packetEvent(p)
		if reason != "" {
			i.metrics.countDrop(reason)
			continue
		}
		for _, e := range i.reducer.Apply(now, event) {
			i.execute(&e, b, p)
		}
	}
	b.decided = now
	i.socket.decided <- b
}

// packetEvent returns the event for a packet, or the reason to drop it.
func (i *Server) packetEvent(p *receivedPacket) (ownerrouter.Event, string) {
	switch {
	case p.reason != "":
		return nil, p.reason
	case !p.outer.Relayed && p.outer.ICMPError:
		i.icmpErrorEvent.Packet = p.packet
		return &i.icmpErrorEvent, ""
	case !p.outer.Relayed:
		i.fabricEvent.Packet = p.packet
		return &i.fabricEvent, ""
	}
	// The source address must belong to the instance named in the option.
	if address := i.packetsAddressOf(p.outer.From); !address.IsValid() || address != p.source {
		return nil, reasonUnknownPeer
	}
	i.relayedEvent = balancer.RelayedPacket{From: p.outer.From, Header: p.outer.Header, Packet: p.packet}
	return &i.relayedEvent, ""
}

// apply passes an event that is not a packet to the router.
func (i *Server) apply(now time.Time, event ownerrouter.Event) {
	for _, e := range i.reducer.Apply(now, event) {
		i.execute(&e, nil, nil)
	}
}

// packetsAddressOf returns the address from which a known instance sends
// packets, invalid if the instance is unknown.
func (i *Server) packetsAddressOf(id view.ID) netip.AddrPort {
	if v := i.reducer.View(); v != nil {
		if listed, ok := v.Instance(id); ok {
			return listed.Packets
		}
	}
	return i.unlisted[id]
}

// refreshMembers updates the addresses of live members that the platform does
// not list yet, and the metrics of members and view.
func (i *Server) refreshMembers() {
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
