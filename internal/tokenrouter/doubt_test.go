package tokenrouter

import (
	"testing"
	"time"
)

// coldBound is the number of openings that a cold upstream may get in a second: 1.5 times
// the 20 of the configuration, plus 5.
const coldBound = 35

// mostOpeningsPerSecond returns the largest number of openings in one second since a time.
func mostOpeningsPerSecond(u *server, from time.Time) int {
	most, first := 0, 0
	for i, o := range u.openTimes {
		for u.openTimes[first].Before(from) || o.Sub(u.openTimes[first]) >= time.Second {
			if first++; first > i {
				break
			}
		}
		most = max(most, i-first+1)
	}
	return most
}

// crash ends a server; restart starts it again under its id, without its flows.
func (u *server) crash() { u.alive = false }

func (u *server) restart() {
	u.alive, u.busy, u.queue, u.flows = true, 0, nil, make(map[string]bool)
}

// An upstream crashes and starts again under its id while the store does not answer, so that
// nothing says that it is cold. It must not get its full share, whoever places the flows.
func TestUpstreamRestartedDuringStoreOutageIsTreatedAsCold(t *testing.T) {
	for _, c := range []struct {
		name    string
		disturb func(w *world, coordinator *node)
	}{
		{"undisturbed", func(*world, *node) {}},
		{"coordinator killed", func(_ *world, n *node) { n.kill() }},
		{"coordinator restarted", func(w *world, n *node) { n.kill(); w.after(100*time.Millisecond, n.start) }},
		{"coordinator stopped", func(w *world, n *node) { n.apply(&Stopping{}); w.after(600*time.Millisecond, n.kill) }},
		{"all but the coordinator restarted", func(w *world, n *node) {
			for i, other := range w.nodes {
				if other != n {
					w.after(time.Duration(i)*50*time.Millisecond, func() { other.kill(); w.after(100*time.Millisecond, other.start) })
				}
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newSmallFleet(t, 91)
			for _, u := range w.upstreams {
				u.meanServiceTime = 15 * time.Millisecond
			}
			w.load(600, 6*time.Second)
			w.advance(1500 * time.Millisecond)
			w.store.down = true
			u := w.servers()[3]
			w.advance(300 * time.Millisecond)
			u.crash()
			w.advance(1200 * time.Millisecond)
			c.disturb(w, w.coordinatorOf("desk"))
			w.advance(300 * time.Millisecond)
			u.restart()
			restarted := w.now
			w.advance(2 * time.Second) // The configuration says that upstreams are cold for as long.
			if n := mostOpeningsPerSecond(u, restarted); n > coldBound {
				t.Errorf("%d openings within 1 s at an upstream that has just restarted, want at most %d", n, coldBound)
			}
			if n := opensSince(u, restarted); n == 0 && c.name == "undisturbed" {
				t.Error("the upstream got no openings at all")
			}
		})
	}
}

// A new instance takes part in the first second after its start. What the others know of
// upstreams that may be cold reaches it before it knows the upstreams.
func TestStartingInstanceLearnsDoubts(t *testing.T) {
	w := newSmallFleet(t, 92)
	w.load(300, 5*time.Second)
	w.advance(time.Second)
	w.store.down = true
	u := w.servers()[2]
	u.crash()
	w.advance(time.Second)
	n := w.nodes[4]
	n.kill()
	w.advance(50 * time.Millisecond)
	n.start()
	w.advance(300 * time.Millisecond)
	if _, ok := n.router.scheduler.DoubtOf(w.now, u.info.Number); !ok {
		t.Error("the instance does not know that the upstream fell silent")
	}
}

// An upstream that was only out of reach gets its full share again although it did not
// restart: once its entry would say so, or after the time for which it could be cold.
func TestUpstreamThatWasOutOfReachGetsItsShareAgain(t *testing.T) {
	w := newSmallFleet(t, 93)
	w.load(300, 12*time.Second)
	w.advance(2 * time.Second)
	u := w.servers()[5]
	w.unreachable = func(_ *node, s *server) bool { return s == u }
	w.advance(2 * time.Second)
	w.unreachable = nil
	w.advance(6 * time.Second)
	from := w.now
	w.advance(2 * time.Second)
	if n, share := opensSince(u, from), 300*2/len(w.upstreams); n < share/2 {
		t.Errorf("%d openings in 2 s at an upstream that is back, its share is %d", n, share)
	}
}
