package tokenrouter

import (
	"slices"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/scheduler"
)

const (
	// seekTimeout is how long an opening waits for an instance that saw the flow's
	// acknowledgement before it is sent to another upstream: a round trip between
	// neighbours and some scheduling delay.
	seekTimeout = 4 * time.Millisecond
	// certainPeriod is the time from the first offer of an opening within which the
	// caller's packets are no retransmissions: they carry the token that the flow was
	// opened with.
	certainPeriod = firstRetransmit / 2
	// maxPins limits the pinned flows, maxSeen the flows that are remembered in each
	// period of openTimeout, and those that neighbours seek.
	maxPins = 8192
	maxSeen = 4096
	// pinsPerAnswer is the number of pins that a starting instance is told at most.
	pinsPerAnswer = 400
)

// Seek asks a neighbour whether it has seen packets of a flow whose opening the sender
// is about to send to another upstream. Age is the time since it was first sent to one.
type Seek struct {
	Flow uint64
	Age  time.Duration
}

// Pin says that a flow is open at an upstream, whatever token its packets carry. Age is
// the time since that became known.
type Pin struct {
	Flow     uint64
	Upstream uint64
	Age      time.Duration
}

// pins holds what is known of flows beyond their tokens. A token names the upstream
// that the caller last got a packet from. If an opening was sent to several upstreams,
// those at which the flow did not open repeat their answers for seconds, so that the
// token may name any of them.
type pins struct {
	// held holds the upstreams of such flows by flow hash.
	held map[uint64]pin
	// seen holds the upstream that the first packet of a flow named, since the time
	// seenSince; seenBefore is that of the period before.
	seen       map[uint64]uint64
	seenBefore map[uint64]uint64
	seenSince  time.Time
	// sought holds the flows that neighbours are about to send to another upstream,
	// and the times at which their callers give up.
	sought map[uint64]time.Time
	// unsent are pins that the neighbours have not been told yet, flushAt is when they
	// are.
	unsent  []Pin
	flushAt time.Time
	// corrections are the second copies of opening packets that are due, oldest first.
	corrections []correction
}

// pin is the upstream at which a flow is open. opening is its opening if this instance sent
// it to other upstreams, too, and nil after the flow was closed.
type pin struct {
	upstream uint64
	since    time.Time
	opening  *opening
}

func newPins() pins {
	return pins{held: make(map[uint64]pin), seen: make(map[uint64]uint64), seenBefore: make(map[uint64]uint64), sought: make(map[uint64]time.Time)}
}

// noteSeen records that a packet of an open flow names an upstream and returns the one
// that the first such packet named.
func (s *pins) noteSeen(now time.Time, flow, number uint64) uint64 {
	if age := now.Sub(s.seenSince); age >= openTimeout {
		s.seen, s.seenBefore = s.seenBefore, s.seen
		clear(s.seen)
		if age >= 2*openTimeout {
			clear(s.seenBefore)
		}
		s.seenSince = now
	}
	if first, ok := s.seen[flow]; ok {
		return first
	}
	if first, ok := s.seenBefore[flow]; ok {
		number = first
	}
	if len(s.seen) < maxSeen {
		s.seen[flow] = number
	}
	return number
}

// lookUp returns the upstream that a flow is pinned to or that its first packet named.
func (s *pins) lookUp(now time.Time, flow uint64) (number uint64, ok bool) {
	if p, ok := s.held[flow]; ok {
		return p.upstream, true
	}
	return s.recent(now, flow)
}

// recent returns the upstream that the first packet of a flow named, if the flow was
// seen in the last one or two periods.
func (s *pins) recent(now time.Time, flow uint64) (number uint64, ok bool) {
	if now.Sub(s.seenSince) >= 2*openTimeout {
		return 0, false
	}
	if number, ok = s.seen[flow]; !ok {
		number, ok = s.seenBefore[flow]
	}
	return number, ok
}

// forgetSeen drops a flow that its caller has closed or opens anew.
func (s *pins) forgetSeen(flow uint64) {
	delete(s.seen, flow)
	delete(s.seenBefore, flow)
}

