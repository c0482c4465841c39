package tokenrouter

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
	"github.com/chervilhaven/chervilhaven/internal/scheduler"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

func TestModerateLoadIsAnsweredInTime(t *testing.T) {
	w := newSmallFleet(t, 1)
	list := w.load(150, 5*time.Second)
	w.advance(7 * time.Second)
	if share := shareInTime(*list); share < 0.995 {
		t.Errorf("%.4f answered within 150 ms, want 0.995", share)
	}
}

// Packets of an established flow need no per-flow state: any instance forwards
// them, even after all instances have restarted.
func TestEstablishedFlowSurvivesRestartOfAllInstances(t *testing.T) {
	w := newSmallFleet(t, 2)
	for _, u := range w.servers() {
		u.meanServiceTime = 3 * time.Second
	}
	c := w.call(deskRoute, w.nodes[0])
	w.advance(500 * time.Millisecond)
	if c.openedUpstream == 0 {
		t.Fatal("the flow did not open")
	}
	for _, n := range w.nodes {
		n.kill()
	}
	w.startAll()
	w.advance(time.Second)
	before := w.nodes[4].router.Counts().Forwarded
	c.via = w.nodes[4]
	c.send(&Packet{Role: flow.RoleData})
	w.advance(100 * time.Millisecond)
	if n := w.nodes[4].router.Counts().Forwarded; n != before+1 {
		t.Errorf("%d packets forwarded by the new instance, want 1", n-before)
	}
	if misrouted := w.upstreams[c.openedUpstream].misrouted; misrouted != 0 {
		t.Errorf("%d packets reached the upstream without being part of a flow opened there, want 0", misrouted)
	}
}

func TestUnansweredOpeningIsSentToAnotherUpstream(t *testing.T) {
	w := newSmallFleet(t, 3)
	dead := 0
	for _, u := range w.servers() {
		if dead++; dead <= 3 {
			u.alive = false
		}
	}
	list := w.load(100, 4*time.Second)
	w.advance(6 * time.Second)
	if share := shareInTime(*list); share < 0.97 {
		t.Errorf("%.4f answered within 150 ms with 3 of 10 upstreams dead, want 0.97", share)
	}
}

// A flow that was offered to two upstreams stays at the one that its caller
// acknowledged, even if the other one's late answer replaces the caller's token.
func TestHedgedFlowStaysAtAcknowledgedUpstream(t *testing.T) {
	w := newSmallFleet(t, 4)
	n := w.nodes[0]
	c := w.call(deskRoute, n)
	w.advance(callerDelay + 2*peerDelay)
	o := n.router.openings.flows[flowID{c.source, c.destination}]
	if o == nil || len(o.tries) != 1 {
		t.Fatal("the opening was not sent to exactly one upstream")
	}
	o.phaseDeadline = w.now
	n.apply(&Tick{})
	w.advance(10 * time.Millisecond)
	if len(o.tries) < 2 {
		t.Fatal("the opening was not sent to a second upstream")
	}
	other := o.tries[0]
	if other == c.openedUpstream {
		other = o.tries[1]
	}
	c.token = n.router.upstreams.byNumber[other].token
	c.send(&Packet{Role: flow.RoleData})
	w.advance(10 * time.Millisecond)
	if misrouted := w.upstreams[other].misrouted; misrouted != 0 {
		t.Errorf("%d packets went to the upstream that the caller did not acknowledge, want 0", misrouted)
	}
}

