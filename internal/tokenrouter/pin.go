package tokenrouter

import (
	"slices"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/scheduler"
)

const (
	// certainPeriod is the time from the first offer of an opening within which the
	// caller's packets are no retransmissions: they carry the token that the flow was
	// opened with.
	certainPeriod = firstRetransmit / 2
	// maxPins limits the pinned flows, maxSeen the flows that are remembered in each
	// period of openTimeout, and those that neighbours seek.
	maxPins = 8192
	maxSeen = 4096
)

// pins holds what is known of flows beyond their tokens. A token names the upstream
// that the caller last got a packet from. If an opening was sent to several upstreams,
// those at which the flow did not open repeat their answers for seconds, so that the
// token may name any of them.
type pins struct {
	// held holds the upstreams of such flows by flow hash.
	held map[uint64]*pin
	// seen holds the upstream that the first packet of a flow named, since the time
	// seenSince; seenBefore is that of the period before.
	seen       map[uint64]uint64
	seenBefore map[uint64]uint64
	seenSince  time.Time
	// sought holds the flows whose openings neighbours hold without an acknowledgement.
	sought map[uint64]search
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

// search is a flow that neighbours seek until its caller gives up.
type search struct {
	by    []*peer
	until time.Time
}

func newPins() pins {
	return pins{held: make(map[uint64]*pin), seen: make(map[uint64]uint64), seenBefore: make(map[uint64]uint64), sought: make(map[uint64]search)}
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

// lookUp returns the upstream that a flow is pinned to, that its first packet named, or at
// which it is followed.
func (rt *Router) lookUp(now time.Time, flow uint64) (known Pin, ok bool) {
	if p, ok := rt.pins.held[flow]; ok {
		return Pin{flow, p.upstream, now.Sub(p.since)}, true
	}
	number, ok := rt.pins.recent(now, flow)
	if !ok {
		number, ok = rt.work.flows.Upstream(flow)
	}
	return Pin{Flow: flow, Upstream: number}, ok
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
	for flow, sought := range s.sought {
		if !now.Before(sought.until) {
			delete(s.sought, flow)
		}
	}
}

// forgetOpening drops the opening of a flow that its caller has closed.
func (s *pins) forgetOpening(flow uint64) {
	if p := s.held[flow]; p != nil {
		p.opening = nil
	}
}

// upstreamOf returns the upstream of an established flow whose opening is not held
// here.
func (rt *Router) upstreamOf(now time.Time, flow uint64, p *Packet) (*upstream, bool) {
	s := &rt.pins
	if own, ok := rt.pinnedUpstream(flow, p); ok {
		return own, true
	}
	u, ok := rt.upstreams.byToken[p.Token]
	if !ok {
		return nil, false
	}
	first := s.noteSeen(now, flow, u.info.Number)
	if open, ok := rt.work.flows.Upstream(flow); ok {
		// The flow may have paused for longer than its first packet is remembered.
		first = open
	}
	own := u
	if opened, ok := rt.upstreams.byNumber[first]; ok {
		own = opened
	}
	_, sought := s.sought[flow]
	if own != u {
		// An upstream's answers are wrong. Whoever holds the opening can correct them.
		rt.tellPin(Pin{Flow: flow, Upstream: own.info.Number}, rt.neighbours(now))
	}
	if own != u || sought {
		rt.pin(now, flow, own.info.Number)
	}
	return own, true
}

// pinnedUpstream returns the upstream that a flow is pinned to. If a packet of the flow names
// another one, the copies that corrected the answers of that one are lost, and another is sent.
func (rt *Router) pinnedUpstream(flow uint64, p *Packet) (own *upstream, ok bool) {
	held := rt.pins.held[flow]
	if held == nil {
		return nil, false
	}
	if own, ok = rt.upstreams.byNumber[held.upstream]; !ok {
		return nil, false
	}
	if u := rt.upstreams.byToken[p.Token]; u != nil && u != own && held.opening != nil && slices.Contains(held.opening.tries, u.info.Number) {
		rt.sendCorrection(held.opening, held.upstream, u.info.Number)
	}
	return own, true
}

// pin keeps a flow at an upstream, whatever token its packets carry, and tells the neighbours
// that seek it.
func (rt *Router) pin(now time.Time, flow, number uint64) {
	if sought, ok := rt.pins.sought[flow]; ok {
		rt.tellPin(Pin{Flow: flow, Upstream: number}, sought.by)
		delete(rt.pins.sought, flow)
	}
	if _, ok := rt.pins.held[flow]; !ok && len(rt.pins.held) >= maxPins {
		return
	}
	rt.counts.Pinned++
	rt.pins.held[flow] = &pin{upstream: number, since: now}
}

// pinOpening pins a flow whose opening was sent to several upstreams, and corrects the
// answers of those that it is not open at.
func (rt *Router) pinOpening(now time.Time, o *opening, number uint64) {
	rt.pin(now, o.flow, number)
	if p := rt.pins.held[o.flow]; p != nil {
		p.opening = o
	}
	rt.correctAnswers(now, o, number)
}

// closeOpening ends an opening whose flow is open at an upstream. If further upstreams
// may have answered it, the flow is pinned.
func (rt *Router) closeOpening(now time.Time, o *opening, number uint64) {
	rt.recordOpened(now, o, number)
	delete(rt.openings.flows, o.id)
	if len(o.tries) > 1 || len(o.tries) == 1 && o.tries[0] != number {
		rt.pinOpening(now, o, number)
		return
	}
	if _, sought := rt.pins.sought[o.flow]; sought || o.repeated {
		// Another instance may have sent the first opening packet elsewhere.
		rt.pin(now, o.flow, number)
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
