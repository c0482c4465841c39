package balancer

import (
	"time"

	"github.com/chervilhaven/chervilhaven/internal/limit"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// applyStatus applies the result of polling an upstream.
func (b *Balancer) applyStatus(e *StatusReported) {
	o, ok := b.ownedUpstream[e.Upstream]
	if !ok || o.releasedTo != 0 || e.Err != nil {
		return
	}
	restarted := o.limiter.Report(b.now, limit.Report{
		Ready: e.Ready, Draining: e.Draining || o.target.Draining, Shedding: e.Shedding,
		Started: e.Started,
	})
	if restarted {
		o.restart()
		return
	}
	if !o.firstChoiceComplete {
		// The upstream also counts flows that this owner has not seen yet.
		o.inherited = max(o.inherited, e.Open-(o.records.Len()-o.stale))
	}
}

// restart marks all flows as ended by a restart of the upstream.
func (o *ownedUpstream) restart() {
	o.records.Each(func(_ flow.ID, r *record) bool {
		o.decrementOpen(r)
		r.set(stale)
		r.clear(active | awaitingResponse)
		return true
	})
	clear(o.active)
	o.bulk = 0
	o.stale = o.records.Len()
	o.inherited = 0
}

// tick runs the periodic work.
func (b *Balancer) tick() {
	for _, o := range b.pollOrder {
		b.tickOwned(o)
	}
	for _, s := range b.ownedServices {
		s.updateOwnLoad()
	}
	if b.recheckOwnership {
		b.recheckOwnership = false
		b.updateOwnership()
	}
	b.poll()
	b.refillControlCredit()
	b.advanceHandovers()
	b.sendPointers()
	if b.stopComplete() {
		b.emit(Effect{Kind: Stopped})
	}
}

func (b *Balancer) tickOwned(o *ownedUpstream) {
	o.limiter.Tick(b.now)
	o.adjustQuotas(b.now, b.settings.HealthyWindow)
	b.releaseExpiredSlots(o)
	b.sweep(o)
	if !o.firstChoiceComplete && b.now.Sub(o.ownedSince) > b.settings.IdleLimit {
		o.firstChoiceComplete, o.movedComplete, o.inherited = true, true, 0
	}
	if o.releasedTo != 0 && b.now.Sub(o.releasedAt) > releaseTimeout {
		b.recheckOwnership = true
	}
	b.retryReleaseRequest(o)
}

// poll polls the owned upstreams in turn, within the part of the control budget
// reserved for it.
func (b *Balancer) poll() {
	share := b.settings.ControlBytesPerSecond / controlDivisor
	b.pollCredit = min(b.pollCredit+share*int(TickInterval)/int(time.Second), max(share, pollBytes))
	for range b.pollOrder {
		if b.pollCredit < pollBytes {
			return
		}
		b.lastPolled = (b.lastPolled + 1) % len(b.pollOrder)
		o := b.pollOrder[b.lastPolled]
		if o.releasedTo != 0 || b.now.Before(o.nextPoll) {
			continue
		}
		o.nextPoll = b.now.Add(pollInterval)
		b.pollCredit -= pollBytes
		b.emit(Effect{Kind: PollStatus, Upstream: o.target.ID, Address: o.target.Status})
	}
}

// retryReleaseRequest repeats the release request to a previous owner that has
// not responded. It stops waiting for that owner once it is no longer live or
// releaseTimeout has passed.
func (b *Balancer) retryReleaseRequest(o *ownedUpstream) {
	if o.previousOwner == 0 {
		return
	}
	_, live := o.target.group.member(o.previousOwner)
	if !live || b.now.Sub(o.lastMessageAt) > releaseTimeout {
		o.previousOwner = 0
		return
	}
	if b.now.Sub(o.lastMessageAt) >= releaseRetryInterval && !b.now.Before(o.nextReleaseRequest) {
		o.nextReleaseRequest = b.now.Add(releaseRetryInterval)
		b.requestRelease(map[view.ID][]view.ID{o.previousOwner: {o.target.ID}})
	}
}

func (b *Balancer) sweep(o *ownedUpstream) {
	o.records.Sweep(o.records.Len()/sweepTicks+1, func(id flow.ID, r *record) bool {
		if b.keepRecord(r) {
			b.backUp(o, id, r)
			return true
		}
		b.removeRecord(o, id, r)
		return true
	})
	o.pointers.Sweep(o.pointers.Len()/sweepTicks+1, func(_ flow.ID, p *pointer) bool {
		keep := b.keepPointer(p)
		if !keep {
			b.flows--
		}
		return keep
	})
}

// releaseExpiredSlots frees the slots of flows whose responses have ended or
// whose requests have timed out, and counts openings that the upstream left
// unanswered.
func (b *Balancer) releaseExpiredSlots(o *ownedUpstream) {
	for id, r := range o.active {
		linger := transferLinger
		if r.has(awaitingResponse) {
			linger = requestTimeout
		}
		if b.elapsedMilliseconds()-r.lastActivity <= uint32(linger/time.Millisecond) {
			continue
		}
		o.releaseSlot(id, r)
		if r.state == opening {
			b.noteStall(o, r)
		}
	}
}

// noteStall counts an opening that was not answered in time.
func (b *Balancer) noteStall(o *ownedUpstream, r *record) {
	if r.has(openStalled) {
		return
	}
	r.set(openStalled)
	// In a partition packets are lost on their way here, so an unanswered
	// opening does not show that the upstream is at fault.
	if b.partitioned || !o.limiter.RecordStall() {
		return
	}
	o.nextPoll = b.now
	if b.otherUpstreamsRespond(o) {
		o.limiter.CutForStalls(b.now)
	}
}

// otherUpstreamsRespond reports whether the other upstreams of this instance
// answer their openings, which rules out the network as the cause of a stall.
func (b *Balancer) otherUpstreamsRespond(o *ownedUpstream) bool {
	var opened, stalls int
	for _, other := range b.pollOrder {
		if other != o {
			answered, stalled := other.limiter.WindowCounts()
			opened, stalls = opened+answered, stalls+stalled
		}
	}
	return opened > 0 && !limit.StallsExceedLoss(opened, stalls)
}
