package edge

import (
	"slices"
	"strconv"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/placer"
)

const (
	// rosterSettleTime is the time after the start in which the roster fills: until
	// then several instances may believe that they account for the same
	// upstreams.
	rosterSettleTime = 1500 * time.Millisecond
	// rosterQuietTime is the time without a new peer after which the roster counts as
	// complete: a greeting and its answer between data centres, and the same
	// again for those that the answer names, on busy processors.
	rosterQuietTime = 80 * time.Millisecond
	// assumedStarting is the number of instances in a data centre that are
	// taken to start together: today's sites have 7 to 9 in four.
	assumedStarting = 2
	// queueRecheckInterval is the time between looks whether another instance accounts
	// for a waiting flow now.
	queueRecheckInterval = 100 * time.Millisecond
	// minResponseTime is the time that a caller needs at least to hear that its
	// flow was opened: two crossings and the way between data centres.
	minResponseTime = 20 * time.Millisecond
	// queueServeInterval is the time between looks at waiting flows while nothing ends.
	queueServeInterval = 20 * time.Millisecond
)

// requester is who asked for a flow: a peer, nil for this instance, and the number
// of the ask.
type requester struct {
	peer   *peer
	number uint32
}

// assignment is an upstream that was granted for a flow.
type assignment struct {
	upstream  uint64
	grantedAt time.Time
}

// coordination is what this instance keeps for the upstreams that it coordination for.
type coordination struct {
	queue      placer.Queue[uint64]
	requesters map[uint64]requester
	// assignment are the flows granted of late: a caller's copy may reach another
	// instance, which asks again.
	assignment map[uint64]assignment
	// slotFreed is true once an upstream may have become free.
	slotFreed bool
	nextServe time.Time
	// lastCoordinators are the instances that accounted for groups when lastCoordinators asked, nil for
	// this one.
	lastCoordinators map[group]*peer
}

// group is a group of the upstreams of a service.
type group struct {
	service string
	number  int
}

// handOffGroup tells the instance that now accounts for a group which flows count
// there, as it has not placed them. Flows that wait here have to ask it.
func (e *Edge) handOffGroup(now time.Time, g group, to *peer) {
	last, known := e.coordination.lastCoordinators[g]
	if known && last == to {
		return
	}
	e.coordination.lastCoordinators[g] = to
	if to == nil {
		return
	}
	e.coordination.queue.Drop(g.service, g.number)
	for _, o := range e.openings.pendingAsks {
		if o.queued && o.route.Service == g.service && o.group == g.number {
			o.phaseDeadline = now
		}
	}
	flows, ended := e.placer.Take(now, g.service, g.number)
	for _, f := range ended {
		e.report(now, g.service, Report{Upstream: f.Upstream, Finished: []uint64{f.Flow}})
	}
	for _, f := range flows {
		e.report(now, g.service, Report{Upstream: f.Upstream, Taken: []Taken{{f.Flow, now.Sub(f.At)}}})
	}
	e.log("accountant-changed", "service", g.service, "group", strconv.Itoa(g.number), "to", to.address.String(), "flows", strconv.Itoa(len(flows)))
}

// handleAsk places a flow of another instance, or lets it wait.
func (e *Edge) handleAsk(now time.Time, p *peer, a *Ask) {
	t := newTicket(now, a, p.dataCentre)
	number, verdict := e.allocate(now, requester{p, a.Number}, a.Flow, &t)
	m := e.messageTo(p)
	m.Grants = append(m.Grants, Grant{Number: a.Number, Flow: a.Flow, Upstream: number, Queued: verdict == placer.Full})
}