// The caller's first packet is lost, and the next one carries the token of a
// late answer from the other upstream. The flow must not be pinned to that
// upstream, because the upstream that the caller opened the flow at answers
// again.
func TestLateTokenOfHedgeDoesNotMoveFlow(t *testing.T) {
	w := newSmallFleet(t, 15)
	n := w.nodes[0]
	c := w.call(deskRoute, n)
	c.dropPackets = true
	w.advance(callerDelay + 4*peerDelay)
	o := n.router.openings.flows[flowID{c.source, c.destination}]
	o.phaseDeadline = w.now
	n.apply(&Tick{})
	w.advance(100 * time.Millisecond)
	first, second := c.openedUpstream, o.tries[0]
	if second == first {
		second = o.tries[1]
	}
	for _, number := range []uint64{second, first} {
		c.token = n.router.upstreams.byNumber[number].token
		c.dropPackets = false
		c.send(&Packet{Role: flow.RoleData})
		c.dropPackets = true
		w.advance(10 * time.Millisecond)
	}
	if !w.upstreams[first].flows[c.source.String()] {
		t.Error("the data packet did not reach the upstream that the caller acknowledged")
	}
}

func TestOpeningsWaitForFirstConfiguration(t *testing.T) {
	w := newWorld(t, 5)
	w.addNodes("a", 1)
	w.store.down = true
	w.startAll()
	w.advance(100 * time.Millisecond)
	c := w.call(deskRoute, w.nodes[0])
	w.advance(50 * time.Millisecond)
	w.store.down = false
	w.configure(1)
	w.addServers("a", 1, 10*time.Millisecond)
	w.advance(3 * time.Second)
	if c.refused || c.answeredAt.IsZero() {
		t.Errorf("flow refused: %t, answered at %s; want an answer", c.refused, c.answeredAt)
	}
}

func TestUnknownRouteIsRefusedOnlyWithFreshCatalog(t *testing.T) {
	w := newSmallFleet(t, 6)
	c := w.call(netip.MustParseAddrPort("198.18.0.9:1"), w.nodes[0])
	w.advance(100 * time.Millisecond)
	if !c.refused {
		t.Error("a flow without a route was not refused within 100 ms")
	}
	w.store.down = true
	w.advance(5 * time.Second)
	c = w.call(netip.MustParseAddrPort("198.18.0.9:1"), w.nodes[0])
	w.advance(100 * time.Millisecond)
	if c.refused {
		t.Error("a flow without a route was refused although no instance reads the store")
	}
}

func TestFlowWithoutUpstreamsIsRefusedImmediately(t *testing.T) {
	w := newSmallFleet(t, 7)
	w.configure(2, catalog.Route{Address: ledgerRoute, Service: "ledger"})
	w.advance(200 * time.Millisecond)
	c := w.call(ledgerRoute, w.nodes[0])
	w.advance(50 * time.Millisecond)
	if !c.refused {
		t.Error("a flow to a service without upstreams was not refused within 50 ms")
	}
}

// opensSince returns the number of openings that an upstream received after a
// time.
func opensSince(u *server, at time.Time) int {
	return len(u.openTimes) - slices.IndexFunc(append(slices.Clone(u.openTimes), at.Add(time.Hour)), func(o time.Time) bool { return o.After(at) })
}

// firstServer returns the upstream with the lowest number.
func firstServer(w *world) *server {
	var best *server
	for _, u := range w.servers() {
		if best == nil || u.info.Number < best.info.Number {
			best = u
		}
	}
	return best
}

func TestDrainingUpstreamGetsNoNewFlows(t *testing.T) {
	w := newSmallFleet(t, 8)
	u := firstServer(w)
	list := w.load(150, 6*time.Second)
	w.advance(2 * time.Second)
	u.info.Draining = true
	w.publish(u)
	acknowledged := w.now
	w.advance(6 * time.Second)
	if n := opensSince(u, acknowledged.Add(500*time.Millisecond)); n != 0 {
		t.Errorf("%d flows opened at a draining upstream 0.5 s after the drain, want 0", n)
	}
	if share := shareInTime(*list); share < 0.99 {
		t.Errorf("%.4f answered within 150 ms during a drain, want 0.99", share)
	}
}

