package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
)

const desk = "desk"

func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

// newScheduler returns a scheduler of upstreams 1 to n with two slots each.
func newScheduler(n int) *Scheduler {
	p := &Scheduler{Random: rand.New(rand.NewPCG(1, 1))}
	for i := 1; i <= n; i++ {
		p.SetUpstream(at(0), catalog.Upstream{Number: uint64(i), Service: desk, DataCentre: "a", Slots: 2}, Open)
		p.SetCold(desk, 0, 10)
	}
	return p
}

func place(t *testing.T, p *Scheduler, now time.Time, r Request) uint64 {
	t.Helper()
	r.Service = desk
	n, v := p.Place(now, r)
	if v != Placed {
		t.Fatalf("verdict is %d, want Placed", v)
	}
	return n
}

func TestPlaceChoosesShortestWait(t *testing.T) {
	p := newScheduler(3)
	seen := make(map[uint64]int)
	for range 6 {
		seen[place(t, p, at(0), Request{Group: AnyGroup})]++
	}
	if d := cmp.Diff(map[uint64]int{1: 2, 2: 2, 3: 2}, seen); d != "" {
		t.Errorf("flows per upstream (-want +got):\n%s", d)
	}
	for range 2 {
		p.FlowEnded(at(30*time.Millisecond), 2, 0)
	}
	if n := place(t, p, at(30*time.Millisecond), Request{Group: AnyGroup}); n != 2 {
		t.Errorf("flow was placed at upstream %d, want idle upstream 2", n)
	}
}

func TestPlacePrefersOwnDataCentreOnTiesOnly(t *testing.T) {
	p := newScheduler(1)
	p.SetUpstream(at(0), catalog.Upstream{Number: 9, Service: desk, DataCentre: "b", Slots: 2}, Open)
	if n := place(t, p, at(0), Request{Group: AnyGroup, DataCentre: "b"}); n != 9 {
		t.Errorf("flow was placed at upstream %d in another data centre, want 9", n)
	}
	if n := place(t, p, at(0), Request{Group: AnyGroup, DataCentre: "b"}); n != 1 {
		t.Errorf("flow was placed at upstream %d, want idle upstream 1", n)
	}
}

func TestBoundLimitsOutstandingFlows(t *testing.T) {
	p := newScheduler(2)
	r := Request{Service: desk, Group: AnyGroup, Bounded: true}
	placed := 0
	for {
		if _, v := p.Place(at(0), r); v != Placed {
			if v != Full {
				t.Errorf("verdict is %d, want Full", v)
			}
			break
		}
		if placed++; placed > 100 {
			t.Fatal("more than 100 flows were placed without reaching the bound")
		}
	}
	if want := 2 * (boundPerSlot*2 + 1); placed != want {
		t.Errorf("%d flows placed, want %d", placed, want)
	}
	p.FlowEnded(at(30*time.Millisecond), 1, 0)
	if n, v := p.Place(at(30*time.Millisecond), r); v != Placed || n != 1 {
		t.Errorf("after a flow ended: upstream %d, verdict %d; want upstream 1, Placed", n, v)
	}
	// Flows without a reported end expire.
	late := at(30 * time.Millisecond).Add(2 * p.pools[desk].flowExpiry())
	if n := p.OutstandingFlows(late, 2); n != 0 {
		t.Errorf("%d flows are still counted after their expiry, want 0", n)
	}
}

// Guards against the end of one flow being credited to another whose end was lost.
// Service times would grow, flows would expire later, and upstreams would starve.
func TestLostEndsDoNotInflateServiceTime(t *testing.T) {
	p := newScheduler(1)
	now := at(0)
	for n := range uint64(400) {
		place(t, p, now, Request{Group: AnyGroup, Flow: n})
		if n%5 != 0 {
			p.FlowEnded(now.Add(30*time.Millisecond), 1, n)
		}
		now = now.Add(40 * time.Millisecond)
	}
	p.pools[desk].medianAt = time.Time{}
	p.pools[desk].updateMedian(now)
	if median := p.pools[desk].medianServiceTime; median > 60*time.Millisecond {
		t.Errorf("median service time is %s for flows of 30 ms", median)
	}
}

