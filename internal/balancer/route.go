package balancer

import (
	"github.com/chervilhaven/chervilhaven/internal/relay"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// maxRouteSteps limits how many targets one instance tries for a packet.
const maxRouteSteps = 2 * maxPath

// routeFromFirstChoice routes a packet starting at the first choice of its flow.
func (b *Balancer) routeFromFirstChoice(s *service, p *flow.Packet, h relay.Header) {
	firstChoice := s.firstChoice(p.ID)
	if firstChoice == nil {
		b.drop(ReasonNoOwner)
		return
	}
	b.routeTo(s, p, &h, firstChoice)
}

// routeRelayed continues routing a packet from where its sender stopped.
func (b *Balancer) routeRelayed(s *service, e *RelayedPacket) {
	h, p := &e.Header, &e.Packet
	if h.Hops >= relay.MaxHops {
		b.drop(ReasonHops)
		return
	}
	b.requestNewerView(h.Version)
	if h.Flags.Has(relay.PlacementReport) {
		b.applyReport(s, p.ID, h.Target)
		return
	}
	t, known := b.targets[h.Target]
	if known && b.forwardRecorded(s, p, h, t) {
		return
	}
	if b.settings.IgnoreVersions || b.samePath(s, p, h) {
		if !known {
			b.drop(ReasonUncertain)
			return
		}
		b.routeTo(s, p, h, t)
		return
	}
	if h.Version.Compare(b.view.Version) < 0 {
		// The sender's view is older. Start over with the newer one.
		b.routeFromFirstChoice(s, p, relay.Header{Hops: h.Hops, Flags: relay.Inconclusive})
		return
	}
	// The sender's view is newer. Its search path is not known here yet.
	b.drop(ReasonUncertain)
}

// samePath reports whether this instance would use the same search path as the
// sender, as far as the packet depends on it.
func (b *Balancer) samePath(s *service, p *flow.Packet, h *relay.Header) bool {
	if _, known := b.targets[h.Target]; !known {
		return false
	}
	if h.OrderHash == 0 {
		// The first hop depends only on the first choice.
		firstChoice := s.firstChoice(p.ID)
		return firstChoice != nil && (firstChoice.ID == h.Target || h.Flags.Has(relay.Redirected))
	}
	return h.OrderHash == b.searchPath(s, p.ID).fingerprint()
}

// forwardRecorded forwards the packet if its flow has a record here, and
// reports whether it did.
func (b *Balancer) forwardRecorded(s *service, p *flow.Packet, h *relay.Header, t *target) bool {
	if t.local == nil {
		return false
	}
	r := t.local.records.Get(p.ID)
	if r == nil {
		return false
	}
	b.forwardFound(s, p, h, t.local, r)
	return true
}

// routeTo routes a packet to the owner of a target and on to further targets
// until the packet has been handled or relayed to another instance.
func (b *Balancer) routeTo(s *service, p *flow.Packet, h *relay.Header, t *target) {
	for range maxRouteSteps {
		if t == nil {
			return
		}
		if t.local == nil {
			t = b.relayTo(s, p, h, t)
			continue
		}
		t = b.routeAtOwner(s, p, h, t.local)
	}
	b.drop(ReasonHops)
}

// relayTo relays the packet to the owner of the target and returns nil. If no
// owner is available, it returns the target to try next.
func (b *Balancer) relayTo(s *service, p *flow.Packet, h *relay.Header, t *target) *target {
	owner := b.ownerOf(t)
	if owner.ID == b.relaySender && t.ID == b.relayTarget {
		return b.resolveOwnerConflict(s, p, h, t, owner)
	}
	if owner.ID == 0 || owner.ID == b.self || (owner.Unreachable && !h.Flags.Has(relay.AdoptUnrecorded)) {
		return b.skipTarget(s, p, h, t)
	}
	if owner.Unreachable {
		// No reachable instance holds the flow. Try the owner anyway, since it
		// may be reachable after all.
		h.Flags &^= relay.AdoptUnrecorded
		h.Visited = 0
	}
	b.emitRelay(s, p, h, t, owner)
	return nil
}

// resolveOwnerConflict handles a relayed packet whose sender considers this
// instance the owner of the target, while this instance considers the sender
// the owner. It returns the target to try next, or nil if the packet has been
// handled.
func (b *Balancer) resolveOwnerConflict(s *service, p *flow.Packet, h *relay.Header, t *target, owner *Member) *target {
	if !h.Flags.Has(relay.NotFound) {
		// The sender may be the new owner and consider this instance the
		// previous one.
		h.Flags |= relay.NotFound
		b.emitRelay(s, p, h, t, owner)
		return nil
	}
	if p.Role == flow.RoleOpen || h.Flags.Has(relay.AdoptUnrecorded) {
		b.drop(ReasonUncertain)
		return nil
	}
	// Neither instance owns the target, so it holds no flows yet.
	h.Flags = h.Flags&^relay.NotFound | relay.Inconclusive
	b.markVisited(s, p, h, t)
	return b.nextTarget(s, p, h)
}

// emitRelay relays the packet to an instance that acts as owner of the target.
func (b *Balancer) emitRelay(s *service, p *flow.Packet, h *relay.Header, t *target, to *Member) {
	h.Target = t.ID
	h.Hops++
	if b.view.Version.Compare(h.Version) > 0 {
		h.Version = b.view.Version
	}
	h.OrderHash = 0
	if h.Visited != 0 {
		h.OrderHash = b.searchPath(s, p.ID).fingerprint()
	}
	h.Load = s.ownLoad
	b.counters.Relayed++
	b.emit(Effect{Kind: Relay, Service: s.Number, Upstream: t.ID, Peer: to.ID, Address: to.Packets, Header: *h})
}

// skipTarget skips a target that has no reachable owner. It returns the target
// to try next, or nil if the packet has been dropped.
func (b *Balancer) skipTarget(s *service, p *flow.Packet, h *relay.Header, t *target) *target {
	if h.Flags.Has(relay.AdoptUnrecorded) || h.Flags.Has(relay.ForceAdmit) || (h.Flags.Has(relay.Redirected) && p.Role == flow.RoleOpen) {
		b.drop(ReasonNoOwner)
		return nil
	}
	viaPointer := h.Flags.Has(relay.Redirected)
	h.Flags = h.Flags&^relay.Redirected | relay.Inconclusive
	if p.Role != flow.RoleOpen && (viaPointer || h.Candidate == 0) {
		h.Candidate = t.ID
	}
	b.markVisited(s, p, h, t)
	return b.nextTarget(s, p, h)
}

func (b *Balancer) markVisited(s *service, p *flow.Packet, h *relay.Header, t *target) {
	if position := b.searchPath(s, p.ID).index(t.ID); position >= 0 {
		h.Visited |= 1 << position
	}
}

// routeAtOwner handles a packet at the owner of an upstream. It returns the
// target to try next, or nil if the packet has been handled.
func (b *Balancer) routeAtOwner(s *service, p *flow.Packet, h *relay.Header, o *ownedUpstream) *target {
	if r := o.records.Get(p.ID); r != nil {
		b.forwardFound(s, p, h, o, r)
		return nil
	}
	if b.isDuplicateOpen(p, h, o) {
		b.drop(ReasonUncertain)
		return nil
	}
	if t := b.followPointer(s, p, h, o); t != nil {
		return t
	}
	if b.relayDuringHandover(s, p, h, o) {
		return nil
	}
	h.Flags &^= relay.NotFound
	if h.Flags.Has(relay.AdoptUnrecorded) {
		b.adoptUnlessUncertain(p, h, o)
		return nil
	}
	if p.Role == flow.RoleOpen {
		return b.openFlow(s, p, h, o)
	}
	return b.search(s, p, h, o)
}

// forwardFound forwards a packet whose record was found. If a search was
// needed, it also reports the location to the owner of the flow's first choice.
func (b *Balancer) forwardFound(s *service, p *flow.Packet, h *relay.Header, o *ownedUpstream, r *record) {
	// Without enough credit, skip the report: the next packet of the flow that
	// needs a search is another opportunity.
	shouldReport := h.Flags.Has(relay.Search) && p.Role == flow.RoleData && b.controlCredit > b.controlBurst()/2
	b.forward(o, r, p)
	if shouldReport {
		b.reportLocation(s, p, o)
	}
}

// forward updates the record and sends the packet to the upstream that holds
// the flow.
func (b *Balancer) forward(o *ownedUpstream, r *record, p *flow.Packet) {
	b.updateRecord(o, p.ID, r, p)
	b.emitForward(o)
}

func (b *Balancer) emitForward(o *ownedUpstream) {
	b.counters.Forwarded++
	t := o.target
	b.emit(Effect{Kind: Forward, Service: t.Service.Number, Upstream: t.ID, Address: t.Packets})
}

// followPointer returns the target named by the flow's pointer, or nil if there
// is none to follow.
func (b *Balancer) followPointer(s *service, p *flow.Packet, h *relay.Header, o *ownedUpstream) *target {
	if h.Flags.Has(relay.ForceAdmit) || h.Flags.Has(relay.SearchExhausted) || h.Flags.Has(relay.AdoptUnrecorded) {
		return nil
	}
	ptr, t := b.lookupPointer(p, o)
	if ptr == nil {
		return nil
	}
	path := b.searchPath(s, p.ID)
	if position := path.index(t.ID); position >= 0 && h.Visited&(1<<position) != 0 {
		if p.Role != flow.RoleOpen {
			// The new owner of that target does not know the flow yet.
			h.Candidate = t.ID
		}
		return nil
	}
	if position := path.index(o.target.ID); position >= 0 {
		h.Visited |= 1 << position
	}
	ptr.lastSeen = b.elapsedSeconds()
	if p.Role != flow.RoleOpen {
		ptr.confirmed = true
	}
	h.Flags |= relay.Redirected
	return t
}

// lookupPointer returns the pointer of a flow and the target it names, or nils
// if there is no usable pointer.
func (b *Balancer) lookupPointer(p *flow.Packet, o *ownedUpstream) (*pointer, *target) {
	ptr := o.pointers.Get(p.ID)
	if ptr == nil || (o.releasedTo != 0 && !ptr.confirmed) {
		// The new owner may have admitted the flow itself.
		return nil, nil
	}
	t, ok := b.targets[ptr.to]
	if !ok {
		// The upstream was removed or its data centre is out of service.
		b.removePointer(o, p.ID)
		return nil, nil
	}
	return ptr, t
}

// relayDuringHandover relays the packet between the previous and the new owner
// while an upstream is being handed over. It reports whether the packet has
// been handled.
func (b *Balancer) relayDuringHandover(s *service, p *flow.Packet, h *relay.Header, o *ownedUpstream) bool {
	if o.releasedTo != 0 {
		to, ok := o.target.group.member(o.releasedTo)
		if !ok || h.Flags.Has(relay.NotFound) {
			b.drop(ReasonUncertain)
			return true
		}
		h.Flags |= relay.NotFound
		b.emitRelay(s, p, h, o.target, &to)
		return true
	}
	if o.previousOwner == 0 || h.Flags.Has(relay.NotFound) {
		return false
	}
	to, ok := o.target.group.member(o.previousOwner)
	if !ok {
		return false
	}
	b.emitRelay(s, p, h, o.target, &to)
	return true
}

// search continues with the next target whose owner may have a record of the
// flow. It returns nil if the packet has been handled.
func (b *Balancer) search(s *service, p *flow.Packet, h *relay.Header, o *ownedUpstream) *target {
	if b.settings.AdoptWithoutSearch {
		b.adopt(p, o)
		return nil
	}
	viaPointer := h.Flags.Has(relay.Redirected)
	h.Flags &^= relay.Redirected
	h.Flags |= relay.Search
	b.markVisited(s, p, h, o.target)
	if !b.rulesOut(s, p, o) && (viaPointer || h.Candidate == 0) {
		h.Candidate = o.target.ID
	}
	return b.nextTarget(s, p, h)
}

// rulesOut reports whether the absence of a record proves that the upstream
// does not hold the flow.
func (b *Balancer) rulesOut(s *service, p *flow.Packet, o *ownedUpstream) bool {
	if o.firstChoiceComplete {
		return true
	}
	if o.previousOwner != 0 && o.firstChoiceCompleteIfUnowned {
		// The only instance that may have owned the upstream in the meantime
		// has returned the packet.
		return true
	}
	return o.movedComplete && s.firstChoice(p.ID).ID != o.target.ID && !wasFirstChoice(s, p, o)
}

// wasFirstChoice reports whether the upstream was the flow's first choice in a
// previous table.
func wasFirstChoice(s *service, p *flow.Packet, o *ownedUpstream) bool {
	for _, e := range s.previousTables {
		l := e.table.List(p.ID)
		if l.Len() > 0 && e.table.Item(l.At(0)).ID == o.target.ID {
			return true
		}
	}
	return false
}

// nextTarget returns the next target on the search path that has not been
// asked. At the end of the path it finishes the opening or the search.
func (b *Balancer) nextTarget(s *service, p *flow.Packet, h *relay.Header) *target {
	path := b.searchPath(s, p.ID)
	for position := range path.length {
		if h.Visited&(1<<position) == 0 {
			return path.targets[position]
		}
	}
	if p.Role == flow.RoleOpen {
		return b.finishOpen(s, p, h)
	}
	return b.finishSearch(s, p, h)
}

// finishSearch handles a packet whose search has found no record of the flow.
func (b *Balancer) finishSearch(s *service, p *flow.Packet, h *relay.Header) *target {
	b.counters.Searched++
	if h.Candidate == 0 {
		b.rejectUnknown(s, p)
		return nil
	}
	t, ok := b.targets[h.Candidate]
	if !ok {
		b.drop(ReasonUnknownFlow)
		return nil
	}
	h.Flags |= relay.AdoptUnrecorded
	if b.listChangedWithin(s, p.ID, b.settings.ViewSkew) {
		// A pointer to the upstream that holds the flow may still be in
		// transit.
		h.Flags |= relay.Inconclusive
	}
	return t
}

// rejectUnknown drops or resets a flow that no reachable upstream holds.
func (b *Balancer) rejectUnknown(s *service, p *flow.Packet) {
	if !b.lostToOutDataCentre(s, p) {
		b.drop(ReasonUnknownFlow)
		return
	}
	if b.settings.DropLostFlows || p.Role == flow.RoleReset {
		b.drop(ReasonGivenUp)
		return
	}
	b.refuse(ReasonGivenUp)
}

// lostToOutDataCentre reports whether the flow had its first choice in a data
// centre that has been taken out of service.
func (b *Balancer) lostToOutDataCentre(s *service, p *flow.Packet) bool {
	for _, e := range s.previousTables {
		l := e.table.List(p.ID)
		if l.Len() == 0 {
			continue
		}
		u, ok := b.view.Upstream(e.table.Item(l.At(0)).ID)
		if ok && u.DataCentre.OutOfService {
			return true
		}
	}
	return false
}

func (b *Balancer) refuse(reason Reason) {
	b.counters.Refused++
	b.emit(Effect{Kind: Refuse, Reason: reason})
}

// adoptUnlessUncertain adopts a flow that no reachable instance has a record
// of. While some owner cannot be asked, only an owner that took over recently
// does so: later, an unknown flow is more likely one opened on the other side
// of a partition.
func (b *Balancer) adoptUnlessUncertain(p *flow.Packet, h *relay.Header, o *ownedUpstream) {
	if h.Flags.Has(relay.Inconclusive) && b.now.Sub(o.ownedSince) > discoveryTime {
		b.drop(ReasonUncertain)
		return
	}
	b.adopt(p, o)
}

// adopt creates a record for a flow that a previous owner admitted, and
// forwards the packet.
func (b *Balancer) adopt(p *flow.Packet, o *ownedUpstream) {
	if p.Role == flow.RoleReset {
		b.emitForward(o)
		return
	}
	r := b.newRecord(o, p)
	if r == nil {
		b.drop(ReasonFlood)
		return
	}
	o.inherited = max(0, o.inherited-1)
	r.state = established
	r.ack = p.Acknowledgement
	b.counters.Adopted++
	b.forward(o, r, p)
}

// reportLocation tells the owner of the flow's first choice which upstream
// holds the flow.
func (b *Balancer) reportLocation(s *service, p *flow.Packet, o *ownedUpstream) {
	firstChoice := s.firstChoice(p.ID)
	if firstChoice == nil || firstChoice.ID == o.target.ID {
		return
	}
	if firstChoice.local != nil {
		b.setPointer(firstChoice.local, p.ID, o.target.ID, true)
		return
	}
	owner := b.ownerOf(firstChoice)
	if owner.ID == 0 || owner.Unreachable {
		return
	}
	if b.controlCredit <= -b.controlBurst() || len(b.urgentPointers) > 0 {
		if r := o.records.Get(p.ID); r != nil {
			r.set(unreported)
		}
		b.urgentPointers = queuePointer(b.urgentPointers, firstChoice, p.ID, o)
		return
	}
	b.controlCredit -= reportBytes + p.PayloadBytes
	h := relay.Header{Flags: relay.PlacementReport}
	b.emitRelay(s, p, &h, o.target, owner)
}

// applyReport stores a report of which upstream holds a flow.
func (b *Balancer) applyReport(s *service, id flow.ID, target view.ID) {
	firstChoice := s.firstChoice(id)
	if firstChoice == nil || firstChoice.local == nil || firstChoice.ID == target {
		return
	}
	b.setPointer(firstChoice.local, id, target, true)
}
