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

// dial is the last attempt of this instance to connect to an upstream. Its answer is Connected
// until another one is known. at is when it began, or when its answer came.
type dial struct {
	answer DialAnswer
	at     time.Time
}

// expired reports whether the result of a dial no longer holds.
func (d dial) expired(now time.Time) bool {
	if d.answer == Silent {
		return now.Sub(d.at) >= unansweredLifetime
	}
	return now.Sub(d.at) >= answeredLifetime
}

// dialAnswer returns the answer of a dial to an upstream that still holds. If there is none, it
// dials, and the flows that wait for the answer are reset when it comes. An upstream at work
// accepts connections however long its requests take, so that silence alone is not taken for a
// failure.
func (rt *Router) dialAnswer(now time.Time, u *upstream) DialAnswer {
	if rt.superseded(u) {
		return Silent
	}
	number := u.info.Number
	if d, known := rt.stuck.dials[number]; known && !d.expired(now) {
		return d.answer
	}
	rt.stuck.dials[number] = dial{at: now}
	rt.emit(Effect{Kind: Dial, Upstream: u.info.Address, Number: number, Timeout: dialTimeout})
	return Connected
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
	rt.resetUnreachable(now, e.Number)
}

// resetUnreachable resets the stuck flows of an upstream for which a dial confirms the reason.
func (rt *Router) resetUnreachable(now time.Time, number uint64) {
	u, known := rt.upstreams.byNumber[number]
	if !known {
		return
	}
	for flow, f := range rt.stuck.flows {
		if f.upstream == number {
			rt.resetIfUnreachable(now, u, flow, f)
		}
	}
}

// resetIfUnreachable resets a stuck flow if there is a reason to and a dial confirms it.
func (rt *Router) resetIfUnreachable(now time.Time, u *upstream, flow uint64, f stuckFlow) bool {
	reason, least := rt.resetReason(now, u, flow, f)
	if reason == "" || rt.dialAnswer(now, u) < least {
		return false
	}
	rt.resetStuck(now, flow, f, reason)
	return true
}

// resetReason returns why a stuck flow is to be reset, "" if it is not, and the answer to a
// dial that confirms it. A refusal shows that no cut lies before the upstream.
func (rt *Router) resetReason(now time.Time, u *upstream, flow uint64, f stuckFlow) (reason string, least DialAnswer) {
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
