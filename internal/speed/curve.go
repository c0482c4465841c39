package speed

import (
	"math"
	"time"
)

const (
	// curveGain is the weight of one request in a level of a Curve.
	curveGain = 1.0 / 12
	// minCurveRequests is the number of requests at each level from which on a Curve says
	// something.
	minCurveRequests = 8
	// curveTolerance is the ratio of durations up to which an upstream counts as able to
	// use all its slots.
	curveTolerance = 1.3
	// curveLifetime is the time after which a level without requests is forgotten.
	curveLifetime = 10 * time.Second
)

// Curve tells from how many requests at once on an upstream slows down, though it has slots
// free. It compares the durations of requests that were alone with those that filled its
// slots, each as a multiple of what is usual for its class. The zero value is that of an
// upstream that can use all its slots.
type Curve struct{ alone, full level }

// level is the average duration at a number of requests.
type level struct {
	ratio    float64
	requests int
	at       time.Time
}

func (l *level) add(now time.Time, ratio float64) {
	if now.Sub(l.at) > curveLifetime {
		*l = level{}
	}
	l.requests++
	l.ratio += (ratio - l.ratio) * max(curveGain, 1/float64(l.requests))
	l.at = now
}

func (l *level) known(now time.Time) bool {
	return l.requests >= minCurveRequests && now.Sub(l.at) <= curveLifetime
}

// Add records a request that took a multiple of the usual duration while the upstream had
// the given number of requests, this one included, on average. Requests that waited say
// nothing.
func (c *Curve) Add(now time.Time, ratio, requests, slots float64) {
	ratio = min(max(ratio, minRatio), maxJump)
	switch {
	case requests <= 1.25:
		c.alone.add(now, ratio)
	case requests >= 0.8*slots && requests <= 1.25*slots:
		c.full.add(now, ratio)
	}
}

// Factor returns how much longer requests take when they fill the slots, 0 if that is not
// known.
func (c *Curve) Factor(now time.Time) float64 {
	if !c.alone.known(now) || !c.full.known(now) || c.alone.ratio <= 0 {
		return 0
	}
	return c.full.ratio / c.alone.ratio
}

// Slots returns the number of requests at once that the upstream takes well, at least 1
// and at most the given number of its slots. usual is the Factor of the median upstream,
// which is above 1 where requests of other instances are counted late.
func (c *Curve) Slots(now time.Time, slots, usual float64) float64 {
	factor := c.Factor(now) / max(usual, 1)
	if slots <= 1 || factor <= curveTolerance {
		return slots
	}
	return math.Max(1, slots/factor)
}
