package scheduler

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
	"github.com/chervilhaven/chervilhaven/internal/work"
)

var reporter = netip.MustParseAddrPort("10.0.0.1:7000")

// reportWork reports for two seconds, five times a second, the work of open flows at upstreams 1
// and up: the number of requests under way on average and the duration of each.
func reportWork(p *Scheduler, underWay []float64, took []time.Duration) time.Time {
	now := at(0)
	for d := time.Duration(0); d <= 2*time.Second; d += 200 * time.Millisecond {
		now = at(d)
		for n := range underWay {
			busy := time.Duration(underWay[n] * float64(d))
			ended := uint64(busy / took[n])
			p.RecordWork(now, reporter, work.Total{Upstream: uint64(n + 1), Open: 10, Ended: ended, Took: time.Duration(ended) * took[n], Busy: busy})
		}
	}
	return now
}

func newMeasured(count int) *Scheduler {
	p := &Scheduler{Random: rand.New(rand.NewPCG(1, 1))}
	for n := range uint64(count) {
		p.SetUpstream(at(0), catalog.Upstream{Number: n + 1, Service: desk, Slots: 2}, Open)
	}
	return p
}

// placeEach places flows without ends and returns how many each upstream got.
func placeEach(p *Scheduler, now time.Time, flows int, r Request) map[uint64]int {
	got := make(map[uint64]int)
	for n := range flows {
		r.Service, r.Flow = desk, uint64(1000+n)
		if number, verdict := p.Place(now, r); verdict == Placed {
			got[number]++
		}
	}
	return got
}

// Open flows keep one upstream busy that has no flow placed by this coordinator.
func TestFlowsAvoidUpstreamsWithWorkInOpenFlows(t *testing.T) {
	p := newMeasured(3)
	usual := 50 * time.Millisecond
	now := reportWork(p, []float64{3, 0.1, 0.1}, []time.Duration{usual, usual, usual})
	got := placeEach(p, now, 4, Request{Target: 300 * time.Millisecond})
	if d := cmp.Diff(map[uint64]int{2: 2, 3: 2}, got); d != "" {
		t.Errorf("flows by upstream (-want +got):\n%s", d)
	}
}

// One of three upstreams has become five times slower at the same number of requests.
func TestSlowUpstreamGetsFewerFlows(t *testing.T) {
	p := newMeasured(3)
	now := reportWork(p, []float64{0.5, 0.5, 0.5}, []time.Duration{250 * time.Millisecond, 50 * time.Millisecond, 50 * time.Millisecond})
	got := placeEach(p, now, 9, Request{Target: 300 * time.Millisecond})
	if got[1] > 1 {
		t.Errorf("the slow upstream got %d of 9 flows, want at most 1 (%v)", got[1], got)
	}
}

// One of three upstreams takes twice as long for two requests at once as for one, the
// others do not. It gets one flow at a time while the others have room.
func TestUpstreamThatSlowsDownBeforeItIsFullGetsFewerFlows(t *testing.T) {
	p := newMeasured(3)
	usual := 50 * time.Millisecond
	now := reportWork(p, []float64{0.1, 0.1, 0.1}, []time.Duration{usual, usual, usual})
	pl := p.pools[desk]
	for n := range uint64(300) {
		at := now.Add(time.Duration(n) * 10 * time.Millisecond)
		u := p.upstreams[1+n%3]
		load := float64(1 + n/3%2)
		took := usual
		if u.info.Number == 1 && load == 2 {
			took *= 2
		}
		pl.recordDuration(at, u, placed{load: load}, took)
	}
	now = now.Add(3 * time.Second)
	if s := p.upstreams[1].slots(now, pl); s > 1.3 {
		t.Errorf("upstream 1 takes %.2f requests at once well, want about 1", s)
	}
	got := placeEach(p, now, 5, Request{Target: 300 * time.Millisecond})
	if got[1] > 1 {
		t.Errorf("upstream 1 got %d of 5 flows, want at most 1 (%v)", got[1], got)
	}
}

// Requests wait at all upstreams alike during a burst. None of them counts as slow.
func TestBusyMomentIsNotTakenForSlowness(t *testing.T) {
	p := newMeasured(2)
	reportWork(p, []float64{6, 1}, []time.Duration{150 * time.Millisecond, 50 * time.Millisecond})
	for n := uint64(1); n <= 2; n++ {
		if s := p.upstreams[n].speed.Slowness(at(2 * time.Second)); s < 0.8 || s > 1.25 {
			t.Errorf("slowness of upstream %d is %.2f, want about 1", n, s)
		}
	}
}

