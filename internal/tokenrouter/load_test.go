package tokenrouter

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
)

// targetLatency is the target time to an answer in the tests' routes.
const targetLatency = 150 * time.Millisecond

// startedBetween returns the flows that started in the interval [from, to).
func startedBetween(list []*caller, from, to time.Time) []*caller {
	var out []*caller
	for _, c := range list {
		if !c.startedAt.Before(from) && c.startedAt.Before(to) {
			out = append(out, c)
		}
	}
	return out
}

// All instances lose power for one second while the load is half of what the
// upstreams can serve. The callers of that second retransmit at the same time as
// new callers arrive. New flows must still be answered in time: the target is a
// share of 0.95 within targetLatency in the window after the restart.
func TestLoadAfterPowerLoss(t *testing.T) {
	for seed := range uint64(3) {
		w := newSmallFleet(t, 20+seed)
		list := w.load(330, 6*time.Second)
		w.advance(2 * time.Second)
		for _, n := range w.nodes {
			n.kill()
		}
		w.advance(time.Second)
		back := w.now
		w.startSeedsLast()
		w.advance(5 * time.Second)
		after := startedBetween(*list, back.Add(50*time.Millisecond), back.Add(2*time.Second))
		if share := shareInTime(after); share < 0.95 {
			t.Errorf("seed %d: %.3f of %d flows after the restart answered within %s, want 0.95", seed, share, len(after), targetLatency)
		}
	}
}

// At 85% of the capacity, randomly placed flows wait although slots are free
// elsewhere.
func TestHeavyLoadIsPlacedAtFreeSlots(t *testing.T) {
	run := func(random bool) float64 {
		w := newSmallFleet(t, 30)
		list := w.load(560, 6*time.Second)
		if random {
			for _, n := range w.nodes {
				n.chooseOverride = func(upstreams []uint64) uint64 { return upstreams[w.random.IntN(len(upstreams))] }
			}
		}
		w.advance(8 * time.Second)
		return shareInTime(*list)
	}
	placed, random := run(false), run(true)
	t.Logf("share answered within %s: %.4f with placement, %.4f with random choice", targetLatency, placed, random)
	if placed < 0.95 {
		t.Errorf("%.4f answered within %s at 85%% of the capacity, want 0.95", placed, targetLatency)
	}
	if placed <= random {
		t.Errorf("share answered in time: %.4f with placement, %.4f with random choice, want more with placement", placed, random)
	}
}

// Power loss at 65% of the capacity, with callers that retry: for one second the
// load exceeds the capacity. The upstreams answer 667 flows a second and 860
// start. Nine tenths of what the upstreams can answer must be answered in time.
func TestOverloadAfterPowerLoss(t *testing.T) {
	shares := 0.0
	const seeds = 4
	for seed := range uint64(seeds) {
		w := newSmallFleet(t, 100+seed)
		w.retries = true
		list := w.load(430, 6*time.Second)
		w.advance(2 * time.Second)
		for _, n := range w.nodes {
			n.kill()
		}
		w.advance(1500 * time.Millisecond)
		back := w.now
		w.startSeedsLast()
		w.advance(4 * time.Second)
		shares += shareInTime(startedBetween(*list, back.Add(50*time.Millisecond), back.Add(1500*time.Millisecond)))
	}
	if share := shares / seeds; share < 0.9*667/860 {
		t.Errorf("%.3f of the new flows answered within %s, want %.3f", share, targetLatency, 0.9*667/860)
	}
}

// When instances join, the fabric sends half of the flows and their
// acknowledgements through them. The acknowledgements that the other instances
// miss must not make an upstream suspect.
func TestJoiningInstancesDoNotMakeUpstreamsSuspect(t *testing.T) {
	for seed := range uint64(5) {
		w := newSmallFleet(t, 110+seed)
		for _, n := range w.nodes[3:] {
			n.kill()
		}
		w.advance(3 * time.Second)
		w.load(550, 3*time.Second)
		w.advance(time.Second)
		joined := w.now
		for _, n := range w.nodes[3:] {
			n.start()
		}
		w.advance(2 * time.Second)
		for _, n := range w.nodes {
			for _, l := range n.lines {
				if l.Event == "upstream-suspect" {
					t.Errorf("seed %d: %s suspects %v after instances joined at %s", seed, n.name, l.Fields, joined)
				}
			}
		}
	}
}

