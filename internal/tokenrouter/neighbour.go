package tokenrouter

import "time"

const (
	// seekTimeout is how long an opening waits for an instance that saw the flow's
	// acknowledgement before it is sent to another upstream: a round trip between
	// neighbours and some scheduling delay.
	seekTimeout = 4 * time.Millisecond
	// maxDistantNeighbours limits the instances of other data centres that an instance
	// asks which is alone in its own.
	maxDistantNeighbours = 64
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

// tellPin tells other instances at which upstream a flow is open.
func (rt *Router) tellPin(told Pin, peers []*peer) {
	for _, p := range peers {
		m := rt.messageTo(p)
		m.Pins = append(m.Pins, told)
	}
}

// neighbours returns the live instances that may get packets of the flows that are
// opened through this one, when the fabric distributes them anew: those of its data
// centre, and all of a small fleet. The fabric leads the flows of a data centre without a
// ready instance to others, so that one that is alone in its data centre has neighbours in
// all of them, and is one of theirs.
func (rt *Router) neighbours(now time.Time) []*peer {
	var list, distant []*peer
	alone := true
	for order := rt.ordered(); len(order) > 0; {
		n, staying := 0, 0
		var members []*peer
		for ; n < len(order) && order[n].dataCentre == order[0].dataCentre; n++ {
			if !rt.roster.live(now, order[n]) {
				continue
			}
			members = append(members, order[n])
			if !order[n].leaving {
				staying++
			}
		}
		own := order[0].dataCentre == rt.config.DataCentre
		order = order[n:]
		alone = alone && (!own || staying == 0)
		if rt.roster.mesh() || own || staying <= 1 {
			list = append(list, members...)
		} else {
			distant = append(distant, members...)
		}
	}
	if alone {
		list = append(list, distant[:min(len(distant), maxDistantNeighbours)]...)
	}
	return list
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
	if known, ok := rt.lookUp(now, s.Flow); ok {
		rt.tellPin(known, []*peer{p})
		return
	}
	if sought, ok := rt.pins.sought[s.Flow]; s.Age < certainPeriod && (ok || len(rt.pins.sought) < maxSeen) {
		rt.pins.sought[s.Flow] = search{append(sought.by, p), now.Add(openTimeout)}
	}
}

// handlePin learns from a neighbour at which upstream a flow is open.
func (rt *Router) handlePin(now time.Time, p Pin) {
	o := rt.openings.byHash(p.Flow)
	if o != nil && !rt.serves(p.Upstream, o.route.Service) {
		return
	}
	if o == nil {
		rt.handlePinWithoutOpening(now, p)
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

// handlePinWithoutOpening learns where a flow is open whose opening is no longer pending here.
// If this instance knows better it stays with that, and if it agrees some upstream still
// answers otherwise.
func (rt *Router) handlePinWithoutOpening(now time.Time, p Pin) {
	held := rt.pins.held[p.Flow]
	switch {
	case held == nil || held.opening == nil:
		rt.pin(now.Add(-p.Age), p.Flow, p.Upstream)
	case held.upstream == p.Upstream:
		rt.correctAnswers(now, held.opening, held.upstream)
	}
}
