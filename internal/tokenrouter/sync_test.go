package tokenrouter

import (
	"cmp"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
)

// configurationVersion returns the version of the configuration in effect at an
// instance.
func (n *node) configurationVersion() uint64 {
	return n.router.catalog.ConfigurationVersion()
}

// activeReaders returns the number of running instances that read the store.
func (w *world) activeReaders() int {
	n := 0
	for _, x := range w.nodes {
		if x.up && x.router.reader.readsStore {
			n++
		}
	}
	return n
}

func TestTwoReadersKeepAllInstancesCurrent(t *testing.T) {
	w := newSmallFleet(t, 1)
	if n := w.activeReaders(); n != readerCount {
		t.Errorf("%d instances read the store, want %d", n, readerCount)
	}
	for version := uint64(2); version < 12; version++ {
		w.configure(version)
		w.advance(300 * time.Millisecond)
		for _, n := range w.nodes {
			if v := n.configurationVersion(); v != version {
				t.Errorf("%s uses version %d, want %d, published 300 ms ago", n.name, v, version)
			}
		}
	}
}

// Instances that the store refuses learn a new configuration from their peers
// within the limit of 3 s, whichever instances are refused.
func TestInstancesRefusedByStoreLearnConfigurationFromPeers(t *testing.T) {
	for _, silent := range []bool{false, true} {
		for first := range 6 {
			w := newSmallFleet(t, 2)
			w.advance(time.Second)
			for i := range 3 {
				n := w.nodes[(first+i)%len(w.nodes)]
				n.storeRefuses, n.storeSilent = true, silent
			}
			w.advance(time.Second)
			w.configure(2)
			w.advance(2500 * time.Millisecond)
			for _, n := range w.nodes {
				if n.configurationVersion() != 2 {
					t.Errorf("store silent %t, first refused instance %d: %s uses version %d after 2.5 s, want 2", silent, first, n.name, n.configurationVersion())
				}
			}
		}
	}
}

// The store refuses the highest ranked instances; lower ranked ones take over
// reading.
func TestLowerRankedInstancesReadWhenHighestRankedCannot(t *testing.T) {
	w := newSmallFleet(t, 10)
	ranked := slices.Clone(w.nodes)
	slices.SortFunc(ranked, func(a, b *node) int { return cmp.Compare(rankOf(b.address, "", 0), rankOf(a.address, "", 0)) })
	for _, n := range ranked[:4] {
		n.storeRefuses = true
	}
	w.advance(2 * time.Second)
	w.configure(2)
	w.advance(2500 * time.Millisecond)
	for _, n := range w.nodes {
		if n.configurationVersion() != 2 {
			t.Errorf("%s uses version %d, want 2", n.name, n.configurationVersion())
		}
	}
}

// Both readers of the store fail at once, and no further change arrives from
// them. Other instances must take over in time.
func TestFailedReadersAreReplaced(t *testing.T) {
	w := newSmallFleet(t, 3)
	for _, n := range w.nodes {
		if n.router.reader.readsStore {
			n.kill()
		}
	}
	w.configure(2)
	w.advance(2500 * time.Millisecond)
	for _, n := range w.nodes {
		if n.up && n.configurationVersion() != 2 {
			t.Errorf("%s uses version %d 2.5 s after the readers failed, want 2", n.name, n.configurationVersion())
		}
	}
}

func TestPartitionedDataCentreReadsStoreItself(t *testing.T) {
	w := newSmallFleet(t, 4)
	w.cutOff = func(a, b *node) bool { return a.dc != b.dc }
	w.configure(2)
	w.advance(2500 * time.Millisecond)
	for _, n := range w.nodes {
		if n.configurationVersion() != 2 {
			t.Errorf("%s uses version %d 2.5 s after the start of the partition, want 2", n.name, n.configurationVersion())
		}
	}
}

func TestLostHistoryCausesFullRead(t *testing.T) {
	w := newSmallFleet(t, 5)
	u := firstServer(w)
	w.store.down = true
	w.advance(3 * time.Second)
	w.unpublish(u)
	w.configure(2)
	w.compactHistory()
	w.store.down = false
	w.advance(2 * time.Second)
	for _, n := range w.nodes {
		if n.configurationVersion() != 2 {
			t.Errorf("%s uses version %d, want 2", n.name, n.configurationVersion())
		}
		if i, _ := n.router.catalog.Get(catalog.PrefixUpstream + u.key); !i.Deleted() {
			t.Errorf("%s still has an upstream whose deletion is missing from the history", n.name)
		}
	}
}

// Many changes at once do not fit into a datagram and are fetched. Only a few
// fetches may cross between data centres, and no single instance may serve all
// others.
func TestManyChangesAreFetchedWithinDataCentres(t *testing.T) {
	w := newWorld(t, 90)
	for _, dc := range []string{"a", "b", "c"} {
		w.addNodes(dc, 12)
	}
	w.configure(1)
	w.startAll()
	w.advance(3 * time.Second)
	for _, n := range w.nodes {
		n.fetchesServed, n.remoteFetches = 0, 0
	}
	for range 100 {
		w.addServers("a", 1, time.Millisecond)
	}
	w.advance(1500 * time.Millisecond)
	remote := 0
	for _, n := range w.nodes {
		if got := n.router.catalog.Through(); got != w.store.revision {
			t.Errorf("%s has revision %d after 1.5 s, want %d", n.name, got, w.store.revision)
		}
		if n.fetchesServed > 18 {
			t.Errorf("%s served %d fetches from 35 peers, want at most 18", n.name, n.fetchesServed)
		}
		remote += n.remoteFetches
	}
	if remote > 6 {
		t.Errorf("%d fetches between data centres, want at most 6", remote)
	}
}

