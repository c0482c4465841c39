package tokenrouter

import (
	"testing"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
	"github.com/chervilhaven/chervilhaven/internal/scheduler"
)

// configurationBound is the tightest limit on the delay of a change.
const configurationBound = 3 * time.Second

// entryLease is the time after which the store drops an entry that is not written.
const entryLease = 3600 * time.Millisecond

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
	reads := w.storeReadsDuring(5 * time.Second)
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

// The copy lists an upstream that has drained or ended since. Its entry lapses when it
// has not been written for a while.
func TestRestoredStoreDoesNotReopenLeavingUpstream(t *testing.T) {
	for _, ended := range []bool{false, true} {
		w := newSmallFleet(t, 108)
		older := w.copyStore()
		u := firstServer(w)
		u.info.Draining = true
		w.publish(u)
		w.advance(time.Second)
		if ended {
			w.unpublish(u)
			w.advance(time.Second)
		}
		list := w.load(150, 9*time.Second)
		w.restoreStore(older, 2*time.Second)
		acknowledged := w.now
		w.advance(1500 * time.Millisecond)
		if !ended {
			w.publish(u)
			w.advance(time.Second)
		}
		w.unpublish(u)
		w.advance(4 * time.Second)
		if n := opensSince(u, acknowledged); n != 0 {
			t.Errorf("ended %t: %d flows opened at an upstream that had left before the store was restored, want 0", ended, n)
		}
		if share := shareInTime(*list); share < 0.99 {
			t.Errorf("ended %t: %.4f answered in time, want 0.99", ended, share)
		}
	}
}

// An entry that has lapsed is in the copy again, and its upstream writes it from then
// on: it gets flows again.
func TestUpstreamOfRestoredEntryIsUsedOnceItsEntryHasOutlivedItsLease(t *testing.T) {
	w := newSmallFleet(t, 109)
	older := w.copyStore()
	u := firstServer(w)
	w.unpublish(u)
	w.advance(3 * time.Second)
	w.restoreStore(older, time.Second)
	w.advance(entryLease + 2*time.Second)
	w.load(150, 2*time.Second)
	used := w.now
	w.advance(3 * time.Second)
	if n := opensSince(u, used); n == 0 {
		t.Error("no flow opened at an upstream whose entry is in the store")
	}
}

// Upstreams that started after the copy was made write their entries again within
// two seconds. Until then they serve; one that ended meanwhile does not come back.
func TestUpstreamsLostByRestoreOfStoreKeepServing(t *testing.T) {
	w := newWorld(t, 110)
	w.addNodes("a", 3)
	w.addNodes("b", 3)
	w.configure(1)
	older := w.copyStore()
	w.addServers("a", 5, 30*time.Millisecond)
	w.addServers("b", 5, 30*time.Millisecond)
	w.startAll()
	w.advance(2 * time.Second)
	list := w.load(200, 8*time.Second)
	w.restoreStore(older, 2*time.Second)
	// Instances learn of the restore within the time between two failed reads.
	known := w.now.Add(maxReadBackoff * 3 / 2)
	w.advance(1800 * time.Millisecond)
	gone := firstServer(w)
	for _, u := range w.servers() {
		if u != gone {
			w.publish(u)
		}
	}
	w.advance(6 * time.Second)
	if share := shareInTime(*list); share < 0.99 {
		t.Errorf("%.4f answered in time, want 0.99", share)
	}
	for _, n := range w.nodes {
		if u := n.router.upstreams.byNumber[gone.info.Number]; n.router.stateOf(u) != scheduler.Closed {
			t.Errorf("%s may still use the upstream whose entry did not come back", n.name)
		}
	}
	if n := opensSince(gone, known.Add(doubtfulPeriod).Add(100*time.Millisecond)); n != 0 {
		t.Errorf("%d flows opened at the upstream whose entry did not come back, want 0", n)
	}
}

