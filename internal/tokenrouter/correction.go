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
	for _, other := range o.tries {
		if other != number {
			rt.correctAnswersOf(o, number, other)
		}
	}
	s := &rt.pins
	s.corrections = append(s.corrections, correction{now.Add(correctionInterval), o.flow})
	rt.scheduleTick(s.corrections[0].at)
}

// correctAnswersOf sends a copy of an opening packet to an upstream that got it before, with
// the token of the flow's own upstream. One that must not get new flows any more, and may
// have missed the first copy, is left alone.
func (rt *Router) correctAnswersOf(o *opening, number, other uint64) {
	own, known := rt.upstreams.byNumber[number]
	u, ok := rt.upstreams.byNumber[other]
	if !known || !ok || !u.goneAt.IsZero() || rt.stateOf(u) == scheduler.Closed || rt.routes[o.id.destination].Service != u.info.Service {
		return
	}
	rt.counts.Corrected++
	rt.emit(Effect{Kind: Forward, Upstream: u.info.Address, Number: other, Token: own.token, Raw: o.raw})
}

// repeatCorrections sends the second copies that are due.
func (rt *Router) repeatCorrections(now time.Time) {
	s := &rt.pins
	for len(s.corrections) > 0 && !now.Before(s.corrections[0].at) {
		p, ok := s.held[s.corrections[0].flow]
		s.corrections = s.corrections[1:]
		if !ok || p.opening == nil {
			continue
		}
		for _, other := range p.opening.tries {
			if other != p.upstream {
				rt.correctAnswersOf(p.opening, p.upstream, other)
			}
		}
	}
	if len(s.corrections) > 0 {
		rt.scheduleTick(s.corrections[0].at)
	}
}
