package limit

import (
	"flag"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const window = time.Second

// TestMain fixes the seed of the property test; -rapid.seed changes it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var (
	capacity = Capacity{Slots: 2, Connections: 20}
	ready    = Report{Ready: true}
)

// state is the visible state of a limiter.
type state struct {
	Limit     int
	BaseLimit int
	Phase     string
	Cause     string
}

func stateOf(l *Limiter) state {
	return state{l.Limit(), l.BaseLimit(), l.Phase().String(), l.Cause().String()}
}

// started returns a limiter at the beginning of its slow start.
func started() *Limiter {
	l := &Limiter{}
	l.Start(time.Now(), capacity, window, CauseJoined)
	return l
}

// pass lets n windows end. It calls during, if not nil, within each window.
func pass(l *Limiter, n int, during func(l *Limiter)) {
	for range n {
		if during != nil {
			during(l)
		}
		time.Sleep(window)
		l.Tick(time.Now())
	}
}

func reporting(r Report) func(*Limiter) {
	return func(l *Limiter) { l.Report(time.Now(), r) }
}

func answering(l *Limiter) { l.RecordOpening() }

// times calls step n times.
func times(n int, step func(l *Limiter)) func(*Limiter) {
	return func(l *Limiter) {
		for range n {
			step(l)
		}
	}
}

func stalling(l *Limiter) { l.RecordStall() }

func TestLimitAfterEvents(t *testing.T) {
	overload := func(l *Limiter) {
		pass(l, 3, answering)
		l.CutForStalls(time.Now())
	}
	shed := reporting(Report{Ready: true, Shedding: true})
	notReady := reporting(Report{})
	tests := []struct {
		name string
		run  func(l *Limiter)
		want state
	}{
		{"slow start begins at the slots", func(*Limiter) {}, state{2, 2, "cold", "joined"}},
		{"one healthy window doubles the limit", func(l *Limiter) { pass(l, 1, reporting(ready)) }, state{4, 4, "cold", "healthy"}},
		{"answers without reports count as healthy", func(l *Limiter) { pass(l, 3, answering) }, state{16, 16, "cold", "healthy"}},
		{"growth stops at the connections", func(l *Limiter) { pass(l, 9, answering) }, state{20, 20, "warm", "healthy"}},
		{"no growth without answers or reports", func(l *Limiter) { pass(l, 5, nil) }, state{2, 2, "cold", "joined"}},
		{"answers count for one window only", func(l *Limiter) {
			pass(l, 1, answering)
			pass(l, 5, nil)
		}, state{4, 4, "cold", "healthy"}},
		{"shedding cuts the limit at once", func(l *Limiter) {
			pass(l, 3, answering)
			shed(l)
		}, state{2, 2, "cold", "shedding"}},
		{"a cut discards earlier answers and reports", func(l *Limiter) {
			l.RecordOpening()
			reporting(ready)(l)
			shed(l)
			pass(l, 1, nil)
		}, state{2, 2, "cold", "shedding"}},
		{"a cut starts a new full window", func(l *Limiter) {
			time.Sleep(window / 2)
			shed(l)
			l.RecordOpening()
			time.Sleep(window / 2)
			l.Tick(time.Now())
		}, state{2, 2, "cold", "shedding"}},
		{"stalls of this upstream only cut the limit", overload, state{2, 2, "cold", "stalled"}},
		{"more stalls than answers prevent growth", func(l *Limiter) {
			l.RecordOpening()
			pass(l, 1, times(2, stalling))
		}, state{2, 2, "cold", "joined"}},
		{"answered openings outweigh stalls", func(l *Limiter) {
			times(3, answering)(l)
			pass(l, 1, times(2, stalling))
		}, state{4, 4, "cold", "healthy"}},
		{"not ready has no effect before enough silent windows", func(l *Limiter) {
			pass(l, 3, answering)
			pass(l, silentWindows-1, notReady)
		}, state{16, 16, "cold", "healthy"}},
		{"not ready and silent admits nothing", func(l *Limiter) {
			pass(l, 3, answering)
			pass(l, silentWindows, notReady)
		}, state{0, 2, "down", "not-ready"}},
		{"answers outweigh not ready", func(l *Limiter) {
			pass(l, 3, answering)
			pass(l, 9, func(l *Limiter) {
				notReady(l)
				l.RecordAnswer()
			})
		}, state{16, 16, "cold", "healthy"}},
		{"ready again starts at the slots", func(l *Limiter) {
			pass(l, 3, answering)
			pass(l, silentWindows, notReady)
			reporting(ready)(l)
		}, state{2, 2, "cold", "not-ready"}},
		{"an answer clears not ready", func(l *Limiter) {
			pass(l, silentWindows, notReady)
			l.RecordAnswer()
		}, state{2, 2, "cold", "not-ready"}},
		{"a draining upstream admits nothing", reporting(Report{Ready: true, Draining: true}), state{0, 2, "draining", "drained"}},
		{"draining set by the platform admits nothing", func(l *Limiter) { l.SetDraining(true) }, state{0, 2, "draining", "drained"}},
		{"the limit survives a drain that ends", func(l *Limiter) {
			pass(l, 2, answering)
			l.SetDraining(true)
			l.SetDraining(false)
		}, state{8, 8, "cold", "healthy"}},
		{"resume restores the limit of the former owner", func(l *Limiter) { l.Resume(9) }, state{9, 9, "cold", "joined"}},
		{"resume is bounded by the connections", func(l *Limiter) { l.Resume(50) }, state{20, 20, "warm", "joined"}},
		{"resume never lowers the limit", func(l *Limiter) { l.Resume(1) }, state{2, 2, "cold", "joined"}},
		{"a smaller capacity applies at once", func(l *Limiter) {
			l.Resume(20)
			l.SetCapacity(Capacity{Slots: 2, Connections: 5})
		}, state{5, 5, "warm", "joined"}},
		{"the connections cap the slots", func(l *Limiter) {
			l.SetCapacity(Capacity{Slots: 2, Connections: 1})
			pass(l, silentWindows, notReady)
		}, state{0, 1, "down", "not-ready"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := started()
				tt.run(l)
				if d := cmp.Diff(tt.want, stateOf(l)); d != "" {
					t.Errorf("limiter (-want +got):\n%s", d)
				}
			})
		})
	}
}

