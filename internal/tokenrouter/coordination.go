package tokenrouter

import (
	"slices"
	"strconv"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/admission"
	"github.com/chervilhaven/chervilhaven/internal/catalog"
	"github.com/chervilhaven/chervilhaven/internal/scheduler"
)

const (
	// rosterSettleTime is how long after its start an instance may not know all
	// peers yet. Until then several instances may believe that they coordinate
	// the same upstreams.
	rosterSettleTime = 1500 * time.Millisecond
	// rosterQuietTime is the time without a new peer after which the list of
	// peers counts as complete: a hello and its answer between data centres, and
	// another such round trip to the peers named in the answer, on busy
	// processors.
	rosterQuietTime = 80 * time.Millisecond
	// assumedStarting is the assumed number of instances in a data centre that
	// start at the same time. Current deployments have 7 to 9 instances in four
	// data centres.
	assumedStarting = 2
	// queueRecheckInterval is how often a waiting flow checks whether its group
	// has a new coordinator.
	queueRecheckInterval = 100 * time.Millisecond
	// minResponseTime is the shortest time in which a caller learns that its flow
	// is open: two trips to the caller and one between data centres.
	minResponseTime = 20 * time.Millisecond
	// queueServeInterval is how often the queue is served while no flow ends.
	queueServeInterval = 20 * time.Millisecond
)

// assignment is the upstream that was granted to a flow.
type assignment struct {
	upstream  uint64
	grantedAt time.Time
}

// coordination is the state for the groups of upstreams that this instance
// coordinates.
type coordination struct {
	queue admission.Queue[uint64]
	// requesters holds the peers that asked for the queued flows, nil for this
	// instance.
	requesters map[uint64]*peer
	// assignment holds recent assignments by flow hash. A retransmitted opening
	// may reach another instance, which then asks for the same flow.
	assignment map[uint64]assignment
	// slotFreed is true if a slot at an upstream may have become free.
	slotFreed bool
	nextServe time.Time
	// refusals holds what is known of the room of the groups that this instance
	// coordinates, nextRefusal is when it next looks for flows without a chance.
	refusals    map[group]*admission.Refusals
	nextRefusal time.Time
	// lastCoordinators holds the last known coordinator of each group, nil for
	// this instance.
	lastCoordinators map[group]*peer
}

// group identifies a subset of a service's upstreams that one instance
// coordinates.
type group struct {
	service string
	number  int
}

// handOffGroup reports a group's outstanding flows to its new coordinator, which
// has not placed them itself and could not count them otherwise. Openings queued
// here have to ask the new coordinator. It does nothing while the coordinator is
// unchanged.
func (rt *Router) handOffGroup(now time.Time, g group, to *peer) {
	last, known := rt.coordination.lastCoordinators[g]
	if known && last == to {
		return
	}
	rt.coordination.lastCoordinators[g] = to
	if to == nil {
		return
	}
	rt.coordination.queue.RemoveGroup(g.service, g.number)
	for _, o := range rt.openings.pendingAsks {
		if o.queued && o.route.Service == g.service && o.group == g.number {
			o.phaseDeadline = now
		}
	}
	rt.tellDoubts(now, to, func(u *upstream) bool {
		return u.info.Service == g.service && rt.scheduler.GroupOf(g.service, u.info.Number) == g.number
	})
	flows, ended := rt.scheduler.TakeGroup(now, g.service, g.number)
	for _, f := range ended {
		rt.report(now, g.service, Report{Upstream: f.Upstream, Finished: []uint64{f.Flow}})
	}
	for _, f := range flows {
		rt.report(now, g.service, Report{Upstream: f.Upstream, Taken: []Taken{{f.Flow, now.Sub(f.At), f.Class}}})
	}
	rt.renewWork(g)
	rt.log("accountant-changed", "service", g.service, "group", strconv.Itoa(g.number), "to", to.address.String(), "flows", strconv.Itoa(len(flows)))
}