// After a power failure, upstreams still work on flows that no instance tracks. The
// ends of these flows must not free slots that others occupy.
func TestEndsOfUnknownFlowsFreeNoSlots(t *testing.T) {
	p := newScheduler(1)
	r := Request{Service: desk, Group: AnyGroup, Bounded: true}
	for r.Flow = 1; ; r.Flow++ {
		if _, v := p.Place(at(0), r); v == Full {
			break
		}
	}
	taken := p.OutstandingFlows(at(0), 1)
	now := at(20 * time.Millisecond)
	for flow := range uint64(10) {
		p.FlowEnded(now, 1, 1000+flow)
		p.FlowMoved(1, 2000+flow)
	}
	if n := p.OutstandingFlows(now, 1); n != taken {
		t.Errorf("%d flows are counted after unknown flows ended, want %d", n, taken)
	}
	p.FlowEnded(now, 1, 1)
	p.FlowEnded(now, 1, 1)
	p.FlowMoved(1, 2)
	if n := p.OutstandingFlows(now, 1); n != taken-2 {
		t.Errorf("%d flows are counted after one ended and one moved, want %d", n, taken-2)
	}
}

// A flow that two instances report counts once.
func TestCountIgnoresDuplicates(t *testing.T) {
	p := newScheduler(1)
	place(t, p, at(0), Request{Group: AnyGroup, Flow: 7})
	p.TrackFlow(at(0), OutstandingFlow{Upstream: 1, Flow: 7, At: at(0)})
	p.TrackFlow(at(0), OutstandingFlow{Upstream: 1, Flow: 8, At: at(0)})
	if n := p.OutstandingFlows(at(0), 1); n != 2 {
		t.Errorf("%d flows are counted, want 2", n)
	}
}

// Service times above the initial estimate must still be measured. Otherwise flows
// always expire first and the bound never takes effect.
func TestServiceTimeAboveInitialEstimateIsMeasured(t *testing.T) {
	p := newScheduler(1)
	now := at(0)
	for range 60 {
		place(t, p, now, Request{Group: AnyGroup})
		now = now.Add(400 * time.Millisecond)
		p.FlowEnded(now, 1, 0)
	}
	p.pools[desk].medianAt = time.Time{}
	p.pools[desk].updateMedian(now)
	if median := p.pools[desk].medianServiceTime; median < 300*time.Millisecond {
		t.Errorf("median service time is %s for flows of 400 ms", median)
	}
}

// The end of a flow may arrive before the report that it was placed.
func TestEarlyEndPreventsCount(t *testing.T) {
	p := newScheduler(1)
	p.FlowEnded(at(0), 1, 5)
	p.TrackFlow(at(time.Millisecond), OutstandingFlow{Upstream: 1, Flow: 5, At: at(0)})
	if n := p.OutstandingFlows(at(time.Millisecond), 1); n != 0 {
		t.Errorf("%d flows are counted after their end, want 0", n)
	}
	p.TrackFlow(at(2*earlyEndRetention), OutstandingFlow{Upstream: 1, Flow: 5, At: at(2 * earlyEndRetention)})
	if n := p.OutstandingFlows(at(2*earlyEndRetention), 1); n != 1 {
		t.Errorf("%d flows are counted after the caller reused its port, want 1", n)
	}
}

// The next coordinator inherits the outstanding flows together with their age.
func TestTakenFlowsKeepTheirAgeAtNextCoordinator(t *testing.T) {
	from, to := newScheduler(2), newScheduler(2)
	for flow := range uint64(4) {
		place(t, from, at(time.Duration(flow)*time.Millisecond), Request{Group: AnyGroup, Flow: flow})
	}
	now := at(10 * time.Millisecond)
	from.FlowEnded(now, 1, 99)
	taken, ended := from.TakeGroup(now, desk, 0)
	if d := cmp.Diff([]OutstandingFlow{{Upstream: 1, Flow: 99, At: now}}, ended); d != "" {
		t.Errorf("ends to hand off (-want +got):\n%s", d)
	}
	for _, o := range taken {
		to.TrackFlow(now, o)
		to.TrackFlow(now, o)
	}
	if n, m := from.OutstandingFlows(now, 1)+from.OutstandingFlows(now, 2), to.OutstandingFlows(now, 1)+to.OutstandingFlows(now, 2); n != 0 || m != 4 {
		t.Errorf("%d flows are counted at the old coordinator and %d at the new one, want 0 and 4", n, m)
	}
	to.FlowEnded(at(30*time.Millisecond), taken[0].Upstream, taken[0].Flow)
	if work := to.upstreams[taken[0].Upstream].serviceTime; work != at(30*time.Millisecond).Sub(taken[0].At) {
		t.Errorf("measured service time is %s, want %s", work, at(30*time.Millisecond).Sub(taken[0].At))
	}
}

