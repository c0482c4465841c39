package tokenrouter

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
)

// store is the platform's store.
type store struct {
	items    map[string]catalog.Item
	history  []catalog.Item
	revision catalog.Revision
	// compactedThrough is the revision up to which the history was compacted;
	// changes since an older revision cannot be read.
	compactedThrough catalog.Revision
	// era counts the times that the store was restored from a copy.
	era     catalog.Era
	down    bool
	waiters []func()
	// fullReadTime is the time that a full read occupies the link of the store,
	// which is free at linkFree.
	fullReadTime time.Duration
	linkFree     time.Time
	// maxJitter bounds the random part of the time that a request takes.
	maxJitter time.Duration
}

// read answers a ReadStore effect from the store.
func (n *node) read(f Effect, deliver func(time.Duration, Event)) {
	s := &n.w.store
	if s.down || n.storeRefuses {
		wait := storeDelay
		if n.storeSilent || s.down {
			wait = f.Timeout
		}
		deliver(wait, &StoreFailed{Err: errors.New("store unavailable")})
		return
	}
	since := f.Since.Revision
	if since == 0 {
		b := catalog.Batch{Era: s.era, Snapshot: true, Through: s.revision}
		for _, i := range s.items {
			b.Items = append(b.Items, i)
		}
		s.linkFree = latest(s.linkFree, n.w.now).Add(s.fullReadTime)
		if wait := s.linkFree.Sub(n.w.now); wait > f.Timeout {
			deliver(f.Timeout, &StoreFailed{Err: errors.New("timeout")})
		} else {
			deliver(wait+2*storeDelay, &StoreRead{Batch: b})
		}
		return
	}
	if since < s.compactedThrough || since > s.revision || f.Since.Era != s.era {
		deliver(2*storeDelay, &StoreFailed{Err: errors.New("gone"), HistoryLost: true})
		return
	}
	answered := false
	answer := func() {
		if answered {
			return
		}
		answered = true
		if s.down || n.storeRefuses {
			deliver(f.Timeout, &StoreFailed{Err: errors.New("store unavailable")})
			return
		}
		deliver(storeDelay, &StoreRead{Batch: s.since(since)})
	}
	if s.maxJitter > 0 {
		n.w.after(time.Duration(n.w.random.Int64N(int64(s.maxJitter))), func() { s.watch(n.w, since, f.Wait, answer) })
		return
	}
	s.watch(n.w, since, f.Wait, answer)
}

// watch answers at once if the store has changes after a revision, otherwise at the
// next change or after the wait.
func (s *store) watch(w *world, since catalog.Revision, wait time.Duration, answer func()) {
	if since < s.revision {
		answer()
		return
	}
	s.waiters = append(s.waiters, answer)
	w.after(wait, answer)
}

// storeReadsDuring returns the number of reads of the store in the next d of simulated
// time.
func (w *world) storeReadsDuring(d time.Duration) int {
	total := 0
	for _, n := range w.nodes {
		total -= n.storeReads
	}
	w.advance(d)
	for _, n := range w.nodes {
		total += n.storeReads
	}
	return total
}

func (s *store) since(r catalog.Revision) catalog.Batch {
	b := catalog.Batch{Era: s.era, Since: r, Through: s.revision}
	for _, i := range s.history {
		if i.Revision > r {
			b.Items = append(b.Items, i)
		}
	}
	return b
}

// put writes or deletes a key of the store and wakes the waiting reads.
func (w *world) put(i catalog.Item) {
	s := &w.store
	s.revision++
	i.Revision = s.revision
	if i.Deleted() {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	waiters := s.waiters
	s.waiters = nil
	for _, answer := range waiters {
		answer()
	}
}

// storeCopy is the content of the store at some time.
type storeCopy struct {
	items    map[string]catalog.Item
	history  []catalog.Item
	revision catalog.Revision
}

func (w *world) copyStore() storeCopy {
	return storeCopy{maps.Clone(w.store.items), slices.Clone(w.store.history), w.store.revision}
}

// restoreStore takes the store down for a time, after which it has the content of a
// copy. Waiting reads fail.
func (w *world) restoreStore(c storeCopy, outage time.Duration) {
	s := &w.store
	s.down = true
	waiters := s.waiters
	s.waiters = nil
	for _, answer := range waiters {
		answer()
	}
	w.advance(outage)
	s.items, s.history, s.revision = maps.Clone(c.items), slices.Clone(c.history), c.revision
	s.era++
	s.down = false
}

// compactHistory discards the history of the store, so that reads of older
// changes fail.
func (w *world) compactHistory() { w.store.compactedThrough = w.store.revision }