// handleAsk places or queues a flow for another instance and answers it.
func (rt *Router) handleAsk(now time.Time, p *peer, a *Ask) {
	t := newPendingFlow(now, a, p.dataCentre)
	number, verdict := rt.allocate(now, p, a.Flow, &t)
	m := rt.messageTo(p)
	m.Grants = append(m.Grants, Grant{Flow: a.Flow, Upstream: number, Queued: verdict == scheduler.Full})
}

// allocate places a flow, or queues it if the upstreams are full. A flow that
// was granted recently gets the same upstream again, whichever instance asks,
// unless that upstream is to be avoided or the route has another service now.
func (rt *Router) allocate(now time.Time, from *peer, flow uint64, t *admission.PendingFlow) (uint64, scheduler.Verdict) {
	s := &rt.coordination
	if g, ok := s.assignment[flow]; ok {
		if !slices.Contains(t.Request.Avoid, g.upstream) && rt.serves(g.upstream, t.Request.Service) {
			return g.upstream, scheduler.Placed
		}
		delete(s.assignment, flow)
	}
	rt.classify(t)
	number, verdict := rt.placeInGroup(now, t)
	switch verdict {
	case scheduler.Placed:
		s.assignment[flow] = assignment{number, now}
		s.queue.Remove(flow)
		rt.refusalsOf(t).Placed(now)
	case scheduler.Full:
		s.queue.Add(flow, *t)
		s.requesters[flow] = from
	case scheduler.NoUpstream:
	}
	return number, verdict
}

// newPendingFlow returns the flow of an Ask as the scheduler needs it to place or
// queue the flow. dataCentre is that of the instance that sent the Ask.
func newPendingFlow(now time.Time, a *Ask, dataCentre string) admission.PendingFlow {
	return admission.PendingFlow{
		Request: scheduler.Request{
			Service: a.Service, Flow: a.Flow, Group: a.Group, DataCentre: dataCentre, Avoid: a.Avoid, Target: a.Target, Bounded: true, Bulk: a.Bulk,
		},
		Opened: now.Add(-a.Age), LastPacket: now.Add(-a.Seen), LastRequested: now, Target: a.Target, Deadline: min(a.Deadline, openTimeout-minResponseTime), Priority: a.Priority,
	}
}

// placeInGroup places a flow at an upstream of the requested group. Late flows
// are limited while the instance starts up and when it places flows without the
// coordinator.
func (rt *Router) placeInGroup(now time.Time, t *admission.PendingFlow) (uint64, scheduler.Verdict) {
	t.Request.ServiceLimit = 0
	if (rt.startingUp(now) || t.WithoutCoordinator) && t.Late(now) {
		t.Request.ServiceLimit = rt.startupLimit(t.Request.Service)
	}
	t.Request.UnreachableDataCentres = rt.cutOff
	t.Request.AllowCold = rt.mayUseCold(now, t.Request.Service, t.Request.Group)
	return rt.scheduler.Place(now, t.Request)
}

// startingUp reports whether the instance started so recently that it may not
// know yet which other instances started with it.
func (rt *Router) startingUp(now time.Time) bool {
	return now.Sub(rt.started) < rosterSettleTime && (rt.roster.lastHeard.IsZero() || now.Sub(rt.roster.lastNewPeer) < rosterQuietTime)
}

// startupLimit returns the limit on flows placed within the duration of one
// flow, beyond which late flows stay queued during startup: one and a half times
// the slots of the service, divided by the number of instances assumed to start
// at the same time, because those use the same upstreams.
func (rt *Router) startupLimit(service string) int {
	slots, dataCentres := rt.scheduler.Slots(service)
	return max(1, (slots+slots/2)/max(1, dataCentres*assumedStarting))
}