func TestZeroLimiterAdmitsNothing(t *testing.T) {
	l := &Limiter{}
	l.RecordOpening()
	l.Tick(time.Now())
	if l.Limit() != 0 {
		t.Errorf("limit is %d before Start, want 0", l.Limit())
	}
}

func TestReportDetectsRestart(t *testing.T) {
	tests := []struct {
		name  string
		first time.Duration
		next  time.Duration
		want  bool
		limit int
	}{
		{"same start time", time.Hour, time.Hour, false, 16},
		{"start time within the tolerance", time.Hour, time.Hour + startTolerance, false, 16},
		{"older start time", time.Hour, time.Minute, false, 16},
		{"newer start time", time.Hour, time.Hour + startTolerance + 1, true, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l, epoch := started(), time.Now()
				if l.Report(time.Now(), Report{Ready: true, Started: epoch.Add(tt.first)}) {
					t.Error("first report is taken for a restart")
				}
				pass(l, 3, answering)
				got := l.Report(time.Now(), Report{Ready: true, Started: epoch.Add(tt.next)})
				if d := cmp.Diff([]any{tt.want, tt.limit}, []any{got, l.Limit()}); d != "" {
					t.Errorf("restarted and limit (-want +got):\n%s", d)
				}
			})
		})
	}
}

