package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Promises that are checked, each with the bound of the users' rules.
const (
	promiseMixed    = "mixed"
	promiseUnasked  = "unasked"
	promiseRoute    = "route"
	promiseOnce     = "once"
	promiseDrain    = "drain"
	promiseOut      = "data-centre-out"
	promiseConfig   = "configuration"
	promiseCold     = "cold"
	promiseFlow     = "flow"
	promiseRecovery = "recovery"
	promiseShutdown = "shutdown"
	drainBound      = 3 * time.Second
	outBound        = 5 * time.Second
	configBound     = 3 * time.Second
	flowWindow      = 2 * time.Second
	flowStrays      = 3
	coldOverage     = 1.5
	coldSlack       = 5
	recoveryBound   = 12 * time.Second
	recoveredShare  = 0.25
	touchBound      = 4 * time.Second
	scheduleSlack   = 500 * time.Millisecond
)

// Break is one broken promise.
type Break struct {
	Promise string
	At      time.Duration
	Detail  string
}

// String returns one line.
func (b Break) String() string {
	return fmt.Sprintf("%8.3f %s: %s", b.At.Seconds(), b.Promise, b.Detail)
}

// journal gathers what callers and upstreams see.
type journal struct {
	mu     sync.Mutex
	begun  time.Time
	breaks []Break
	// unsettled is the time until which bounds do not hold, since a fault
	// disturbs the instances.
	unsettled time.Time
	answered  int
	begunFlow int
	answers   []time.Time
	starts    []time.Time
}

func (j *journal) broke(promise, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.breaks = append(j.breaks, Break{promise, time.Since(j.begun), fmt.Sprintf(format, args...)})
}

// disturb notes a fault that lasts until a time.
func (j *journal) disturb(until time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if u := until.Add(touchBound); u.After(j.unsettled) {
		j.unsettled = u
	}
}

// settled tells whether no fault was in force during the bound before now.
func (j *journal) settled(bound time.Duration) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return time.Now().Add(-bound).After(j.unsettled)
}

func (j *journal) beginFlow() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.begunFlow++
	j.starts = append(j.starts, time.Now())
}

func (j *journal) answer() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.answered++
	j.answers = append(j.answers, time.Now())
}

// servedBetween returns the share of the flows begun in a time that had as many
// answers then.
func (j *journal) servedBetween(from, to time.Time) float64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	count := func(list []time.Time) int {
		n := 0
		for _, t := range list {
			if !t.Before(from) && t.Before(to) {
				n++
			}
		}
		return n
	}
	return float64(count(j.answers)) / float64(max(1, count(j.starts)))
}

func (j *journal) list() []Break {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.breaks)
}
