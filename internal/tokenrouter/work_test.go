package tokenrouter

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// newSessionFleet returns a fleet of six instances and ten upstreams whose callers may keep
// their flows open.
func newSessionFleet(t *testing.T, seed uint64) *world {
	w := newSmallFleet(t, seed)
	w.configureSessions(idleTimeout)
	w.advance(time.Second)
	return w
}

// sessions starts callers that keep their flows open, evenly over d.
func (w *world) sessions(count int, pause, d time.Duration) (list []*session) {
	for n := range count {
		w.after(d*time.Duration(n)/time.Duration(count), func() { list = append(list, w.startSession(patientRoute, pause)) })
	}
	w.advance(d)
	return list
}

// workOf returns the requests under way in open flows of an upstream, as its coordinator
// knows them.
func (w *world) workOf(u *server) (sum float64) {
	for _, n := range w.nodes {
		s := &n.router.scheduler
		if n.up && n.router.coordinator(w.now, "desk", s.GroupOf("desk", u.info.Number)) == nil {
			sum += s.Measures(w.now, u.info.Number).Work
		}
	}
	return sum
}

// Sixty callers send a request each 200 ms on open flows, which takes 30 ms: nine are under
// way on average. The coordinator knows, also when all instances restart in turn, when
// another instance coordinates, and when a tenth of the messages get lost.
func TestCoordinatorKnowsWorkInOpenFlows(t *testing.T) {
	known := func(w *world) (sum float64) {
		const samples = 20
		for range samples {
			for _, u := range w.servers() {
				sum += w.workOf(u) / samples
			}
			w.advance(100 * time.Millisecond)
		}
		return sum
	}
	for name, disturb := range map[string]func(w *world){
		"calm":          func(*world) {},
		"lost messages": func(w *world) { w.messageLoss = 0.1 },
		"restarts": func(w *world) {
			for _, n := range w.nodes {
				n.kill()
				w.advance(500 * time.Millisecond)
				n.start()
				w.advance(500 * time.Millisecond)
			}
		},
		"new coordinator": func(w *world) {
			for _, n := range w.nodes {
				if n.router.coordinator(w.now, "desk", 0) == nil {
					n.kill()
					return
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSessionFleet(t, 300)
			w.sessions(60, 200*time.Millisecond, 2*time.Second)
			w.advance(2 * time.Second)
			disturb(w)
			w.advance(2 * time.Second)
			if sum := known(w); sum < 6 || sum > 13 {
				t.Errorf("%.1f requests are under way by the coordinators' count, want about 9", sum)
			}
		})
	}
}

// Half of the upstreams are busy with open flows that others do not have. New flows are
// placed at the others.
func TestNewFlowsAvoidUpstreamsBusyWithOpenFlows(t *testing.T) {
	w := newSessionFleet(t, 310)
	half := w.servers()[:5]
	for _, n := range w.nodes {
		n.chooseOverride = func([]uint64) uint64 { return half[w.random.IntN(len(half))].info.Number }
	}
	w.sessions(40, 100*time.Millisecond, time.Second)
	for _, n := range w.nodes {
		n.chooseOverride = nil
	}
	w.advance(2 * time.Second)
	for _, u := range w.servers() {
		u.openTimes = nil
	}
	list := w.load(100, 2*time.Second)
	w.advance(3 * time.Second)
	busy := 0
	for _, u := range half {
		busy += len(u.openTimes)
	}
	if all := len(*list); busy > all/4 {
		t.Errorf("%d of %d new flows went to the upstreams that are busy with open flows, want at most a quarter", busy, all)
	}
}

// A burst asks for 117% of what the upstreams can serve: 30% on open flows, 27% of the
// urgent class and 60% on new flows of the patient class. What callers get: the urgent class
// is served in time, the patient one as far as there is room, and upstreams shed little.
func TestUrgentClassIsServedInBurst(t *testing.T) {
	w := newSessionFleet(t, 320)
	list := w.sessions(100, 500*time.Millisecond, 3*time.Second)
	start := w.now
	urgent := w.loadTo(urgentRoute, 180, 4*time.Second)
	patient := w.loadTo(patientRoute, 400, 4*time.Second)
	w.advance(6 * time.Second)
	if share := shareWithin(*urgent, 400*time.Millisecond); share < 0.98 {
		t.Errorf("%.3f of %d urgent requests were answered in time, want 0.98", share, len(*urgent))
	}
	if share := shareWithin(*patient, 300*time.Millisecond); share < 0.6 {
		t.Errorf("%.3f of %d patient requests on new flows were answered in time, want 0.6", share, len(*patient))
	}
	inTime, shed := shareOfRequestsInTime(list, start, start.Add(4*time.Second), 300*time.Millisecond)
	if inTime < 0.95 || shed > 0.02 {
		t.Errorf("of the requests on open flows %.3f were answered in time and %.3f shed, want 0.95 and at most 0.02", inTime, shed)
	}
}

// Three times the room is asked for on new flows, most of it by the patient class. The urgent
// class is still served in time, and coordinators are not asked more often than they can
// answer: the rest waits at the instances, and is refused where its caller has no more
// packets to send.
func TestRequestsForRoomAreHeldBackUnderPressure(t *testing.T) {
	w := newSessionFleet(t, 325)
	w.sessions(60, 500*time.Millisecond, 2*time.Second)
	w.asksSent = 0
	urgent := w.loadTo(urgentRoute, 180, 4*time.Second)
	patient := w.loadTo(patientRoute, 1800, 4*time.Second)
	w.advance(6 * time.Second)
	if share := shareWithin(*urgent, 400*time.Millisecond); share < 0.95 {
		t.Errorf("%.3f of %d urgent requests were answered in time, want 0.95", share, len(*urgent))
	}
	if share := shareWithin(*patient, 300*time.Millisecond); share < 0.15 {
		t.Errorf("%.3f of %d patient requests were answered in time, want 0.15", share, len(*patient))
	}
	var held, refused uint64
	for _, n := range w.nodes {
		held, refused = held+n.router.Counts().Held, refused+n.router.Counts().RefusedWithoutRoom
	}
	// Each flow has three packets, and five of six flows are asked for at another instance.
	if most := 3 * len(*patient) * 5 / 6 / 2; w.asksSent > most {
		t.Errorf("coordinators were asked %d times, want at most %d", w.asksSent, most)
	}
	if held == 0 || refused == 0 || refused > uint64(len(*patient)/10) {
		t.Errorf("%d openings were held back and %d refused, want some, and at most a tenth refused", held, refused)
	}
}

// Flows of a single request, and configurations that do not let flows stay open between
// requests: every flow goes where it went before.
func TestFlowsThatCloseAreNotMeasured(t *testing.T) {
	placements := func(idle time.Duration) (list []uint64) {
		w := newSmallFleet(t, 330)
		w.configureSessions(idle)
		w.advance(time.Second)
		flows := w.load(400, 3*time.Second)
		w.advance(4 * time.Second)
		for _, c := range *flows {
			list = append(list, c.openedUpstream)
		}
		for _, n := range w.nodes {
			if n.router.scheduler.Measured("desk") {
				t.Errorf("%s measures the work of a service whose flows close after one request", n.name)
			}
		}
		return list
	}
	if d := cmp.Diff(placements(0), placements(idleTimeout)); d != "" {
		t.Errorf("upstreams without and with an idle timeout (-want +got):\n%s", d)
	}
}