func TestStallDistinguishesOverloadFromPacketLoss(t *testing.T) {
	stall, answer, window := "stall", "answer", "window"
	tests := []struct {
		name   string
		events []string
		want   bool
	}{
		{"one stall", []string{stall}, false},
		{"more stalls than answers", []string{stall, stall}, true},
		{"as many stalls as answers", []string{answer, stall, answer, stall}, false},
		{"fewer stalls than answers", []string{answer, answer, answer, stall, stall}, false},
		{"three consecutive stalls after more answers", []string{answer, answer, answer, answer, answer, stall, stall, stall}, true},
		{"consecutive stalls interrupted by an answer", []string{answer, answer, answer, answer, stall, stall, answer, stall}, false},
		{"three consecutive stalls in separate windows", []string{stall, window, stall, window, stall}, true},
		{"two consecutive stalls in separate windows", []string{stall, window, stall}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l, got := started(), false
				for _, e := range tt.events {
					switch e {
					case stall:
						got = l.RecordStall()
					case answer:
						l.RecordOpening()
					case window:
						pass(l, 1, nil)
					}
				}
				if got != tt.want {
					opened, stalls := l.WindowCounts()
					t.Errorf("RecordStall returned %t after %d answers and %d stalls in the window", got, opened, stalls)
				}
			})
		})
	}
}

// For any sequence of events, the limit stays within the connections and grows only
// by doubling, at most once per window. Nothing else raises it above the slots.
func TestLimitNeitherExceedsConnectionsNorDoublesTwiceAWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacities := rapid.Custom(func(t *rapid.T) Capacity {
			return Capacity{Slots: rapid.IntRange(0, 4).Draw(t, "slots"), Connections: rapid.IntRange(0, 40).Draw(t, "connections")}
		})
		now := time.Unix(0, 0)
		c := capacities.Draw(t, "capacity")
		l := &Limiter{}
		l.Start(now, c, window, CauseJoined)
		grown := now
		actions := map[string]func(*rapid.T){
			"tick": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
				before := l.BaseLimit()
				l.Tick(now)
				if l.BaseLimit() <= before {
					return
				}
				if l.BaseLimit() > max(2*before, 1) || now.Sub(grown) < window {
					t.Fatalf("limit grew from %d to %d after %v", before, l.BaseLimit(), now.Sub(grown))
				}
				grown = now
			},
			"report": func(t *rapid.T) {
				before := l.BaseLimit()
				l.Report(now, Report{
					Ready: rapid.Bool().Draw(t, "ready"), Draining: rapid.Bool().Draw(t, "draining"),
					Shedding: rapid.Bool().Draw(t, "shedding"), Started: now.Add(-time.Duration(rapid.IntRange(0, 9).Draw(t, "age")) * window),
				})
				if l.BaseLimit() > max(before, c.Slots) {
					t.Fatalf("a report raised the limit from %d to %d", before, l.BaseLimit())
				}
			},
			"opened":   func(*rapid.T) { l.RecordOpening() },
			"answered": func(*rapid.T) { l.RecordAnswer() },
			"stall": func(*rapid.T) {
				if l.RecordStall() {
					l.CutForStalls(now)
				}
			},
			"silence": func(*rapid.T) {
				for range silentWindows {
					l.Report(now, Report{})
					now = now.Add(window)
					l.Tick(now)
				}
			},
			"resume": func(t *rapid.T) { l.Resume(rapid.IntRange(0, 100).Draw(t, "limit")) },
			"capacity": func(t *rapid.T) {
				c = capacities.Draw(t, "capacity")
				l.SetCapacity(c)
			},
			"": func(t *rapid.T) {
				if l.Limit() > c.Connections || l.BaseLimit() > c.Connections {
					t.Fatalf("limit %d or base limit %d exceeds %d connections", l.Limit(), l.BaseLimit(), c.Connections)
				}
			},
		}
		t.Repeat(actions)
	})
}

func TestStaleReportIsNotASecondRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l Limiter
		l.Start(time.Now(), capacity, window, CauseJoined)
		before, after := time.Now().Add(-time.Hour), time.Now()
		l.Report(time.Now(), Report{Ready: true, Started: before})
		if !l.Report(time.Now(), Report{Ready: true, Started: after}) {
			t.Error("newer start time is not taken for a restart")
		}
		l.Report(time.Now(), Report{Ready: true, Started: before})
		if l.Report(time.Now(), Report{Ready: true, Started: after}) {
			t.Error("start time seen before is taken for a second restart")
		}
	})
}
