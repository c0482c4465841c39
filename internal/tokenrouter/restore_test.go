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

// Between the store's return and the operator's second write, the store has an older
// configuration.
func TestRestoredStoreDoesNotRevertConfiguration(t *testing.T) {
	w := newSmallFleet(t, 105)
	older := w.copyStore()
	w.configure(5)
	newest := w.configurationItem()
	w.advance(3 * time.Second)
	w.restoreStore(older, 2*time.Second)
	for range 100 {
		w.advance(20 * time.Millisecond)
		w.expectVersion(5)
	}
	w.put(newest)
	w.advance(time.Second)
	w.expectVersion(5)
	w.configure(6)
	w.advance(configurationBound)
	w.expectVersion(6)
}

// A data centre that was cut off while the store was restored, and one that still
// knows a configuration that the others never read.
func TestDataCentreCutOffDuringRestoreOfStoreCatchesUp(t *testing.T) {
	w := newSmallFleet(t, 106)
	older := w.copyStore()
	w.partitionDataCentres()
	cutFromStore := w.nodes[3:]
	for _, n := range cutFromStore {
		n.storeRefuses, n.storeSilent = true, true
	}
	w.configure(5)
	w.advance(3 * time.Second)
	w.restoreStore(older, 2*time.Second)
	w.advance(time.Second)
	w.configure(8)
	u := firstServer(w)
	u.info.Draining = true
	w.publish(u)
	w.advance(3 * time.Second)
	w.healPartition()
	w.advance(configurationBound)
	w.expectVersion(8)
	for _, n := range cutFromStore {
		if i, _ := n.router.catalog.Get(catalog.PrefixUpstream + u.key); i.Upstream == nil || !i.Upstream.Draining {
			t.Errorf("%s does not know that an upstream drains", n.name)
		}
	}
}

func TestConfigurationLostByStoreSpreadsFromTheOnlyInstanceThatReadIt(t *testing.T) {
	w := newSmallFleet(t, 107)
	older := w.copyStore()
	only := w.nodes[4]
	w.cutOff = func(a, b *node) bool { return a == only || b == only }
	for _, n := range w.nodes {
		n.storeRefuses = n != only
	}
	w.advance(2 * time.Second)
	w.configure(5)
	w.advance(time.Second)
	if v := only.configurationVersion(); v != 5 {
		t.Fatalf("%s uses version %d, want 5", only.name, v)
	}
	only.storeRefuses = true
	w.restoreStore(older, time.Second)
	for _, n := range w.nodes {
		n.storeRefuses = n == only
	}
	w.advance(2 * time.Second)
	w.healPartition()
	w.advance(configurationBound)
	w.expectVersion(5)
}