// allocate places a flow, or lets it wait where the upstreams are full. Who asks
// for a flow that was granted to another instance gets the same upstream.
func (e *Edge) allocate(now time.Time, by requester, flow uint64, t *placer.Ticket) (uint64, placer.Verdict) {
	s := &e.coordination
	if g, ok := s.assignment[flow]; ok {
		if !slices.Contains(t.Request.Avoid, g.upstream) {
			return g.upstream, placer.Placed
		}
		delete(s.assignment, flow)
	}
	number, verdict := e.placeInGroup(now, t)
	switch verdict {
	case placer.Placed:
		s.assignment[flow] = assignment{number, now}
		s.queue.Remove(flow)
	case placer.Full:
		s.queue.Add(flow, *t)
		s.requesters[flow] = by
	case placer.None:
	}
	return number, verdict
}

func newTicket(now time.Time, a *Ask, dataCentre string) placer.Ticket {
	return placer.Ticket{
		Request: placer.Request{
			Service: a.Service, Flow: a.Flow, Group: a.Group, DataCentre: dataCentre, Avoid: a.Avoid, Target: a.Target, Bounded: true, Bulk: a.Bulk,
		},
		Opened: now.Add(-a.Age), Seen: now.Add(-a.Seen), Asked: now, Target: a.Target, Deadline: min(a.Deadline, openTimeout-minResponseTime), Priority: a.Priority,
	}
}

// placeInGroup places a flow at one of the upstreams that this instance
// accounts for.
func (e *Edge) placeInGroup(now time.Time, t *placer.Ticket) (uint64, placer.Verdict) {
	t.Request.Limit = 0
	if (e.startingUp(now) || t.Alone) && t.Late(now) {
		t.Request.Limit = e.startupLimit(t.Request.Service)
	}
	t.Request.Far = e.cutOff
	t.Request.Cold = e.mayUseCold(now, t.Request.Service, t.Request.Group)
	return e.placer.Place(now, t.Request)
}

// startingUp tells whether the instance has just started and does not know yet
// who else has.
func (e *Edge) startingUp(now time.Time) bool {
	return now.Sub(e.started) < rosterSettleTime && (!e.roster.heard || now.Sub(e.roster.lastNewPeer) < rosterQuietTime)
}

// startupLimit is the number of flows within the time that a flow takes beyond
// which this instance leaves late flows waiting, while it has just started: the
// instances that start with it share the same upstreams.
func (e *Edge) startupLimit(service string) int {
	slots, dataCentres := e.placer.Slots(service)
	return max(1, (slots+slots/2)/max(1, dataCentres*assumedStarting))
}

// serveQueue gives waiting flows the upstreams that have become free.
func (e *Edge) serveQueue(now time.Time) {
	s := &e.coordination
	if s.queue.Len() == 0 {
		clear(s.requesters)
		return
	}
	if !s.slotFreed && now.Before(s.nextServe) {
		e.scheduleTick(s.nextServe)
		return
	}
	s.slotFreed, s.nextServe = false, now.Add(queueServeInterval)
	e.scheduleTick(s.nextServe)
	s.queue.Serve(now, func(flow uint64, t *placer.Ticket) bool {
		number, verdict := e.placeInGroup(now, t)
		if verdict == placer.Full {
			return false
		}
		if verdict == placer.Placed {
			s.assignment[flow] = assignment{number, now}
		}
		e.sendGrant(now, s.requesters[flow], flow, number)
		return true
	})
}

// sendGrant tells who asked for a flow which upstream it gets.
func (e *Edge) sendGrant(now time.Time, by requester, flow, number uint64) {
	if by.peer != nil {
		m := e.messageTo(by.peer)
		m.Grants = append(m.Grants, Grant{Number: by.number, Flow: flow, Upstream: number})
		return
	}
	o, ok := e.openings.pendingAsks[by.number]
	if !ok {
		e.placer.Moved(number, flow)
		return
	}
	delete(e.openings.pendingAsks, by.number)
	if _, known := e.upstreams.byNumber[number]; known {
		e.offer(now, o, number)
	} else {
		e.chooseWithoutCoordinator(now, o)
	}
}

// expireGrants drops grants that nobody can ask for again.
func (e *Edge) expireGrants(now time.Time) {
	for flow, g := range e.coordination.assignment {
		if now.Sub(g.grantedAt) > openTimeout {
			delete(e.coordination.assignment, flow)
		}
	}
}

