package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Guarantees that a run checks, and the bounds that the requirements set for them.
const (
	// Callers receive only responses of upstreams to their own requests.
	guaranteeMixed = "mixed"
	// Upstreams run only requests that a caller sent, unchanged.
	guaranteeUnasked = "unasked"
	// Flows reach only upstreams of the service of their route.
	guaranteeRoute = "route"
	guaranteeOnce  = "once" // Requests run at most once. No check covers this guarantee.
	// A draining upstream receives no new flows after drainBound.
	guaranteeDrain = "drain"
	// A data centre that is out of service receives no new flows after
	// dataCentreOutBound.
	guaranteeDataCentreOut = "data-centre-out"
	// Route changes take effect within configBound.
	guaranteeConfiguration = "configuration"
	// Instances never return to an older configuration.
	guaranteeRegress = "regress"
	// Cold upstreams receive new flows at a limited rate.
	guaranteeCold = "cold"
	// Packets of an established flow reach its upstream.
	guaranteeFlow = "flow"
	// Open flows whose upstream is dead are reset within reachBound of their next request.
	guaranteeReach = "reach"
	reachBound     = 3 * time.Second
	// More urgent flows are not answered less often than others of their service, by more
	// than urgentTolerance, while the load exceeds what upstreams bear.
	guaranteeUrgent = "urgent"
	urgentTolerance = 0.1
	// Flows are answered again within recoveryBound after the last event.
	guaranteeRecovery = "recovery"
	// An instance exits within terminationGrace of SIGTERM.
	guaranteeShutdown  = "shutdown"
	drainBound         = 3 * time.Second
	dataCentreOutBound = 5 * time.Second
	configBound        = 3 * time.Second
	// guaranteeFlow is violated if misroutedThreshold packets of a flow reach
	// other upstreams than its own, and none its own, within misroutedWindow after the
	// flow was established or for misroutedWindow.
	misroutedWindow    = 2 * time.Second
	misroutedThreshold = 3
	// A cold upstream may exceed its rate by the factor coldRateTolerance plus
	// coldBurst flows in one second.
	coldRateTolerance = 1.5
	coldBurst         = 5
	recoveryBound     = 12 * time.Second
	// minAnsweredRatio is the ratio of responses to new flows that counts as
	// recovered.
	minAnsweredRatio = 0.25
	// faultSettleTime is the time after the end of a fault in which bounds are not
	// checked.
	faultSettleTime = 4 * time.Second
	// schedulingTolerance is added to the bounds to allow for scheduling delays.
	schedulingTolerance = 500 * time.Millisecond
)

// Violation is one observed breach of a guarantee. At is relative to the start of
// the run.
type Violation struct {
	Guarantee string
	At        time.Duration
	Detail    string
}

// String formats the violation as one line, with the time in seconds.
func (v Violation) String() string {
	return fmt.Sprintf("%8.3f %s: %s", v.At.Seconds(), v.Guarantee, v.Detail)
}

// journal collects the observations of callers and upstreams. It is safe for
// concurrent use.
type journal struct {
	mu         sync.Mutex
	startedAt  time.Time
	violations []Violation
	// disturbedUntil is the time until which bounds are not checked because a
	// fault affects the instances.
	disturbedUntil time.Time
	answered       int
	startedFlows   int
	responseTimes  []time.Time
	startTimes     []time.Time
	// urgent and patient count the flows of the two classes under pressure.
	urgent, patient classCount
}

// classCount counts flows of a class that started and those of them that were answered.
type classCount struct{ started, answered int }

func (c classCount) ratio() float64 { return float64(c.answered) / float64(max(c.started, 1)) }

// checkUrgent checks that urgent flows were served no worse than others under pressure.
func (j *journal) checkUrgent() {
	j.mu.Lock()
	urgent, patient := j.urgent, j.patient
	j.mu.Unlock()
	if min(urgent.started, patient.started) >= 100 && urgent.ratio() < patient.ratio()-urgentTolerance {
		j.recordViolation(guaranteeUrgent, "%.2f of %d urgent flows were answered under pressure, %.2f of %d others", urgent.ratio(), urgent.started, patient.ratio(), patient.started)
	}
}

// recordPressure counts a flow under pressure and returns the function to call when it is
// answered.
func (j *journal) recordPressure(c *classCount) func() {
	j.mu.Lock()
	defer j.mu.Unlock()
	c.started++
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		c.answered++
	}
}

func (j *journal) recordViolation(guarantee, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violations = append(j.violations, Violation{guarantee, time.Since(j.startedAt), fmt.Sprintf(format, args...)})
}

// recordFault suspends the bounds until the end of a fault plus faultSettleTime.
func (j *journal) recordFault(until time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if u := until.Add(faultSettleTime); u.After(j.disturbedUntil) {
		j.disturbedUntil = u
	}
}

// undisturbedFor reports whether no fault has affected the instances for at least
// the given bound.
func (j *journal) undisturbedFor(bound time.Duration) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return time.Now().Add(-bound).After(j.disturbedUntil)
}

func (j *journal) recordFlowStart() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.startedFlows++
	j.startTimes = append(j.startTimes, time.Now())
}

func (j *journal) recordResponse() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.answered++
	j.responseTimes = append(j.responseTimes, time.Now())
}

// answeredRatio returns the number of responses in an interval divided by the
// number of flows started in it. Responses and flows are not matched.
func (j *journal) answeredRatio(from, to time.Time) float64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	countBetween := func(list []time.Time) int {
		n := 0
		for _, t := range list {
			if !t.Before(from) && t.Before(to) {
				n++
			}
		}
		return n
	}
	return float64(countBetween(j.responseTimes)) / float64(max(1, countBetween(j.startTimes)))
}

// result returns what has been recorded so far.
func (j *journal) result() Result {
	j.mu.Lock()
	defer j.mu.Unlock()
	return Result{Flows: j.startedFlows, Answered: j.answered, Violations: slices.Clone(j.violations)}
}
