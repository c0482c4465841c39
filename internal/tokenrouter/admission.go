package tokenrouter

import (
	"strconv"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/admission"
	"github.com/chervilhaven/chervilhaven/internal/catalog"
)

// refusalInterval is the time between two searches for waiting flows that have to be
// refused.
const refusalInterval = 100 * time.Millisecond

// leastUrgent returns the priority of the least urgent route of each service.
func leastUrgent(routes []catalog.Route) map[string]int {
	least := make(map[string]int)
	for _, r := range routes {
		least[r.Service] = max(least[r.Service], r.Priority)
	}
	return least
}

// classify sets how a flow is admitted: strictly by priority if the work of its service
// is measured. A flow that is more urgent than others of the service may use room that is
// kept free of these.
func (rt *Router) classify(t *admission.PendingFlow) {
	t.Strict = rt.scheduler.Measured(t.Request.Service)
	t.Request.Urgent = t.Priority < rt.leastUrgent[t.Request.Service]
}

// refusalsOf returns what is known of the room of the group that a flow may use.
func (rt *Router) refusalsOf(t *admission.PendingFlow) *admission.Refusals {
	g := group{t.Request.Service, t.Request.Group}
	r := rt.coordination.refusals[g]
	if r == nil {
		r = &admission.Refusals{}
		rt.coordination.refusals[g] = r
	}
	return r
}

// refuseUnrouted resets a flow whose address has no route. If no instance is
// known to read the store, a route may have been added unnoticed; the flow is
// not reset then and the caller retransmits.
func (rt *Router) refuseUnrouted(now time.Time, id flowID) {
	if !rt.catalogFresh(now) {
		rt.flowLog("unrouted", id, "through", revision(rt.catalog.Through()))
		return
	}
	rt.refuse(id, "no-route")
}

// refuse resets a flow that is not open yet.
func (rt *Router) refuse(id flowID, reason string) {
	rt.counts.Refused++
	rt.flowLog("refused", id, "reason", reason, "through", revision(rt.catalog.Through()))
	rt.emit(Effect{Kind: Refuse, Source: id.source, Destination: id.destination})
}

// refuseExcess refuses waiting flows that their group cannot serve before their callers
// give up.
func (rt *Router) refuseExcess(now time.Time) {
	s := &rt.coordination
	if now.Before(s.nextRefusal) {
		return
	}
	s.nextRefusal = now.Add(refusalInterval)
	for g, r := range s.refusals {
		if !rt.scheduler.Measured(g.service) {
			continue
		}
		line := r.Line(now, openTimeout-minResponseTime)
		excess := s.queue.Excess(now, g.service, g.number, line, r.Allowed())
		for _, flow := range excess {
			rt.refuseFlow(s.requesters[flow], flow)
			s.queue.Remove(flow)
		}
		if len(excess) > 0 {
			r.Refused(len(excess))
			rt.log("no-room", "service", g.service, "group", strconv.Itoa(g.number), "refused", strconv.Itoa(len(excess)),
				"waiting", strconv.Itoa(s.queue.Len()), "line", strconv.Itoa(line))
		}
	}
}

// refuseFlow tells the requester of a waiting flow, nil for this instance, that there is
// no room for it.
func (rt *Router) refuseFlow(to *peer, flow uint64) {
	if to != nil {
		m := rt.messageTo(to)
		m.Grants = append(m.Grants, Grant{Flow: flow, Refused: true})
		return
	}
	if o, ok := rt.openings.pendingAsks[flow]; ok {
		delete(rt.openings.pendingAsks, flow)
		rt.refuseWaiting(o)
	}
}

// refuseWaiting resets a flow for which there is no room. It returns false if the flow may
// have been offered to an upstream, so that its request may run.
func (rt *Router) refuseWaiting(o *opening) bool {
	if len(o.tries) > 0 || o.repeated {
		return false
	}
	rt.counts.RefusedWithoutRoom++
	rt.refuse(o.id, "no-room")
	delete(rt.openings.flows, o.id)
	return true
}
