package tokenrouter

import (
	"testing"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/catalog"

	"github.com/google/go-cmp/cmp"
)

// fleetDataCentres are the data centres of the large fleets in tests.
func fleetDataCentres() []string {
	return []string{"a-data-centre", "b-data-centre", "c-data-centre", "d-data-centre", "e-data-centre", "f-data-centre"}
}

// newLargeFleet returns a fleet of six data centres in which all instances have
// just started at once and settled.
func newLargeFleet(t *testing.T, seed uint64, perDataCentre int) *world {
	w := newWorld(t, seed)
	for _, dc := range fleetDataCentres() {
		w.addNodes(dc, perDataCentre)
	}
	w.configure(1)
	w.startAll()
	w.advance(4 * time.Second)
	return w
}

// countLines returns how often running instances logged an event.
func (w *world) countLines(event string) int {
	n := 0
	for _, x := range w.nodes {
		for _, l := range x.lines {
			if x.up && l.Event == event {
				n++
			}
		}
	}
	return n
}

func (w *world) clearLines() {
	for _, n := range w.nodes {
		n.lines = nil
	}
}

// What an instance spends to know the others must not grow with the fleet: at most
// 4 KB a second, the target for all control traffic of an instance. No data centre
// may be taken for cut off and no instance for dead while all are reachable.
func TestControlTrafficDoesNotGrowWithFleet(t *testing.T) {
	for _, perDataCentre := range []int{5, 49} {
		w := newLargeFleet(t, 59, perDataCentre)
		w.clearLines()
		for _, n := range w.nodes {
			n.messagesSent, n.bytesSent = 0, 0
		}
		const seconds = 10
		w.advance(seconds * time.Second)
		messages, bytes, most := 0, 0, 0
		for _, n := range w.nodes {
			messages, bytes, most = messages+n.messagesSent, bytes+n.bytesSent, max(most, n.bytesSent)
			if n.bytesSent > seconds*4096 {
				t.Errorf("%d instances: %s sent %d bytes a second, want 4096 at most", len(w.nodes), n.name, n.bytesSent/seconds)
			}
		}
		t.Logf("%d instances: %.1f messages and %d bytes a second, %d at most", len(w.nodes),
			float64(messages)/seconds/float64(len(w.nodes)), bytes/seconds/len(w.nodes), most/seconds)
		for _, event := range []string{"data-centres-cut-off", "peer-dead", "peer-heard", "taken-for-dead"} {
			if n := w.countLines(event); n > 0 {
				t.Errorf("%d instances: %d lines %s although nothing happened, want none", len(w.nodes), n, event)
			}
		}
	}
}

// A data centre that is cut off from all others is noticed within the time in which
// all instances of a fleet of this size would have been heard before (0.66 s).
func TestLargeFleetNoticesLostDataCentre(t *testing.T) {
	for _, perDataCentre := range []int{17, 49} {
		w := newLargeFleet(t, 60, perDataCentre)
		lost := fleetDataCentres()[0]
		w.cutOff = func(a, b *node) bool { return (a.dc == lost) != (b.dc == lost) }
		w.advance(time.Second)
		for _, n := range w.nodes {
			want := []string{lost}
			if n.dc == lost {
				want = fleetDataCentres()[1:]
			}
			if diff := cmp.Diff(want, n.router.cutOff); diff != "" {
				t.Errorf("%d instances: data centres that %s takes for cut off (-want +got): %s", len(w.nodes), n.name, diff)
			}
		}
		w.cutOff = nil
		w.advance(2 * time.Second)
		for _, n := range w.nodes {
			if len(n.router.cutOff) > 0 {
				t.Errorf("%d instances: %s takes %v for cut off after the end of the cut", len(w.nodes), n.name, n.router.cutOff)
			}
		}
	}
}

