package tokenrouter

import (
	"testing"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
)

// configurationBound is the tightest limit on the delay of a change.
const configurationBound = 3 * time.Second

// configurationItem returns the configuration that the store holds.
func (w *world) configurationItem() catalog.Item { return w.store.items[catalog.KeyConfiguration] }

// expectVersion fails the test unless all running instances use a version.
func (w *world) expectVersion(want uint64) {
	w.t.Helper()
	for _, n := range w.nodes {
		if v := n.configurationVersion(); n.up && v != want {
			w.t.Errorf("%s uses version %d, want %d", n.name, v, want)
		}
	}
}

// The restored store gives out the revisions of lost changes again.
func TestChangesAfterRestoreOfStoreAreApplied(t *testing.T) {
	w := newSmallFleet(t, 101)
	older := w.copyStore()
	w.configure(5)
	w.configure(9)
	w.configure(12)
	newest := w.configurationItem()
	w.advance(3 * time.Second)
	w.restoreStore(older, 2*time.Second)
	w.put(newest)
	w.advance(4 * time.Second)
	w.configure(15)
	u := firstServer(w)
	u.info.Draining = true
	w.publish(u)
	w.advance(configurationBound)
	w.expectVersion(15)
	for _, n := range w.nodes {
		if i, _ := n.router.catalog.Get(catalog.PrefixUpstream + u.key); i.Upstream == nil || !i.Upstream.Draining {
			t.Errorf("%s does not know that an upstream drains", n.name)
		}
	}
}

// The restored store has passed the revision that instances hold before they read it
// again, so that a watch from there succeeds.
func TestChangesBelowHeldRevisionAreNotMissedAfterRestoreOfStore(t *testing.T) {
	w := newSmallFleet(t, 102)
	older := w.copyStore()
	w.configure(5)
	w.advance(3 * time.Second)
	w.restoreStore(older, 2*time.Second)
	w.configure(7)
	w.addServers("a", 4, time.Millisecond)
	w.advance(configurationBound)
	w.expectVersion(7)
}

func TestRestoredStoreIsNotReadInLoop(t *testing.T) {
	w := newSmallFleet(t, 103)
	older := w.copyStore()
	w.configure(5)
	w.advance(3 * time.Second)
	w.restoreStore(older, 2*time.Second)
	before := 0
	for _, n := range w.nodes {
		before += n.storeReads
	}
	w.advance(5 * time.Second)
	reads := -before
	for _, n := range w.nodes {
		reads += n.storeReads
	}
	// Two readers with one read a second each, and those that try while the readers
	// are down.
	if reads > 30 {
		t.Errorf("%d reads in the 5 s after the store was restored, want at most 30", reads)
	}
}

// An instance that starts between the store's return and the operator's second write
// learns the newest configuration from its peers.
func TestInstanceStartedAfterRestoreGetsNewestConfiguration(t *testing.T) {
	w := newSmallFleet(t, 104)
	older := w.copyStore()
	w.configure(5)
	w.advance(3 * time.Second)
	n := w.nodes[4]
	n.kill()
	w.restoreStore(older, 2*time.Second)
	n.start()
	w.advance(2 * time.Second)
	w.expectVersion(5)
}