// While room is short, flows that are less urgent stop before the upstreams are full, so
// that urgent ones do not wait.
func TestUrgentFlowsFindRoomThatOthersLeave(t *testing.T) {
	p := newMeasured(2)
	usual := 50 * time.Millisecond
	now := reportWork(p, []float64{2, 2}, []time.Duration{usual, usual})
	bounded := Request{Service: desk, Target: 300 * time.Millisecond, Bounded: true}
	placeEach(p, now, 100, bounded)
	if number, verdict := p.Place(now, bounded); verdict != Full {
		t.Fatalf("a flow was placed at %d (verdict %d) although all upstreams are at their bound", number, verdict)
	}
	urgent := bounded
	urgent.Urgent, urgent.Flow = true, 1
	if _, verdict := p.Place(now, urgent); verdict != Placed {
		t.Errorf("verdict of an urgent flow is %d, want Placed", verdict)
	}
}

// Without reports of work, flows are placed as if there were no measurements, whether or
// not they are urgent.
func TestFlowsOfUnmeasuredServicesArePlacedAsBefore(t *testing.T) {
	run := func(urgent bool) (list []uint64) {
		p := newMeasured(5)
		random := rand.New(rand.NewPCG(7, 7))
		for n := range uint64(500) {
			now := at(time.Duration(n) * 3 * time.Millisecond)
			number, _ := p.Place(now, Request{Service: desk, Flow: n, Target: 300 * time.Millisecond, Bounded: true, Urgent: urgent})
			list = append(list, number)
			if done := n - random.Uint64N(12); done < n {
				p.FlowEnded(now, list[done], done)
			}
		}
		if p.Measured(desk) {
			t.Error("the service counts as measured")
		}
		return list
	}
	if d := cmp.Diff(run(false), run(true)); d != "" {
		t.Errorf("upstreams of flows that are not urgent and of urgent ones (-want +got):\n%s", d)
	}
}

func TestIdleFlowNoLongerCounts(t *testing.T) {
	p := newMeasured(1)
	placeEach(p, at(0), 1, Request{Target: 300 * time.Millisecond})
	p.FlowIdle(at(100*time.Millisecond), 1, 1000, 50*time.Millisecond)
	if n := p.OutstandingFlows(at(100*time.Millisecond), 1); n != 0 {
		t.Errorf("%d flows are outstanding, want 0", n)
	}
	if s := p.upstreams[1].serviceTime; s != 50*time.Millisecond {
		t.Errorf("service time is %s, want 50ms", s)
	}
}

// A coordinator that has just started is handed 25 flows at once that stay open for longer
// than work takes. It must not take their length for the time that work takes, and hold the
// upstream at its bound for good (review case 1).
func TestInheritedFlowsAreNotTakenForSlowWork(t *testing.T) {
	p := newMeasured(1)
	for flow := range uint64(25) {
		p.TrackFlow(at(0), OutstandingFlow{Upstream: 1, Flow: flow, At: at(-time.Second), Inherited: true})
	}
	for d := time.Duration(0); d < 2*time.Second; d += 100 * time.Millisecond {
		p.Place(at(d), Request{Service: desk, Flow: uint64(100 + d), Bounded: true})
		p.FlowEnded(at(d+20*time.Millisecond), 1, uint64(100+d))
	}
	if s := p.upstreams[1].serviceTime; s > 50*time.Millisecond {
		t.Errorf("service time is %s for work of 20 ms, want at most 50ms", s)
	}
}

// Once the lengths of flows that stay open have been taken for work, flows end before they
// expire, and nothing tells that they do stay open. That must not last: the target says how
// long work takes at most.
func TestLengthOfOpenFlowsIsNotTakenForWorkForGood(t *testing.T) {
	p := newMeasured(2)
	for _, u := range p.upstreams {
		u.serviceTime, u.lastPlacement = 1500*time.Millisecond, at(0)
	}
	full := 0
	var upstreams []uint64
	for n := range uint64(400) {
		now := at(time.Duration(n) * 25 * time.Millisecond)
		if n >= 60 {
			p.FlowEnded(now, upstreams[n-60], n-60)
		}
		number, verdict := p.Place(now, Request{Service: desk, Flow: n, Target: 100 * time.Millisecond, Bounded: true})
		upstreams = append(upstreams, number)
		if verdict == Full && n >= 200 {
			full++
		}
	}
	if full > 0 {
		t.Errorf("%d of 200 flows found no room at upstreams with nothing to do", full)
	}
}

// Heads of packets may tell nothing of a flow, as its answers pass elsewhere. Flows that
// outlast their expiry do not fill the upstreams of a measured service either.
func TestFlowsThatOutlastExpiryDoNotFillMeasuredUpstreams(t *testing.T) {
	p := newMeasured(2)
	usual := 50 * time.Millisecond
	now := reportWork(p, []float64{0.5, 0.5}, []time.Duration{usual, usual})
	full := 0
	for n := range uint64(400) {
		later := now.Add(time.Duration(n) * 25 * time.Millisecond)
		if _, verdict := p.Place(later, Request{Service: desk, Flow: n, Target: 100 * time.Millisecond, Bounded: true}); verdict == Full && n >= 100 {
			full++
		}
	}
	if full > 0 {
		t.Errorf("%d of 300 flows found no room at upstreams with nothing to do", full)
	}
}
