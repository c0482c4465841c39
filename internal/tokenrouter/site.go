package tokenrouter

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/scheduler"
)

const (
	// minSilence is the shortest silence of a whole data centre after which it
	// counts as cut off: one heartbeat interval of a small fleet plus a margin.
	minSilence = 300 * time.Millisecond
	// minMissedMessages is the number of average message gaps that the silence of
	// a data centre must last at least, because single datagrams get lost.
	minMissedMessages = 3
	// falseAlarmProbability is the accepted probability that instances with
	// independent heartbeat timers leave a gap this long although their data
	// centre is reachable.
	falseAlarmProbability = 1e-6
	// deliveryMargin allows for network latency and busy processors.
	deliveryMargin = 50 * time.Millisecond
	// siteCheckInterval is the time between checks of the data centres.
	siteCheckInterval = 50 * time.Millisecond
	// unreadyDelay is how long an instance must be without a reachable upstream
	// before it reports not ready, so that the network fabric sends packets
	// elsewhere. minUnready is how long it then stays not ready at least.
	unreadyDelay = 200 * time.Millisecond
	minUnready   = time.Second
)

// site tracks whether another data centre is reachable, by the messages from its
// instances.
type site struct {
	heard time.Time
	peers int
	// reportedAt is when an instance of the own data centre last reported this
	// one as cut off.
	reportedAt time.Time
}

// site returns the state of a data centre and creates it if necessary.
func (r *roster) site(dataCentre string) *site {
	s, ok := r.sites[dataCentre]
	if !ok {
		s = &site{}
		r.sites[dataCentre] = s
	}
	return s
}

// noteHeard records a message from an instance in a data centre.
func (r *roster) noteHeard(now time.Time, dataCentre string) {
	s := r.site(dataCentre)
	s.heard, s.peers = now, max(s.peers, 1)
}

// countPeersBySite recounts the known peers of each data centre.
func (r *roster) countPeersBySite() {
	for _, s := range r.sites {
		s.peers = 0
	}
	for _, p := range r.peers {
		if s, ok := r.sites[p.dataCentre]; ok && !p.heard.IsZero() {
			s.peers++
		}
	}
}

// noteReportedCuts records which data centres an instance of the own data centre
// reports as cut off.
func (rt *Router) noteReportedCuts(now time.Time, m *Message) {
	if m.DataCentre != rt.config.DataCentre {
		return
	}
	for _, name := range m.CutOff {
		if name != rt.config.DataCentre {
			rt.roster.site(name).reportedAt = now
		}
	}
}

// silenceTimeout returns the silence after which a data centre with the given
// number of instances counts as cut off. Each of n instances sends once per
// interval, so after one message a gap of more than the share x of the interval
// has the probability (1-x)^(n-1).
func (r *roster) silenceTimeout(peers int) time.Duration {
	interval := r.messageInterval(false)
	share := 1.0
	if peers > 1 {
		share -= math.Pow(falseAlarmProbability, 1/float64(peers-1))
	}
	return max(minSilence, minMissedMessages*interval/time.Duration(peers), time.Duration(share*float64(interval))+deliveryMargin)
}

// findSilentSites returns, sorted, the data centres from whose instances no
// message has arrived within the timeout. Data centres without known instances
// are left out.
func (rt *Router) findSilentSites(now time.Time) []string {
	var names []string
	for name, s := range rt.roster.sites {
		if name != rt.config.DataCentre && s.peers > 0 && now.Sub(s.heard) > rt.roster.silenceTimeout(s.peers) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// findUnreachableSites returns, sorted, the data centres that fell silent, and
// those that this instance has never received a message from and that an
// instance of its own data centre reports as cut off.
func (rt *Router) findUnreachableSites(now time.Time) []string {
	names := slices.Clone(rt.silentSites)
	for name, s := range rt.roster.sites {
		if s.heard.IsZero() && now.Sub(s.reportedAt) <= missedHeartbeats*rt.roster.roundInterval() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// checkSites updates the list of unreachable data centres and the readiness that
// depends on it.
func (rt *Router) checkSites(now time.Time) {
	rt.silentSites = rt.findSilentSites(now)
	cut := rt.findUnreachableSites(now)
	if !slices.Equal(cut, rt.cutOff) {
		rt.log("data-centres-cut-off", "names", strings.Join(cut, ","))
		rt.cutOff = cut
	}
	if rt.canServe() {
		rt.unservableSince = time.Time{}
	} else if rt.unservableSince.IsZero() {
		rt.unservableSince = now
	}
	switch {
	case !rt.unservableSince.IsZero() && now.Sub(rt.unservableSince) >= unreadyDelay:
		if rt.unreadyAt.IsZero() {
			rt.log("not-servable", "cut-off", strings.Join(rt.cutOff, ","))
		}
		rt.unreadyAt = now
	case !rt.unreadyAt.IsZero() && now.Sub(rt.unreadyAt) >= minUnready:
		rt.log("servable")
		rt.unreadyAt = time.Time{}
	}
}

// canServe reports whether any usable upstream is in a data centre that is not
// known to be unreachable. It is true while no upstream is known at all.
func (rt *Router) canServe() bool {
	if len(rt.cutOff) == 0 {
		return true
	}
	for _, u := range rt.upstreams.byNumber {
		if rt.stateOf(u) != scheduler.Closed && !slices.Contains(rt.cutOff, u.info.DataCentre) {
			return true
		}
	}
	return len(rt.upstreams.byNumber) == 0
}

// Ready reports whether the network fabric should send packets to this instance:
// it has a configuration, is not stopping, and can reach an upstream.
func (rt *Router) Ready() bool {
	return !rt.stopping && rt.routes != nil && rt.unreadyAt.IsZero()
}
