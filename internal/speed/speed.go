// Package speed estimates how slow upstreams are compared with each other. Operators
// declare no weights: an estimate comes from the durations of recent requests, each
// compared with what is usual for its class, so that classes of longer work do not count
// against an upstream. The time that a request waits behind others at its upstream has to
// be taken out before.
package speed

import (
	"math"
	"time"
)

const (
	// gain is the weight of one request in an Estimate.
	gain = 1.0 / 8
	// minRatio is the shortest duration that says something about an upstream, as a share
	// of the usual one: a request that ends sooner was not worked on. maxJump limits by
	// how much a single request may exceed what the estimate says: it may be an exception.
	minRatio = 0.25
	maxJump  = 3
	// tolerance is the standard deviation of an estimate for requests whose durations
	// vary by half of their mean.
	tolerance = 0.13
	// halfLife is the time after which half of an estimate is forgotten while there are
	// no requests, so that an upstream that was slow is tried again.
	halfLife = 2 * time.Second
	// referenceStep is the share by which a Reference moves for one request.
	referenceStep = 1.0 / 32
)

// Reference is the usual duration of the requests of a class, the median over all
// upstreams. It follows a service that becomes faster or slower as a whole, and ignores a
// minority of failures that end early. The zero value is empty and ready for use.
type Reference struct{ usual time.Duration }

// Add records the duration of a request.
func (r *Reference) Add(took time.Duration) {
	step := time.Duration(referenceStep * float64(r.usual))
	switch {
	case r.usual == 0:
		r.usual = took
	case took > r.usual:
		r.usual += step
	default:
		r.usual -= step
	}
}

// Ratio returns how long a request took compared with the usual duration.
func (r *Reference) Ratio(took time.Duration) float64 {
	if r.usual <= 0 {
		return 1
	}
	return float64(took) / float64(r.usual)
}

// Usual returns the usual duration, 0 before the first request.
func (r *Reference) Usual() time.Duration { return r.usual }

// Estimate is how slow one upstream is: 2 if requests take twice as long there as usual.
// The zero value is that of an unknown upstream, which counts as usual.
type Estimate struct {
	// excess is the slowness less 1 as of at.
	excess float64
	at     time.Time
}

// Add records requests that took the given multiple of the usual duration on average.
func (e *Estimate) Add(now time.Time, ratio float64, requests int) {
	if ratio < minRatio || requests < 1 {
		return
	}
	excess := e.excessAt(now)
	ratio = min(ratio, maxJump*(1+excess))
	kept := math.Pow(1-gain, float64(requests))
	e.excess, e.at = excess*kept+(ratio-1)*(1-kept), now
}

// Slowness returns the estimate, 1 if nothing is known. Differences that chance explains
// count as none.
func (e *Estimate) Slowness(now time.Time) float64 {
	excess := e.excessAt(now)
	switch {
	case excess > tolerance:
		return 1 + excess - tolerance
	case excess < -tolerance:
		return 1 + excess + tolerance
	default:
		return 1
	}
}

func (e *Estimate) excessAt(now time.Time) float64 {
	if e.at.IsZero() {
		return 0
	}
	return e.excess * math.Exp2(-float64(now.Sub(e.at))/float64(halfLife))
}