// serveQueue places queued flows at upstreams that have become free.
func (rt *Router) serveQueue(now time.Time) {
	s := &rt.coordination
	if s.queue.Len() == 0 {
		clear(s.requesters)
		return
	}
	if !s.slotFreed && now.Before(s.nextServe) {
		rt.scheduleTick(s.nextServe)
		return
	}
	s.slotFreed, s.nextServe = false, now.Add(queueServeInterval)
	rt.scheduleTick(s.nextServe)
	s.queue.Serve(now, func(flow uint64, t *admission.PendingFlow) bool {
		number, verdict := rt.placeInGroup(now, t)
		if verdict == scheduler.Full {
			return false
		}
		if verdict == scheduler.Placed {
			s.assignment[flow] = assignment{number, now}
			rt.refusalsOf(t).Placed(now)
		}
		rt.sendGrant(now, s.requesters[flow], flow, number)
		return true
	})
	rt.refuseExcess(now)
}

// sendGrant tells the requester which upstream its flow got.
func (rt *Router) sendGrant(now time.Time, to *peer, flow, number uint64) {
	if to != nil {
		m := rt.messageTo(to)
		m.Grants = append(m.Grants, Grant{Flow: flow, Upstream: number})
		return
	}
	o, ok := rt.openings.pendingAsks[flow]
	if !ok {
		rt.scheduler.FlowMoved(number, flow)
		return
	}
	delete(rt.openings.pendingAsks, flow)
	if rt.serves(number, o.route.Service) {
		rt.offer(now, o, number)
	} else {
		rt.chooseWithoutCoordinator(now, o)
	}
}

// expireAssignments drops assignments older than openTimeout. Callers have given
// up these openings, so no instance asks for them again.
func (rt *Router) expireAssignments(now time.Time) {
	for flow, g := range rt.coordination.assignment {
		if now.Sub(g.grantedAt) > openTimeout {
			delete(rt.coordination.assignment, flow)
		}
	}
	rt.coordination.queue.DropExpired(now)
}

// handleGrant offers an opening to the upstream that the coordinator granted. A
// grant that cannot be used is returned.
func (rt *Router) handleGrant(now time.Time, p *peer, g *Grant) {
	p.missedAsks = 0
	o, ok := rt.openings.pendingAsks[g.Flow]
	if !ok || o.coordinator != p || o.phase != asking {
		if !ok || !slices.Contains(o.tries, g.Upstream) {
			rt.returnGrant(now, g)
		}
		return
	}
	if g.Queued {
		rt.noteRoomShort(now, o.route.Service)
		o.phaseDeadline = now.Add(queueRecheckInterval)
		rt.scheduleTick(o.phaseDeadline)
		o.queued = true
		return
	}
	delete(rt.openings.pendingAsks, g.Flow)
	if g.Refused && rt.refuseWaiting(o) {
		return
	}
	if reason := rt.unusable(now, o, g.Upstream); reason != "" {
		if g.Upstream != 0 {
			rt.flowLog("grant-returned", o.id, "service", o.route.Service, "upstream", strconv.FormatUint(g.Upstream, 16), "reason", reason)
		}
		rt.returnGrant(now, g)
		rt.chooseWithoutCoordinator(now, o)
		return
	}
	rt.scheduler.TrackFlow(now, scheduler.OutstandingFlow{
		Upstream: g.Upstream, Flow: g.Flow, At: now, Class: scheduler.Class{Target: o.route.Target, Bulk: o.route.Work == catalog.Bulk},
	})
	rt.offer(now, o, g.Upstream)
}

// serves reports whether an upstream is known and belongs to a service.
func (rt *Router) serves(number uint64, service string) bool {
	u, ok := rt.upstreams.byNumber[number]
	return ok && u.info.Service == service
}