// The operator's request is written again a moment after the store's return.
func TestDataCentreStaysOutAcrossRestoreOfStore(t *testing.T) {
	w := newSmallFleet(t, 111)
	older := w.copyStore()
	out := catalog.Item{Key: catalog.PrefixDataCentreOut + "a", DataCentreOut: true}
	w.put(out)
	w.advance(time.Second)
	w.load(100, 12*time.Second)
	acknowledged := w.now
	w.restoreStore(older, 2*time.Second)
	w.advance(2 * time.Second)
	w.put(out)
	w.advance(time.Second)
	for _, n := range w.nodes {
		if len(n.router.deferred) > 0 {
			t.Errorf("%s still postpones what was written again", n.name)
		}
	}
	w.advance(4 * time.Second)
	for _, u := range w.servers() {
		if n := opensSince(u, acknowledged); u.info.DataCentre == "a" && n != 0 {
			t.Errorf("%d flows opened at %s of a data centre that is out, want 0", n, u.key)
		}
	}
	w.put(catalog.Item{Key: out.Key})
	returned := w.now
	w.advance(4 * time.Second)
	used := 0
	for _, u := range w.servers() {
		if u.info.DataCentre == "a" {
			used += opensSince(u, returned)
		}
	}
	if used == 0 {
		t.Error("no flow opened in the data centre after it was taken back")
	}
}

// A request that nobody writes again after a restore is not kept for ever.
func TestDataCentreReturnsIfRestoredStoreKeepsItInService(t *testing.T) {
	w := newSmallFleet(t, 112)
	older := w.copyStore()
	w.put(catalog.Item{Key: catalog.PrefixDataCentreOut + "a", DataCentreOut: true})
	w.advance(time.Second)
	w.restoreStore(older, 2*time.Second)
	w.advance(entryLease + 2*time.Second)
	for _, n := range w.nodes {
		if n.router.out["a"] {
			t.Errorf("%s keeps a data centre out that the store has in service", n.name)
		}
	}
}

// The store goes away again, and is restored once more, before writers could write what
// the first restore had lost.
func TestSecondRestoreOfStoreExtendsDeferral(t *testing.T) {
	for _, outage := range []time.Duration{time.Second, 2 * time.Second, 6 * time.Second} {
		t.Run(outage.String(), func(t *testing.T) { playSecondRestore(t, outage) })
	}
}

func playSecondRestore(t *testing.T, outage time.Duration) {
	w := newSmallFleet(t, 113)
	older := w.copyStore()
	u := firstServer(w)
	u.info.Draining = true
	w.publish(u)
	w.put(catalog.Item{Key: catalog.PrefixDataCentreOut + "b", DataCentreOut: true})
	w.configure(5)
	w.advance(time.Second)
	list := w.load(60, 18*time.Second)
	acknowledged := w.now
	w.restoreStore(older, 2*time.Second)
	w.advance(2 * time.Second)
	w.restoreStore(w.copyStore(), outage)
	w.advance(2 * time.Second)
	w.put(catalog.Item{Key: catalog.PrefixDataCentreOut + "b", DataCentreOut: true})
	w.publish(u)
	w.advance(6 * time.Second)
	w.expectVersion(5)
	for _, s := range w.servers() {
		if n := opensSince(s, acknowledged); n != 0 && (s == u || s.info.DataCentre == "b") {
			t.Errorf("%d flows opened at %s, which drains or is out, want 0", n, s.key)
		}
	}
	if len(*list) == 0 {
		t.Error("no flow opened")
	}
}

// An upstream that was listed with a cold time in the copy has warmed up since.
func TestRestoredStoreDoesNotCoolWarmUpstreams(t *testing.T) {
	w := newSmallFleet(t, 114)
	for _, u := range w.servers() {
		u.info.ColdFor = 2 * time.Second
		w.publish(u)
	}
	older := w.copyStore()
	for _, u := range w.servers() {
		u.info.ColdFor = 0
		w.publish(u)
	}
	w.advance(4 * time.Second)
	list := w.load(200, 4*time.Second)
	w.restoreStore(older, 500*time.Millisecond)
	w.advance(5 * time.Second)
	if share := shareInTime(*list); share < 0.99 {
		t.Errorf("%.4f answered in time, want 0.99", share)
	}
}