// Two data centres cannot reach each other while the others reach both. Each
// counts the other as cut off, no instance takes another for dead, and a new
// configuration reaches all instances whichever reads the store.
func TestBridgeCutLeavesConfigurationAndRosterWhole(t *testing.T) {
	w := newLargeFleet(t, 61, 17)
	w.clearLines()
	first, second := fleetDataCentres()[0], fleetDataCentres()[1]
	w.cutOff = func(a, b *node) bool { return a.dc == first && b.dc == second || a.dc == second && b.dc == first }
	w.advance(2 * time.Second)
	w.configure(2)
	w.advance(time.Second)
	for _, n := range w.nodes {
		var want []string
		switch n.dc {
		case first:
			want = []string{second}
		case second:
			want = []string{first}
		}
		if diff := cmp.Diff(want, n.router.cutOff); diff != "" {
			t.Errorf("data centres that %s takes for cut off (-want +got): %s", n.name, diff)
		}
		if n.configurationVersion() != 2 {
			t.Errorf("%s uses version %d 1 s after version 2 was published", n.name, n.configurationVersion())
		}
	}
	w.advance(5 * time.Second)
	if n := w.countLines("peer-dead"); n > 0 {
		t.Errorf("%d lines peer-dead although no instance died", n)
	}
}

// A dead instance is known to all within 3 s, and a restarted one within 1 s.
func TestLargeFleetLearnsDeathAndJoin(t *testing.T) {
	for _, perDataCentre := range []int{3, 17} {
		w := newLargeFleet(t, 62, perDataCentre)
		dead := w.nodes[perDataCentre+3]
		dead.kill()
		w.advance(3 * time.Second)
		for _, n := range w.nodes {
			if p := n.router.roster.peers[dead.address]; n != dead && n.router.roster.live(w.now, p) {
				t.Errorf("%d instances: %s takes %s for live 3 s after its death", len(w.nodes), n.name, dead.name)
			}
		}
		dead.start()
		w.advance(time.Second)
		for _, n := range w.nodes {
			if p := n.router.roster.peers[dead.address]; n != dead && !n.router.roster.live(w.now, p) {
				t.Errorf("%d instances: %s does not take %s for live 1 s after its restart", len(w.nodes), n.name, dead.name)
			}
			if p := dead.router.roster.peers[n.address]; n != dead && (p == nil || !dead.router.roster.live(w.now, p)) {
				t.Errorf("%d instances: %s does not know %s 1 s after its restart", len(w.nodes), dead.name, n.name)
			}
		}
	}
}

// An instance that is cut off alone is taken for dead, takes nobody for dead, and is
// in use again soon after the end of the cut.
func TestIsolatedInstanceOfLargeFleetReturns(t *testing.T) {
	w := newLargeFleet(t, 63, 17)
	alone := w.nodes[20]
	w.clearLines()
	w.cutOff = func(a, b *node) bool { return a == alone || b == alone }
	w.advance(4 * time.Second)
	for _, l := range alone.lines {
		if l.Event == "peer-dead" {
			t.Errorf("the isolated instance logged %v", l)
		}
	}
	w.cutOff = nil
	w.advance(2 * time.Second)
	for _, n := range w.nodes {
		if p := n.router.roster.peers[alone.address]; n != alone && !n.router.roster.live(w.now, p) {
			t.Errorf("%s does not take %s for live 2 s after the end of the cut", n.name, alone.name)
		}
	}
}

// Changes reach all instances within 300 ms, and no instance sends them to more than
// a few others.
func TestChangesSpreadThroughRelays(t *testing.T) {
	w := newLargeFleet(t, 64, 17)
	for version := uint64(2); version < 6; version++ {
		for _, n := range w.nodes {
			n.messagesSent = 0
		}
		w.configure(version)
		w.advance(300 * time.Millisecond)
		late, most := 0, 0
		for _, n := range w.nodes {
			most = max(most, n.messagesSent)
			if n.configurationVersion() != version {
				late++
			}
		}
		if late > 0 {
			t.Errorf("%d of %d instances do not use version %d, published 300 ms ago", late, len(w.nodes), version)
		}
		// Twice the root of the number of peers, and heartbeats.
		if most > 40 {
			t.Errorf("an instance sent %d messages in 300 ms for one change", most)
		}
	}
}