// Flows that stay open between requests outlast their expiry. The bound must not
// hold them back.
func TestLongLivedFlowsAreNotBounded(t *testing.T) {
	p := newScheduler(1)
	now := at(0)
	for n := range uint64(20) {
		place(t, p, now, Request{Group: AnyGroup, Flow: n})
	}
	now = now.Add(10 * time.Second)
	for n := range uint64(20) {
		p.FlowEnded(now, 1, n)
	}
	now = now.Add(time.Second)
	for n := range 50 {
		if _, v := p.Place(now, Request{Service: desk, Group: AnyGroup, Bounded: true}); v != Placed {
			t.Fatalf("flow %d was not placed", n)
		}
	}
}

// A dead upstream must not look idle because its flows move to other upstreams.
func TestDeadUpstreamDoesNotAttractFlows(t *testing.T) {
	p := newScheduler(4)
	now, dead := at(0), 0
	for range 200 {
		now = now.Add(5 * time.Millisecond)
		n := place(t, p, now, Request{Group: AnyGroup})
		if n != 1 {
			p.RecordAnswer(now, n)
			p.FlowEnded(now.Add(20*time.Millisecond), n, 0)
			continue
		}
		dead++
		if p.RecordUnanswered(now, 1, 0, "self", true) {
			break
		}
		m := place(t, p, now, Request{Group: AnyGroup, Avoid: []uint64{1}})
		p.RecordFailover(now, 1, 1, "self", true)
		p.RecordAnswer(now, m)
		p.FlowEnded(now.Add(20*time.Millisecond), m, 0)
	}
	if dead > 8 {
		t.Errorf("dead upstream got %d of 200 openings, want at most 8", dead)
	}
	if !p.IsSuspect(now, 1) {
		t.Error("the dead upstream is not suspect")
	}
}

func TestSuspectGetsOneTrialAndRecovers(t *testing.T) {
	p := newScheduler(2)
	p.RecordFailover(at(0), 1, 2, "self", true)
	for range 4 {
		if n := place(t, p, at(0), Request{Group: AnyGroup}); n == 1 {
			t.Fatal("suspect upstream got a flow")
		}
	}
	now := at(minSuspectTime)
	trials := 0
	for range 4 {
		if place(t, p, now, Request{Group: AnyGroup}) == 1 {
			trials++
		}
	}
	if trials != 1 {
		t.Errorf("suspect upstream got %d trial openings, want 1", trials)
	}
	p.RecordFailover(now, 1, 1, "self", true)
	if !p.IsSuspect(now.Add(minSuspectTime), 1) {
		t.Error("failed trial did not double the suspect time")
	}
	p.RecordAnswer(now, 1)
	if p.IsSuspect(now, 1) {
		t.Error("answer did not clear the suspicion")
	}
}

func TestSuspicionNeedsTwoRemoteReporters(t *testing.T) {
	p := newScheduler(2)
	if p.RecordFailover(at(0), 1, 5, "b", false) {
		t.Error("upstream is suspect after reports of one remote instance")
	}
	if !p.RecordFailover(at(0), 1, 1, "c", false) {
		t.Error("upstream is not suspect after reports of two remote instances")
	}
}

// A caller that gives up also ends its flow at a dead upstream.
func TestFlowEndDoesNotClearSuspicion(t *testing.T) {
	p := newScheduler(2)
	p.RecordFailover(at(0), 1, 2, "self", true)
	p.FlowEnded(at(0), 1, 0)
	if !p.IsSuspect(at(0), 1) {
		t.Error("end of a flow cleared the suspicion")
	}
}

// If an opening was not acknowledged here but its flow ends, the caller did receive a
// response: the fabric sent its packets through another instance.
func TestEndOfUnansweredFlowClearsSuspicion(t *testing.T) {
	p := newScheduler(2)
	for flow := range uint64(unansweredThreshold) {
		p.TrackFlow(at(0), OutstandingFlow{Upstream: 1, Flow: flow, At: at(0)})
		p.RecordUnanswered(at(0), 1, flow, "self", true)
	}
	p.TrackFlow(at(0), OutstandingFlow{Upstream: 1, Flow: 77, At: at(0)})
	if p.FlowEnded(at(0), 1, 77); !p.IsSuspect(at(0), 1) {
		t.Fatal("end of another flow cleared the suspicion")
	}
	if p.FlowEnded(at(0), 1, 1); p.IsSuspect(at(0), 1) {
		t.Error("upstream is still suspect after the end of an unanswered flow")
	}
}

