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
	// referenceStep is the share by which a Reference moves for one request, after it has
	// moved by more for the first ones.
	referenceStep = 1.0 / 32
)

// Reference is the usual value of what is measured of each request of a class, such as its
// duration: the median over all upstreams. It follows a service that changes as a whole, and
// ignores a minority of failures. The zero value is empty and ready for use.
type Reference[T ~int64] struct {
	usual float64
	count int
}

// Add records the value of a request.
func (r *Reference[T]) Add(value T) {
	r.count++
	step := r.usual * max(referenceStep, 1/float64(r.count+2))
	switch {
	case r.usual <= 0:
		r.usual = float64(value)
	case float64(value) > r.usual:
		r.usual += step
	default:
		r.usual -= step
	}
}

// Ratio returns the value of a request as a multiple of the usual one.
func (r *Reference[T]) Ratio(value T) float64 {
	if r.usual <= 0 {
		return 1
	}
	return float64(value) / r.usual
}

// Usual returns the usual value, 0 before the first request.
func (r *Reference[T]) Usual() T { return T(r.usual) }

// Count returns the number of requests.
func (r *Reference[T]) Count() int { return r.count }

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