// handleGrant uses the upstream that the accounting instance chose.
func (e *Edge) handleGrant(now time.Time, p *peer, g *Grant) {
	p.missedAsks = 0
	o, ok := e.openings.pendingAsks[g.Number]
	if !ok || o.coordinator != p || o.phase != asking {
		if !ok || !slices.Contains(o.tries, g.Upstream) {
			e.returnGrant(now, g)
		}
		return
	}
	if g.Queued {
		o.phaseDeadline = now.Add(queueRecheckInterval)
		e.scheduleTick(o.phaseDeadline)
		o.queued = true
		return
	}
	delete(e.openings.pendingAsks, g.Number)
	u, known := e.upstreams.byNumber[g.Upstream]
	usable := known && e.stateOf(u) != placer.Closed && !slices.Contains(o.tries, g.Upstream)
	if !usable || e.placer.Suspect(now, g.Upstream) {
		e.returnGrant(now, g)
		e.chooseWithoutCoordinator(now, o)
		return
	}
	e.placer.Count(now, placer.Outstanding{Upstream: g.Upstream, Flow: g.Flow, At: now})
	e.offer(now, o, g.Upstream)
}

// returnGrant gives a grant back that is not used.
func (e *Edge) returnGrant(now time.Time, g *Grant) {
	if u, ok := e.upstreams.byNumber[g.Upstream]; ok {
		e.report(now, u.info.Service, Report{Upstream: g.Upstream, Moved: []uint64{g.Flow}})
	}
}

// handleAskTimeout goes on when the accounting instance is silent: a waiting flow is
// asked for again only when another instance accounts now, since the caller's
// copies renew it anyway; any other flow is placed alone.
func (e *Edge) handleAskTimeout(now time.Time, o *opening) {
	if o.queued {
		o.phaseDeadline = now.Add(queueRecheckInterval)
		e.scheduleTick(o.phaseDeadline)
		if a := e.coordinator(now, o.route.Service, o.group); a != o.coordinator {
			o.queued = false
			delete(e.openings.pendingAsks, o.ask)
			e.choose(now, o)
		}
		return
	}
	delete(e.openings.pendingAsks, o.ask)
	e.counts.UnansweredAsks++
	if o.coordinator != nil {
		if o.coordinator.missedAsks++; o.coordinator.missedAsks == maxMissedAsks {
			e.log("accountant-silent", "peer", o.coordinator.address.String(), "service", o.route.Service)
		}
	}
	e.chooseWithoutCoordinator(now, o)
}

// handleReport takes in what became of flows of another instance.
func (e *Edge) handleReport(now time.Time, p *peer, r *Report) {
	e.coordination.slotFreed = e.coordination.slotFreed || len(r.Finished)+len(r.Moved) > 0
	for _, t := range r.Taken {
		e.placer.Count(now, placer.Outstanding{Upstream: r.Upstream, Flow: t.Flow, At: now.Add(-t.Age)})
	}
	for _, flow := range r.Finished {
		e.placer.Finished(now, r.Upstream, flow)
	}
	for _, flow := range r.Moved {
		e.placer.Moved(r.Upstream, flow)
	}
	if r.Answered > 0 {
		e.placer.Answered(r.Upstream)
	}
	for _, flow := range r.Unanswered {
		if e.placer.Unanswered(now, r.Upstream, flow, p.address.String(), false) {
			e.logSuspect(r.Upstream, p.address)
		}
	}
	if r.Silent > 0 && e.placer.Silent(now, r.Upstream, r.Silent, p.address.String(), false) {
		e.logSuspect(r.Upstream, p.address)
	}
}

// logQueue notes that flows have begun to wait.
func (e *Edge) logQueue(o *opening) {
	e.flowLog("queued", o.id, "service", o.route.Service, "group", strconv.Itoa(o.group), "waiting", strconv.Itoa(e.coordination.queue.Len()))
}
