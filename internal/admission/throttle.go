package admission

import (
	"math"
	"time"
)

const (
	// throttleRatio is the number of requests to place flows for each flow that is placed,
	// up to which none is held back (K in adaptive throttling, Site Reliability
	// Engineering, 2016).
	throttleRatio = 2
	// throttleHalfLife is the time after which a request or a placement counts half.
	throttleHalfLife = time.Second
)

// Throttle holds back requests for room that is not there, at the instance that would send
// them: a coordinator that has to say no too often cannot say yes in time. So many requests
// pass that coordinators get no more than throttleRatio times those that they can place. The
// zero value is ready for use.
type Throttle struct {
	requested, placed, refused float64
	at                         time.Time
}

func (t *Throttle) decay(now time.Time) {
	factor := math.Exp2(-float64(now.Sub(t.at)) / float64(throttleHalfLife))
	t.requested, t.placed, t.refused, t.at = t.requested*factor, t.placed*factor, t.refused*factor, now
}

// Requested counts a flow that asks for room.
func (t *Throttle) Requested(now time.Time) {
	t.decay(now)
	t.requested++
}

// Excess returns the share of requests to hold back.
func (t *Throttle) Excess() float64 {
	return max(0, (t.requested-throttleRatio*(t.placed+1))/(t.requested+1))
}

// Refuse reports whether a flow that was held back for as long as its caller repeats its
// packet may be refused, and counts it: one for placedPerRefusal placements.
func (t *Throttle) Refuse(now time.Time) bool {
	t.decay(now)
	if placedPerRefusal*(t.refused+1) > t.placed {
		return false
	}
	t.refused++
	return true
}

// Placed counts a flow that was placed.
func (t *Throttle) Placed(now time.Time) {
	t.decay(now)
	t.placed++
}
