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
	// askTimeout is the time allowed for the coordinator's answer: two one-way
	// trips between data centres, plus scheduling delay on a busy processor.
	askTimeout = 8 * time.Millisecond
	// askTimeoutWithoutRoom is that time while there is no room.
	askTimeoutWithoutRoom = 40 * time.Millisecond
)

// choose requests the next upstream for an opening from the coordinator of its
// group of upstreams, or chooses one locally if this instance is the
// coordinator.
func (rt *Router) choose(now time.Time, o *opening) {
	if !o.hasGroup {
		o.group, o.hasGroup = rt.random.IntN(rt.scheduler.Groups(o.route.Service)), true
	}
	c := rt.coordinator(now, o.route.Service, o.group)
	rt.handOffGroup(now, group{o.route.Service, o.group}, c)
	o.phase, o.coordinator = asking, c
	if rt.holdsBack(now, o) {
		rt.hold(now, o)
		return
	}
	rt.openings.pendingAsks[o.flow] = o
	ask := rt.newAsk(now, o)
	if c == nil {
		rt.chooseLocally(now, o, &ask)
		return
	}
	o.phaseDeadline = now.Add(rt.askTimeout(now, o.route.Service))
	m := rt.messageTo(c)
	m.Asks = append(m.Asks, ask)
	rt.scheduleTick(o.phaseDeadline)
}

// askTimeout returns the time allowed for the answer of a coordinator. While there is no
// room, an instance that places flows by itself would only pass by those that wait.
func (rt *Router) askTimeout(now time.Time, service string) time.Duration {
	if rt.roomShort(now, service) {
		return askTimeoutWithoutRoom
	}
	return askTimeout
}

// newAsk returns the request for an upstream that is sent to the coordinator.
func (rt *Router) newAsk(now time.Time, o *opening) Ask {
	return Ask{
		Flow: o.flow, Service: o.route.Service, Group: o.group, Avoid: slices.Clone(o.tries), Age: now.Sub(o.opened), Seen: now.Sub(o.lastSeen),
		Target: o.route.Target, Deadline: o.route.Deadline, Priority: o.route.Priority, Bulk: o.route.Work == catalog.Bulk,
	}
}

// chooseLocally places an opening in a group that this instance coordinates.
func (rt *Router) chooseLocally(now time.Time, o *opening, a *Ask) {
	t := newPendingFlow(now, a, rt.config.DataCentre)
	rt.placeLocally(now, o, a, &t)
}

// chooseWithoutCoordinator places an opening using local knowledge only, after
// the coordinator failed to answer. The instance keeps to its share of the total
// rate, since the others may be doing the same.
func (rt *Router) chooseWithoutCoordinator(now time.Time, o *opening) {
	ask := rt.newAsk(now, o)
	t := newPendingFlow(now, &ask, rt.config.DataCentre)
	t.Request.Group, t.WithoutCoordinator = scheduler.AnyGroup, true
	rt.openings.pendingAsks[ask.Flow] = o
	if number := rt.placeLocally(now, o, &ask, &t); number != 0 {
		rt.report(now, o.route.Service, Report{Upstream: number, Taken: []Taken{{Flow: ask.Flow}}})
	}
}

// placeLocally places an opening without asking another instance. If all
// upstreams are full, the opening waits in the local queue.
func (rt *Router) placeLocally(now time.Time, o *opening, a *Ask, t *admission.PendingFlow) uint64 {
	number, verdict := rt.allocate(now, nil, a.Flow, t)
	switch verdict {
	case scheduler.Full:
		rt.noteRoomShort(now, o.route.Service)
		o.phase, o.queued, o.phaseDeadline = asking, true, now.Add(queueRecheckInterval)
		rt.scheduleTick(o.phaseDeadline)
		if now.Equal(o.firstSeen) {
			rt.logQueue(o)
		}
		return 0
	case scheduler.NoUpstream:
		t.Request.AllowSuspects, t.Request.Instances = true, 1+len(rt.roster.peers)
		if number, verdict = rt.scheduler.Place(now, t.Request); verdict != scheduler.Placed {
			rt.handleNoUpstream(o)
			return 0
		}
	case scheduler.Placed:
	}
	delete(rt.openings.pendingAsks, a.Flow)
	rt.offer(now, o, number)
	return number
}

// mayUseCold reports whether this instance may place flows at upstreams that are
// still warming up. Only a coordinator that is past its startup and hears a
// majority of the fleet may: two coordinators of the same group could together
// exceed the limit on openings at a cold upstream.
func (rt *Router) mayUseCold(now time.Time, service string, group int) bool {
	return group != scheduler.AnyGroup && now.Sub(rt.started) >= rosterSettleTime && rt.coordinator(now, service, group) == nil && rt.hearsMajority(now)
}

// handleNoUpstream handles an opening for which no upstream is usable: it is
// refused, or, if upstreams were tried already, kept until one of them answers
// or the caller gives up.
func (rt *Router) handleNoUpstream(o *opening) {
	if len(o.tries) > 0 {
		o.phase, o.phaseDeadline = offered, o.opened.Add(openTimeout)
		rt.scheduleTick(o.phaseDeadline)
		return
	}
	rt.refuse(o.id, "no-upstream")
	rt.cancelAsk(o)
	delete(rt.openings.flows, o.id)
}

// offer forwards an opening to an upstream and starts the hedging timer.
func (rt *Router) offer(now time.Time, o *opening, number uint64) {
	u := rt.upstreams.byNumber[number]
	if len(o.tries) == 0 {
		rt.throttleOf(o.route.Service).Placed(now)
	}
	o.phase, o.held, o.offered, o.phaseDeadline = offered, false, now, now.Add(rt.openings.hedgeDelay()<<len(o.tries))
	o.tries, o.offers = append(o.tries, number), append(o.offers, now)
	if len(o.tries) == 1 {
		o.firstOffered = now
		rt.observe(TimeToPlacement, now.Sub(o.firstSeen))
		rt.flowLog("placed", o.id, "upstream", u.key, "token", hex(u.token), "accountant", coordinatorName(o.coordinator),
			"held", now.Sub(o.firstSeen).String(), "outstanding", strconv.Itoa(rt.scheduler.OutstandingFlows(now, number)),
			"through", revision(rt.catalog.Through()))
	} else {
		rt.counts.Hedged++
		rt.flowLog("hedged", o.id, "upstream", u.key, "try", strconv.Itoa(len(o.tries)), "after", now.Sub(o.firstSeen).String())
	}
	rt.emit(Effect{Kind: Forward, Upstream: u.info.Address, Number: number, Token: u.token, Raw: o.raw})
	rt.scheduleTick(o.phaseDeadline)
}

// coordinatorName returns the address of the coordinator, "self" if p is nil.
func coordinatorName(p *peer) string {
	if p == nil {
		return "self"
	}
	return p.address.String()
}
