package edge

import (
	"cmp"
	"net/netip"
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
func (e *Edge) handleEstablished(now time.Time, o *opening, p *Packet) {
	number := o.chosen
	if number == 0 {
		u, ok := e.upstreams.byToken[p.Token]
		if !ok || !slices.Contains(o.tries, u.info.Number) {
			e.counts.UnknownToken++
			e.flowLog("unknown-token", o.id, "token", hex(p.Token), "through", revision(e.catalog.Through()))
			return
		}
		number = u.info.Number
		if o.phase != opened {
			e.handleAck(now, o, number)
		}
	}
	u, ok := e.upstreams.byNumber[number]
	if !ok {
		delete(e.openings.flows, o.id)
		return
	}
	e.forward(u, p)
	if p.Role == flow.Close || p.Role == flow.Reset {
		delete(e.openings.flows, o.id)
		e.finishFlow(now, o.id, number)
	}
}

// handleAck records the upstream at which the caller opened the flow. A flow
// that was offered to several upstreams is pinned to that one, whatever token
// follows, unless this packet may already carry the token of a later answer.
func (e *Edge) handleAck(now time.Time, o *opening, number uint64) {
	e.counts.Opened++
	e.openings.lastAck = now
	e.placer.RecordAnswer(number)
	e.report(now, o.route.Service, Report{Upstream: number, Answered: 1})
	e.cancelAsk(o)
	if len(o.tries) > 1 && now.Sub(o.offered) >= cmp.Or(e.openings.ackTime, initialAckTime) {
		o.phase, o.phaseDeadline = opened, now.Add(pinPeriod)
		return
	}
	if len(o.tries) == 1 {
		e.openings.recordAckTime(now.Sub(o.offered))
		e.observe(TimeToAcknowledgement, now.Sub(o.offered))
		delete(e.openings.flows, o.id)
		return
	}
	for _, t := range o.tries {
		if t != number {
			e.markUnanswered(now, o, t)
		}
	}
	o.phase, o.chosen, o.phaseDeadline = opened, number, now.Add(pinPeriod)
}

// cancelAsk stops the search for a further upstream.
func (e *Edge) cancelAsk(o *opening) {
	delete(e.openings.pendingAsks, o.ask)
	e.coordination.queue.Remove(o.id.hash())
}

// markUnanswered records that an upstream did not answer an opening that another
// upstream answered.
func (e *Edge) markUnanswered(now time.Time, o *opening, number uint64) {
	flow := o.id.hash()
	e.coordination.slotFreed = true
	e.placer.FlowMoved(number, flow)
	if e.placer.RecordFailover(now, number, 1, e.config.Self.String(), true) {
		e.logSuspect(number, e.config.Self)
	}
	e.report(now, o.route.Service, Report{Upstream: number, Moved: []uint64{flow}, Silent: 1})
}

func (e *Edge) logSuspect(number uint64, reporter netip.AddrPort) {
	if u, ok := e.upstreams.byNumber[number]; ok {
		e.log("upstream-suspect", "upstream", u.key, "reporter", reporter.String())
	}
}

// finishFlow records the end of a flow and reports it to the coordinator.
func (e *Edge) finishFlow(now time.Time, id flowID, number uint64) {
	flow := id.hash()
	u := e.upstreams.byNumber[number]
	e.coordination.slotFreed = true
	e.placer.FlowEnded(now, number, flow)
	e.report(now, u.info.Service, Report{Upstream: number, Finished: []uint64{flow}})
}