// A peer that did not answer a fetch is not selected again immediately.
func TestFetchAvoidsPeerAfterFailure(t *testing.T) {
	w := newWorld(t, 91)
	w.addNodes("a", 3)
	w.configure(1)
	w.startAll()
	w.advance(2 * time.Second)
	n := w.nodes[0]
	for _, p := range w.nodes[1:] {
		n.apply(&MessageReceived{From: p.address, Message: &Message{DataCentre: "a", Through: catalog.Position{Revision: 1000}}})
	}
	first := n.router.pickFetchPeer(w.now)
	n.apply(&FetchFailed{From: first.address, Err: errors.New("no answer")})
	for range 20 {
		if p := n.router.pickFetchPeer(w.now); p == first {
			t.Fatalf("%s is selected again right after a failed fetch", first.address)
		}
	}
}

// An instance that starts during a store outage gets the configuration from its
// peers.
func TestStartDuringStoreOutage(t *testing.T) {
	w := newSmallFleet(t, 6)
	w.store.down = true
	n := w.nodes[4]
	n.kill()
	w.advance(time.Second)
	n.start()
	w.advance(300 * time.Millisecond)
	if !n.router.Ready() || n.configurationVersion() != 1 {
		t.Errorf("ready %t at version %d, want ready at version 1", n.router.Ready(), n.configurationVersion())
	}
}

// A peer with an old catalog must not revert other instances to it.
func TestStalePeerDoesNotRevertOthers(t *testing.T) {
	w := newSmallFleet(t, 7)
	stale := w.nodes[5]
	w.cutOff = func(a, b *node) bool { return a == stale || b == stale }
	stale.storeRefuses = true
	w.advance(3 * time.Second)
	w.configure(2)
	w.advance(2 * time.Second)
	w.cutOff = nil
	for range 40 {
		w.advance(50 * time.Millisecond)
		for _, n := range w.nodes[:5] {
			if n.configurationVersion() != 2 {
				t.Fatalf("%s reverted to version %d", n.name, n.configurationVersion())
			}
		}
	}
	if stale.configurationVersion() != 2 {
		t.Errorf("the stale instance uses version %d after the partition, want 2", stale.configurationVersion())
	}
}

func TestStoreReadsAreFew(t *testing.T) {
	w := newSmallFleet(t, 8)
	total := w.storeReadsDuring(20 * time.Second)
	// Two readers with one read per second each, plus some reads when a reader
	// changes.
	if total > 60 {
		t.Errorf("%d reads of the store in 20 s, want at most 60", total)
	}
}

// Before the first configuration is published, only a few instances poll the
// store.
func TestStoreReadsBeforeFirstConfigurationAreFew(t *testing.T) {
	w := newWorld(t, 11)
	w.addNodes("a", 6)
	w.addNodes("b", 6)
	w.addServers("a", 1, 10*time.Millisecond)
	w.startAll()
	w.advance(time.Second)
	reads := w.storeReadsDuring(5 * time.Second)
	// Two readers with one read per second each.
	if reads > 15 {
		t.Errorf("%d reads of the store in 5 s, want at most 15", reads)
	}
	w.configure(1)
	w.advance(time.Second)
	for _, n := range w.nodes {
		if !n.router.Ready() {
			t.Errorf("%s is not ready 1 s after the first configuration", n.name)
		}
	}
}

// Some seeds may be down: any known instance leads to all others.
func TestNewInstancesJoinWithoutAllSeeds(t *testing.T) {
	w := newSmallFleet(t, 9)
	for _, n := range w.nodes[:2] {
		n.kill()
	}
	w.addNodes("c", 2)
	for _, n := range w.nodes[6:] {
		n.start()
	}
	w.advance(2 * time.Second)
	for _, n := range w.nodes[2:] {
		live := 0
		for _, p := range n.router.roster.peers {
			if n.router.roster.live(w.now, p) {
				live++
			}
		}
		if live != 5 {
			t.Errorf("%s has %d live peers, want 5", n.name, live)
		}
	}
}

// A search of all peers for each packet is too slow in a large fleet.
func TestCatalogOfDeadPeerIsNotSearchedForEver(t *testing.T) {
	for _, m := range []Message{{DataCentre: "a", Through: catalog.Position{Revision: 1000}}, {DataCentre: "a", Version: 1000}} {
		w := newSmallFleet(t, 12)
		n, dead := w.nodes[0], w.nodes[1]
		n.apply(&MessageReceived{From: dead.address, Message: &m})
		dead.kill()
		w.advance(3 * time.Second)
		if r := &n.router.reader; n.router.catalog.Position().Before(r.newest) || n.router.catalog.ConfigurationVersion() < r.newestVersion {
			t.Errorf("position %+v and version %d of a dead peer are still searched for", r.newest, r.newestVersion)
		}
	}
}

// Each watch fails, so that each read is a full one.
func TestStoreWithoutHistoryIsNotReadInLoop(t *testing.T) {
	w := newSmallFleet(t, 13)
	w.store.compactedThrough = w.store.revision + 1000
	reads := w.storeReadsDuring(5 * time.Second)
	// Two readers with a watch and a full read in each minReadInterval.
	if limit := 2 * 2 * int(5*time.Second/minReadInterval); reads > limit {
		t.Errorf("%d reads in 5 s, want at most %d", reads, limit)
	}
}
