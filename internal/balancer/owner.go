package balancer

import (
	"slices"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/flowmap"
	"github.com/chervilhaven/chervilhaven/internal/limit"
	"github.com/chervilhaven/chervilhaven/internal/rendezvous"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// ownedUpstream is an upstream that this instance owns or is handing over. It
// is in one of these states:
//
//	taken over  previousOwner is set: that instance was asked to release the
//	            upstream; holdUntil limits the wait for its first message
//	owned       previousOwner and releasedTo are zero
//	released    releasedTo is set: the handover is in progress; packets without
//	            a record are relayed to the new owner
type ownedUpstream struct {
	target  *target
	service *service
	limiter limit.Limiter
	quotas  []classQuota

	records  flowmap.Map[record]
	pointers flowmap.Map[pointer]
	// active holds the flows that use a slot.
	active map[flow.ID]*record
	// bulk is the number of active flows of bulk classes.
	bulk int
	// stale is the number of records of flows that ended when the upstream
	// restarted.
	stale int
	// inherited is the number of open flows of a previous owner that have sent
	// no packet to this instance yet.
	inherited int
	// inheritedCountFrom is the previous owner whose count of open flows is
	// included in inherited.
	inheritedCountFrom view.ID
	windowEnd          time.Time

	ownedSince time.Time
	// firstChoiceComplete is true if every flow held by this upstream as its
	// first choice has a record here. movedComplete is true if every other flow
	// held by it does.
	firstChoiceComplete bool
	movedComplete       bool
	// firstChoiceCompleteIfUnowned and movedCompleteIfUnowned replace
	// firstChoiceComplete and movedComplete if the presumed previous owner turns
	// out never to have owned the upstream.
	firstChoiceCompleteIfUnowned bool
	movedCompleteIfUnowned       bool
	// previousOwner is the live previous owner until it has handed everything
	// over, then zero.
	previousOwner view.ID
	// lastMessageAt is the time of the previous owner's last message or, before
	// any message, of the first release request.
	lastMessageAt      time.Time
	nextReleaseRequest time.Time
	// holdUntil is the time until which no flow is admitted because the
	// previous owner may still be admitting.
	holdUntil time.Time
	// releasedTo is the new owner of the upstream, zero while this instance
	// owns it.
	releasedTo view.ID
	releasedAt time.Time
	// handedOverBy is the instance that handed over the upstream before this
	// instance learned that it was leaving.
	handedOverBy view.ID
	nextPoll     time.Time
}

// open returns the number of open flows of the upstream.
func (o *ownedUpstream) open() int {
	return o.records.Len() - o.stale + o.inherited
}

// removeRecord deletes the record and all that is counted for it.
func (b *Balancer) removeRecord(o *ownedUpstream, id flow.ID, r *record) {
	b.flows--
	if r.has(stale) {
		o.stale--
	}
	o.decrementOpen(r)
	o.releaseSlot(id, r)
	o.records.Delete(id)
}

// updateOwnership compares the upstreams that this instance owns with those
// that rendezvous hashing assigns to it. It takes over the missing ones and
// hands over the surplus ones.
func (b *Balancer) updateOwnership() {
	if b.view == nil {
		return
	}
	b.refreshOwned()
	defer b.sendPointers()
	defer b.requeueBackups()
	defer b.indexOwned()
	if _, known := b.groupNamed(b.dataCentre).member(b.self); !known {
		return
	}
	first := b.previousOwners == nil
	requests := make(map[view.ID][]view.ID)
	owners := make(map[view.ID]view.ID)
	joined := make(map[view.ID]bool)
	for _, t := range b.localTargets() {
		owner := b.ownerOf(t).ID
		owners[t.ID] = owner
		joined[t.ID] = b.joinedWhileRunning(t, first)
		o := b.ownedUpstream[t.ID]
		switch {
		case owner == b.self && (o == nil || b.shouldReclaim(o)):
			b.takeOver(t, o, first, requests)
		case owner == b.self && o != nil:
			o.handedOverBy = 0
		case owner != b.self && o != nil && o.movesTo(owner):
			b.releaseTo(o, owner)
		}
	}
	b.previousOwners, b.joinedUpstreams = owners, joined
	b.requestRelease(requests)
}

// joinedWhileRunning reports whether the upstream appeared while this instance
// was running, so that it had no owner before those that this instance knows
// of.
func (b *Balancer) joinedWhileRunning(t *target, first bool) bool {
	if _, seen := b.previousOwners[t.ID]; seen {
		return b.joinedUpstreams[t.ID]
	}
	return !first
}

// shouldReclaim reports whether this instance takes back an upstream that it
// released: either the instance that requested it is a known member but not the
// owner, or it has not become a known member in time.
func (b *Balancer) shouldReclaim(o *ownedUpstream) bool {
	if o.releasedTo == 0 {
		return false
	}
	if _, live := o.target.group.member(o.releasedTo); live {
		return true
	}
	return b.now.Sub(o.releasedAt) > releaseTimeout
}

// movesTo reports whether the upstream has to be handed over to owner according
// to the members known here. A leaving instance may have handed it to this one
// before the member list shows it as leaving.
func (o *ownedUpstream) movesTo(owner view.ID) bool {
	return owner != 0 && owner != o.releasedTo && owner != o.handedOverBy
}

// requestRelease requests that previous owners release upstreams.
func (b *Balancer) requestRelease(requests map[view.ID][]view.ID) {
	for _, peer := range sortedIDs(requests) {
		b.emit(Effect{Kind: RequestRelease, Peer: peer, Upstreams: requests[peer]})
	}
}

func sortedIDs[V any](m map[view.ID]V) []view.ID {
	ids := make([]view.ID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// localTargets returns the routable upstreams of this data centre.
func (b *Balancer) localTargets() []*target {
	var list []*target
	for _, d := range b.view.DataCentres {
		if d.Name != b.dataCentre {
			continue
		}
		for _, u := range d.Upstreams {
			if t, ok := b.targets[u.ID]; ok {
				list = append(list, t)
			}
		}
	}
	return list
}

// refreshOwned updates owned upstreams for the new view and removes those that
// no longer exist or whose data centre is out of service.
func (b *Balancer) refreshOwned() {
	for _, id := range sortedIDs(b.ownedUpstream) {
		o := b.ownedUpstream[id]
		t, ok := b.targets[id]
		if !ok {
			b.removeOwned(o)
			continue
		}
		o.target = t
		s := b.servicesByNumber[t.Service.Number]
		o.updateClasses(s)
		o.limiter.SetCapacity(capacity(t))
		o.limiter.SetDraining(t.Draining)
	}
}

func (b *Balancer) removeOwned(o *ownedUpstream) {
	b.flows -= o.records.Len() + o.pointers.Len()
	delete(b.ownedUpstream, o.target.ID)
	b.outgoing = slices.DeleteFunc(b.outgoing, func(h *outgoing) bool { return h.ownedUpstream == o })
}

func capacity(t *target) limit.Capacity {
	return limit.Capacity{Slots: t.Slots, Connections: t.Connections}
}

// takeOver makes this instance the owner of an upstream and adds any release
// request that is needed to requests. The argument o is nil unless the instance
// is still handing the upstream over; first is true at the first ownership
// update.
func (b *Balancer) takeOver(t *target, o *ownedUpstream, first bool, requests map[view.ID][]view.ID) {
	if o == nil {
		o = &ownedUpstream{target: t, active: make(map[flow.ID]*record)}
		o.updateClasses(b.servicesByNumber[t.Service.Number])
		b.ownedUpstream[t.ID] = o
	}
	o.ownedSince = b.now
	b.outgoing = slices.DeleteFunc(b.outgoing, func(h *outgoing) bool { return h.ownedUpstream == o })
	previous := o.releasedTo
	o.releasedTo = 0
	if previous == 0 {
		previous = b.findPreviousOwner(t, first)
	}
	// An upstream that appears while this instance is running has no flows yet.
	_, seen := b.previousOwners[t.ID]
	joined := !first && !seen
	o.firstChoiceComplete, o.movedComplete = joined, joined
	cause := limit.CauseTakenOver
	if joined {
		cause = limit.CauseJoined
	} else {
		o.holdUntil = b.now.Add(b.settings.ViewSkew)
	}
	o.limiter.Start(b.now, capacity(t), b.settings.HealthyWindow, cause)
	o.limiter.SetDraining(t.Draining)
	o.previousOwner = 0
	o.firstChoiceCompleteIfUnowned, o.movedCompleteIfUnowned = b.joinedWhileRunning(t, first), b.joinedWhileRunning(t, first)
	if _, live := t.group.member(previous); live {
		b.awaitPreviousOwner(o, previous, requests)
	}
}

// awaitPreviousOwner relays packets of unknown flows to the previous owner
// until it has released the upstream, and adds the release request.
func (b *Balancer) awaitPreviousOwner(o *ownedUpstream, previous view.ID, requests map[view.ID][]view.ID) {
	o.previousOwner, o.lastMessageAt = previous, b.now
	requests[previous] = append(requests[previous], o.target.ID)
}

// resume marks the view as suspect after the process was suspended. After a
// long pause other instances may have declared this one dead and taken over its
// upstreams, so it has to take them over again.
func (b *Balancer) resume(e *Resumed) {
	b.viewSuspect = true
	if e.Pause < takeoverPause {
		return
	}
	requests := make(map[view.ID][]view.ID)
	for _, o := range b.pollOrder {
		if o.releasedTo == 0 {
			b.retakeOwnership(o, requests)
		}
	}
	b.requestRelease(requests)
}

// retakeOwnership treats an upstream as taken over from the instance that would
// own it without this one.
func (b *Balancer) retakeOwnership(o *ownedUpstream, requests map[view.ID][]view.ID) {
	interimOwner := b.ownerWithoutSelf(o.target)
	if interimOwner == 0 {
		return
	}
	o.firstChoiceCompleteIfUnowned, o.movedCompleteIfUnowned = o.firstChoiceComplete, o.movedComplete
	o.firstChoiceComplete, o.movedComplete = false, false
	o.ownedSince = b.now
	o.holdUntil = b.now.Add(b.settings.ViewSkew)
	b.awaitPreviousOwner(o, interimOwner, requests)
}

// ownerWithoutSelf returns the instance that would own the upstream if this one
// did not exist, or zero.
func (b *Balancer) ownerWithoutSelf(t *target) view.ID {
	others := slices.DeleteFunc(slices.Clone(t.group.eligible), func(id view.ID) bool { return id == b.self })
	if i := rendezvous.Best(uint64(t.ID), others); i >= 0 {
		return others[i]
	}
	return 0
}

// findPreviousOwner returns the instance that owned the upstream before this
// one, or zero if there was none. At the first ownership update that is the
// instance that would own it if this one did not exist.
func (b *Balancer) findPreviousOwner(t *target, first bool) view.ID {
	if !first {
		return b.previousOwners[t.ID]
	}
	return b.ownerWithoutSelf(t)
}

// releaseTo stops admitting flows to an upstream and starts its handover.
func (b *Balancer) releaseTo(o *ownedUpstream, to view.ID) {
	o.releasedTo, o.releasedAt = to, b.now
	b.startHandover(o, to)
}

// releaseUpstreams hands over the upstreams that another instance has taken
// over and requests.
func (b *Balancer) releaseUpstreams(e *ReleaseRequested) {
	for _, id := range e.Upstreams {
		o, ok := b.ownedUpstream[id]
		if !ok {
			b.sendHandover(e.From, &Handover{Upstream: id, Last: true})
			continue
		}
		if o.releasedTo != e.From {
			b.releaseTo(o, e.From)
		}
	}
	b.indexOwned()
}

// indexOwned rebuilds pollOrder and the lists of owned upstreams for each
// service, in a fixed order.
func (b *Balancer) indexOwned() {
	b.pollOrder = b.pollOrder[:0]
	for _, s := range b.servicesByNumber {
		s.ownedUpstreams = s.ownedUpstreams[:0]
	}
	for _, id := range sortedIDs(b.ownedUpstream) {
		o := b.ownedUpstream[id]
		b.pollOrder = append(b.pollOrder, o)
		o.service.ownedUpstreams = append(o.service.ownedUpstreams, o)
		o.target.local = o
	}
	b.ownedServices = b.ownedServices[:0]
	for _, s := range b.servicesByNumber {
		s.updateOwnLoad()
		if len(s.ownedUpstreams) > 0 {
			b.ownedServices = append(b.ownedServices, s)
		}
	}
}

// stop starts a planned stop by handing over all upstreams.
func (b *Balancer) stop() {
	if !b.stoppingSince.IsZero() {
		return
	}
	b.stoppingSince = b.now
	for _, o := range b.pollOrder {
		if o.releasedTo != 0 {
			continue
		}
		if to := b.ownerWithoutSelf(o.target); to != 0 {
			b.releaseTo(o, to)
		}
	}
	g := b.groupNamed(b.dataCentre)
	g.set(b.markLeaving(g.members))
}

// markLeaving returns the members with this instance marked as leaving during a
// planned stop, even before the other instances learn of it.
func (b *Balancer) markLeaving(members []Member) []Member {
	if b.stoppingSince.IsZero() {
		return members
	}
	marked := slices.Clone(members)
	for i := range marked {
		if marked[i].ID == b.self {
			marked[i].Leaving = true
		}
	}
	return marked
}
