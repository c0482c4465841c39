package tokenrouter

import (
	"time"

	"github.com/chervilhaven/chervilhaven/internal/scheduler"
)

// correctionInterval is the time between the two copies of an opening packet that correct
// the answers of an upstream. It is shorter than that to the first repeated answer.
const correctionInterval = 100 * time.Millisecond

// correction is the second copy that is due for an open flow.
type correction struct {
	at   time.Time
	flow uint64
}

// correctAnswers makes the other upstreams that an opening was sent to answer with the token
// of the upstream at which the flow is open. They repeat their answers for seconds, and the
// caller's packets carry the last token that it received: in this way it stays the right one
// for every instance, whatever that instance knows of the flow.
func (rt *Router) correctAnswers(now time.Time, o *opening, number uint64) {
	rt.sendCorrections(o, number)
	s := &rt.pins
	s.corrections = append(s.corrections, correction{now.Add(correctionInterval), o.flow})
	rt.scheduleTick(s.corrections[0].at)
}

func (rt *Router) sendCorrections(o *opening, number uint64) {
	for _, other := range o.tries {
		if other != number {
			rt.sendCorrection(o, number, other)
		}
	}
}

// sendCorrection sends a copy of an opening packet to an upstream that got it before, with
// the token of the flow's own upstream. One that must not get new flows any more, and may
// have missed the first copy, is left alone.
func (rt *Router) sendCorrection(o *opening, number, other uint64) {
	own, known := rt.upstreams.byNumber[number]
	u, ok := rt.upstreams.byNumber[other]
	if !known || !ok || rt.stateOf(u) != scheduler.Open || rt.routes[o.id.destination].Service != u.info.Service {
		return
	}
	rt.counts.Corrected++
	rt.emit(Effect{Kind: Forward, Upstream: u.info.Address, Number: other, Token: own.token, Raw: o.raw})
}

// repeatCorrections sends the second copies that are due.
func (rt *Router) repeatCorrections(now time.Time) {
	s := &rt.pins
	for len(s.corrections) > 0 && !now.Before(s.corrections[0].at) {
		if p := s.held[s.corrections[0].flow]; p != nil && p.opening != nil {
			rt.sendCorrections(p.opening, p.upstream)
		}
		s.corrections = s.corrections[1:]
	}
	if len(s.corrections) > 0 {
		rt.scheduleTick(s.corrections[0].at)
	}
}
