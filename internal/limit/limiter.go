// Package limit computes the limit on open flows of one upstream. The limit follows
// a slow start after each start of the upstream, doubles after each healthy window
// and is cut at once on evidence of overload.
package limit

import "time"

const (
	// stallThreshold is the number of stalled openings in one window that are
	// evidence of overload.
	stallThreshold = 2
	// consecutiveStallThreshold is the number of consecutive stalled openings,
	// in any number of windows, that are evidence of overload too.
	consecutiveStallThreshold = 3
	// silentWindows is the number of windows without any answer after which an
	// upstream that reports that it is not ready gets no flows.
	silentWindows = 3
	// startTolerance is the difference of two reported start times up to which they
	// are taken for the same start. It absorbs jitter.
	startTolerance = 500 * time.Millisecond
)

// Phase is the admission state of an upstream.
type Phase uint8

// Phases of an upstream.
const (
	// Cold upstreams have a limit below Capacity.Connections.
	Cold Phase = iota
	// Warm upstreams have a limit of Capacity.Connections.
	Warm
	// Draining upstreams admit no new flows.
	Draining
	// Down upstreams admit no flows: they are not ready and do not answer.
	Down
)

// String returns the name of the phase.
func (p Phase) String() string {
	return [...]string{"cold", "warm", "draining", "down"}[p&3]
}

// Cause is the reason for the last change of the limit.
type Cause uint8

// Causes of a change of the limit. CauseJoined stands for a new upstream and
// CauseTakenOver for one that another instance may have limited before.
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

// Capacity is what a warm upstream can take according to the inventory.
type Capacity struct {
	// Slots is the limit at which a slow start begins, Connections the highest
	// limit.
	Slots       int
	Connections int
}

// Report is one reading of the health and load endpoints of an upstream.
type Report struct {
	Ready    bool
	Draining bool
	// Shedding means that the upstream rejects requests because of overload.
	Shedding bool
	// Started is the start time of the upstream, zero if unknown.
	Started time.Time
}

// Limiter holds the limit of one upstream. The zero value admits no flows until
// Start is called. It is not safe for concurrent use.
type Limiter struct {
	capacity Capacity
	window   time.Duration
	limit    int
	cause    Cause
	draining bool
	// notReady is true while the upstream is Down.
	notReady bool

	// started is the newest start time that the upstream has reported.
	started          time.Time
	windowEnd        time.Time
	reportedReady    bool
	notReadyCause    Cause
	reportedNotReady bool
	// opened counts the answered openings, answers all answered requests and stalls
	// the stalled openings of the current window.
	opened            int
	consecutiveStalls int
	answers           int
	stalls            int
	// silentRun is the number of consecutive windows without any answer.
	silentRun int
}

// Start begins a slow start at Capacity.Slots. The limit can double at the end of each
// window.
func (l *Limiter) Start(now time.Time, capacity Capacity, window time.Duration, cause Cause) {
	*l = Limiter{capacity: capacity, window: window, started: l.started}
	l.beginSlowStart(now, cause)
}

// Resume raises the limit to the one that the instance that limited the upstream
// before had reached, but not above Capacity.Connections. It never lowers the limit.
func (l *Limiter) Resume(limit int) {
	l.limit = max(l.limit, min(limit, l.capacity.Connections))
}

// SetCapacity applies a changed inventory without a new slow start.
func (l *Limiter) SetCapacity(capacity Capacity) {
	l.capacity = capacity
	l.limit = min(l.limit, capacity.Connections)
}

// SetDraining stops or resumes admission, as the platform's upstream list says.
func (l *Limiter) SetDraining(draining bool) { l.draining = draining }

// Limit returns the number of open flows that are allowed now.
func (l *Limiter) Limit() int {
	if l.draining || l.notReady {
		return 0
	}
	return l.limit
}

// BaseLimit returns the limit without regard to draining and readiness.
func (l *Limiter) BaseLimit() int { return l.limit }

// Phase returns the current phase. Draining takes precedence over Down.
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

// Cause returns the reason for the last change of the limit, or CauseDrained while
// the upstream drains.
func (l *Limiter) Cause() Cause {
	if l.draining {
		return CauseDrained
	}
	return l.cause
}

// Report applies one reading of the health and load endpoints. It returns true if
// the upstream has restarted, which ends its open flows.
func (l *Limiter) Report(now time.Time, r Report) bool {
	l.draining = r.Draining
	if l.hasRestarted(r.Started) {
		l.started = r.Started
		l.beginSlowStart(now, CauseRestarted)
		return true
	}
	// Keep the newest time, so that an endpoint that sometimes answers with an old
	// reading does not indicate a second restart.
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
		l.notReadyCause, l.reportedNotReady = CauseNotReady, true
	}
	return false
}

func (l *Limiter) hasRestarted(started time.Time) bool {
	return !l.started.IsZero() && started.After(l.started.Add(startTolerance))
}

// RecordOpening records an opening that was answered.
func (l *Limiter) RecordOpening() {
	l.opened++
	l.consecutiveStalls = 0
	l.RecordAnswer()
}

// RecordAnswer records a request that was answered.
func (l *Limiter) RecordAnswer() {
	l.answers++
	l.silentRun = 0
	l.notReady = false
}

// RecordStall records an opening that was not answered in time. It reports whether so
// many openings stall that the upstream may be overloaded.
func (l *Limiter) RecordStall() bool {
	l.stalls++
	l.consecutiveStalls++
	if l.consecutiveStalls >= consecutiveStallThreshold {
		return true
	}
	return l.stalls >= stallThreshold && StallsExceedLoss(l.opened, l.stalls)
}

// WindowCounts returns the answered and the stalled openings of the current window.
func (l *Limiter) WindowCounts() (opened, stalls int) {
	return l.opened, l.stalls
}

// StallsExceedLoss reports whether more openings stalled than packet loss explains.
func StallsExceedLoss(opened, stalls int) bool {
	return stalls > opened
}

// CutForStalls restarts the slow start because openings stall at this upstream only.
func (l *Limiter) CutForStalls(now time.Time) {
	l.cut(now, CauseStalled)
}

// Tick ends the window if it is over. A healthy window doubles the limit.
func (l *Limiter) Tick(now time.Time) {
	if l.window == 0 || now.Before(l.windowEnd) {
		return
	}
	l.endWindow()
	l.reportedReady, l.reportedNotReady = false, false
	l.opened, l.answers, l.stalls = 0, 0, 0
	l.windowEnd = now.Add(l.window)
}

// endWindow doubles the limit if the upstream answered or reported that it is ready,
// did not report that it is not, and did not stall more openings than packet loss
// explains. An upstream that reports that it is not ready admits no flows after
// silentWindows without an answer.
func (l *Limiter) endWindow() {
	if l.answers == 0 {
		l.silentRun++
	}
	if l.reportedNotReady {
		if l.silentRun >= silentWindows {
			l.notReady = true
			l.limit, l.cause = min(l.capacity.Slots, l.capacity.Connections), l.notReadyCause
		}
		return
	}
	if StallsExceedLoss(l.opened, l.stalls) || (!l.reportedReady && l.answers == 0) {
		return
	}
	if l.limit < l.capacity.Connections {
		l.limit = min(max(2*l.limit, 1), l.capacity.Connections)
		l.cause = CauseHealthy
	}
}

// cut restarts the slow start and discards the evidence of the current window.
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
