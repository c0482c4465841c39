package edge

import (
	"slices"
	"strconv"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
	"github.com/chervilhaven/chervilhaven/internal/scheduler"
)

// choose requests the next upstream for an opening from the coordinator of its
// group of upstreams, or chooses one locally if this instance is the
// coordinator.
func (e *Edge) choose(now time.Time, o *opening) {
	if !o.hasGroup {
		o.group, o.hasGroup = e.random.IntN(e.placer.Groups(o.route.Service)), true
	}
	a := e.coordinator(now, o.route.Service, o.group)
	e.handOffGroup(now, group{o.route.Service, o.group}, a)
	if o.ask == 0 || a != o.coordinator {
		e.openings.ask++
		o.ask = e.openings.ask
	}
	o.phase, o.coordinator = asking, a
	e.openings.pendingAsks[o.ask] = o
	ask := e.newAsk(now, o)
	if a == nil {
		e.chooseLocally(now, o, &ask)
		return
	}
	o.phaseDeadline = now.Add(askTimeout)
	m := e.messageTo(a)
	m.Asks = append(m.Asks, ask)
	e.scheduleTick(o.phaseDeadline)
}

// newAsk returns the request for an upstream that is sent to the coordinator.
func (e *Edge) newAsk(now time.Time, o *opening) Ask {
	return Ask{
		Number: o.ask, Flow: o.id.hash(), Service: o.route.Service, Group: o.group, Avoid: slices.Clone(o.tries), Age: now.Sub(o.opened), Seen: now.Sub(o.lastSeen),
		Target: o.route.Target, Deadline: o.route.Deadline, Priority: o.route.Priority, Bulk: o.route.Work == catalog.Bulk,
	}
}

// chooseLocally places an opening in a group that this instance coordinates.
func (e *Edge) chooseLocally(now time.Time, o *opening, a *Ask) {
	t := newTicket(now, a, e.config.DataCentre)
	e.placeLocally(now, o, a, &t)
}

// chooseWithoutCoordinator places an opening using local knowledge only, after
// the coordinator failed to answer. The instance keeps to its share of the total
// rate, since the others may be doing the same.
func (e *Edge) chooseWithoutCoordinator(now time.Time, o *opening) {
	ask := e.newAsk(now, o)
	t := newTicket(now, &ask, e.config.DataCentre)
	t.Request.Group, t.WithoutCoordinator = scheduler.AnyGroup, true
	e.openings.pendingAsks[o.ask] = o
	if number := e.placeLocally(now, o, &ask, &t); number != 0 {
		e.report(now, o.route.Service, Report{Upstream: number, Taken: []Taken{{Flow: ask.Flow}}})
	}
}

// placeLocally places an opening without asking another instance. If all
// upstreams are full, the opening waits in the local queue.
func (e *Edge) placeLocally(now time.Time, o *opening, a *Ask, t *scheduler.PendingFlow) uint64 {
	number, verdict := e.allocate(now, requester{nil, a.Number}, a.Flow, t)
	switch verdict {
	case scheduler.Full:
		o.phase, o.queued, o.phaseDeadline = asking, true, now.Add(queueRecheckInterval)
		e.scheduleTick(o.phaseDeadline)
		if now.Equal(o.firstSeen) {
			e.logQueue(o)
		}
		return 0
	case scheduler.NoUpstream:
		t.Request.AllowSuspects = true
		if number, verdict = e.placer.Place(now, t.Request); verdict != scheduler.Placed {
			e.handleNoUpstream(o)
			return 0
		}
	case scheduler.Placed:
	}
	delete(e.openings.pendingAsks, a.Number)
	e.offer(now, o, number)
	return number
}

// mayUseCold reports whether this instance may place flows at upstreams that are
// still warming up. Only a coordinator that is past its startup and hears a
// majority of the fleet may.
func (e *Edge) mayUseCold(now time.Time, service string, group int) bool {
	return now.Sub(e.started) >= rosterSettleTime && e.coordinator(now, service, group) == nil && e.hearsMajority(now)
}

// handleNoUpstream handles an opening for which no upstream is usable: it is
// refused, or, if upstreams were tried already, kept until one of them answers
// or the caller gives up.
func (e *Edge) handleNoUpstream(o *opening) {
	if len(o.tries) > 0 {
		o.phase, o.phaseDeadline = offered, o.opened.Add(openTimeout)
		e.scheduleTick(o.phaseDeadline)
		return
	}
	e.refuse(o.id, "no-upstream")
	delete(e.openings.flows, o.id)
}

// offer forwards an opening to an upstream and starts the hedging timer.
func (e *Edge) offer(now time.Time, o *opening, number uint64) {
	u := e.upstreams.byNumber[number]
	o.phase, o.offered, o.phaseDeadline = offered, now, now.Add(e.openings.hedgeDelay()<<len(o.tries))
	o.tries = append(o.tries, number)
	if len(o.tries) == 1 {
		e.observe(TimeToPlacement, now.Sub(o.firstSeen))
		e.flowLog("placed", o.id, "upstream", u.key, "token", hex(u.token), "accountant", coordinatorName(o.coordinator),
			"held", now.Sub(o.firstSeen).String(), "outstanding", strconv.Itoa(e.placer.OutstandingFlows(now, number)),
			"through", revision(e.catalog.Through()))
	} else {
		e.counts.Hedged++
		e.flowLog("hedged", o.id, "upstream", u.key, "try", strconv.Itoa(len(o.tries)), "after", now.Sub(o.firstSeen).String())
	}
	e.emit(Effect{Kind: Forward, Upstream: u.info.Address, Number: number, Token: u.token, Raw: o.raw})
	e.scheduleTick(o.phaseDeadline)
}

// coordinatorName returns the address of the coordinator, "self" if p is nil.
func coordinatorName(p *peer) string {
	if p == nil {
		return "self"
	}
	return p.address.String()
}