func TestDataCentreThatIsOutGetsNoNewFlows(t *testing.T) {
	w := newSmallFleet(t, 9)
	w.load(150, 6*time.Second)
	w.advance(2 * time.Second)
	w.put(catalog.Item{Key: catalog.PrefixDataCentreOut + "a", DataCentreOut: true})
	acknowledged := w.now
	w.advance(4 * time.Second)
	for _, u := range w.servers() {
		if n := opensSince(u, acknowledged.Add(500*time.Millisecond)); u.info.DataCentre == "a" && n != 0 {
			t.Errorf("%d flows opened at %s 0.5 s after its data centre was taken out, want 0", n, u.key)
		}
	}
}

// Entries that expired during a store outage come back 2 s after its return.
// Until then their upstreams still serve; afterwards they count as removed.
func TestRemovedUpstreamsServeOnlyForDoubtfulPeriod(t *testing.T) {
	w := newSmallFleet(t, 10)
	list := w.load(150, 6*time.Second)
	w.advance(time.Second)
	for _, u := range w.servers() {
		w.unpublish(u)
	}
	w.advance(2 * time.Second)
	gone := firstServer(w)
	for _, u := range w.servers() {
		if u != gone {
			w.publish(u)
		}
	}
	w.advance(500 * time.Millisecond)
	confirmed := w.now
	w.advance(4 * time.Second)
	if share := shareInTime(*list); share < 0.99 {
		t.Errorf("%.4f answered within 150 ms after all entries expired, want 0.99", share)
	}
	if n := opensSince(gone, confirmed); n != 0 {
		t.Errorf("%d flows opened at the upstream whose entry did not come back, want 0", n)
	}
	// The removed upstream gets no flows even if it is the only one left.
	for _, u := range w.servers() {
		if u != gone {
			u.info.Draining = true
			w.publish(u)
		}
	}
	w.advance(time.Second)
	c := w.call(deskRoute, w.nodes[0])
	w.advance(100 * time.Millisecond)
	if !c.refused {
		t.Error("a flow was not refused although the only remaining upstream was removed")
	}
}

func TestStartingInstanceDoesNotUseColdUpstreams(t *testing.T) {
	w := newSmallFleet(t, 16)
	for _, n := range w.nodes {
		n.kill()
	}
	w.nodes[0].start()
	w.advance(rosterSettleTime - 100*time.Millisecond)
	rt := w.nodes[0].router
	if rt.mayUseCold(w.now, "desk", 0) {
		t.Error("cold upstreams are allowed before all peers can be known")
	}
	w.advance(200 * time.Millisecond)
	if !rt.mayUseCold(w.now, "desk", 0) {
		t.Error("cold upstreams are not allowed although no other instance runs")
	}
}

// A queued flow must cost the coordinator only a few Asks. With one Ask per tick,
// a thousand queued flows would use up its processor.
func TestQueuedFlowsCauseFewAsks(t *testing.T) {
	w := newSmallFleet(t, 17)
	for _, u := range w.servers() {
		u.alive = false
	}
	w.load(600, time.Second)
	w.advance(100 * time.Millisecond)
	before := w.asksSent
	flows := len(w.callers)
	w.advance(time.Second)
	// One Ask for the opening, two for its retransmissions, and some for hedges of
	// flows that got an upstream.
	if asks := w.asksSent - before; asks > 5*(len(w.callers)-flows) {
		t.Errorf("%d Asks sent for %d flows within 1 s, want at most 5 for each flow", asks, len(w.callers)-flows)
	}
}

// The limit on openings at a cold upstream applies to the sum over all
// instances, even while a partition leads to two coordinators.
func TestColdUpstreamIsNotFlooded(t *testing.T) {
	for name, cut := range map[string]func(a, b *node) bool{
		"together":  nil,
		"partition": func(a, b *node) bool { return a.dc != b.dc },
	} {
		t.Run(name, func(t *testing.T) {
			w := newSmallFleet(t, 11)
			w.cutOff = cut
			w.load(300, 8*time.Second)
			w.advance(3 * time.Second)
			u := w.addServers("a", 1, 60*time.Millisecond)[0]
			u.info.ColdFor = 3 * time.Second
			w.publish(u)
			w.advance(3 * time.Second)
			for i, first := range u.openTimes {
				n := 0
				for _, o := range u.openTimes[i:] {
					if o.Sub(first) < time.Second {
						n++
					}
				}
				// The requirement is at most 1.5 times 20 a second, plus 5.
				if n > 35 {
					t.Fatalf("%d openings within 1 s at a cold upstream, want at most 35", n)
				}
			}
		})
	}
}

