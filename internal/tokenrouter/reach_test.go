package tokenrouter

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// requestsSince returns the numbers of requests of an interval that were answered within a
// time, later, and not at all.
func requestsSince(list []*session, from, to time.Time, bound time.Duration) (soon, late, lost int) {
	for _, s := range list {
		for _, r := range s.requests {
			switch {
			case r.at.Before(from) || !r.at.Before(to):
			case r.took == 0:
				lost++
			case r.took <= bound:
				soon++
			default:
				late++
			}
		}
	}
	return soon, late, lost
}

func resetsOf(list []*session) (n int) {
	for _, s := range list {
		n += len(s.resets)
	}
	return n
}

// Two of ten upstreams die without a word. The callers of their open flows get a reset
// after their second try, and an answer on a new flow within a second; without other flows
// that show that the upstreams are dead, after the third.
func TestOpenFlowsAtDeadUpstreamsAreReset(t *testing.T) {
	for name, c := range map[string]struct {
		openings float64
		bound    time.Duration
		refuses  bool
	}{
		"beside new flows": {60, time.Second, false}, "alone": {0, 2 * time.Second, false}, "on a host that lives": {60, time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSessionFleet(t, 400)
			if c.openings > 0 {
				w.loadTo(urgentRoute, c.openings, 9*time.Second)
			}
			list := w.sessions(80, 400*time.Millisecond, 2*time.Second)
			w.advance(time.Second)
			died := w.now
			for _, u := range w.servers()[:2] {
				u.alive, u.refuses = false, c.refuses
			}
			w.advance(6 * time.Second)
			soon, late, lost := requestsSince(list, died, died.Add(4*time.Second), c.bound)
			if late+lost > 4 {
				t.Errorf("of %d requests %d were answered later than in %s and %d not at all, want at most 4", soon+late+lost, late, c.bound, lost)
			}
			for _, s := range list {
				if u := w.upstreams[s.caller.openedUpstream]; u != nil && !u.alive {
					t.Errorf("a flow is still open at a dead upstream")
				}
			}
		})
	}
}

// The addresses of dead upstreams go to others, which accept connections in their place. Open
// flows of the dead ones are reset all the same once their entries are gone.
func TestOpenFlowsAtReusedAddressesAreReset(t *testing.T) {
	w := newSessionFleet(t, 405)
	list := w.sessions(160, 7*time.Second, 8*time.Second)
	died := w.now
	dead := w.servers()[:2]
	for _, u := range dead {
		u.alive = false
	}
	w.after(2*time.Second, func() {
		for i, u := range w.addServers("a", 2, 30*time.Millisecond) {
			u.info.Address = dead[i].info.Address
			w.publish(u)
		}
	})
	w.after(entryLease, func() {
		for _, u := range dead {
			w.unpublish(u)
		}
	})
	w.advance(16 * time.Second)
	soon, late, lost := requestsSince(list, died.Add(entryLease+time.Second), died.Add(14*time.Second), 2*time.Second)
	if late+lost > 0 {
		t.Errorf("of %d requests %d were answered later than in 2 s and %d not at all, want none", soon+late+lost, late, lost)
	}
	for _, s := range list {
		if u := w.upstreams[s.caller.openedUpstream]; u != nil && !u.alive {
			t.Errorf("a flow is still open at a dead upstream")
		}
	}
}

// The same, with a class whose requests must not run twice: no open flow is reset.
func TestFlowsOfRequestsThatRunOnceAreNotReset(t *testing.T) {
	w := newSessionFleet(t, 410)
	var list []*session
	for range 60 {
		list = append(list, w.startSession(urgentRoute, 400*time.Millisecond))
		w.advance(20 * time.Millisecond)
	}
	for _, u := range w.servers()[:2] {
		u.alive = false
	}
	w.advance(6 * time.Second)
	if n := resetsOf(list); n > 0 {
		t.Errorf("%d open flows were reset, want 0", n)
	}
}

// Upstreams that live are not given up: not while all of them are so busy that callers send
// their requests again, not while one of them hangs now and then, not while packets get
// lost, not while instances of a data centre die at once, and not while the store is down.
func TestOpenFlowsAtLivingUpstreamsAreNotReset(t *testing.T) {
	for name, disturb := range map[string]func(w *world){
		"busy": func(w *world) {
			for _, u := range w.servers() {
				u.meanServiceTime = 250 * time.Millisecond
			}
		},
		"one slow": func(w *world) { w.servers()[0].meanServiceTime = 700 * time.Millisecond },
		"lost packets": func(w *world) {
			w.unreachable = func(*node, *server) bool { return w.random.IntN(10) == 0 }
		},
		"instances die": func(w *world) {
			for _, n := range w.nodes[:3] {
				n.kill()
			}
		},
		"store down": func(w *world) { w.store.down = true },
	} {
		t.Run(name, func(t *testing.T) {
			w := newSessionFleet(t, 420)
			list := w.sessions(60, 500*time.Millisecond, 2*time.Second)
			w.advance(time.Second)
			disturb(w)
			w.advance(5 * time.Second)
			if n := resetsOf(list); n > 0 {
				t.Errorf("%d open flows were reset, want 0", n)
			}
		})
	}
}