// unusable returns why a granted upstream cannot be used for an opening, "" if it
// can.
func (rt *Router) unusable(now time.Time, o *opening, number uint64) string {
	u, known := rt.upstreams.byNumber[number]
	switch {
	case number == 0:
		return "none"
	case !known:
		return "unknown"
	case u.info.Service != o.route.Service:
		return "other-service"
	case rt.stateOf(u) == scheduler.Closed:
		return "closed"
	case slices.Contains(o.tries, number):
		return "tried"
	case rt.scheduler.IsSuspect(now, number):
		return "suspect"
	default:
		return ""
	}
}

// returnGrant tells the coordinator that the granted upstream is not used.
func (rt *Router) returnGrant(now time.Time, g *Grant) {
	if u, ok := rt.upstreams.byNumber[g.Upstream]; ok {
		rt.report(now, u.info.Service, Report{Upstream: g.Upstream, Moved: []uint64{g.Flow}})
	}
}

// handleAskTimeout handles an Ask without a final answer in time. A queued flow
// is asked for again only if the group has a new coordinator, because the
// caller's retransmissions renew the Ask anyway. Any other flow is placed
// without the coordinator.
func (rt *Router) handleAskTimeout(now time.Time, o *opening) {
	if o.queued {
		o.phaseDeadline = now.Add(queueRecheckInterval)
		rt.scheduleTick(o.phaseDeadline)
		if c := rt.coordinator(now, o.route.Service, o.group); c != o.coordinator {
			o.queued = false
			delete(rt.openings.pendingAsks, o.flow)
			rt.choose(now, o)
		}
		return
	}
	delete(rt.openings.pendingAsks, o.flow)
	rt.counts.UnansweredAsks++
	short := rt.roomShort(now, o.route.Service)
	if o.coordinator != nil && (!short || now.Sub(o.coordinator.heard) >= busyCoordinatorTimeout) {
		if o.coordinator.missedAsks++; o.coordinator.missedAsks == maxMissedAsks {
			rt.log("accountant-silent", "peer", o.coordinator.address.String(), "service", o.route.Service)
		}
	}
	if short && !rt.urgent(&o.route) && len(o.tries) == 0 {
		rt.hold(now, o)
		return
	}
	rt.chooseWithoutCoordinator(now, o)
}

// handleReport updates the counts of an upstream from another instance's report.
func (rt *Router) handleReport(now time.Time, p *peer, r *Report) {
	rt.coordination.slotFreed = rt.coordination.slotFreed || len(r.Finished)+len(r.Moved)+len(r.Idle) > 0
	for _, t := range r.Taken {
		rt.scheduler.TrackFlow(now, scheduler.OutstandingFlow{Upstream: r.Upstream, Flow: t.Flow, At: now.Add(-t.Age), Class: t.Class, Inherited: t.Age > 0})
	}
	for _, flow := range r.Finished {
		rt.scheduler.FlowEnded(now, r.Upstream, flow)
	}
	for _, flow := range r.Moved {
		rt.scheduler.FlowMoved(r.Upstream, flow)
	}
	for _, t := range r.Idle {
		rt.scheduler.FlowIdle(now, r.Upstream, t.Flow, t.Age)
	}
	for _, flow := range r.Stuck {
		rt.recordStuck(now, r.Upstream, flow, p)
	}
	if r.Answered > 0 {
		rt.recordAnswer(now, r.Upstream)
	}
	for _, flow := range r.Unanswered {
		if rt.scheduler.RecordUnanswered(now, r.Upstream, flow, p.address.String(), false) {
			rt.noteSuspect(now, r.Upstream, p.address)
		}
	}
	if r.Silent > 0 && rt.scheduler.RecordFailover(now, r.Upstream, r.Silent, p.address.String(), false) {
		rt.noteSuspect(now, r.Upstream, p.address)
	}
}

// logQueue logs that an opening was queued.
func (rt *Router) logQueue(o *opening) {
	rt.flowLog("queued", o.id, "service", o.route.Service, "group", strconv.Itoa(o.group), "waiting", strconv.Itoa(rt.coordination.queue.Len()))
}
