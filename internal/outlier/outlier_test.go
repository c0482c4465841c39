package outlier

import (
	"testing"
	"time"
)

// at returns the time d after an arbitrary start.
func at(d time.Duration) time.Time { return time.Unix(1_700_000_000, 0).Add(d) }

// group returns detectors that have seen answers, of which the given shares were early.
func group(now time.Time, shares ...float64) []*Detector {
	list := make([]*Detector, 0, len(shares))
	for _, share := range shares {
		d := &Detector{}
		for n := range 40 {
			early := 0
			if float64(n%10) < 10*share {
				early = 1
			}
			d.Add(now, 1, early)
		}
		list = append(list, d)
	}
	return list
}

func judge(now time.Time, list []*Detector) (ejected int) {
	for _, d := range list {
		d.Judge(now, list)
	}
	for _, d := range list {
		if d.Ejected(now) {
			ejected++
		}
	}
	return ejected
}

func TestUpstreamsWithEarlyAnswersAreEjected(t *testing.T) {
	for name, c := range map[string]struct {
		shares []float64
		want   int
	}{
		"none":              {[]float64{0, 0, 0, 0}, 0},
		"one":               {[]float64{0.7, 0, 0, 0}, 1},
		"a few early":       {[]float64{0.1, 0, 0.1, 0}, 0},
		"half":              {[]float64{0.9, 0.9, 0, 0, 0}, 2},
		"most, so the rule": {[]float64{0.9, 0.9, 0.9, 0, 0}, 0},
		"the whole service": {[]float64{1, 1, 1, 1}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			if got := judge(at(0), group(at(0), c.shares...)); got != c.want {
				t.Errorf("%d upstreams are ejected, want %d", got, c.want)
			}
		})
	}
}

func TestAtMostHalfOfGroupIsEjected(t *testing.T) {
	list := group(at(0), 0.9, 0, 0, 0)
	judge(at(0), list)
	for _, d := range list[1:3] {
		for range 40 {
			d.Add(at(time.Second), 1, 1)
		}
	}
	list[0].Add(at(time.Second), 1, 1)
	if got := judge(at(time.Second), list); got > 2 {
		t.Errorf("%d of 4 upstreams are ejected, want at most 2", got)
	}
}

func TestUpstreamReturnsAfterGoodTrials(t *testing.T) {
	list := group(at(0), 0.8, 0, 0)
	judge(at(0), list)
	d := list[0]
	if !d.AllowsTrial(at(time.Second), 0, at(0)) || d.AllowsTrial(at(time.Second), 1, at(0)) || d.AllowsTrial(at(time.Second), 0, at(950*time.Millisecond)) || d.AllowsTrial(at(900*time.Millisecond), 0, at(0)) {
		t.Error("an ejected upstream gets other than one trial at a time")
	}
	for n := range 8 {
		d.Add(at(time.Duration(n)*400*time.Millisecond), 1, 0)
		judge(at(time.Duration(n)*400*time.Millisecond), list)
	}
	if d.Ejected(at(3 * time.Second)) {
		t.Error("the upstream is still ejected after 8 good trials")
	}
}

func TestEjectionWithoutNewsEnds(t *testing.T) {
	list := group(at(0), 0.8, 0, 0)
	judge(at(0), list)
	if list[0].Ejected(at(11 * time.Second)) {
		t.Error("the upstream is ejected 11 s after the last answer")
	}
}
