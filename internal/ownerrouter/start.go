package ownerrouter

import (
	"strconv"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/member"
)

// Limits for startup and for the recovery from a pause of the process.
const (
	// startupTimeout limits the wait for the platform and the peers. After it
	// the instance starts serving with the configuration it has.
	startupTimeout = 2 * time.Second
	// startupPeers is the number of listed peers queried at startup.
	startupPeers = 3
	// confirmTimeout limits the time for which the view stays suspect after a
	// pause.
	confirmTimeout = 2 * time.Second
)

// phase is the progress of the startup.
type phase uint8

const (
	phaseIdle phase = iota
	phaseQuerying
	phaseServing
)

// startup tracks the startup of the instance. The instance starts serving when
// the platform and all queried peers have responded or failed. Waiting for the
// peers prevents a stale platform from determining the configuration alone.
type startup struct {
	phase    phase
	deadline time.Time
	// platformDone is set when the first platform read has succeeded or failed.
	platformDone bool
	// waitingLogged is set when the event waiting-for-configuration was logged.
	waitingLogged bool
	// peersQueried is set when the listed peers have been queried.
	peersQueried bool
}

func (n *Router) beginStartup(now time.Time) {
	n.startup.phase = phaseQuerying
	n.startup.deadline = now.Add(startupTimeout)
	n.startRead(now, 0)
	n.queryBootstrapPeers(now)
}

func (n *Router) queryBootstrapPeers(now time.Time) {
	for _, a := range n.config.Bootstrap {
		if a != n.config.Peers {
			n.fetchFromAddress(now, 0, a, n.store.Version())
		}
	}
}

// advanceStartup starts serving if all responses have arrived or the deadline
// has passed. It is called after each response or failure; e is nil for a
// failure and for a timer tick.
func (n *Router) advanceStartup(now time.Time, e *ValuesReceived) {
	if n.startup.phase != phaseQuerying {
		return
	}
	if e != nil && e.Source == FromPlatform {
		n.startup.platformDone = true
	}
	if n.store.View() == nil {
		return
	}
	if !n.startup.peersQueried {
		n.startup.peersQueried = true
		n.fetchFromListedPeers(now, startupPeers)
	}
	if n.startup.platformDone && len(n.fetcher.pending) == 0 || !now.Before(n.startup.deadline) {
		n.startServing(now)
	}
}

// checkStartupDeadline starts serving with the available configuration once the
// deadline has passed. Without any configuration it queries the bootstrap peers
// again.
func (n *Router) checkStartupDeadline(now time.Time) {
	if n.startup.phase != phaseQuerying {
		return
	}
	if n.store.View() == nil && !now.Before(n.startup.deadline) {
		n.logWaitingOnce()
		if len(n.fetcher.pending) == 0 {
			n.queryBootstrapPeers(now)
		}
	}
	n.advanceStartup(now, nil)
}

// logWaitingOnce logs, at most once, that neither the platform nor a peer
// provided any configuration within startupTimeout.
func (n *Router) logWaitingOnce() {
	if n.startup.waitingLogged {
		return
	}
	n.startup.waitingLogged = true
	n.log("waiting-for-configuration", Field{"bootstrap-peers", strconv.Itoa(len(n.config.Bootstrap))})
}

func (n *Router) startServing(now time.Time) {
	n.startup.phase = phaseServing
	n.log("serving", Field{"version", n.store.Version().String()})
	n.applyView(now)
	n.applyPolicy(now, &balancer.MembersChanged{Live: n.membership.Live()})
}

// recovery is the state after a pause of the process, for example while the
// machine was suspended.
type recovery struct {
	suspect   bool
	resumedAt time.Time
	deadline  time.Time
}

// resumed marks the view as suspect after a pause and queries peers and the
// platform to confirm it.
func (n *Router) resumed(now time.Time, e *balancer.Resumed) {
	if n.startup.phase != phaseServing {
		// Responses may have been queued during the pause, so restart the
		// queries. The view is not marked suspect: nothing would confirm it.
		n.startup = startup{waitingLogged: n.startup.waitingLogged}
		clear(n.fetcher.pending)
		return
	}
	n.applyPolicy(now, e)
	n.recovery = recovery{suspect: true, resumedAt: now, deadline: now.Add(confirmTimeout)}
	clear(n.fetcher.pending)
	n.applyMembership(now, &member.Resumed{Pause: e.Pause})
	n.applyMembership(now, &member.GossipRequested{})
	n.applyMembership(now, &member.Tick{})
	n.startRead(now, 0)
}

// confirmFromProbe confirms the view if the peer's digest shows nothing newer.
func (n *Router) confirmFromProbe(now time.Time, e *ProbeAcknowledged) {
	if n.sentAfterPause(e.SentAt) && !n.store.IsBehind(e.Digest.Keys) && !n.needsVersion(now, e.Digest.Version) {
		n.confirmView(now)
	}
}

// sentAfterPause reports whether a request was sent after the last pause. A
// response that was queued during the pause does not show what changed
// meanwhile.
func (n *Router) sentAfterPause(at time.Time) bool {
	return at.IsZero() || !at.Before(n.recovery.resumedAt)
}

func (n *Router) checkRecoveryDeadline(now time.Time) {
	if n.recovery.suspect && !now.Before(n.recovery.deadline) {
		n.confirmView(now)
	}
}

func (n *Router) confirmView(now time.Time) {
	if !n.recovery.suspect {
		return
	}
	n.recovery.suspect = false
	n.log("view-confirmed", Field{"version", n.store.Version().String()})
	n.applyPolicy(now, &balancer.ViewConfirmed{})
}

// hasNoPeers reports whether this instance is the only live member.
func (n *Router) hasNoPeers() bool { return len(n.membership.Live()) <= 1 }