// expire drops pins whose flows may be discarded, and flows that nobody seeks any more.
func (s *pins) expire(now time.Time, lifetime time.Duration) {
	for flow, p := range s.held {
		if now.Sub(p.since) > lifetime {
			delete(s.held, flow)
		}
	}
	for flow, until := range s.sought {
		if !now.Before(until) {
			delete(s.sought, flow)
		}
	}
}

// forgetOpening drops the opening of a flow that its caller has closed.
func (s *pins) forgetOpening(flow uint64) {
	if p, ok := s.held[flow]; ok && p.opening != nil {
		p.opening = nil
		s.held[flow] = p
	}
}

// upstreamOf returns the upstream of an established flow whose opening is not held
// here.
func (rt *Router) upstreamOf(now time.Time, flow uint64, p *Packet) (*upstream, bool) {
	s := &rt.pins
	u, ok := rt.upstreams.byToken[p.Token]
	if held, pinned := s.held[flow]; pinned {
		if own, known := rt.upstreams.byNumber[held.upstream]; known {
			if held.opening != nil && ok && u != own && slices.Contains(held.opening.tries, u.info.Number) {
				// The copies that corrected its answers are lost.
				rt.correctAnswersOf(held.opening, held.upstream, u.info.Number)
			}
			return own, true
		}
	}
	if !ok {
		return nil, false
	}
	first := s.noteSeen(now, flow, u.info.Number)
	if open, ok := rt.work.flows.Upstream(flow); ok {
		// The flow may have paused for longer than its first packet is remembered.
		first = open
	}
	_, sought := s.sought[flow]
	if first == u.info.Number && !sought {
		return u, true
	}
	if opened, ok := rt.upstreams.byNumber[first]; ok {
		u = opened
	}
	rt.pin(now, flow, u.info.Number)
	rt.spreadPin(now, flow, u.info.Number)
	return u, true
}

// pin keeps a flow at an upstream, whatever token its packets carry.
func (rt *Router) pin(now time.Time, flow, number uint64) {
	delete(rt.pins.sought, flow)
	if _, ok := rt.pins.held[flow]; !ok && len(rt.pins.held) >= maxPins {
		return
	}
	rt.counts.Pinned++
	rt.pins.held[flow] = pin{upstream: number, since: now}
}

// pinOpening pins a flow whose opening was sent to several upstreams, and corrects the
// answers of those that it is not open at.
func (rt *Router) pinOpening(now time.Time, o *opening, number uint64) {
	rt.pin(now, o.flow, number)
	if p, ok := rt.pins.held[o.flow]; ok {
		p.opening = o
		rt.pins.held[o.flow] = p
	}
	rt.correctAnswers(now, o, number)
}

// spreadPin tells the neighbours about a pinned flow.
func (rt *Router) spreadPin(now time.Time, flow, number uint64) {
	s := &rt.pins
	if len(s.unsent) == 0 {
		s.flushAt = now.Add(maxReportDelay)
		rt.scheduleTick(s.flushAt)
	}
	s.unsent = append(s.unsent, Pin{Flow: flow, Upstream: number})
}

// flushPins sends the pins that the neighbours have not been told yet, once the oldest
// of them has waited for maxReportDelay.
func (rt *Router) flushPins(now time.Time) {
	s := &rt.pins
	if len(s.unsent) == 0 {
		return
	}
	if now.Before(s.flushAt) {
		rt.scheduleTick(s.flushAt)
		return
	}
	for _, p := range rt.neighbours(now) {
		m := rt.messageTo(p)
		m.Pins = append(m.Pins, s.unsent...)
	}
	s.unsent = s.unsent[:0]
}

// neighbours returns the live instances that may get packets of the flows that are
// opened through this one, when the fabric distributes them anew: those of its data
// centre, and all of a small fleet, as a data centre may have a single instance.
func (rt *Router) neighbours(now time.Time) []*peer {
	var list []*peer
	for _, p := range rt.ordered() {
		if rt.isNeighbour(p) && rt.roster.live(now, p) {
			list = append(list, p)
		}
	}
	return list
}

