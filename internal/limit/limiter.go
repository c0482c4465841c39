// Package limit keeps, for one upstream, the number of open flows that it may
// be given: a slow start after each start of the upstream, doubled by healthy
// windows and cut at once on evidence of overload.
package limit

import "time"

const (
	// stallThreshold is the number of stalled openings in one window that count
	// as evidence of overload.
	stallThreshold = 2
	// consecutiveStallThreshold is the number of openings that stalled one after the other,
	// with none answered between them, that count as evidence as well.
	consecutiveStallThreshold = 3
	// silentWindows is the number of windows without packet progress after
	// which an upstream that reports not to be ready gets nothing.
	silentWindows = 3
	// startTolerance absorbs jitter in the reported start time.
	startTolerance = 500 * time.Millisecond
)

// Phase is the state of an upstream as far as admission is concerned.
type Phase uint8

// Phases of an upstream.
const (
	Cold Phase = iota
	Warm
	Draining
	Down
)

// String returns the name of the phase.
func (p Phase) String() string {
	return [...]string{"cold", "warm", "draining", "down"}[p&3]
}

// Cause says why the limit last changed.
type Cause uint8

// Causes of a change.
const (
	CauseJoined Cause = iota
	CauseRestarted
	CauseTakenOver
	CauseHealthy
	CauseStalled
	CauseShedding
	CauseNotReady
	CauseDrained
)

// String returns the name of the cause.
func (c Cause) String() string {
	return [...]string{
		"joined", "restarted", "taken-over", "healthy", "stalled", "shedding", "not-ready", "drained",
	}[c&7]
}

// Capacity is what the inventory says that a warm upstream bears.
type Capacity struct {
	Slots       int
	Connections int
}

// Report is one reading of the health and load endpoints.
type Report struct {
	Ready    bool
	Draining bool
	Shedding bool
	Started  time.Time
}

// Limiter is the limit of one upstream. The zero value admits nothing until
// Start is called.
type Limiter struct {
	capacity Capacity
	window   time.Duration
	limit    int
	cause    Cause
	draining bool
	notReady bool

	started   time.Time
	windowEnd time.Time
	reportedReady  bool
	badCause       Cause
	sawBadReport     bool
	opened    int
	consecutiveStalls       int
	answers  int
	stalls    int
	silentRun    int
}

// Start begins a slow start.
func (l *Limiter) Start(now time.Time, capacity Capacity, window time.Duration, cause Cause) {
	*l = Limiter{capacity: capacity, window: window, started: l.started}
	l.beginSlowStart(now, cause)
}

// Resume begins at the limit that a former owner had reached.
func (l *Limiter) Resume(limit int) {
	l.limit = max(l.limit, min(limit, l.capacity.Connections))
}

// SetCapacity takes a changed inventory over without a new slow start.
func (l *Limiter) SetCapacity(capacity Capacity) {
	l.capacity = capacity
	l.limit = min(l.limit, capacity.Connections)
}

// SetDraining stops or resumes admission as the platform's list says.
func (l *Limiter) SetDraining(draining bool) { l.draining = draining }

// Limit returns the number of open flows allowed now.
func (l *Limiter) Limit() int {
	if l.draining || l.notReady {
		return 0
	}
	return l.limit
}

// Reached returns the limit without regard to draining or readiness.
func (l *Limiter) Reached() int { return l.limit }

// Phase returns the phase of the upstream.
func (l *Limiter) Phase() Phase {
	switch {
	case l.draining:
		return Draining
	case l.notReady:
		return Down
	case l.limit >= l.capacity.Connections:
		return Warm
	default:
		return Cold
	}
}

// Cause returns why the limit last changed.
func (l *Limiter) Cause() Cause {
	if l.draining {
		return CauseDrained
	}
	return l.cause
}

// Report takes one reading of the endpoints and returns true when it shows
// that the upstream restarted, so that its open flows are gone.
func (l *Limiter) Report(now time.Time, r Report) bool {
	l.draining = r.Draining
	if l.hasRestarted(r.Started) {
		l.started = r.Started
		l.beginSlowStart(now, CauseRestarted)
		return true
	}
	// Only a newer time counts, so that an endpoint that answers from an old
	// reading now and then shows no second restart.
	if r.Started.After(l.started) {
		l.started = r.Started
	}
	switch {
	case r.Shedding:
		l.cut(now, CauseShedding)
	case r.Ready:
		l.reportedReady = true
		l.notReady = false
	default:
		l.badCause, l.sawBadReport = CauseNotReady, true
	}
	return false
}

func (l *Limiter) hasRestarted(started time.Time) bool {
	return !l.started.IsZero() && started.After(l.started.Add(startTolerance))
}

// Opened counts an opening that was answered.
func (l *Limiter) Opened() {
	l.opened++
	l.consecutiveStalls = 0
	l.Answered()
}

// Answered counts a request that was answered.
func (l *Limiter) Answered() {
	l.answers++
	l.silentRun = 0
	l.notReady = false
}

// Stall counts an opening that was not answered in time and reports whether
// openings stall in such numbers that the upstream may be overloaded.
func (l *Limiter) Stall() bool {
	l.stalls++
	l.consecutiveStalls++
	if l.consecutiveStalls >= consecutiveStallThreshold {
		return true
	}
	return l.stalls >= stallThreshold && Stalling(l.opened, l.stalls)
}

// Window returns the answered and the stalled openings of this window.
func (l *Limiter) Window() (opened, stalls int) {
	return l.opened, l.stalls
}

// Stalling reports whether more openings stalled than lost packets explain.
func Stalling(opened, stalls int) bool {
	return stalls > opened
}

// CutStalled starts slow again because openings stall here alone.
func (l *Limiter) CutStalled(now time.Time) {
	l.cut(now, CauseStalled)
}

// Tick ends windows that have passed: a healthy one doubles the limit.
func (l *Limiter) Tick(now time.Time) {
	if l.window == 0 || now.Before(l.windowEnd) {
		return
	}
	l.endWindow()
	l.reportedReady, l.sawBadReport = false, false
	l.opened, l.answers, l.stalls = 0, 0, 0
	l.windowEnd = now.Add(l.window)
}

func (l *Limiter) endWindow() {
	if l.answers == 0 {
		l.silentRun++
	}
	if l.sawBadReport {
		if l.silentRun >= silentWindows {
			l.notReady = true
			l.limit, l.cause = min(l.capacity.Slots, l.capacity.Connections), l.badCause
		}
		return
	}
	if Stalling(l.opened, l.stalls) || (!l.reportedReady && l.answers == 0) {
		return
	}
	if l.limit < l.capacity.Connections {
		l.limit = min(max(2*l.limit, 1), l.capacity.Connections)
		l.cause = CauseHealthy
	}
}

func (l *Limiter) cut(now time.Time, cause Cause) {
	l.beginSlowStart(now, cause)
	l.opened, l.answers, l.stalls, l.consecutiveStalls, l.reportedReady = 0, 0, 0, 0, false
}

func (l *Limiter) beginSlowStart(now time.Time, cause Cause) {
	l.limit = min(l.capacity.Slots, l.capacity.Connections)
	l.cause = cause
	l.notReady = false
	l.windowEnd = now.Add(l.window)
}
