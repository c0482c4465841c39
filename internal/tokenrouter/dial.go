package tokenrouter

import "time"

const (
	// dialTimeout is the time allowed for a connection to an upstream.
	dialTimeout = 300 * time.Millisecond
	// dialLifetime is how long the result of a dial holds.
	dialLifetime = time.Second
)

// dial is the last attempt of this instance to connect to an upstream.
type dial struct {
	pending     bool
	unreachable bool
	// at is when the attempt began, or ended if it is not pending.
	at time.Time
}

// confirmUnreachable reports whether a connection to an upstream has just failed. If none has
// been tried lately, it is tried, and the flows that wait for the result are reset if it
// fails. An upstream at work accepts connections however long its requests take, so that
// silence alone is not taken for a failure.
func (rt *Router) confirmUnreachable(now time.Time, u *upstream) bool {
	number := u.info.Number
	d, known := rt.stuck.dials[number]
	if !known || now.Sub(d.at) >= dialLifetime {
		rt.stuck.dials[number] = dial{pending: true, at: now}
		rt.emit(Effect{Kind: Dial, Upstream: u.info.Address, Number: number, Timeout: dialTimeout})
		return false
	}
	return !d.pending && d.unreachable
}

// handleDialed records whether an upstream could be reached. If not, its stuck flows are reset.
func (rt *Router) handleDialed(now time.Time, e *Dialed) {
	rt.stuck.dials[e.Number] = dial{unreachable: e.Unreachable, at: now}
	rt.log("upstream-dialed", "upstream", rt.keysOf([]uint64{e.Number}), "result", e.Result)
	if !e.Unreachable {
		return
	}
	for flow, f := range rt.stuck.flows {
		if f.upstream != e.Number {
			continue
		}
		if reason := rt.resetReason(now, flow, f); reason != "" {
			rt.resetStuck(now, flow, f, reason)
		}
	}
}

// resetReason returns why a stuck flow is to be reset if its upstream cannot be reached, "" if
// it is not.
func (rt *Router) resetReason(now time.Time, flow uint64, f stuckFlow) string {
	u, known := rt.upstreams.byNumber[f.upstream]
	if !known {
		return ""
	}
	if told, ok := rt.stuck.outOfReach[f.upstream]; ok && (now.Sub(told) < outOfReachFor || !u.goneAt.IsZero()) {
		return "no-answers"
	}
	if _, repeats := rt.work.flows.Waiting(flow); rt.cutOffFrom(u.info.DataCentre, f.since, repeats) {
		return "cut-off"
	}
	return ""
}

// expireDials forgets results that no longer hold.
func (rt *Router) expireDials(now time.Time) {
	for number, d := range rt.stuck.dials {
		if now.Sub(d.at) >= dialLifetime {
			delete(rt.stuck.dials, number)
		}
	}
}
