package work

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// at returns the time d after an arbitrary start.
func at(d time.Duration) time.Time { return time.Unix(1_700_000_000, 0).Add(d) }

const ms = time.Millisecond

var route = netip.MustParseAddrPort("198.18.0.1:8443")

// totals returns all totals that are due.
func totals(s *Flows, now time.Time) []Total {
	var list []Total
	s.Totals(now, time.Second, func(t Total) bool { list = append(list, t); return true })
	return list
}

// The heads of a flow with three requests, as a caller sends them: its request, the
// acknowledgement of the answer, and later the next request.
func TestRequestsOfOpenFlowAreCounted(t *testing.T) {
	var s Flows
	changes := []Change{
		s.Observe(at(0), 1, 7, route, true, Head{Sequence: 100, Length: 50, Acknowledgement: 900}),
		s.Observe(at(40*ms), 1, 7, route, false, Head{Sequence: 150, Acknowledgement: 1900}),
		s.Observe(at(500*ms), 1, 7, route, false, Head{Sequence: 150, Length: 50, Acknowledgement: 1900}),
		s.Observe(at(700*ms), 1, 7, route, false, Head{Sequence: 150, Length: 50, Acknowledgement: 1900}),
		s.Observe(at(800*ms), 1, 7, route, false, Head{Sequence: 200, Acknowledgement: 2900}),
		s.Observe(at(801*ms), 1, 7, route, false, Head{Sequence: 200, Acknowledgement: 3900}),
		s.Observe(at(900*ms), 1, 7, route, false, Head{Sequence: 200, Length: 50, Acknowledgement: 3900}),
	}
	want := []Change{Began, Answered, BeganNext, Repeated, Answered, Nothing, BeganNext}
	if d := cmp.Diff(want, changes); d != "" {
		t.Errorf("changes (-want +got):\n%s", d)
	}
	wantTotals := []Total{{Upstream: 7, Open: 1, UnderWay: 1, Ended: 1, Took: 300 * ms, Busy: 400 * ms}}
	if d := cmp.Diff(wantTotals, totals(&s, at(time.Second))); d != "" {
		t.Errorf("totals (-want +got):\n%s", d)
	}
}

// A flow with a single request is not work in an open flow, also if its request has
// several packets that arrive out of order.
func TestFlowOfSingleRequestHasNoTotals(t *testing.T) {
	var s Flows
	s.Observe(at(0), 1, 7, route, true, Head{Sequence: 1300, Length: 1200, Acknowledgement: 900})
	s.Observe(at(0), 1, 7, route, false, Head{Sequence: 100, Length: 1200, Acknowledgement: 900})
	s.Observe(at(40*ms), 1, 7, route, false, Head{Sequence: 2500, Acknowledgement: 1900})
	if s.Close(at(41*ms), 1) {
		t.Error("the flow was reported as idle")
	}
	if d := cmp.Diff([]Total(nil), totals(&s, at(2*time.Second))); d != "" {
		t.Errorf("totals (-want +got):\n%s", d)
	}
	if s.Len() != 0 {
		t.Errorf("%d flows are left, want 0", s.Len())
	}
}

func TestIdleFlowIsReportedOnce(t *testing.T) {
	var s Flows
	s.Observe(at(0), 1, 7, route, true, Head{Sequence: 100, Length: 50, Acknowledgement: 900})
	s.Observe(at(40*ms), 1, 7, route, false, Head{Sequence: 150, Acknowledgement: 1900})
	if next := s.NextIdle(50 * ms); !next.Equal(at(90 * ms)) {
		t.Errorf("next report is due %s after the start, want 90ms", next.Sub(at(0)))
	}
	if d := cmp.Diff([]Idle(nil), s.Idle(at(80*ms), 50*ms)); d != "" {
		t.Errorf("idle too early (-want +got):\n%s", d)
	}
	if d := cmp.Diff([]Idle{{1, 7, 60 * ms}}, s.Idle(at(100*ms), 50*ms)); d != "" {
		t.Errorf("idle (-want +got):\n%s", d)
	}
	if d := cmp.Diff([]Idle(nil), s.Idle(at(200*ms), 50*ms)); d != "" {
		t.Errorf("idle again (-want +got):\n%s", d)
	}
	if !s.Close(at(time.Second), 1) {
		t.Error("the end of an idle flow would be reported again")
	}
}

