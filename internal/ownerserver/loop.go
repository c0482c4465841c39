package ownerserver

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/ownerrouter"
	"github.com/chervilhaven/chervilhaven/internal/view"
)

// loop is the event loop, the only goroutine that accesses the router. It
// returns when the router has stopped and all handovers are delivered, or
// StopTimeout after stop is closed.
func (s *Server) loop(stop <-chan struct{}) {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	var deadline <-chan time.Time
	s.lastEvent = time.Now()
	s.apply(s.lastEvent, &balancer.Tick{})
	for !s.stopped || !s.outbox.empty() {
		select {
		case b := <-s.socket.received:
			s.handleBatch(s.nextEventTime(), b)
		case m := <-s.inbox:
			s.handleMessage(s.nextEventTime(), m)
		case <-ticker.C:
			s.apply(s.nextEventTime(), &balancer.Tick{})
			s.refreshMembers()
		case <-stop:
			stop = nil
			deadline = time.After(StopTimeout)
			s.log.Info("stopping", zap.Duration("bound", StopTimeout))
			s.apply(s.nextEventTime(), &balancer.StopRequested{})
		case <-s.lifetime.Done():
			return
		case <-deadline:
			s.log.Warn("stop-bound-passed", zap.Duration("bound", StopTimeout))
			return
		}
	}
}

// nextEventTime returns the current time. If the time since the last event
// exceeds PauseThreshold, it first reports the pause to the router.
func (s *Server) nextEventTime() time.Time {
	now := time.Now()
	// The monotonic clock does not advance while the machine is suspended,
	// and the wall clock may be set back, so use the larger difference.
	pause := max(now.Sub(s.lastEvent), now.Round(0).Sub(s.lastEvent.Round(0)))
	s.lastEvent = now
	if pause > PauseThreshold {
		s.metrics.pauses.Inc()
		s.log.Warn("woke", zap.Duration("gap", pause))
		s.apply(now, &balancer.Resumed{Pause: pause})
	}
	return now
}

func (s *Server) handleMessage(now time.Time, m message) {
	if m.task != nil {
		m.task()
		close(m.done)
		return
	}
	if report, ok := m.event.(*balancer.StatusReported); ok {
		delete(s.polling, report.Upstream)
	}
	s.apply(now, m.event)
}

// handleBatch decides on all packets of a batch and passes it to the writer.
func (s *Server) handleBatch(now time.Time, b *batch) {
	for n := range b.packets[:b.packetCount] {
		p := &b.packets[n]
		event, reason := s.packetEvent(p)
		if reason != "" {
			s.metrics.countDrop(reason)
			continue
		}
		for _, e := range s.router.Apply(now, event) {
			s.execute(&e, b, p)
		}
	}
	b.decided = now
	s.socket.decided <- b
}

// packetEvent returns the event for a packet, or the reason to drop it.
func (s *Server) packetEvent(p *receivedPacket) (ownerrouter.Event, string) {
	switch {
	case p.reason != "":
		return nil, p.reason
	case !p.outer.Relayed && p.outer.ICMPError:
		s.icmpErrorEvent.Packet = p.packet
		return &s.icmpErrorEvent, ""
	case !p.outer.Relayed:
		s.fabricEvent.Packet = p.packet
		return &s.fabricEvent, ""
	}
	// The source address must belong to the instance named in the option.
	if address := s.packetsAddressOf(p.outer.From); !address.IsValid() || address != p.source {
		return nil, reasonUnknownPeer
	}
	s.relayedEvent = balancer.RelayedPacket{From: p.outer.From, Header: p.outer.Header, Packet: p.packet}
	return &s.relayedEvent, ""
}

// apply passes an event that is not a packet to the router.
func (s *Server) apply(now time.Time, event ownerrouter.Event) {
	for _, e := range s.router.Apply(now, event) {
		s.execute(&e, nil, nil)
	}
}

// packetsAddressOf returns the address from which a known instance sends
// packets, invalid if the instance is unknown.
func (s *Server) packetsAddressOf(id view.ID) netip.AddrPort {
	if v := s.router.View(); v != nil {
		if listed, ok := v.Instance(id); ok {
			return listed.Packets
		}
	}
	return s.unlisted[id]
}

// refreshMembers updates the addresses of live members that the platform does
// not list yet, and the metrics of members and view.
func (s *Server) refreshMembers() {
	clear(s.unlisted)
	v, members := s.router.View(), s.router.Members()
	s.metrics.members.Store(uint64(len(members)))
	if v == nil {
		return
	}
	s.metrics.generation.Store(v.Version.Generation)
	s.metrics.revision.Store(v.Version.Revision)
	for _, m := range members {
		if _, ok := v.Instance(m.ID); !ok {
			s.unlisted[m.ID] = m.Packets
		}
	}
}
