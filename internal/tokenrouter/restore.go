package tokenrouter

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
)

const (
	// leaseMargin is the time from the end of an entry's lease until its removal from
	// the store is known here, with some reserve.
	leaseMargin = time.Second
	// deferredCheckInterval is the time between checks of the postponed items.
	deferredCheckInterval = 100 * time.Millisecond
)

// applyBatch adds a batch to the catalog and puts its changes into effect. source names
// its origin in log lines.
func (rt *Router) applyBatch(now time.Time, source string, b *catalog.Batch) catalog.Change {
	held := rt.catalog.Position()
	rt.rejectInvalid(source, b)
	change := rt.catalog.Apply(now, *b)
	if change.Restored && held.Revision > 0 {
		rt.log("store-restored", "era", era(b.Era), "through", revision(b.Through), "held", position(held), "source", source,
			"changed", strconv.Itoa(len(change.Items)), "deferred", strconv.Itoa(len(change.Reverted)))
		rt.deferReverted(now, change.Reverted)
	}
	for i := range change.Items {
		delete(rt.deferred, change.Items[i].Key)
	}
	rt.applyItems(now, source, change.Items)
	return change
}

// rejectInvalid turns upstreams of a batch that cannot exist into deletions, so that they
// get no flows and the other items of the batch hold.
func (rt *Router) rejectInvalid(source string, b *catalog.Batch) {
	for i := range b.Items {
		u := b.Items[i].Upstream
		if u == nil {
			continue
		}
		if err := u.Validate(); err != nil {
			b.Items[i].Upstream = nil
			rt.counts.Malformed++
			rt.log("upstream-refused", "upstream", b.Items[i].Key, "error", err.Error(), "source", source)
		}
	}
}

// deferReverted postpones items of a restored store that may precede those in effect,
// until their writers have had the time to write them again. Items that were already
// postponed start over.
func (rt *Router) deferReverted(now time.Time, reverted []catalog.Item) {
	for i := range reverted {
		rt.deferred[reverted[i].Key] = now
	}
	rt.restartDeferrals(now)
}

// restartDeferrals gives the writers of all postponed items their time anew.
func (rt *Router) restartDeferrals(now time.Time) {
	for key := range rt.deferred {
		item := rt.currentItem(key)
		rt.deferred[key] = now.Add(rt.deferralOf(&item))
	}
}

// deferralOf returns how long an item of a restored store is postponed. Upstreams that
// the store has lost write their entries again within two seconds. An entry from the
// copy that is no longer written is removed at the end of its lease.
func (rt *Router) deferralOf(i *catalog.Item) time.Duration {
	if i.Deleted() && strings.HasPrefix(i.Key, catalog.PrefixUpstream) {
		return doubtfulPeriod
	}
	return max(rt.config.EntryLease, doubtfulPeriod) + leaseMargin
}

// currentItem returns the catalog's item of a key, a deletion if there is none.
func (rt *Router) currentItem(key string) catalog.Item {
	if i, ok := rt.catalog.Get(key); ok {
		return i
	}
	return catalog.Item{Key: key}
}

// applyDeferred puts postponed items into effect that nobody has written again. While
// no instance reads the store, nobody can write.
func (rt *Router) applyDeferred(now time.Time) {
	if len(rt.deferred) == 0 || now.Before(rt.nextDeferredCheck) {
		return
	}
	rt.nextDeferredCheck = now.Add(deferredCheckInterval)
	if !rt.catalogFresh(now) {
		rt.restartDeferrals(now)
		return
	}
	for _, key := range slices.Sorted(maps.Keys(rt.deferred)) {
		if now.Before(rt.deferred[key]) {
			continue
		}
		delete(rt.deferred, key)
		rt.applyItems(now, "store-restored", []catalog.Item{rt.currentItem(key)})
		if u, ok := rt.upstreams.byKey[key]; ok && u.unconfirmed {
			// The period in which a removal is unconfirmed is over as well.
			rt.upstreams.clearDoubtful(u)
			rt.scheduler.SetState(u.info.Number, rt.stateOf(u))
		}
	}
}
