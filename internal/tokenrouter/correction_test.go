package tokenrouter

import (
	"testing"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/token"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// All packets that correct an upstream's answers are lost. When a packet of the flow names
// that upstream, its answers are corrected again.
func TestWrongTokenCorrectsAnswersAgain(t *testing.T) {
	w := newSmallFleet(t, 82)
	arrived := make(map[*server]int)
	w.unreachable = func(_ *node, u *server) bool {
		arrived[u]++
		return arrived[u] > 1 && w.callers[0].openedUpstream != u.info.Number
	}
	c, other := openHedged(t, w, w.nodes[0])
	w.advance(time.Second)
	w.unreachable = nil
	if c.token != token.Of(other) {
		t.Fatal("the caller's packets do not name the second upstream")
	}
	c.sendVia(w.nodes[0])
	c.sendVia(w.nodes[1])
	if misrouted := w.misroutedPackets(); misrouted > 0 {
		t.Errorf("%d packets reached an upstream that the flow is not open at, want none", misrouted)
	}
	c.checkAnswers(t)
}

// openMany opens flows that stay open at a rate per second. One answer to an opening packet
// in twenty is lost, so that some flows open at the second upstream that they were sent to.
func openMany(w *world, rate int, d time.Duration, via func() *node) *[]*caller {
	w.lostOpenAnswers = 0.05
	list := &[]*caller{}
	for at := time.Duration(0); at < d; at += time.Second / time.Duration(rate) {
		w.after(at, func() {
			c := w.call(deskRoute, via())
			c.keepsOpen = true
			*list = append(*list, c)
		})
	}
	return list
}

// sendMore makes the open flows of a list send three packets each, as the fabric leads them.
func (w *world) sendMore(list []*caller) (sent int) {
	for _, c := range list {
		if c.openedUpstream == 0 {
			continue
		}
		sent++
		c.via = nil
		for i := range 3 {
			w.after(time.Duration(w.random.IntN(1000)+i*1000)*time.Millisecond, func() { c.send(&Packet{Role: flow.RoleData}) })
		}
	}
	w.advance(4 * time.Second)
	return sent
}

// All instances are killed while flows are idle that opened at the second upstream that their
// opening was sent to. The first one has repeated its answer, and nobody knows of the flow.
func TestOpenFlowsStayAtTheirUpstreamsWhenAllInstancesAreKilled(t *testing.T) {
	w := newSmallFleet(t, 90)
	list := openMany(w, 100, 3*time.Second, func() *node { return nil })
	w.advance(5 * time.Second)
	for _, n := range w.nodes {
		n.kill()
		w.after(500*time.Millisecond, n.start)
	}
	w.advance(5 * time.Second)
	sent := w.sendMore(*list)
	if misrouted := w.misroutedPackets(); misrouted > 0 || sent < 290 {
		t.Errorf("%d packets of %d flows reached an upstream that the flow is not open at, want none of 290 flows at least", misrouted, sent)
	}
}

// checkAnswers checks that all upstreams that got the opening packet answer with the token of
// the one at which the flow is open, so that every instance forwards the flow there.
func (c *caller) checkAnswers(t *testing.T) {
	t.Helper()
	for _, u := range c.w.servers() {
		if answer, ok := u.halfOpen[c.source.String()]; ok && answer != token.Of(c.openedUpstream) {
			t.Errorf("%s answers with a token of an upstream that the flow is not open at", u.key)
		}
	}
}

// offerAndSuspend opens a flow whose opening packet an instance sends to one upstream before it
// is suspended. The upstream's first answers are lost, and the flow opens at another upstream
// through a neighbour.
func offerAndSuspend(t *testing.T, w *world, suspended, neighbour *node) *caller {
	t.Helper()
	c, o := offerOnce(t, w, suspended)
	suspended.up = false
	w.openElsewhere(t, c, o, neighbour, 300*time.Millisecond)
	return c
}

// openElsewhere makes a flow that was offered to one upstream open at another one through a
// neighbour. Answers of the first upstream are lost for the given time.
func (w *world) openElsewhere(t *testing.T, c *caller, o *opening, neighbour *node, muted time.Duration) {
	t.Helper()
	first := w.upstreams[o.tries[0]]
	first.muted = true
	w.forgetAssignments()
	c.via = neighbour
	w.advance(muted)
	first.muted = false
	w.advance(2*time.Second - muted)
	if c.openedUpstream == 0 || c.openedUpstream == o.tries[0] {
		t.Fatal("the flow did not open at another upstream")
	}
}

// An instance is suspended after it has sent an opening packet to an upstream. When it wakes it
// learns from its neighbours where the flow is open, and the upstream's answers must not lead
// the flow away from there.
func TestOpeningHeldThroughPauseDoesNotMoveFlow(t *testing.T) {
	w := newSmallFleet(t, 91)
	c := offerAndSuspend(t, w, w.nodes[0], w.nodes[1])
	w.nodes[0].up = true
	w.nodes[0].apply(&Resumed{Pause: 2 * time.Second})
	w.advance(8 * time.Second)
	c.checkAnswers(t)
}

// An instance whose service has no room sends no opening to a second upstream. It still has to
// ask whether the flow is open, because the first upstream's answers may lead it astray.
func TestOpeningWithoutRoomDoesNotMoveFlow(t *testing.T) {
	w := newSmallFleet(t, 92)
	w.configureSessions(idleTimeout)
	w.sessions(20, 400*time.Millisecond, time.Second)
	n, neighbour := w.nodes[0], w.nodes[1]
	c, o := offerOnce(t, w, n)
	w.upstreams[o.tries[0]].muted = true
	for range 10 {
		n.router.noteRoomShort(w.now, "desk")
		w.advance(15 * time.Millisecond)
	}
	if len(o.tries) != 1 || !n.router.roomShort(w.now, "desk") {
		t.Fatal("the opening was sent to a second upstream")
	}
	w.openElsewhere(t, c, o, neighbour, 180*time.Millisecond)
	w.advance(6 * time.Second)
	c.checkAnswers(t)
}

// newLoneFleet returns a world of four data centres, of which three have the given number of
// instances, and the instance that is alone in the fourth.
func newLoneFleet(t *testing.T, seed uint64, others int) (w *world, lone *node) {
	w = newWorld(t, seed)
	w.configure(1)
	for _, name := range []string{"a", "b", "c"} {
		w.addNodes(name, others)
		w.addServers(name, 3, 30*time.Millisecond)
	}
	w.addNodes("d", 1)
	w.addServers("d", 3, 30*time.Millisecond)
	w.startAll()
	w.advance(4 * time.Second)
	return w, w.nodes[len(w.nodes)-1]
}

// The only instance of a data centre is stopped and started. Its open flows, some of which
// opened at the second upstream that their opening was sent to, pass through instances of other
// data centres and then through the new process.
func TestOpenFlowsStayAtTheirUpstreamsWhenLoneInstanceIsRestarted(t *testing.T) {
	w, lone := newLoneFleet(t, 93, 3)
	list := openMany(w, 100, 3*time.Second, func() *node { return lone })
	w.advance(4 * time.Second)
	lone.apply(&Stopping{})
	w.after(2400*time.Millisecond, func() {
		lone.kill()
		w.after(500*time.Millisecond, lone.start)
	})
	sent := w.sendMore(*list)
	for _, c := range *list {
		c.sendVia(lone)
	}
	if misrouted := w.misroutedPackets(); misrouted > 0 || sent < 290 {
		t.Errorf("%d packets of %d flows reached an upstream that the flow is not open at, want none of 290 flows at least", misrouted, sent)
	}
}

// The fabric moves a flow between the only instance of a data centre and one of another data
// centre after its opening packet. The instance that holds the opening must learn that the
// flow is open.
func TestAcknowledgementInAnotherDataCentreEndsOpening(t *testing.T) {
	w, lone := newLoneFleet(t, 94, 3)
	other := w.nodes[0]
	for name, path := range map[string][2]*node{"away from it": {lone, other}, "back to it": {other, lone}} {
		for range 20 {
			if n := w.openingsOfMovedFlow(path[0], path[1]); n != 1 {
				t.Errorf("%s: the opening packet of an open flow was sent to %d upstreams, want 1", name, n)
			}
		}
	}
}