// A new coordinator of a group of upstreams must know the flows that others
// placed there, and the ends of flows that were reported to it before the
// handoff.
func TestNewCoordinatorCountsExistingFlows(t *testing.T) {
	w := newSmallFleet(t, 120)
	joining := w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.router.coordinator(w.now, "desk", 0) == nil })]
	joining.kill()
	w.advance(3 * time.Second)
	for _, u := range w.servers() {
		u.meanServiceTime = time.Second
	}
	for range 12 {
		w.call(deskRoute, nil)
	}
	w.advance(50 * time.Millisecond)
	joining.start()
	w.advance(100 * time.Millisecond)
	for _, n := range w.nodes {
		if n != joining {
			w.call(deskRoute, n)
		}
	}
	w.advance(50 * time.Millisecond)
	counted := 0
	for _, u := range w.servers() {
		counted += joining.router.scheduler.OutstandingFlows(w.now, u.info.Number)
	}
	if want := 12 + len(w.nodes) - 1; counted != want {
		t.Errorf("the new coordinator counts %d flows, want %d", counted, want)
	}
}

// Three of ten upstreams crash at once while the store does not answer.
func TestUpstreamCrashDuringStoreOutage(t *testing.T) {
	w := newSmallFleet(t, 40)
	list := w.load(300, 6*time.Second)
	w.advance(2 * time.Second)
	w.store.down = true
	dead := 0
	for _, u := range w.servers() {
		if dead++; dead <= 3 {
			u.alive = false
		}
	}
	crash := w.now
	w.advance(6 * time.Second)
	after := startedBetween(*list, crash.Add(100*time.Millisecond), crash.Add(4*time.Second))
	if share := shareInTime(after); share < 0.95 {
		t.Errorf("%.4f answered within %s after the crash, want 0.95", share, targetLatency)
	}
}

// The data centres are partitioned: the instances and callers of each continue
// with its own upstreams.
func TestLoadDuringDataCentrePartition(t *testing.T) {
	w := newSmallFleet(t, 50)
	list := w.load(200, 6*time.Second)
	w.advance(2 * time.Second)
	w.partitionDataCentres()
	cut := w.now
	w.advance(6 * time.Second)
	after := startedBetween(*list, cut.Add(500*time.Millisecond), cut.Add(4*time.Second))
	if share := shareInTime(after); share < 0.95 {
		t.Errorf("%.4f answered within %s during the partition, want 0.95", share, targetLatency)
	}
}

// A data centre that was taken out of service and is then cut off has no
// reachable upstream. Its instances must report not ready, and no other instance
// may.
func TestInstancesWithoutReachableUpstreamsAreNotReady(t *testing.T) {
	w := newSmallFleet(t, 55)
	w.put(catalog.Item{Key: catalog.PrefixDataCentreOut + "a", DataCentreOut: true})
	list := w.load(200, 8*time.Second)
	w.advance(time.Second)
	for _, n := range w.nodes {
		if !n.router.Ready() {
			t.Errorf("%s is not ready before the partition", n.name)
		}
	}
	w.partitionDataCentres()
	w.advance(time.Second)
	for _, n := range w.nodes {
		if n.router.Ready() != (n.dc != "a") {
			t.Errorf("%s of data centre %s: ready %t, want only those of a not ready", n.name, n.dc, n.router.Ready())
		}
	}
	redirected := w.now
	w.advance(3 * time.Second)
	if share := shareInTime(startedBetween(*list, redirected, w.now.Add(-time.Second))); share < 0.95 {
		t.Errorf("%.4f answered within %s once the fabric sent packets to ready instances only, want 0.95", share, targetLatency)
	}
	w.healPartition()
	w.advance(3 * time.Second)
	for _, n := range w.nodes {
		if !n.router.Ready() {
			t.Errorf("%s is not ready after the end of the partition", n.name)
		}
	}
}

// An instance that starts while its data centre is out of service and cut off
// has never received a message from the other data centres. It learns from the
// instances of its own data centre that the others are cut off, and drops that
// information when the reports end.
func TestInstanceStartedDuringPartitionIsNotReady(t *testing.T) {
	w := newSmallFleet(t, 57)
	w.put(catalog.Item{Key: catalog.PrefixDataCentreOut + "a", DataCentreOut: true})
	w.advance(time.Second)
	w.partitionDataCentres()
	w.advance(time.Second)
	late := w.nodes[1]
	late.kill()
	w.advance(100 * time.Millisecond)
	late.start()
	w.advance(time.Second)
	for range 40 {
		if late.router.Ready() {
			t.Fatalf("%s is ready %s after its start, want not ready during the partition", late.name, w.now.Sub(late.router.started))
		}
		w.advance(100 * time.Millisecond)
	}
	w.healPartition()
	w.advance(3 * time.Second)
	for _, n := range w.nodes {
		if !n.router.Ready() {
			t.Errorf("%s is not ready after the end of the partition", n.name)
		}
	}
}