// Both readers die. Others read the store within the time in which a reader of a
// fleet of this size counted as dead before (2.4 s) plus the time until they start.
func TestLargeFleetReplacesReaders(t *testing.T) {
	w := newLargeFleet(t, 65, 17)
	if n := w.activeReaders(); n != readerCount {
		t.Errorf("%d instances read the store, want %d", n, readerCount)
	}
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
	w.advance(10 * time.Second)
	if n := w.activeReaders(); n != readerCount {
		t.Errorf("%d instances read the store 10 s later, want %d", n, readerCount)
	}
}

// Coordinators agree soon after all instances start at once.
func TestLargeFleetAgreesOnCoordinatorsAfterStart(t *testing.T) {
	w := newWorld(t, 66)
	for _, dc := range fleetDataCentres() {
		w.addNodes(dc, 49)
	}
	w.configure(1)
	w.startSeedsLast()
	w.advance(320 * time.Millisecond)
	for after := 100 * time.Millisecond; after <= 500*time.Millisecond; after += 100 * time.Millisecond {
		w.advance(100 * time.Millisecond)
		agree := 0
		for number := range 16 {
			votes := make(map[string]int)
			for _, n := range w.nodes {
				c := n.router.coordinator(w.now, "desk", number)
				if c == nil {
					votes[n.address.String()]++
				} else {
					votes[c.address.String()]++
				}
			}
			most := 0
			for _, v := range votes {
				most = max(most, v)
			}
			agree += most
		}
		t.Logf("%s after the seeds: %.3f agree on a coordinator", after, float64(agree)/16/float64(len(w.nodes)))
	}
	w.advance(time.Second)
	for _, n := range w.nodes {
		if known := len(n.router.roster.peers); known != len(w.nodes)-1 {
			t.Errorf("%s knows %d of %d other instances 1.5 s after the start", n.name, known, len(w.nodes)-1)
		}
	}
}

// All instances of a large fleet start at once, and a whole read occupies the link of
// the store for 10 ms: all reads together take longer than any may. The few with fast
// links read, the others fetch from them, and all are ready within 0.7 s.
func TestLargeFleetStartsOverNarrowStoreLink(t *testing.T) {
	w := newWorld(t, 67)
	for _, dc := range fleetDataCentres() {
		w.addNodes(dc, 17)
	}
	for i, n := range w.nodes {
		n.slowLink = i%17 > 0
	}
	w.store.fullReadTime = 10 * time.Millisecond
	w.configure(1)
	w.startAll()
	w.advance(700 * time.Millisecond)
	reads := 0
	for _, n := range w.nodes {
		reads += n.storeReads
		if !n.router.Ready() {
			t.Errorf("%s is not ready 0.7 s after the start", n.name)
		}
	}
	if reads > 40 {
		t.Errorf("%d reads of the store, want few", reads)
	}
}

// An instance with a slow link that finds no peer reads the store itself.
func TestSlowLinkedInstanceWithoutPeersReadsStore(t *testing.T) {
	w := newWorld(t, 68)
	w.addNodes("a", 1)
	w.nodes[0].slowLink = true
	w.configure(1)
	w.startAll()
	w.advance(time.Second)
	if !w.nodes[0].router.Ready() {
		t.Error("not ready 1 s after the start")
	}
}

// While the store is down for 6 s, only a part of a large fleet calls it, and a change
// made in that time reaches all soon after its return.
func TestLargeFleetSparesStoreThatIsDown(t *testing.T) {
	w := newLargeFleet(t, 70, 17)
	for _, n := range w.nodes {
		n.storeReads = 0
	}
	w.store.down = true
	w.configure(2)
	w.advance(6 * time.Second)
	reads := 0
	for _, n := range w.nodes {
		reads += n.storeReads
	}
	if reads > 150 {
		t.Errorf("%d calls of a store that is down for 6 s, want 150 at most", reads)
	}
	w.store.down = false
	w.advance(2500 * time.Millisecond)
	for _, n := range w.nodes {
		if n.configurationVersion() != 2 {
			t.Errorf("%s uses version %d 2.5 s after the return of the store, want 2", n.name, n.configurationVersion())
		}
	}
}