// A new configuration does not make upstreams cold again that have warmed up.
func TestWarmUpstreamStaysWarmWhenConfigurationChanges(t *testing.T) {
	w := newWorld(t, 12)
	w.addNodes("a", 3)
	w.configure(1)
	u := w.addServers("a", 1, 10*time.Millisecond)[0]
	u.info.ColdFor = 2 * time.Second
	w.publish(u)
	w.startAll()
	w.advance(4 * time.Second)
	w.configure(2)
	w.advance(500 * time.Millisecond)
	from := w.now
	list := w.load(60, time.Second)
	w.advance(1500 * time.Millisecond)
	if n := opensSince(u, from); n < len(*list) {
		t.Errorf("%d of %d flows opened at an upstream that is warm", n, len(*list))
	}
}

// An instance that places a flow without the coordinator does not use cold
// upstreams, whichever instances exist: the coordinator counts what they bear.
func TestFlowsWithoutCoordinatorAvoidColdUpstreams(t *testing.T) {
	w := newSmallFleet(t, 13)
	for _, n := range w.nodes {
		if n.router.mayUseCold(w.now, "desk", scheduler.AnyGroup) {
			t.Errorf("%s may use cold upstreams of groups that it does not coordinate", n.name)
		}
	}
}

func TestStoppingInstanceIsNotReadyButStillServes(t *testing.T) {
	w := newSmallFleet(t, 12)
	n := w.nodes[0]
	n.apply(&Stopping{})
	if n.router.Ready() {
		t.Error("a stopping instance is ready")
	}
	c := w.call(deskRoute, n)
	w.advance(time.Second)
	if c.answeredAt.IsZero() {
		t.Error("a flow through a stopping instance was not served")
	}
}

func TestTokenOfRemovedUpstreamIsKeptForFlowLifetime(t *testing.T) {
	w := newSmallFleet(t, 13)
	u := firstServer(w)
	w.unpublish(u)
	w.advance(30 * time.Second)
	n := w.nodes[0]
	if _, ok := n.router.upstreams.byNumber[u.info.Number]; !ok {
		t.Error("the token was dropped within the lifetime of a flow")
	}
	w.advance(45 * time.Second)
	if _, ok := n.router.upstreams.byNumber[u.info.Number]; ok {
		t.Error("the token is still known after the lifetime of a flow")
	}
}

// Of two upstreams with the same token, the later one gets no flows.
func TestTokenClashIsDetected(t *testing.T) {
	var tb upstreamTable
	first := tb.update("i-1", catalog.Upstream{Number: 1})
	delete(tb.byToken, first.token)
	second := &upstream{info: catalog.Upstream{Number: 2}}
	tb.byToken[first.token] = second
	tb.byNumber = map[uint64]*upstream{2: second}
	if u := tb.update("i-1", catalog.Upstream{Number: 1}); !u.clash {
		t.Error("the token clash was not detected")
	}
	rt := New(Config{})
	if s := rt.stateOf(&upstream{clash: true}); s != 0 {
		t.Errorf("state %d of an upstream whose token belongs to another one, want 0 (closed)", s)
	}
}

func TestProcessPauseDoesNotExpirePeers(t *testing.T) {
	w := newSmallFleet(t, 14)
	n := w.nodes[0]
	before := len(n.router.roster.peers)
	w.now = w.now.Add(5 * time.Second)
	n.apply(&Resumed{Pause: 5 * time.Second})
	live := 0
	for _, p := range n.router.roster.peers {
		if n.router.roster.live(w.now, p) {
			live++
		}
	}
	if live != before {
		t.Errorf("%d of %d peers live after a pause of the process, want all", live, before)
	}
}