// A report that a data centre is cut off is ignored while messages from it
// arrive, and if it comes from an instance of another data centre.
func TestReportedCutIsIgnoredForReachableDataCentre(t *testing.T) {
	w := newSmallFleet(t, 58)
	n, neighbour := w.nodes[0], w.nodes[1]
	for range 20 {
		n.apply(&MessageReceived{From: neighbour.address, Message: &Message{DataCentre: "a", CutOff: []string{"a", "b", "c"}}})
		n.apply(&MessageReceived{From: w.nodes[3].address, Message: &Message{DataCentre: "b", CutOff: []string{"d"}}})
		w.advance(50 * time.Millisecond)
	}
	if diff := cmp.Diff([]string{"c"}, n.router.cutOff); diff != "" {
		t.Errorf("data centres taken for cut off (-want +got): %s", diff)
	}
	w.advance(3 * time.Second)
	if len(n.router.cutOff) > 0 {
		t.Errorf("%v still cut off after the last report expired", n.router.cutOff)
	}
}

// An instance that only lost contact with the other instances and the store
// stays ready.
func TestIsolatedInstanceStaysReady(t *testing.T) {
	w := newSmallFleet(t, 56)
	alone := w.nodes[2]
	w.cutOff = func(a, b *node) bool { return a == alone || b == alone }
	alone.storeRefuses = true
	w.advance(5 * time.Second)
	if !alone.router.Ready() {
		t.Error("an isolated instance with upstreams in its own data centre is not ready")
	}
}

// A slow upstream gets fewer flows, and is used again after it recovers.
func TestSlowUpstreamIsAvoidedUntilItRecovers(t *testing.T) {
	w := newSmallFleet(t, 60)
	list := w.load(250, 10*time.Second)
	u := firstServer(w)
	w.advance(time.Second)
	u.meanServiceTime = 200 * time.Millisecond
	slow := w.now
	w.advance(4 * time.Second)
	u.meanServiceTime = 30 * time.Millisecond
	recovered := w.now
	w.advance(7 * time.Second)
	if share := shareInTime(startedBetween(*list, slow, recovered)); share < 0.95 {
		t.Errorf("%.4f answered within %s beside a slow upstream, want 0.95", share, targetLatency)
	}
	if n := opensSince(u, recovered.Add(2*time.Second)); n < 20 {
		t.Errorf("%d flows opened in 3 s at the recovered upstream, want at least 20", n)
	}
}

// Instances that restart one after the other do not disturb the load.
func TestRollingRestartUnderLoad(t *testing.T) {
	w := newSmallFleet(t, 70)
	list := w.load(300, 8*time.Second)
	for i, n := range w.nodes {
		w.after(time.Duration(i+1)*time.Second, func() { n.apply(&Stopping{}) })
		w.after(time.Duration(i+1)*time.Second+600*time.Millisecond, func() { n.kill(); n.start() })
	}
	w.advance(10 * time.Second)
	if share := shareInTime(*list); share < 0.99 {
		t.Errorf("%.4f answered within %s during a rolling restart, want 0.99", share, targetLatency)
	}
}

// A new configuration with 2000 more routes reaches all instances within one
// second.
func TestLargeConfigurationReachesAllInstances(t *testing.T) {
	w := newSmallFleet(t, 80)
	var routes []catalog.Route
	for n := range 2000 {
		a := deskRoute.Addr()
		for range n/200 + 1 {
			a = a.Next()
		}
		routes = append(routes, catalog.Route{Address: addressWithPort(a, 1000+n), Service: "desk"})
	}
	w.configure(2, routes...)
	w.advance(time.Second)
	for _, n := range w.nodes {
		if len(n.router.routes) != 2001 {
			t.Errorf("%s has %d routes, want 2001", n.name, len(n.router.routes))
		}
	}
}

// Callers open flows that stay open between requests beside flows of one request, at
// 58% of the capacity of the same upstreams. The open flows say nothing about the
// load and must not keep others waiting.
func TestFlowsThatStayOpenDoNotHoldUpOthers(t *testing.T) {
	w := newSmallFleet(t, 90)
	var list []*caller
	open := func(destination netip.AddrPort, rate float64, keepsOpen bool) {
		gap := time.Duration(float64(time.Second) / rate)
		for at := time.Duration(0); at < 5*time.Second; at += gap {
			w.after(at, func() {
				c := w.call(destination, nil)
				c.keepsOpen = keepsOpen
				list = append(list, c)
			})
		}
	}
	// Routes of two classes on the same service.
	w.configure(2, catalog.Route{Address: ledgerRoute, Service: "desk", Target: 2 * targetLatency, Deadline: 1500 * time.Millisecond, Priority: 1})
	w.advance(500 * time.Millisecond)
	open(deskRoute, 300, true)
	open(ledgerRoute, 90, false)
	from := w.now.Add(time.Second)
	w.advance(7 * time.Second)
	if share := shareInTime(startedBetween(list, from, w.now)); share < 0.95 {
		t.Errorf("%.3f answered within %s, want 0.95", share, targetLatency)
	}
}
