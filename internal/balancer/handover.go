package balancer

import (
	"slices"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// stopTimeout limits how long a planned stop waits for handovers.
const stopTimeout = 30 * time.Second

// outgoing is the transfer of an upstream to its new owner.
type outgoing struct {
	ownedUpstream *ownedUpstream
	to            view.ID
	open          int
	limit         int
	complete      bool
	records       []flow.ID
	pointers      []Pointer
	// sentAt is the time at which the last part was sent, zero until then.
	sentAt time.Time
}

// startHandover collects the records and pointers of an upstream that hashing
// alone does not determine, and announces the handover to the new owner.
func (b *Balancer) startHandover(o *ownedUpstream, to view.ID) {
	b.outgoing = slices.DeleteFunc(b.outgoing, func(h *outgoing) bool { return h.ownedUpstream == o })
	out := &outgoing{ownedUpstream: o, to: to, open: o.open(), complete: o.movedComplete}
	if !b.now.Before(o.holdUntil) {
		out.limit = o.limiter.BaseLimit()
	}
	o.records.Each(func(id flow.ID, r *record) bool {
		if firstChoice := o.service.firstChoice(id); !r.has(stale) && (firstChoice == nil || firstChoice.ID != o.target.ID) {
			out.records = append(out.records, id)
		}
		return true
	})
	o.pointers.Each(func(id flow.ID, p *pointer) bool {
		out.pointers = append(out.pointers, Pointer{Flow: id, To: p.to})
		return true
	})
	b.outgoing = append(b.outgoing, out)
	// The new owner may admit flows as soon as it receives this message. The
	// records and pointers follow as the control budget allows.
	b.sendHandover(to, &Handover{Upstream: o.target.ID, Open: out.open, Limit: out.limit, Complete: out.complete})
}

// advanceHandovers sends parts as the control budget allows and finishes
// handovers that have been sent completely.
func (b *Balancer) advanceHandovers() {
	for _, h := range slices.Clone(b.outgoing) {
		if !h.sentAt.IsZero() {
			b.finishHandover(h)
			continue
		}
		for h.sentAt.IsZero() && b.controlCredit > 0 {
			b.sendHandover(h.to, h.part(b.now))
		}
	}
}

// refillControlCredit adds the credit earned in one tick.
func (b *Balancer) refillControlCredit() {
	share := b.settings.ControlBytesPerSecond / controlDivisor * int(TickInterval) / int(time.Second)
	b.controlCredit = min(b.controlCredit+share, b.controlBurst())
}

// controlBurst returns the number of bytes of credit that may accumulate for a
// burst. Reports of flows found by a search leave half of it for handovers.
// Reports of admissions may overdraw the credit by up to one more burst.
func (b *Balancer) controlBurst() int {
	return b.settings.ControlBytesPerSecond / controlDivisor
}

// part removes the next records and pointers from the handover and returns
// them as one message.
func (h *outgoing) part(now time.Time) *Handover {
	part := &Handover{Upstream: h.ownedUpstream.target.ID, Open: h.open, Limit: h.limit, Complete: h.complete}
	n := min(handoverPartFlows, len(h.records))
	part.Records, h.records = h.records[:n], h.records[n:]
	n = min(handoverPartFlows-n, len(h.pointers))
	part.Pointers, h.pointers = h.pointers[:n], h.pointers[n:]
	if len(h.records)+len(h.pointers) == 0 {
		part.Last = true
		h.sentAt = now
	}
	return part
}

func (b *Balancer) sendHandover(to view.ID, h *Handover) {
	b.controlCredit -= handoverOverheadBytes + handoverFlowBytes*(len(h.Records)+len(h.Pointers))
	b.emit(Effect{Kind: SendHandover, Peer: to, Upstream: h.Upstream, Handover: h})
}

// finishHandover removes an upstream that was handed over once the view skew
// has passed, so that no packets routed by old views arrive any more.
func (b *Balancer) finishHandover(h *outgoing) {
	if b.now.Sub(h.sentAt) < b.settings.ViewSkew {
		return
	}
	o := h.ownedUpstream
	o.target.local = nil
	b.removeOwned(o)
	b.indexOwned()
}

// stopComplete reports whether a planned stop has finished.
func (b *Balancer) stopComplete() bool {
	if b.stoppingSince.IsZero() {
		return false
	}
	since := b.now.Sub(b.stoppingSince)
	return since > stopTimeout || (since >= b.settings.ViewSkew && len(b.outgoing) == 0)
}

// applyHandover stores the state that the previous owner sent for an upstream.
func (b *Balancer) applyHandover(e *HandoverReceived) {
	h := &e.Handover
	if h.Backup {
		b.storeBackups(h)
		return
	}
	o, ok := b.ownedUpstream[h.Upstream]
	if !ok {
		if o = b.acceptUnsolicited(e); o == nil {
			return
		}
	}
	if o.releasedTo != 0 {
		return
	}
	o.lastMessageAt = b.now
	if h.Limit > 0 {
		o.limiter.Resume(h.Limit)
		o.holdUntil = time.Time{}
	}
	if o.inheritedCountFrom != e.From {
		o.inheritedCountFrom = e.From
		o.inherited = max(o.inherited, h.Open-o.records.Len())
	}
	for _, id := range h.Records {
		b.importRecord(o, id)
	}
	for _, p := range h.Pointers {
		b.setPointer(o, p.Flow, p.To, true)
	}
	if h.Last {
		b.finishTakeover(o, h)
	}
}

// finishTakeover stops relaying packets of unknown flows to the previous owner.
func (b *Balancer) finishTakeover(o *ownedUpstream, h *Handover) {
	o.previousOwner = 0
	o.movedComplete = o.movedComplete || h.Complete
	if h.Open == 0 && h.Limit == 0 {
		// The instance that was asked to release the upstream never owned it.
		o.firstChoiceComplete = o.firstChoiceComplete || o.firstChoiceCompleteIfUnowned
		o.movedComplete = o.movedComplete || o.movedCompleteIfUnowned
	}
	o.firstChoiceCompleteIfUnowned, o.movedCompleteIfUnowned = false, false
}

// acceptUnsolicited takes over an upstream that another instance hands over
// before this instance has learned of the membership change.
func (b *Balancer) acceptUnsolicited(e *HandoverReceived) *ownedUpstream {
	t, ok := b.targets[e.Handover.Upstream]
	if !ok || t.group.name != b.dataCentre || e.Handover.Limit == 0 {
		return nil
	}
	b.takeOver(t, nil, false, make(map[view.ID][]view.ID))
	b.indexOwned()
	o := b.ownedUpstream[t.ID]
	o.previousOwner, o.handedOverBy, o.lastMessageAt = e.From, e.From, b.now
	o.firstChoiceComplete, o.movedComplete = false, false
	return o
}

func (b *Balancer) importRecord(o *ownedUpstream, id flow.ID) {
	if o.records.Get(id) != nil {
		return
	}
	r := b.addRecord(o, id)
	if r == nil {
		return
	}
	r.state = established
	o.inherited = max(0, o.inherited-1)
}
