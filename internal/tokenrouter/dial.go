package tokenrouter

import "time"

const (
	// dialTimeout is the time allowed for a connection to an upstream.
	dialTimeout = 300 * time.Millisecond
	// answeredLifetime is how long an answered dial holds, unansweredLifetime an unanswered
	// one.
	answeredLifetime   = time.Second
	unansweredLifetime = 3 * time.Second
)

// dial is the last attempt of this instance to connect to an upstream.
type dial struct {
	pending bool
	answer  DialAnswer
	// at is when the attempt began, or ended if it is not pending.
	at time.Time
}

// expired reports whether the result of a dial no longer holds.
func (d dial) expired(now time.Time) bool {
	if d.answer == Silent {
		return now.Sub(d.at) >= unansweredLifetime
	}
	return now.Sub(d.at) >= answeredLifetime
}

// confirmUnreachable reports whether a dial to an upstream has had the given answer lately, or
// one that speaks more against it. If none has been tried, it is tried, and the flows that wait
// for the result are reset when it is known. An upstream at work accepts connections however
// long its requests take, so that silence alone is not taken for a failure.
func (rt *Router) confirmUnreachable(now time.Time, u *upstream, least DialAnswer) bool {
	number := u.info.Number
	if rt.superseded(u) {
		return true
	}
	d, known := rt.stuck.dials[number]
	if !known || d.expired(now) {
		rt.stuck.dials[number] = dial{pending: true, at: now}
		rt.emit(Effect{Kind: Dial, Upstream: u.info.Address, Number: number, Timeout: dialTimeout})
		return false
	}
	return !d.pending && d.answer >= least
}

// superseded reports whether the entry of an upstream is gone and another one has its address:
// that one would accept a connection in its place.
func (rt *Router) superseded(u *upstream) bool {
	if u.goneAt.IsZero() {
		return false
	}
	for _, other := range rt.upstreams.byNumber {
		if other != u && other.goneAt.IsZero() && other.info.Address == u.info.Address {
			return true
		}
	}
	return false
}

// handleDialed records whether an upstream could be reached. If not, its stuck flows are reset,
// and the other instances are told if this one is its coordinator.
func (rt *Router) handleDialed(now time.Time, e *Dialed) {
	rt.stuck.dials[e.Number] = dial{answer: e.Answer, at: now}
	rt.log("upstream-dialed", "upstream", rt.keysOf([]uint64{e.Number}), "answer", e.Answer.String())
	if e.Answer == Connected {
		return
	}
	rt.checkReach(now, e.Number)
	for flow, f := range rt.stuck.flows {
		if f.upstream != e.Number {
			continue
		}
		if reason, least := rt.resetReason(now, flow, f); reason != "" && e.Answer >= least {
			rt.resetStuck(now, flow, f, reason)
		}
	}
}

// resetReason returns why a stuck flow is to be reset, "" if it is not, and the answer to a
// dial that confirms it. A refusal shows that no cut lies before the upstream.
func (rt *Router) resetReason(now time.Time, flow uint64, f stuckFlow) (reason string, least DialAnswer) {
	u, known := rt.upstreams.byNumber[f.upstream]
	if !known {
		return "", Silent
	}
	if told, ok := rt.stuck.outOfReach[f.upstream]; ok && (now.Sub(told) < outOfReachFor || !u.goneAt.IsZero()) {
		return "no-answers", Refused
	}
	if _, repeats := rt.work.flows.Waiting(flow); rt.cutOffFrom(u.info.DataCentre, f.since, repeats) {
		return "cut-off", Silent
	}
	return "", Silent
}

// expireDials forgets results that no longer hold.
func (rt *Router) expireDials(now time.Time) {
	for number, d := range rt.stuck.dials {
		if d.expired(now) {
			delete(rt.stuck.dials, number)
		}
	}
}
