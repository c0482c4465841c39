package edge

import (
	"cmp"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
)

// configurationVersion returns the configuration that an instance acts on.
func (n *node) configurationVersion() uint64 {
	i, ok := n.edge.catalog.Get(catalog.KeyConfiguration)
	if !ok {
		return 0
	}
	return i.Configuration.Version
}

func (w *world) activeReaders() int {
	n := 0
	for _, x := range w.nodes {
		if x.up && x.edge.reader.readsStore {
			n++
		}
	}
	return n
}

func TestFewReadTheStoreAndAllHaveTheNews(t *testing.T) {
	w := newSmallFleet(t, 1)
	if n := w.activeReaders(); n != readerCount {
		t.Errorf("%d instances read the store, want %d", n, readerCount)
	}
	for version := uint64(2); version < 12; version++ {
		w.configure(version)
		w.advance(300 * time.Millisecond)
		for _, n := range w.nodes {
			if v := n.configurationVersion(); v != version {
				t.Errorf("%s acts on %d, %d is published for 300 ms", n.name, v, version)
			}
		}
	}
}

// An instance that the store turns away learns the configuration from others
// within the bound of 3 s, whoever of them is turned away.
func TestInstancesTurnedAwayHaveTheNews(t *testing.T) {
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
					t.Errorf("silent %t, first %d: %s acts on version %d after 2.5 s", silent, first, n.name, n.configurationVersion())
				}
			}
		}
	}
}

// The best ranked instances are turned away from the start: others read.
func TestOthersReadWhereTheBestRankedCannot(t *testing.T) {
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
			t.Errorf("%s acts on version %d", n.name, n.configurationVersion())
		}
	}
}

// The readers die together, and with them the news; others take over in time.
func TestOthersReadWhenTheReadersDie(t *testing.T) {
	w := newSmallFleet(t, 3)
	for _, n := range w.nodes {
		if n.edge.reader.readsStore {
			n.kill()
		}
	}
	w.configure(2)
	w.advance(2500 * time.Millisecond)
	for _, n := range w.nodes {
		if n.up && n.configurationVersion() != 2 {
			t.Errorf("%s acts on version %d 2.5 s after the readers died", n.name, n.configurationVersion())
		}
	}
}

func TestDataCentreThatIsCutOffReadsByItself(t *testing.T) {
	w := newSmallFleet(t, 4)
	w.cutOff = func(a, b *node) bool { return a.dc != b.dc }
	w.configure(2)
	w.advance(2500 * time.Millisecond)
	for _, n := range w.nodes {
		if n.configurationVersion() != 2 {
			t.Errorf("%s acts on version %d 2.5 s after the cut", n.name, n.configurationVersion())
		}
	}
}

func TestLostHistoryIsReplacedByAWholeCopy(t *testing.T) {
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
			t.Errorf("%s acts on version %d", n.name, n.configurationVersion())
		}
		if i, _ := n.edge.catalog.Get(catalog.PrefixUpstream + u.key); !i.Deleted() {
			t.Errorf("%s still holds an upstream whose deletion is not in the history", n.name)
		}
	}
}

// An instance that starts while the store is away has the configuration from
// its peers.
// Many changes at once do not fit into a datagram. They cross between data centres
// a few times only, and no instance serves all others.
func TestManyChangesSpreadWithinDataCentres(t *testing.T) {
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
	far := 0
	for _, n := range w.nodes {
		if got := n.edge.catalog.Through(); got != w.store.revision {
			t.Errorf("%s holds revision %d of %d after 1.5 s", n.name, got, w.store.revision)
		}
		if n.fetchesServed > 18 {
			t.Errorf("%s served %d fetches of 35 others", n.name, n.fetchesServed)
		}
		far += n.remoteFetches
	}
	if far > 6 {
		t.Errorf("%d fetches between data centres, want 2 and few more", far)
	}
}

// A peer that does not answer is not asked again at once.
func TestFetchGoesToAnotherPeerAfterAFailure(t *testing.T) {
	w := newWorld(t, 91)
	w.addNodes("a", 3)
	w.configure(1)
	w.startAll()
	w.advance(2 * time.Second)
	n := w.nodes[0]
	for _, p := range w.nodes[1:] {
		n.apply(&MessageReceived{From: p.address, Message: &Message{DataCentre: "a", Through: 1000}})
	}
	first := n.edge.pickFetchPeer(w.now)
	n.apply(&FetchFailed{From: first.address, Err: errors.New("no answer")})
	for range 20 {
		if p := n.edge.pickFetchPeer(w.now); p == first {
			t.Fatalf("%s is asked again at once", first.address)
		}
	}
}

func TestStartWithoutTheStore(t *testing.T) {
	w := newSmallFleet(t, 6)
	w.store.down = true
	n := w.nodes[4]
	n.kill()
	w.advance(time.Second)
	n.start()
	w.advance(300 * time.Millisecond)
	if !n.edge.Ready() || n.configurationVersion() != 1 {
		t.Errorf("ready %t at version %d", n.edge.Ready(), n.configurationVersion())
	}
}

// A stale peer never takes an instance back.
func TestStalePeerDoesNotTakeOthersBack(t *testing.T) {
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
				t.Fatalf("%s went back to version %d", n.name, n.configurationVersion())
			}
		}
	}
	if stale.configurationVersion() != 2 {
		t.Errorf("the stale instance acts on version %d after the cut", stale.configurationVersion())
	}
}

func TestReadsOfTheStoreAreFew(t *testing.T) {
	w := newSmallFleet(t, 8)
	before := 0
	for _, n := range w.nodes {
		before += n.storeReads
	}
	w.advance(20 * time.Second)
	total := -before
	for _, n := range w.nodes {
		total += n.storeReads
	}
	// Two readers, one read a second each, and some for changes of the reader.
	if total > 60 {
		t.Errorf("%d reads in 20 s", total)
	}
}

// Before the first configuration is published, few instances wait for it at the
// store.
func TestReadsBeforeTheFirstConfigurationAreFew(t *testing.T) {
	w := newWorld(t, 11)
	w.addNodes("a", 6)
	w.addNodes("b", 6)
	w.addServers("a", 1, 10*time.Millisecond)
	w.startAll()
	w.advance(time.Second)
	before := 0
	for _, n := range w.nodes {
		before += n.storeReads
	}
	w.advance(5 * time.Second)
	reads := -before
	for _, n := range w.nodes {
		reads += n.storeReads
	}
	// Two readers, one read a second each.
	if reads > 15 {
		t.Errorf("%d reads in 5 s", reads)
	}
	w.configure(1)
	w.advance(time.Second)
	for _, n := range w.nodes {
		if !n.edge.Ready() {
			t.Errorf("%s is not ready a second after the first configuration", n.name)
		}
	}
}

// Seeds may be down: any instance that is known leads to all others.
func TestFleetGrowsWithoutItsSeeds(t *testing.T) {
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
		for _, p := range n.edge.roster.peers {
			if n.edge.roster.live(w.now, p) {
				live++
			}
		}
		if live != 5 {
			t.Errorf("%s hears %d of 5 others", n.name, live)
		}
	}
}