// The fabric moves a flow to another instance in the midst of a request. The instance that
// had it must not count the request for good, the other one counts the next.
func TestRequestWhoseFlowMovedIsForgotten(t *testing.T) {
	var before, after Flows
	before.Observe(at(0), 1, 7, route, true, Head{Sequence: 100, Length: 50, Acknowledgement: 900})
	before.Observe(at(40*ms), 1, 7, route, false, Head{Sequence: 150, Acknowledgement: 1900})
	before.Observe(at(time.Second), 1, 7, route, false, Head{Sequence: 150, Length: 50, Acknowledgement: 1900})
	after.Observe(at(1040*ms), 1, 7, route, false, Head{Sequence: 200, Acknowledgement: 2900})
	after.Observe(at(2*time.Second), 1, 7, route, false, Head{Sequence: 200, Length: 50, Acknowledgement: 2900})
	before.Sweep(at(1500*ms), 15*time.Second)
	got := []Total{totals(&before, at(2*time.Second))[0], totals(&after, at(2*time.Second))[0]}
	want := []Total{{Upstream: 7, Open: 1, Busy: 500 * ms}, {Upstream: 7, UnderWay: 1}}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("totals before and after the move (-want +got):\n%s", d)
	}
	after.Observe(at(2050*ms), 1, 7, route, false, Head{Sequence: 250, Acknowledgement: 3900})
	after.Observe(at(3*time.Second), 1, 7, route, false, Head{Sequence: 250, Length: 50, Acknowledgement: 3900})
	if open := totals(&after, at(3*time.Second))[0].Open; open != 1 {
		t.Errorf("%d flows are open at the new instance, want 1", open)
	}
	before.Sweep(at(20*time.Second), 15*time.Second)
	if before.Len() != 0 {
		t.Errorf("%d flows are followed after the idle timeout, want 0", before.Len())
	}
}

func TestFollowedFlowsAreBounded(t *testing.T) {
	var s Flows
	for id := range uint64(maxFlows + 10) {
		s.Observe(at(0), id, 7, route, true, Head{})
	}
	if s.Len() != maxFlows {
		t.Errorf("%d flows are followed, want %d", s.Len(), maxFlows)
	}
}

// answer plays a flow with a single request whose answer takes a time and has some bytes.
func answer(s *Flows, id, upstream uint64, start, took time.Duration, bytes uint32) {
	s.Observe(at(start), id, upstream, route, true, Head{Sequence: 100, Length: 50, Acknowledgement: 900})
	s.Observe(at(start+took), id, upstream, route, false, Head{Sequence: 150, Acknowledgement: 900 + bytes/2})
	s.Observe(at(start+took+ms), id, upstream, route, false, Head{Sequence: 150, Acknowledgement: 900 + bytes})
	s.Close(at(start+took+ms), id)
}

// An answer of a single short packet that came at once is acknowledged after 40 ms.
func TestDelayedAcknowledgementIsNotTakenForWork(t *testing.T) {
	s := Flows{RoundTrip: 8 * ms}
	for n := range uint64(20) {
		answer(&s, n, 7, time.Duration(n)*20*ms, 30*ms, 2000)
	}
	answer(&s, 100, 8, 500*ms, 49*ms, 150)
	answer(&s, 101, 9, 500*ms, 49*ms, 1500)
	answer(&s, 102, 10, 500*ms, 60*ms, 150)
	want := []Total{{Upstream: 8, Answers: 1, Early: 1}}
	if d := cmp.Diff(want, totals(&s, at(time.Second))); d != "" {
		t.Errorf("totals (-want +got):\n%s", d)
	}
}

