package balancer

import (
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// maxQueuedPointers limits the length of each queue of pointers to be sent.
const maxQueuedPointers = 4096

// queuedPointer is a pointer that waits to be sent to the owner of another
// upstream. A flow that is not held by its first choice has to be known to two
// instances, so that the failure of one does not lose it. If one instance owns
// both the first choice and the upstream that holds the flow, the owner of a
// further upstream on the search path keeps a backup pointer.
type queuedPointer struct {
	// keeper is the upstream whose owner is to keep the pointer.
	keeper  view.ID
	pointer Pointer
}

// requeueBackups rebuilds the queues after a change, since it may leave flows
// that the failure of one instance would lose.
func (b *Balancer) requeueBackups() {
	b.urgentPointers, b.backupPointers = b.urgentPointers[:0], b.backupPointers[:0]
	for _, o := range b.pollOrder {
		o.records.Each(func(id flow.ID, r *record) bool {
			r.clear(backedUp)
			b.backUp(o, id, r)
			return true
		})
	}
}

// backUp queues pointers to a flow that is not held by its first choice if too
// few other instances can find it.
func (b *Balancer) backUp(o *ownedUpstream, id flow.ID, r *record) {
	if r.has(backedUp) || r.has(stale) || o.releasedTo != 0 {
		return
	}
	r.set(backedUp)
	firstChoice := o.service.firstChoice(id)
	if firstChoice == nil || firstChoice.ID == o.target.ID {
		return
	}
	path := b.searchPath(o.service, id)
	switch {
	case path.index(o.target.ID) < 0:
		// A search no longer reaches this upstream, so two pointers have to
		// lead to it.
		b.urgentPointers = b.queueBackups(b.urgentPointers, o, id, path, 2)
	case firstChoice.local != nil:
		b.backupPointers = b.queueBackups(b.backupPointers, o, id, path, 1)
	case r.has(unreported):
		b.urgentPointers = queuePointer(b.urgentPointers, firstChoice, id, o)
	}
}

// queueBackups queues count pointers for the owners of the first upstreams on
// the path that belong to distinct other instances. Owners in other racks come
// first.
func (b *Balancer) queueBackups(queue []queuedPointer, o *ownedUpstream, id flow.ID, path *searchPath, count int) []queuedPointer {
	lastOwner := view.ID(0)
	for _, anyRack := range []bool{false, true} {
		for position := 0; position < path.length && count > 0; position++ {
			t := path.targets[position]
			owner := b.ownerOf(t).ID
			if owner == 0 || owner == b.self || owner == lastOwner || (!anyRack && b.sameRack(owner, b.self)) {
				continue
			}
			queue = queuePointer(queue, t, id, o)
			lastOwner = owner
			count--
		}
	}
	return queue
}

// queuePointer queues, for the owner of t, a pointer to the upstream that holds
// a flow. It drops the pointer if the queue is full.
func queuePointer(queue []queuedPointer, t *target, id flow.ID, holder *ownedUpstream) []queuedPointer {
	if len(queue) >= maxQueuedPointers {
		return queue
	}
	return append(queue, queuedPointer{keeper: t.ID, pointer: Pointer{Flow: id, To: holder.target.ID}})
}

// sendPointers sends queued pointers as the control budget allows. The urgent
// ones are for flows that no search would find, or whose first choice has no
// correct pointer yet.
func (b *Balancer) sendPointers() {
	b.urgentPointers = b.sendQueue(b.urgentPointers)
	b.backupPointers = b.sendQueue(b.backupPointers)
}

// sendQueue sends pointers from the head of a queue and returns the rest.
func (b *Balancer) sendQueue(queue []queuedPointer) []queuedPointer {
	for len(queue) > 0 && b.controlCredit > 0 {
		t, ok := b.targets[queue[0].keeper]
		if !ok {
			queue = queue[1:]
			continue
		}
		var part *Handover
		part, queue = dequeuePart(queue, t)
		b.sendHandover(b.ownerOf(t).ID, part)
	}
	return queue
}

// dequeuePart removes the pointers for the owner of t from a queue, up to one
// message.
func dequeuePart(queue []queuedPointer, t *target) (*Handover, []queuedPointer) {
	part := &Handover{Upstream: t.ID, Backup: true}
	rest := queue[:0]
	for _, w := range queue {
		if w.keeper == t.ID && len(part.Pointers) < handoverPartFlows {
			part.Pointers = append(part.Pointers, w.pointer)
			continue
		}
		rest = append(rest, w)
	}
	return part, rest
}

// storeBackups stores pointers that another owner sent as a backup.
func (b *Balancer) storeBackups(h *Handover) {
	o, ok := b.ownedUpstream[h.Upstream]
	if !ok {
		return
	}
	for _, p := range h.Pointers {
		b.setPointer(o, p.Flow, p.To, true)
	}
}
