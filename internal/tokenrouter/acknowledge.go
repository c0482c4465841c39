package tokenrouter

import (
	"cmp"
	"slices"
	"time"

	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// hedgeDelay returns the time within which nearly all acknowledgements arrive:
// the smoothed time plus four times its deviation, within limits.
func (s *openings) hedgeDelay() time.Duration {
	if s.ackTime == 0 {
		return 2 * initialAckTime
	}
	return min(max(s.ackTime+4*s.ackDeviation, minHedgeDelay), maxHedgeDelay)
}

// recordAckTime updates the smoothed time to an acknowledgement with a new
// sample.
func (s *openings) recordAckTime(took time.Duration) {
	if s.ackTime == 0 {
		s.ackTime, s.ackDeviation = took, took/2
		return
	}
	s.ackDeviation += ((took - s.ackTime).Abs() - s.ackDeviation) / 4
	s.ackTime += (took - s.ackTime) / 8
}

// handleEstablished handles a later packet of a flow whose opening is still
// held.
func (rt *Router) handleEstablished(now time.Time, o *opening, p *Packet) {
	u, ok := rt.upstreams.byToken[p.Token]
	if !ok || u.info.Service != o.route.Service && !slices.Contains(o.tries, u.info.Number) {
		rt.dropUnknown(o.id, p.Token)
		return
	}
	if o.phase != opened {
		u = rt.handleAck(now, o, u)
	}
	rt.forward(u, p)
	rt.observeWork(now, o.flow, u.info.Number, true, p)
	if p.Role == flow.RoleClose || p.Role == flow.RoleReset {
		delete(rt.openings.flows, o.id)
		rt.finishFlow(now, o.flow, u.info.Number)
	}
}

// handleAck records the upstream at which the caller opened the flow and returns it. A
// flow that was offered to several upstreams is pinned to that one, whatever token
// follows. u is the upstream that the packet's token names.
func (rt *Router) handleAck(now time.Time, o *opening, u *upstream) *upstream {
	rt.openings.lastAck = now
	number, certain := rt.openedUpstream(now, o, u.info.Number)
	if opened, ok := rt.upstreams.byNumber[number]; ok {
		u = opened
	}
	rt.pins.noteSeen(now, o.flow, number)
	if !certain {
		rt.recordOpened(now, o, number)
		o.phase, o.phaseDeadline = opened, now.Add(answerPeriod)
		return u
	}
	known := slices.Contains(o.tries, number)
	if known && len(o.tries) == 1 {
		rt.openings.recordAckTime(now.Sub(o.offered))
		rt.observe(TimeToAcknowledgement, now.Sub(o.offered))
	}
	for _, t := range o.tries {
		switch {
		case t == number:
		case known:
			rt.markUnanswered(now, o, t)
		default:
			// Another instance sent the opening to the upstream that answered.
			rt.releaseTry(now, o, t)
		}
	}
	rt.closeOpening(now, o, number)
	return u
}

// openedUpstream returns the upstream that a flow was opened at, by the first packet that
// arrives after its opening packet, and whether that is certain. An early packet carries the
// token that the flow was opened with. A later one is a retransmission and may carry that of
// any later answer. It comes a multiple of firstRetransmit after the packet that is lost, which
// was sent on the answer of one of the upstreams, so that its time tells which one.
func (rt *Router) openedUpstream(now time.Time, o *opening, named uint64) (number uint64, certain bool) {
	ackTime := cmp.Or(rt.openings.ackTime, initialAckTime)
	if len(o.tries) <= 1 || o.resumed || now.Sub(o.offered) < ackTime || now.Sub(o.firstOffered) < certainPeriod {
		return named, true
	}
	matches := 0
	for i, at := range o.offers {
		late := (now.Sub(at) - ackTime + retransmitTolerance) % firstRetransmit
		if late >= 0 && late <= 2*retransmitTolerance {
			number = o.tries[i]
			matches++
		}
	}
	if matches == 1 {
		return number, true
	}
	return named, false
}

// recordOpened records that an upstream answered an opening.
func (rt *Router) recordOpened(now time.Time, o *opening, number uint64) {
	rt.counts.Opened++
	rt.recordAnswer(now, number)
	rt.report(now, o.route.Service, Report{Upstream: number, Answered: 1})
	rt.cancelAsk(o)
}

// releaseTry stops counting a flow at an upstream that it was offered to.
func (rt *Router) releaseTry(now time.Time, o *opening, number uint64) {
	rt.coordination.slotFreed = true
	rt.scheduler.FlowMoved(number, o.flow)
	rt.report(now, o.route.Service, Report{Upstream: number, Moved: []uint64{o.flow}})
}

// cancelAsk stops the search for a further upstream.
func (rt *Router) cancelAsk(o *opening) {
	delete(rt.openings.pendingAsks, o.flow)
	rt.coordination.queue.Remove(o.flow)
}

// markUnanswered records that an upstream did not answer an opening that another
// upstream answered.
func (rt *Router) markUnanswered(now time.Time, o *opening, number uint64) {
	rt.coordination.slotFreed = true
	rt.scheduler.FlowMoved(number, o.flow)
	if rt.scheduler.RecordFailover(now, number, 1, rt.config.Self.String(), true) {
		rt.noteSuspect(now, number, rt.config.Self)
	}
	rt.report(now, o.route.Service, Report{Upstream: number, Moved: []uint64{o.flow}, Silent: 1})
}

// finishFlow records the end of a flow and reports it to the coordinator.
func (rt *Router) finishFlow(now time.Time, flow, number uint64) {
	u := rt.upstreams.byNumber[number]
	if rt.work.flows.Close(now, flow) {
		return
	}
	rt.coordination.slotFreed = true
	rt.scheduler.FlowEnded(now, number, flow)
	rt.report(now, u.info.Service, Report{Upstream: number, Finished: []uint64{flow}})
}