// newSlowFleet returns a fleet with a lone instance whose requests take about a second.
func newSlowFleet(t *testing.T, seed uint64, others int) (w *world, lone *node) {
	w, lone = newLoneFleet(t, seed, others)
	w.configureSessions(idleTimeout)
	for _, u := range w.servers() {
		u.meanServiceTime = time.Second
	}
	return w, lone
}

// Requests take about a second, so that callers send them again twice before they are answered.
// No open flow is reset: not when the only instance of a data centre leaves or is killed, whose
// silence looks like a cut, and not in a quiet hour in which nothing else shows that an
// upstream is at work.
func TestOpenFlowsWithLongRequestsAreNotReset(t *testing.T) {
	for name, disturb := range map[string]func(w *world, lone *node){
		"quiet hour": func(*world, *node) {},
		"lone instance stops": func(w *world, lone *node) {
			lone.apply(&Stopping{})
			w.after(2400*time.Millisecond, lone.kill)
			w.after(5400*time.Millisecond, lone.start)
		},
		"lone instance is killed": func(w *world, lone *node) {
			lone.kill()
			w.after(3*time.Second, lone.start)
		},
	} {
		for _, others := range []int{2, 3} {
			t.Run(fmt.Sprintf("%s of %d", name, 3*others+1), func(t *testing.T) {
				w, lone := newSlowFleet(t, 460, others)
				list := w.sessions(28, 3500*time.Millisecond, 7*time.Second)
				disturb(w, lone)
				w.advance(20 * time.Second)
				if n := resetsOf(list); n > 0 {
					t.Errorf("%d open flows were reset, want 0", n)
				}
			})
		}
	}
}

// Requests take about a second, so that upstreams at work seem silent to their coordinator. That
// must not lead further flows to them: those of one data centre get about as many each.
func TestLongRequestsSpreadOverUpstreams(t *testing.T) {
	for seed := uint64(500); seed < 504; seed++ {
		w, _ := newSlowFleet(t, seed, 2)
		list := w.sessions(48, 3500*time.Millisecond, 12*time.Second)
		w.advance(4 * time.Second)
		open := make(map[uint64]int)
		for _, s := range list {
			open[s.caller.openedUpstream]++
		}
		for _, u := range w.servers() {
			for _, v := range w.servers() {
				if u.info.DataCentre == v.info.DataCentre && open[u.info.Number]-open[v.info.Number] > 4 {
					t.Errorf("seed %d: %s has %d open flows and %s has %d, want a difference of 4 at most, as many as an upstream has on average",
						seed, u.key, open[u.info.Number], v.key, open[v.info.Number])
				}
			}
		}
	}
}

// A data centre is cut off. Callers of both sides whose open flows lead across the cut get
// a reset and are answered on their side.
func TestOpenFlowsAcrossCutAreReset(t *testing.T) {
	w := newSessionFleet(t, 430)
	list := w.sessions(60, 400*time.Millisecond, 2*time.Second)
	w.advance(time.Second)
	cut := w.now
	w.partitionDataCentres()
	w.advance(6 * time.Second)
	soon, late, lost := requestsSince(list, cut, cut.Add(5*time.Second), 1200*time.Millisecond)
	if all := soon + late + lost; late+lost > all/50 {
		t.Errorf("of %d requests %d were answered later than in 1.2 s and %d not at all, want at most a fiftieth", all, late, lost)
	}
}

// While upstreams near the caller have room, flows that stay open go there.
func TestOpenFlowsStayInDataCentreOfTheirCaller(t *testing.T) {
	w := newSessionFleet(t, 440)
	w.sessions(10, 200*time.Millisecond, time.Second)
	w.advance(time.Second)
	near, all := 0, 0
	placed := map[netip.AddrPort]*node{}
	for _, n := range w.nodes {
		n.lines = nil
	}
	list := w.sessions(60, time.Second, 2*time.Second)
	for _, n := range w.nodes {
		for _, l := range n.lines {
			if l.Event == "placed" {
				source, _, _ := cutFlow(l.Fields[0].Value)
				placed[source] = n
			}
		}
	}
	for _, s := range list {
		n, u := placed[s.caller.source], w.upstreams[s.caller.openedUpstream]
		if n == nil || u == nil {
			continue
		}
		all++
		if n.dc == u.info.DataCentre {
			near++
		}
	}
	if all < 50 || near < all*9/10 {
		t.Errorf("%d of %d flows were placed in the data centre of their caller, want 9 of 10 of at least 50", near, all)
	}
}

// cutFlow splits the value of a log line's field "flow".
func cutFlow(value string) (source, destination netip.AddrPort, err error) {
	for i := range value {
		if value[i] == ',' {
			if source, err = netip.ParseAddrPort(value[:i]); err == nil {
				destination, err = netip.ParseAddrPort(value[i+1:])
			}
			return source, destination, err
		}
	}
	return source, destination, err
}
