package tokenrouter

import (
	"strconv"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/admission"
	"github.com/chervilhaven/chervilhaven/internal/catalog"
)

const (
	// refusalInterval is the time between two searches for waiting flows that have to be
	// refused.
	refusalInterval = 100 * time.Millisecond
	// roomShortPeriod is how long a service counts as having no room after a flow had to
	// wait for it.
	roomShortPeriod = time.Second
	// busyCoordinatorTimeout is the time without any message after which a coordinator that
	// leaves asks unanswered while there is no room is taken for silent, not for busy.
	busyCoordinatorTimeout = 500 * time.Millisecond
)

// room is what this instance knows of the room of services whose work is measured.
type room struct {
	// shortAt holds the times at which flows of this instance last had to wait.
	shortAt map[string]time.Time
	// throttles hold back flows that would ask for room that is not there.
	throttles map[string]*admission.Throttle
}

func (rt *Router) noteRoomShort(now time.Time, service string) { rt.room.shortAt[service] = now }

// roomShort reports whether flows of a service had to wait for room lately.
func (rt *Router) roomShort(now time.Time, service string) bool {
	at, ok := rt.room.shortAt[service]
	return ok && rt.scheduler.Measured(service) && now.Sub(at) < roomShortPeriod
}

func (rt *Router) throttleOf(service string) *admission.Throttle {
	t := rt.room.throttles[service]
	if t == nil {
		t = &admission.Throttle{}
		rt.room.throttles[service] = t
	}
	return t
}

// urgent reports whether a route is more urgent than others of its service.
func (rt *Router) urgent(r *catalog.Route) bool { return r.Priority < rt.leastUrgent[r.Service] }

// holdsBack reports whether an opening must not ask for room now, because there is none and
// too many ask for it. Urgent ones always may.
func (rt *Router) holdsBack(now time.Time, o *opening) bool {
	if len(o.tries) > 0 {
		return false
	}
	t := rt.throttleOf(o.route.Service)
	t.Requested(now)
	return rt.roomShort(now, o.route.Service) && !rt.urgent(&o.route) && rt.random.Float64() < t.Excess()
}

// hold lets an opening wait for its caller's next packet before it asks for room. After the
// last one it is refused, unless too many are: the caller would come back at once.
func (rt *Router) hold(now time.Time, o *opening) {
	if now.Sub(o.opened) >= secondRetransmit && rt.throttleOf(o.route.Service).Refuse(now) && rt.refuseWaiting(o) {
		return
	}
	rt.counts.Held++
	o.queued, o.held, o.phaseDeadline = true, true, now.Add(queueRecheckInterval)
	rt.scheduleTick(o.phaseDeadline)
}

// asksAgain reports whether a waiting opening asks for room again when its caller repeats
// its packet. While there is no room, a flow that waits at its coordinator and is not urgent
// is asked for again with the second repetition only.
func (rt *Router) asksAgain(now time.Time, o *opening) bool {
	return o.held || rt.urgent(&o.route) || !rt.roomShort(now, o.route.Service) || now.Sub(o.opened) >= secondRetransmit
}

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
