// Package outlier finds upstreams whose answers come too soon: failures that end at once
// make an upstream look fast and free, so that it attracts the flows that it fails. Whether
// an answer came too soon is judged where packets pass, by its duration and its bytes
// against what is usual for its route. A Detector weighs the answers of one upstream.
package outlier

import (
	"math"
	"slices"
	"time"
)

const (
	// gain is the weight of one answer in the share of early ones, trialGain that of the
	// answer to a trial, which are few.
	gain      = 1.0 / 8
	trialGain = 1.0 / 4
	// minAnswers is the number of answers that an ejection takes.
	minAnswers = 5
	// ejectExcess is by how much the share of early answers has to exceed that of the
	// median upstream for an ejection, returnExcess below which it ends.
	ejectExcess  = 0.25
	returnExcess = 0.15
	// MaxEjected is the share of a group that may be ejected.
	MaxEjected = 0.5
	// trialInterval is the time between two trial flows of an ejected upstream, trialPause
	// that from an early answer to the next one.
	trialInterval = 100 * time.Millisecond
	trialPause    = time.Second
	// forgetAfter is the time after which an ejection ends if nothing is heard of its
	// trials.
	forgetAfter = 10 * time.Second
)

// Detector weighs the recent answers of one upstream. The zero value is that of an
// unknown one.
type Detector struct {
	share   float64
	answers int
	at      time.Time
	// earlyAt is the time of the last early answer.
	earlyAt time.Time
	ejected bool
}

// Add records answers of which some came too soon.
func (d *Detector) Add(now time.Time, answers, early int) {
	if answers <= 0 {
		return
	}
	weight := gain
	if d.ejected {
		weight = trialGain
	}
	kept := math.Pow(1-weight, float64(answers))
	d.share = d.share*kept + float64(min(early, answers))/float64(answers)*(1-kept)
	if early > 0 {
		d.earlyAt = now
	}
	d.answers, d.at = min(d.answers+answers, 1000), now
}

// Share returns the share of recent answers that came too soon.
func (d *Detector) Share() float64 { return d.share }

// Ejected reports whether the upstream gets trial flows only.
func (d *Detector) Ejected(now time.Time) bool { return d.ejected && now.Sub(d.at) < forgetAfter }

// AllowsTrial reports whether an ejected upstream with the given number of flows may get
// another one, as the only one.
func (d *Detector) AllowsTrial(now time.Time, flows int, lastPlacement time.Time) bool {
	return flows == 0 && now.Sub(lastPlacement) >= trialInterval && now.Sub(d.earlyAt) >= trialPause
}

// Judge decides whether an upstream is ejected, given those of its group. It returns true
// if that has changed.
func (d *Detector) Judge(now time.Time, group []*Detector) bool {
	excess := d.share - medianShare(group)
	switch {
	case d.ejected && (excess < returnExcess || !d.Ejected(now)):
		*d = Detector{}
		return true
	case !d.ejected && d.answers >= minAnswers && excess >= ejectExcess && roomToEject(now, group):
		d.ejected = true
		return true
	}
	return false
}

// medianShare returns the share of early answers of the median upstream, so that a service
// that becomes faster as a whole has no outliers.
func medianShare(group []*Detector) float64 {
	if len(group) == 0 {
		return 0
	}
	shares := make([]float64, 0, len(group))
	for _, d := range group {
		shares = append(shares, d.share)
	}
	slices.Sort(shares)
	return shares[len(shares)/2]
}

func roomToEject(now time.Time, group []*Detector) bool {
	ejected := 0
	for _, d := range group {
		if d.Ejected(now) {
			ejected++
		}
	}
	return float64(ejected+1) <= MaxEjected*float64(len(group))
}
