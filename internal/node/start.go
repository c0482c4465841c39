package node

import (
	"strconv"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/member"
)

// Bounds of starting and waking up.
const (
	// startWait bounds the time in which platform and peers are heard before
	// the instance serves with what it has.
	startWait = 2 * time.Second
	// startPeers is the number of peers asked at the start.
	startPeers = 3
	// confirmWait bounds the time in which a view is suspect after a pause.
	confirmWait = 2 * time.Second
)

// phase is how far the start of the instance has come.
type phase uint8

const (
	idle phase = iota
	asking
	serving
)

// start is the state of the start. An instance serves once the platform and
// the peers that it asked have answered or failed, so that a stale platform
// does not decide alone.
type start struct {
	phase    phase
	deadline time.Time
	// platform is true once the platform answered or failed.
	platform bool
	// waiting is true once the lack of any configuration has been logged.
	waiting bool
	// asked is true once listed peers have been asked.
	asked bool
}

func (n *Node) begin(now time.Time) {
	n.start.phase = asking
	n.start.deadline = now.Add(startWait)
	n.read(now, 0)
	n.askBootstrap(now)
}

func (n *Node) askBootstrap(now time.Time) {
	for _, a := range n.config.Bootstrap {
		if a != n.config.Peers {
			n.fetchFrom(now, 0, a, n.store.Version())
		}
	}
}

// advanceStart moves the start on after an answer or a failure.
func (n *Node) advanceStart(now time.Time, e *ValuesReceived) {
	if n.start.phase != asking {
		return
	}
	if e != nil && e.Source == FromPlatform {
		n.start.platform = true
	}
	if n.store.View() == nil {
		return
	}
	if !n.start.asked {
		n.start.asked = true
		n.fetchAny(now, startPeers)
	}
	if n.start.platform && len(n.fetcher.pending) == 0 || !now.Before(n.start.deadline) {
		n.serve(now)
	}
}

// expireStart serves with what is there once the bound has passed, and goes on
// asking while there is nothing.
func (n *Node) expireStart(now time.Time) {
	if n.start.phase != asking {
		return
	}
	if n.store.View() == nil && !now.Before(n.start.deadline) {
		n.logWaiting()
		if len(n.fetcher.pending) == 0 {
			n.askBootstrap(now)
		}
	}
	n.advanceStart(now, nil)
}

// logWaiting reports once that neither the platform nor a peer gave any
// configuration within the bound of the start.
func (n *Node) logWaiting() {
	if n.start.waiting {
		return
	}
	n.start.waiting = true
	n.log("waiting-for-configuration", Field{"bootstrap-peers", strconv.Itoa(len(n.config.Bootstrap))})
}

func (n *Node) serve(now time.Time) {
	n.start.phase = serving
	n.log("serving", Field{"version", n.store.Version().String()})
	n.serveView(now)
	n.balance(now, &balancer.MembersChanged{Live: n.members.Live()})
}

// wake is the state after a pause of the process.
type wake struct {
	suspect  bool
	since    time.Time
	deadline time.Time
}

// woke makes the view suspect and asks peers and the platform about it.
func (n *Node) woke(now time.Time, e *balancer.Resumed) {
	if n.start.phase != serving {
		// Answers may have waited through the pause: ask anew. Nothing would
		// confirm a suspect view later.
		n.start = start{waiting: n.start.waiting}
		clear(n.fetcher.pending)
		return
	}
	n.balance(now, e)
	n.wake = wake{suspect: true, since: now, deadline: now.Add(confirmWait)}
	clear(n.fetcher.pending)
	n.applyMembers(now, &member.Resumed{Pause: e.Pause})
	n.applyMembers(now, &member.GossipRequested{})
	n.applyMembers(now, &member.Tick{})
	n.read(now, 0)
}

// confirmBy ends the suspicion when a peer's digest shows nothing newer.
func (n *Node) confirmBy(now time.Time, e *ProbeAcknowledged) {
	if n.asked(e.SentAt) && !n.store.IsBehind(e.Digest.Keys) && !n.wants(now, e.Digest.Version) {
		n.confirm(now)
	}
}

// asked tells whether a question was put after the pause. An answer that
// waited through the pause says nothing about the time since.
func (n *Node) asked(at time.Time) bool { return at.IsZero() || !at.Before(n.wake.since) }

func (n *Node) expireWake(now time.Time) {
	if n.wake.suspect && !now.Before(n.wake.deadline) {
		n.confirm(now)
	}
}

func (n *Node) confirm(now time.Time) {
	if !n.wake.suspect {
		return
	}
	n.wake.suspect = false
	n.log("view-confirmed", Field{"version", n.store.Version().String()})
	n.balance(now, &balancer.ViewConfirmed{})
}

// lonely tells whether there is no peer to ask.
func (n *Node) lonely() bool { return len(n.members.Live()) <= 1 }
