package tokenrouter

import (
	"testing"
	"time"
)

// opensAt returns the numbers of openings at some upstreams and at all in an interval.
func (w *world) opensAt(list []*server, from time.Time) (some, all int) {
	chosen := make(map[*server]bool)
	for _, u := range list {
		chosen[u] = true
	}
	for _, u := range w.servers() {
		for _, at := range u.openTimes {
			if at.Before(from) {
				continue
			}
			all++
			if chosen[u] {
				some++
			}
		}
	}
	return some, all
}

// Three of ten upstreams fail most requests at once. They look fast and free, but new flows
// go to the others, except for trials. Once they work again, they get their part again.
func TestUpstreamsThatFailAtOnceGetFewFlows(t *testing.T) {
	w := newSessionFleet(t, 500)
	w.sessions(60, 200*time.Millisecond, time.Second)
	w.advance(2 * time.Second)
	failing := w.servers()[:3]
	for _, u := range failing {
		u.shedShare = 0.7
	}
	w.advance(2 * time.Second)
	from := w.now
	w.sessions(60, 200*time.Millisecond, 2*time.Second)
	if some, all := w.opensAt(failing, from); some > all/6 {
		t.Errorf("%d of %d new flows went to upstreams that fail most requests, want at most a sixth", some, all)
	}
	if n := len(w.linesOf("outlier-ejected")); n != 3 {
		t.Errorf("%d upstreams were ejected, want 3", n)
	}
	for _, u := range failing {
		u.shedShare = 0
	}
	w.advance(8 * time.Second)
	from = w.now
	w.sessions(60, 200*time.Millisecond, 2*time.Second)
	if some, all := w.opensAt(failing, from); some < all/6 {
		t.Errorf("%d of %d new flows went to upstreams that work again, want a sixth or more", some, all)
	}
}

// All upstreams fail most requests at once: none is an outlier.
func TestServiceThatFailsAsAWholeHasNoOutliers(t *testing.T) {
	w := newSessionFleet(t, 510)
	w.sessions(60, 200*time.Millisecond, time.Second)
	w.advance(2 * time.Second)
	for _, u := range w.servers() {
		u.shedShare = 0.7
	}
	w.advance(4 * time.Second)
	ejected := 0
	for _, u := range w.servers() {
		for _, n := range w.nodes {
			if n.router.scheduler.IsEjected(w.now, u.info.Number) {
				ejected++
			}
		}
	}
	if ejected > 1 {
		t.Errorf("%d upstreams are ejected, want at most one", ejected)
	}
}