// Upstream 8 fails each third request at once with a short answer. Upstream 9 is fast, and
// upstream 10 has short answers that take their time. Only the failures come too soon.
func TestFailuresAtOnceAreAnswersTooSoon(t *testing.T) {
	s := Flows{RoundTrip: 8 * ms}
	for n := range uint64(60) {
		start := time.Duration(n) * 20 * ms
		answer(&s, 4*n, 7, start, 50*ms, 1000)
		if n%3 == 0 {
			answer(&s, 4*n+1, 8, start, 9*ms, 200)
		} else {
			answer(&s, 4*n+1, 8, start, 50*ms, 1000)
		}
		answer(&s, 4*n+2, 9, start, 12*ms, 1000)
		answer(&s, 4*n+3, 10, start, 40*ms, 200)
	}
	s.Totals(at(2*time.Second), time.Second, func(total Total) bool {
		if total.Upstream != 8 {
			t.Errorf("the answers of upstream %d are reported (%+v)", total.Upstream, total)
		}
		if total.Early < 15 || total.Early > 20 || total.Answers < 2*total.Early {
			t.Errorf("%d of %d answers came too soon, want 15 to 20 and a third", total.Early, total.Answers)
		}
		return true
	})
}

// All upstreams become ten times faster and shorter in their answers. That is the new usual.
func TestServiceThatBecomesFastHasNoAnswersTooSoon(t *testing.T) {
	var s Flows
	for n := range uint64(200) {
		answer(&s, n, n%5, time.Duration(n)*20*ms, 50*ms, 1000)
	}
	for n := range uint64(200) {
		answer(&s, n, n%5, 10*time.Second+time.Duration(n)*20*ms, 5*ms, 100)
	}
	totals(&s, at(20*time.Second))
	for n := range uint64(100) {
		answer(&s, n, n%5, 21*time.Second+time.Duration(n)*20*ms, 5*ms, 100)
	}
	for _, total := range totals(&s, at(24*time.Second)) {
		t.Errorf("%d further answers of upstream %d came too soon, want 0", total.Early, total.Upstream)
	}
}

// However a flow ends, the request that was under way in it is no longer counted: it was seen
// in its midst, its answer came or did not, its caller closed it, opened it anew or fell silent,
// or it went on at another upstream.
func TestEndedFlowsLeaveNoWork(t *testing.T) {
	request := Head{Sequence: 100, Length: 50, Acknowledgement: 900}
	next := Head{Sequence: 150, Length: 50, Acknowledgement: 1900}
	for name, begin := range map[string]func(s *Flows){
		"first request": func(s *Flows) { s.Observe(at(0), 1, 7, route, true, request) },
		"seen in its midst": func(s *Flows) {
			s.Observe(at(0), 1, 7, route, false, Head{})
			s.Observe(at(0), 1, 7, route, false, request)
		},
		"seen in its midst, at once": func(s *Flows) { s.Observe(at(0), 1, 7, route, false, request) },
		"second request": func(s *Flows) {
			s.Observe(at(0), 1, 7, route, true, request)
			s.Observe(at(10*ms), 1, 7, route, false, next)
		},
	} {
		for end, finish := range map[string]func(s *Flows){
			"closed":         func(s *Flows) { s.Close(at(50*ms), 1) },
			"abandoned":      func(s *Flows) { s.Sweep(at(10*time.Second), time.Minute) },
			"forgotten":      func(s *Flows) { s.Sweep(at(2*time.Minute), time.Minute) },
			"other upstream": func(s *Flows) { s.Observe(at(50*ms), 1, 8, route, false, Head{Sequence: 300, Acknowledgement: 3000}) },
			"answered, closed": func(s *Flows) {
				s.Observe(at(50*ms), 1, 7, route, false, Head{Sequence: 200, Acknowledgement: 2900})
				s.Close(at(60*ms), 1)
			},
			"abandoned, closed": func(s *Flows) { s.Sweep(at(10*time.Second), time.Minute); s.Close(at(11*time.Second), 1) },
		} {
			t.Run(name+", "+end, func(t *testing.T) {
				var s Flows
				begin(&s)
				finish(&s)
				for number, m := range s.meters {
					if m.total.UnderWay != 0 {
						t.Errorf("%d requests are under way at upstream %d, want 0", m.total.UnderWay, number)
					}
				}
			})
		}
	}
}
