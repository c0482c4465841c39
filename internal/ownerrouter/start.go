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
	// phaseIdle lasts until the first Tick.
	phaseIdle phase = iota
	// phaseQuerying lasts until the platform and the peers have responded or
	// the deadline has passed with a configuration available.
	phaseQuerying
	// phaseServing passes the configuration and the members to the balancer.
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

func (rt *Router) beginStartup(now time.Time) {
	rt.startup.phase = phaseQuerying
	rt.startup.deadline = now.Add(startupTimeout)
	rt.startRead(now, 0)
	rt.queryBootstrapPeers(now)
}

func (rt *Router) queryBootstrapPeers(now time.Time) {
	for _, a := range rt.config.Bootstrap {
		if a != rt.config.Peers {
			rt.fetchFromAddress(now, 0, a, rt.store.Version())
		}
	}
}

// advanceStartup starts serving if all responses have arrived or the deadline
// has passed. It is called after each response or failure; e is nil for a
// failure and for a timer tick.
func (rt *Router) advanceStartup(now time.Time, e *ValuesReceived) {
	if rt.startup.phase != phaseQuerying {
		return
	}
	if e != nil && e.Source == FromPlatform {
		rt.startup.platformDone = true
	}
	if rt.store.View() == nil {
		return
	}
	if !rt.startup.peersQueried {
		rt.startup.peersQueried = true
		rt.fetchFromListedPeers(now, startupPeers)
	}
	if rt.startup.platformDone && len(rt.fetcher.pending) == 0 || !now.Before(rt.startup.deadline) {
		rt.startServing(now)
	}
}

// checkStartupDeadline starts serving with the available configuration once the
// deadline has passed. Without any configuration it queries the bootstrap peers
// again.
func (rt *Router) checkStartupDeadline(now time.Time) {
	if rt.startup.phase != phaseQuerying {
		return
	}
	if rt.store.View() == nil && !now.Before(rt.startup.deadline) {
		rt.logWaitingOnce()
		if len(rt.fetcher.pending) == 0 {
			rt.queryBootstrapPeers(now)
		}
	}
	rt.advanceStartup(now, nil)
}

// logWaitingOnce logs, at most once, that neither the platform nor a peer
// provided any configuration within startupTimeout.
func (rt *Router) logWaitingOnce() {
	if rt.startup.waitingLogged {
		return
	}
	rt.startup.waitingLogged = true
	rt.log("waiting-for-configuration", Field{"bootstrap-peers", strconv.Itoa(len(rt.config.Bootstrap))})
}

func (rt *Router) startServing(now time.Time) {
	rt.startup.phase = phaseServing
	rt.log("serving", Field{"version", rt.store.Version().String()})
	rt.applyView(now)
	rt.applyPolicy(now, &balancer.MembersChanged{Live: rt.membership.Live()})
}

// recovery is the state after a pause of the process, for example while the
// machine was suspended.
type recovery struct {
	// suspect is true until the view is confirmed, at the latest at deadline.
	suspect   bool
	resumedAt time.Time
	deadline  time.Time
}

// resumed marks the view as suspect after a pause and queries peers and the
// platform to confirm it.
func (rt *Router) resumed(now time.Time, e *balancer.Resumed) {
	if rt.startup.phase != phaseServing {
		// Responses may have been queued during the pause, so restart the
		// queries. The view is not marked suspect: nothing would confirm it.
		rt.startup = startup{waitingLogged: rt.startup.waitingLogged}
		clear(rt.fetcher.pending)
		return
	}
	rt.applyPolicy(now, e)
	rt.recovery = recovery{suspect: true, resumedAt: now, deadline: now.Add(confirmTimeout)}
	clear(rt.fetcher.pending)
	rt.applyMembership(now, &member.Resumed{Pause: e.Pause})
	rt.applyMembership(now, &member.GossipRequested{})
	rt.applyMembership(now, &member.Tick{})
	rt.startRead(now, 0)
}

// confirmFromProbe confirms the view if the peer's digest shows nothing newer.
func (rt *Router) confirmFromProbe(now time.Time, e *ProbeAcknowledged) {
	if rt.sentAfterPause(e.SentAt) && !rt.store.IsBehind(e.Digest.Keys) && !rt.needsVersion(now, e.Digest.Version) {
		rt.confirmView(now)
	}
}

// sentAfterPause reports whether a request was sent after the last pause. A
// response that was queued during the pause does not show what changed
// meanwhile.
func (rt *Router) sentAfterPause(at time.Time) bool {
	return at.IsZero() || !at.Before(rt.recovery.resumedAt)
}

func (rt *Router) checkRecoveryDeadline(now time.Time) {
	if rt.recovery.suspect && !now.Before(rt.recovery.deadline) {
		rt.confirmView(now)
	}
}

func (rt *Router) confirmView(now time.Time) {
	if !rt.recovery.suspect {
		return
	}
	rt.recovery.suspect = false
	rt.log("view-confirmed", Field{"version", rt.store.Version().String()})
	rt.applyPolicy(now, &balancer.ViewConfirmed{})
}

// hasNoPeers reports whether this instance is the only live member.
func (rt *Router) hasNoPeers() bool { return len(rt.membership.Live()) <= 1 }
