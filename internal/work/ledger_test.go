package work

import (
	"math"
	"testing"
	"time"
)

// feed gives the ledger what an instance "a" says that has on average the given number of
// requests under way, from start to end in steps. Messages for which lost returns true do
// not arrive.
func feed(l *Ledger[string], underWay float64, start, end time.Duration, lost func(n int) bool) {
	const step = 200 * ms
	for n, d := 0, start; d <= end; n, d = n+1, d+step {
		if lost == nil || !lost(n) {
			busy := time.Duration(underWay * float64(d-start))
			l.Record(at(d), "a", Total{Open: 10, Busy: busy, Ended: uint64(d / step), Took: busy})
		}
	}
}

func within(t *testing.T, what string, got, want, tolerance float64) {
	t.Helper()
	if math.Abs(got-want) > tolerance {
		t.Errorf("%s is %.3f, want %.3f", what, got, want)
	}
}

func TestWorkOfSeveralInstancesAddsUp(t *testing.T) {
	var l Ledger[string]
	for d := time.Duration(0); d <= 3*time.Second; d += 200 * ms {
		l.Record(at(d), "a", Total{Open: 10, Busy: d * 3 / 2})
		l.Record(at(d), "b", Total{Open: 10, Busy: d / 2})
	}
	within(t, "work", l.Work(at(3*time.Second), 0), 2, 0.1)
	if l.Open() != 20 {
		t.Errorf("%d flows are open, want 20", l.Open())
	}
}

func TestLostReportsDoNotChangeWork(t *testing.T) {
	var l Ledger[string]
	feed(&l, 2, 0, 6*time.Second, func(n int) bool { return n%3 == 1 })
	within(t, "work", l.Work(at(6*time.Second), 0), 2, 0.15)
}

// A process that starts anew counts from zero. Its predecessor's work is forgotten with it.
func TestRestartedProcessIsNotCountedTwice(t *testing.T) {
	var l Ledger[string]
	feed(&l, 2, 0, 3*time.Second, nil)
	l.Forget("a")
	if l.Open() != 0 {
		t.Errorf("%d flows are open, want 0", l.Open())
	}
	feed(&l, 1, 4*time.Second, 8*time.Second, nil)
	within(t, "work", l.Work(at(8*time.Second), 0), 1, 0.1)
	l.Record(at(8200*ms), "a", Total{Open: 10, Busy: ms})
	if w := l.Work(at(8200*ms), 0); w > 1 {
		t.Errorf("work is %.3f after totals that fell, want at most 1", w)
	}
}

// The reports of an instance stop. Its flows count as bringing as much as others, until
// they are forgotten.
func TestOverdueReportsDecayToUsualWork(t *testing.T) {
	var l Ledger[string]
	feed(&l, 4, 0, 3*time.Second, nil)
	l.Sweep(at(6 * time.Second))
	within(t, "work of 10 flows that bring 0.05 each", l.Work(at(6*time.Second), 0.05), 0.5, 0.05)
	l.Sweep(at(20 * time.Second))
	within(t, "work", l.Work(at(20*time.Second), 0.05), 0, 0.01)
}

// A new coordinator hears of requests under way before it has heard of any time.
func TestFirstReportStandsForWork(t *testing.T) {
	var l Ledger[string]
	l.Record(at(0), "a", Total{Open: 5, UnderWay: 3, Busy: time.Hour, Ended: 1000})
	within(t, "work", l.Work(at(0), 0), 3, 0.01)
}