func TestColdUpstreamGetsItsShareFromCoordinatorOnly(t *testing.T) {
	p := newScheduler(0)
	p.SetUpstream(at(0), catalog.Upstream{Number: 1, Service: desk, Slots: 2, ColdFor: 2 * time.Second}, Open)
	p.SetCold(desk, 0, 10)
	if _, v := p.Place(at(0), Request{Service: desk, Group: AnyGroup}); v != NoUpstream {
		t.Errorf("verdict is %d for a cold upstream without AllowCold, want NoUpstream", v)
	}
	placed := 0
	for ms := range 2000 {
		now := at(time.Duration(ms) * time.Millisecond)
		if _, v := p.Place(now, Request{Service: desk, Group: AnyGroup, AllowCold: true}); v == Placed {
			placed++
			p.FlowEnded(now, 1, 0)
		}
	}
	// One coordinator uses coldShare of 10 a second, so that two stay within the rate.
	if placed != 10 {
		t.Errorf("%d flows in two seconds, want 10", placed)
	}
	if _, v := p.Place(at(2*time.Second), Request{Service: desk, Group: AnyGroup}); v != Placed {
		t.Error("upstream is still cold after its cold time")
	}
}

func TestUpstreamRestartClearsState(t *testing.T) {
	p := newScheduler(1)
	place(t, p, at(0), Request{Group: AnyGroup})
	p.RecordFailover(at(0), 1, 2, "self", true)
	p.SetUpstream(at(0), catalog.Upstream{Number: 1, Service: desk, Slots: 2, Started: at(0)}, Open)
	p.SetCold(desk, 0, 10)
	if p.IsSuspect(at(0), 1) || p.OutstandingFlows(at(0), 1) != 0 {
		t.Error("outstanding flows or suspicion survived a restart")
	}
}

func TestDoubtfulUpstreamIsLastChoice(t *testing.T) {
	p := newScheduler(2)
	p.SetState(1, Doubtful)
	for range 5 {
		if n := place(t, p, at(0), Request{Group: AnyGroup}); n != 2 {
			t.Fatal("doubtful upstream was preferred to an open one")
		}
	}
	p.SetState(2, Closed)
	if n := place(t, p, at(0), Request{Group: AnyGroup}); n != 1 {
		t.Errorf("flow was placed at upstream %d, want doubtful upstream 1", n)
	}
}

// If the open upstreams are full, doubtful ones are used before a flow has to wait.
// Unreachable ones are not.
func TestFullUpstreamsFallBackToDoubtfulNotUnreachable(t *testing.T) {
	p := newScheduler(2)
	p.SetUpstream(at(0), catalog.Upstream{Number: 3, Service: desk, DataCentre: "far", Slots: 2}, Open)
	p.SetState(2, Doubtful)
	r := Request{Service: desk, Group: AnyGroup, Bounded: true, UnreachableDataCentres: []string{"far"}}
	seen := make(map[uint64]int)
	for {
		n, v := p.Place(at(0), r)
		if v != Placed {
			break
		}
		seen[n]++
	}
	if d := cmp.Diff(map[uint64]int{1: 5, 2: 5}, seen); d != "" {
		t.Errorf("flows per upstream (-want +got):\n%s", d)
	}
	p.SetState(1, Closed)
	p.SetState(2, Closed)
	if n, v := p.Place(at(0), r); v != Placed || n != 3 {
		t.Errorf("upstream %d, verdict %d; want unreachable upstream 3, Placed", n, v)
	}
}

func TestGroupsAreEvenAndDisjoint(t *testing.T) {
	p := &Scheduler{}
	random := rand.New(rand.NewPCG(3, 4))
	for range 120 {
		p.SetUpstream(at(0), catalog.Upstream{Number: random.Uint64(), Service: desk, Slots: 2}, Open)
	}
	groups := p.Groups(desk)
	if groups != 4 {
		t.Fatalf("%d groups of 120 upstreams, want 4", groups)
	}
	for g := range groups {
		p.collectCandidates(at(0), p.pools[desk], Request{Service: desk, Group: g}, Open)
		if n := len(p.candidates); n < 15 || n > 45 {
			t.Errorf("group %d has %d upstreams, want 15 to 45", g, n)
		}
	}
}
