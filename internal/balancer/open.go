package balancer

import (
	"math"
	"math/bits"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/relay"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// minImbalance is the number of flows by which an upstream may always exceed
// the mean. Small numbers of flows are uneven by chance, and passing a flow on
// costs a relay of each of its packets.
const minImbalance = 8

// underfilledShare is the fraction of the mean below which an upstream accepts
// flows passed on by others only while it has a free slot.
const underfilledShare = 0.8

// admission is an owner's decision on the opening packet of a flow.
type admission uint8

const (
	// admissionFree admits the flow.
	admissionFree admission = iota
	// admissionBusy means that the upstream has capacity but another one may
	// serve the flow sooner.
	admissionBusy
	// admissionFull means that the upstream has no capacity left.
	admissionFull
	// admissionHeld means that the upstream cannot admit yet because its
	// previous owner may still be admitting flows.
	admissionHeld
)

// openFlow handles the opening packet of a flow that has no record here. It
// returns the target to try next, or nil if the packet has been handled.
func (b *Balancer) openFlow(s *service, p *flow.Packet, h *relay.Header, o *ownedUpstream) *target {
	class := s.class(p.Key)
	if class < 0 {
		b.refuse(ReasonNoClass)
		return nil
	}
	b.markVisited(s, p, h, o.target)
	if b.needsSearch(s, p, h, o) {
		return b.searchBeforeOpen(s, p, h, o)
	}
	if s.Classes[class].Target.Once && h.Flags.Has(relay.SearchExhausted|relay.Inconclusive) {
		// Some owner may have forwarded this same packet already.
		b.drop(ReasonUncertain)
		return nil
	}
	state := b.checkAdmission(s, o, class, h)
	switch {
	case state == admissionFree:
		b.admit(s, p, h, o, class)
		return nil
	case state == admissionHeld && s.Classes[class].Target.Once:
		// The previous owner may have forwarded this same packet already.
		b.drop(ReasonUncertain)
		return nil
	case h.Flags.Has(relay.ForceAdmit):
		b.drop(ReasonNoRoom)
		return nil
	}
	noteNotAdmitted(h, o, state)
	return b.tryNext(s, p, h, o)
}

// noteNotAdmitted stores in the header why this upstream did not admit the
// flow.
func noteNotAdmitted(h *relay.Header, o *ownedUpstream, state admission) {
	if state == admissionHeld {
		h.Flags |= relay.Inconclusive
	}
	if state == admissionBusy && h.Candidate == 0 {
		h.Candidate = o.target.ID
	}
}

// isDuplicateOpen reports whether the packet is a copy of an opening packet
// that was passed on a moment ago and may not have been admitted yet.
func (b *Balancer) isDuplicateOpen(p *flow.Packet, h *relay.Header, o *ownedUpstream) bool {
	if p.Role != flow.RoleOpen || h.Flags.Has(relay.ForceAdmit) {
		return false
	}
	ptr := o.pointers.Get(p.ID)
	if ptr == nil || ptr.confirmed {
		return false
	}
	return b.elapsedMilliseconds()-ptr.openSentAt < uint32(duplicateWindow/time.Millisecond)
}

// searchBeforeOpen starts or continues a search along the list for a record of
// the flow being opened.
func (b *Balancer) searchBeforeOpen(s *service, p *flow.Packet, h *relay.Header, o *ownedUpstream) *target {
	h.Flags = h.Flags&^relay.Redirected | relay.Search
	if b.now.Before(o.holdUntil) {
		// The previous owner may have recorded the flow a moment ago.
		h.Flags |= relay.Inconclusive
	}
	return b.nextTarget(s, p, h)
}

// needsSearch reports whether the record of the flow must be searched for on
// other instances before any of them may admit it.
func (b *Balancer) needsSearch(s *service, p *flow.Packet, h *relay.Header, o *ownedUpstream) bool {
	if h.Flags.Has(relay.SearchExhausted) || h.Flags.Has(relay.ForceAdmit) || b.settings.AdmitWithoutSearch {
		return false
	}
	if h.Flags.Has(relay.Search) {
		return true
	}
	if h.Flags.Has(relay.Redirected) {
		// The opening packet is a retransmission. This owner may have passed on
		// the first one.
		return true
	}
	if bits.OnesCount8(h.Visited) > 1 {
		return false
	}
	takenOver := !o.movedComplete && b.now.Sub(o.ownedSince) < retryWindow
	return takenOver || b.listChangedWithin(s, p.ID, retryWindow)
}

// tryNext passes an opening packet on to the next target. The owner of the first
// choice keeps a pointer to that target.
func (b *Balancer) tryNext(s *service, p *flow.Packet, h *relay.Header, o *ownedUpstream) *target {
	t := b.nextPreferred(s, p, h)
	firstChoice := s.firstChoice(p.ID)
	if t == nil || (h.Candidate == firstChoice.ID && b.ownerOf(t).ID == b.ownerOf(firstChoice).ID) {
		return b.finishOpen(s, p, h)
	}
	if firstChoice.ID == o.target.ID {
		b.setPointer(o, p.ID, t.ID, false)
	}
	b.counters.Moved++
	return t
}

// nextPreferred returns the target on the preference list to ask next. The
// failure of one rack should not lose both the pointer and the record: targets
// whose owners are in another rack than the owner of the first choice come
// first, then those of any other owner.
func (b *Balancer) nextPreferred(s *service, p *flow.Packet, h *relay.Header) *target {
	path := b.searchPath(s, p.ID)
	firstChoiceOwner := b.ownerOf(path.targets[0]).ID
	var otherOwner, fallback *target
	for position := range s.table.List(p.ID).Len() {
		if h.Visited&(1<<position) != 0 {
			continue
		}
		t := path.targets[position]
		owner := b.ownerOf(t)
		if owner.ID == 0 || owner.Unreachable {
			h.Flags |= relay.Inconclusive
			continue
		}
		switch {
		case owner.ID != firstChoiceOwner && !b.sameRack(owner.ID, firstChoiceOwner):
			return t
		case owner.ID != firstChoiceOwner && otherOwner == nil:
			otherOwner = t
		case fallback == nil:
			fallback = t
		}
	}
	if otherOwner != nil {
		return otherOwner
	}
	return fallback
}

// sameRack reports whether the inventory places the two instances in the same
// rack.
func (b *Balancer) sameRack(a, other view.ID) bool {
	i, known := b.view.Instance(a)
	j, alsoKnown := b.view.Instance(other)
	return known && alsoKnown && i.Rack != "" && i.Rack == j.Rack && i.DataCentre == j.DataCentre
}

// finishOpen handles an opening packet after the owners of all positions have
// been asked.
func (b *Balancer) finishOpen(s *service, p *flow.Packet, h *relay.Header) *target {
	if h.Flags.Has(relay.Search) && !h.Flags.Has(relay.SearchExhausted) {
		// The search found no record, so the first choice may admit the flow.
		h.Flags = h.Flags&relay.Inconclusive | relay.SearchExhausted
		h.Visited, h.Candidate = 0, 0
		return s.firstChoice(p.ID)
	}
	if t, ok := b.targets[h.Candidate]; ok {
		h.Flags |= relay.ForceAdmit
		return t
	}
	if h.Flags.Has(relay.Inconclusive) {
		b.drop(ReasonUncertain)
		return nil
	}
	b.refuse(ReasonNoRoom)
	return nil
}

// checkAdmission decides whether the upstream can admit one more flow of the
// class.
func (b *Balancer) checkAdmission(s *service, o *ownedUpstream, class int, h *relay.Header) admission {
	if b.now.Before(o.holdUntil) {
		return admissionHeld
	}
	open := o.open()
	if open >= o.limiter.Limit() || !o.underQuota(class) {
		return admissionFull
	}
	if h.Flags.Has(relay.ForceAdmit) {
		return admissionFree
	}
	if !b.settings.IgnoreSlots && o.slotsBusy(class) {
		return admissionBusy
	}
	mean := s.meanOpen()
	if h.Candidate != 0 && len(o.active) >= o.target.Slots && float64(open) < underfilledShare*mean {
		// All other upstreams pass flows on to one that has come back and still
		// holds few flows. Accept no more of them than there are free slots.
		return admissionBusy
	}
	// Bounded loads after Mirrokni, Thorup and Zadimoghaddam (2018).
	if float64(open+1) > math.Ceil(max(b.settings.ImbalanceFactor*mean, mean+minImbalance)) {
		return admissionBusy
	}
	return admissionFree
}

// admit records the flow and forwards its opening packet.
func (b *Balancer) admit(s *service, p *flow.Packet, h *relay.Header, o *ownedUpstream, class int) {
	r := b.newRecord(o, p)
	if r == nil {
		b.drop(ReasonFlood)
		return
	}
	r.class = int8(class)
	o.incrementOpen(r)
	// A flow that opens is about to send a request.
	r.lastActivity = b.elapsedMilliseconds()
	o.occupySlot(p.ID, r)
	b.counters.Admitted++
	b.emitForward(o)
	b.backUp(o, p.ID, r)
	b.reportAdmission(s, p, h, o)
}

// reportAdmission updates the pointer at the flow's first choice so that it
// leads to this owner.
func (b *Balancer) reportAdmission(s *service, p *flow.Packet, h *relay.Header, o *ownedUpstream) {
	firstChoice := s.firstChoice(p.ID)
	if firstChoice.ID == o.target.ID {
		b.removePointer(o, p.ID)
		return
	}
	if needsReport(h) {
		b.reportLocation(s, p, o)
	}
}

// needsReport reports whether the pointer at the first choice fails to lead to
// this owner. That pointer names the second target that was asked.
func needsReport(h *relay.Header) bool {
	return h.Flags.Has(relay.ForceAdmit) || bits.OnesCount8(h.Visited) > 2
}

// newRecord adds a record for the packet's flow. It returns nil if the flow
// table is full.
func (b *Balancer) newRecord(o *ownedUpstream, p *flow.Packet) *record {
	r := b.addRecord(o, p.ID)
	if r != nil && p.Key.Protocol == flow.ProtocolUDP {
		r.state = established
	}
	return r
}

// addRecord adds a record without a class. It returns nil if the flow table is
// full.
func (b *Balancer) addRecord(o *ownedUpstream, id flow.ID) *record {
	if b.flows >= b.settings.MaxFlows {
		return nil
	}
	b.flows++
	r := o.records.GetOrAdd(id)
	r.lastSeen = b.elapsedSeconds()
	r.class = -1
	return r
}

// removePointer deletes the pointer of the flow, if there is one.
func (b *Balancer) removePointer(o *ownedUpstream, id flow.ID) {
	if o.pointers.Delete(id) {
		b.flows--
	}
}

// setPointer stores, at the owned upstream o, a pointer to the upstream that
// the flow was passed on to. It does nothing if o itself holds the flow, and
// drops a new pointer if the flow table is full. Confirmed pointers lead to an
// upstream that is known to hold the flow.
func (b *Balancer) setPointer(o *ownedUpstream, id flow.ID, to view.ID, confirmed bool) {
	if o.records.Get(id) != nil {
		return
	}
	ptr := o.pointers.Get(id)
	if ptr == nil {
		if b.flows >= b.settings.MaxFlows {
			return
		}
		b.flows++
		ptr = o.pointers.GetOrAdd(id)
	}
	if !confirmed {
		ptr.openSentAt = b.elapsedMilliseconds()
	}
	ptr.to, ptr.lastSeen = to, b.elapsedSeconds()
	ptr.confirmed = ptr.confirmed || confirmed
}
