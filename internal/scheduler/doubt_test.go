package scheduler

import (
	"testing"
	"time"
)

const coldFor = 2 * time.Second

// newDoubtScheduler returns a scheduler with one upstream that fell silent at the given time.
// It takes 10 flows a second while it is cold, half of them from one coordinator.
func newDoubtScheduler(silentAt time.Time) *Scheduler {
	p := newScheduler(1)
	p.SetCold(desk, coldFor, 10)
	p.RecordAnswer(at(0), 1)
	p.RecordFailover(silentAt, 1, silentThreshold, "self", true)
	return p
}

// placeFor places flows every 10 ms for a second and returns how many were placed.
func placeFor(p *Scheduler, from time.Time, allowCold bool) int {
	placed := 0
	for ms := time.Duration(0); ms < time.Second; ms += 10 * time.Millisecond {
		now := from.Add(ms)
		if _, v := p.Place(now, Request{Service: desk, Group: AnyGroup, AllowCold: allowCold}); v == Placed {
			placed++
			p.FlowEnded(now, 1, 0)
		}
	}
	return placed
}

// The answer to a trial opening does not tell whether an upstream is the process that fell
// silent or has restarted. It must not get its full share before that is known.
func TestUpstreamThatAnswersAgainIsTreatedAsCold(t *testing.T) {
	p := newDoubtScheduler(at(time.Second))
	if n := placeFor(p, at(time.Second+minSuspectTime), false); n != 0 {
		t.Errorf("%d flows from an instance other than the coordinator, want 0", n)
	}
	back := at(4 * time.Second)
	p.RecordAnswer(back, 1)
	if n := placeFor(p, back, true); n != 5 {
		t.Errorf("%d flows in a second from the coordinator, want 5", n)
	}
	if n := placeFor(p, back.Add(time.Second), false); n != 0 {
		t.Errorf("%d flows from an instance other than the coordinator, want 0", n)
	}
	if n := placeFor(p, back.Add(coldFor), false); n != 100 {
		t.Errorf("%d of 100 flows after the cold time, want all", n)
	}
}

// An upstream that answers within minRestartTime of its last answer has not restarted.
func TestShortSilenceRaisesNoDoubt(t *testing.T) {
	p := newDoubtScheduler(at(100 * time.Millisecond))
	p.RecordAnswer(at(minRestartTime/2), 1)
	if n := placeFor(p, at(minRestartTime/2), false); n != 100 {
		t.Errorf("%d of 100 flows, want all", n)
	}
}

// The end of a flow whose opening was not acknowledged ends the suspicion, not the doubt:
// the flow may have been answered before the upstream fell silent.
func TestEndOfUnansweredFlowLeavesDoubt(t *testing.T) {
	p := newDoubtScheduler(at(time.Second))
	p.RecordUnanswered(at(time.Second), 1, 7, "self", true)
	p.FlowEnded(at(3*time.Second), 1, 7)
	if p.IsSuspect(at(3*time.Second), 1) {
		t.Error("the upstream is still suspect")
	}
	if n := placeFor(p, at(3*time.Second), false); n != 0 {
		t.Errorf("%d flows from an instance other than the coordinator, want 0", n)
	}
}

// An instance that did not see the silence treats the upstream as the others do.
func TestDoubtOfOtherInstanceIsTakenOver(t *testing.T) {
	p := newDoubtScheduler(at(time.Second))
	q := newScheduler(1)
	q.SetCold(desk, coldFor, 10)
	now := at(2 * time.Second)
	for _, answered := range []bool{false, true} {
		if answered {
			p.RecordAnswer(now, 1)
		}
		d, ok := p.DoubtOf(now, 1)
		if !ok {
			t.Fatal("there is no doubt about an upstream that fell silent")
		}
		q.AddDoubt(now, d)
		if n := placeFor(q, now, true); n != 5 {
			t.Errorf("%d flows in a second, want 5", n)
		}
		now = now.Add(time.Second)
	}
}

// As a last resort, instances that do not coordinate the upstream stay below the rate of a
// cold one together.
func TestLastResortKeepsToRateOfColdUpstream(t *testing.T) {
	const instances = 20
	placed := 0
	for range instances {
		p := newDoubtScheduler(at(time.Second))
		for ms := time.Duration(0); ms < time.Second; ms += 10 * time.Millisecond {
			r := Request{Service: desk, Group: AnyGroup, AllowSuspects: true, Instances: instances}
			if _, v := p.Place(at(time.Second+ms), r); v == Placed {
				placed++
			}
		}
	}
	// Each of them may send its first one at once.
	if placed > instances {
		t.Errorf("%d flows in a second, want %d at most", placed, instances)
	}
}

func TestDoubtEndsWhenRestartWouldBeKnown(t *testing.T) {
	p := newDoubtScheduler(at(time.Second))
	p.RecordAnswer(at(2*time.Second), 1)
	p.ClearDoubts(at(2 * time.Second))
	if _, ok := p.DoubtOf(at(2*time.Second), 1); !ok {
		t.Error("the doubt ended before a restart would be known")
	}
	p.ClearDoubts(at(2*time.Second + 1))
	if d, ok := p.DoubtOf(at(2*time.Second), 1); ok {
		t.Errorf("doubt %v remains", d)
	}
}

// While entries can be read they tell of restarts, and an upstream that answers again gets
// its share. If the store turns out not to have answered since, the doubt counts.
func TestDoubtCountsOnlyWhileEntriesCannotBeRead(t *testing.T) {
	p := newDoubtScheduler(at(time.Second))
	p.doubtsOf(1).blind = false
	p.SetInformed(at(time.Second), true)
	back := at(4 * time.Second)
	p.RecordAnswer(back, 1)
	if n := placeFor(p, back, false); n != 100 {
		t.Errorf("%d of 100 flows, want all", n)
	}
	p.SetInformed(back.Add(noticeTime/2), false)
	if n := placeFor(p, back.Add(noticeTime/2), true); n > 5 {
		t.Errorf("%d flows in a second after the store did not answer, want 5 at most", n)
	}
}

// doubtsOf returns the doubt about an upstream.
func (p *Scheduler) doubtsOf(number uint64) *doubt { return &p.upstreams[number].doubt }