// A reader that has heard part of a batch from the other reader sends only the rest of
// it, which must not pass for the whole.
func TestNewsOfReaderCoversWhatItClaims(t *testing.T) {
	w := newSmallFleet(t, 120)
	reader, other := w.nodes[0], w.nodes[1]
	held := reader.router.catalog.Position()
	first := catalog.Item{Key: catalog.PrefixUpstream + "i-1", Revision: held.Revision + 1, Upstream: &catalog.Upstream{Number: 1, Service: "desk"}}
	second := catalog.Item{Key: catalog.PrefixUpstream + "i-2", Revision: held.Revision + 2, Upstream: &catalog.Upstream{Number: 2, Service: "desk"}}
	var behind catalog.Catalog
	behind.Apply(w.now, catalog.Batch{Era: held.Era, Snapshot: true, Through: held.Revision})
	reader.apply(&MessageReceived{From: other.address, Message: &Message{
		DataCentre: "a", Through: catalog.Position{Era: held.Era, Revision: first.Revision},
		News: &catalog.Batch{Era: held.Era, Since: held.Revision, Through: first.Revision, Items: []catalog.Item{first}},
	}})
	sent := 0
	for _, f := range reader.router.Apply(w.now, &StoreRead{Batch: catalog.Batch{
		Era: held.Era, Since: held.Revision, Through: second.Revision, Items: []catalog.Item{first, second},
	}}) {
		if f.Kind != SendMessage || f.Message.News == nil {
			continue
		}
		sent++
		peer := behind
		peer.Apply(w.now, *f.Message.News)
		if _, ok := peer.Get(first.Key); !ok && peer.Through() > held.Revision {
			t.Fatalf("a peer at revision %d counts as complete up to %d without the change at %d", held.Revision, peer.Through(), first.Revision)
		}
	}
	if sent == 0 {
		t.Error("the reader sent no news")
	}
}

// Bursts of changes that do not fit into a datagram, each followed by single ones, while
// datagrams are lost, instances restart and both readers fail.
func TestLargeFleetLearnsAllChangesDespiteLoss(t *testing.T) {
	const bursts, burstSize, singles = 8, 45, 50
	w := newLargeFleet(t, 122, 17)
	w.store.maxJitter = 200 * time.Millisecond
	list := w.addServers("a", bursts*(burstSize+singles), time.Millisecond)
	w.advance(3 * time.Second)
	w.messageLoss = 0.05
	for n, u := range list {
		u.info.Draining = true
		w.publish(u)
		switch at := n % (burstSize + singles); {
		case at == 0:
			x := w.nodes[w.random.IntN(len(w.nodes))]
			x.kill()
			w.after(300*time.Millisecond, x.start)
		case at >= burstSize:
			w.advance(10 * time.Millisecond)
		}
	}
	for _, n := range w.nodes {
		if n.router.reader.readsStore {
			n.kill()
		}
	}
	w.configure(2)
	w.advance(configurationBound)
	for _, n := range w.nodes {
		if !n.up {
			continue
		}
		lacking := 0
		for _, u := range list {
			if i, _ := n.router.catalog.Get(catalog.PrefixUpstream + u.key); i.Upstream == nil || !i.Upstream.Draining {
				lacking++
			}
		}
		if lacking > 0 || n.configurationVersion() != 2 {
			t.Errorf("%s does not know that %d of %d upstreams drain, version %d, catalog through %d of %d", n.name, lacking, len(list), n.configurationVersion(), n.router.catalog.Through(), w.store.revision)
		}
	}
}