func (rt *Router) isNeighbour(p *peer) bool {
	return rt.roster.mesh() || p.dataCentre == rt.config.DataCentre
}

// seek asks the neighbours whether they have seen packets of a flow, before its
// opening is sent to another upstream. It returns false if there are none.
func (rt *Router) seek(now time.Time, o *opening) bool {
	list := rt.neighbours(now)
	for _, p := range list {
		m := rt.messageTo(p)
		m.Seeks = append(m.Seeks, Seek{Flow: o.flow, Age: now.Sub(o.firstOffered)})
	}
	if len(list) == 0 {
		return false
	}
	o.phase, o.phaseDeadline = seeking, now.Add(seekTimeout)
	rt.scheduleTick(o.phaseDeadline)
	return true
}

// handleSeek answers a neighbour that seeks a flow, at once if packets of the flow were
// seen, otherwise when the first one is.
func (rt *Router) handleSeek(now time.Time, p *peer, s Seek) {
	number, ok := rt.pins.lookUp(now, s.Flow)
	if !ok {
		number, ok = rt.work.flows.Upstream(s.Flow)
	}
	if ok {
		m := rt.messageTo(p)
		m.Pins = append(m.Pins, Pin{Flow: s.Flow, Upstream: number})
		return
	}
	if s.Age < certainPeriod && len(rt.pins.sought) < maxSeen {
		rt.pins.sought[s.Flow] = now.Add(openTimeout)
	}
}

// handlePin learns from a neighbour at which upstream a flow is open.
func (rt *Router) handlePin(now time.Time, p Pin) {
	o := rt.openings.byHash(p.Flow)
	if o != nil && !rt.serves(p.Upstream, o.route.Service) {
		return
	}
	if o == nil {
		rt.pin(now.Add(-p.Age), p.Flow, p.Upstream)
		return
	}
	if o.phase == opened {
		delete(rt.openings.flows, o.id)
		rt.pinOpening(now, o, p.Upstream)
		return
	}
	rt.flowLog("opened-elsewhere", o.id, "upstream", rt.keysOf([]uint64{p.Upstream}), "tries", rt.keysOf(o.tries), "after", now.Sub(o.firstSeen).String())
	for _, t := range o.tries {
		if t != p.Upstream {
			rt.releaseTry(now, o, t)
		}
	}
	rt.closeOpening(now, o, p.Upstream)
}

// closeOpening ends an opening whose flow is open at an upstream. If further upstreams
// may have answered it, the flow is pinned.
func (rt *Router) closeOpening(now time.Time, o *opening, number uint64) {
	rt.recordOpened(now, o, number)
	delete(rt.openings.flows, o.id)
	_, sought := rt.pins.sought[o.flow]
	hedged := len(o.tries) > 1 || len(o.tries) == 1 && o.tries[0] != number
	switch {
	case hedged:
		rt.pinOpening(now, o, number)
	case o.repeated || sought:
		// Another instance may have sent the first opening packet elsewhere.
		rt.pin(now, o.flow, number)
	}
	if hedged || sought {
		rt.spreadPin(now, o.flow, number)
	}
}

// openUpstream returns the upstream of a flow that is known to be open when a copy of
// its opening packet arrives.
func (rt *Router) openUpstream(now time.Time, flow uint64, service string, p *Packet) (*upstream, bool) {
	if p.Retransmission == 0 {
		rt.pins.forgetSeen(flow)
		delete(rt.pins.held, flow)
		rt.work.flows.Close(now, flow)
		return nil, false
	}
	number, ok := rt.pins.recent(now, flow)
	if !ok || !rt.serves(number, service) {
		return nil, false
	}
	u := rt.upstreams.byNumber[number]
	return u, rt.stateOf(u) != scheduler.Closed
}

// pinsFor returns pins for a neighbour that has just started.
func (rt *Router) pinsFor(now time.Time) []Pin {
	var list []Pin
	for flow, p := range rt.pins.held {
		if len(list) == pinsPerAnswer {
			break
		}
		list = append(list, Pin{Flow: flow, Upstream: p.upstream, Age: now.Sub(p.since)})
	}
	return list
}
