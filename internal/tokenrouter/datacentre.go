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
	// dataCentreCheckInterval is the time between checks of the data centres.
	dataCentreCheckInterval = 50 * time.Millisecond
	// unreadyDelay is how long an instance must be without a reachable upstream
	// before it reports not ready, so that the network fabric sends packets
	// elsewhere. minUnready is how long it then stays not ready at least.
	unreadyDelay = 200 * time.Millisecond
	minUnready   = time.Second
)

// dataCentreState tracks whether another data centre is reachable, by the messages
// from its instances.
type dataCentreState struct {
	// heard is when a message from one of its instances last arrived, zero before
	// the first. peers is the number of its instances that have sent messages.
	heard time.Time
	peers int
	// reportedAt is when an instance in the same data centre as this instance last
	// reported the other data centre as cut off.
	reportedAt time.Time
}

// dataCentreState returns the state of a data centre and creates it if necessary.
func (r *roster) dataCentreState(dataCentre string) *dataCentreState {
	s, ok := r.dataCentres[dataCentre]
	if !ok {
		s = &dataCentreState{}
		r.dataCentres[dataCentre] = s
	}
	return s
}

// noteHeard records a message from an instance in a data centre.
func (r *roster) noteHeard(now time.Time, dataCentre string) {
	s := r.dataCentreState(dataCentre)
	s.heard, s.peers = now, max(s.peers, 1)
}

// countPeersByDataCentre recounts the known peers of each data centre.
func (r *roster) countPeersByDataCentre() {
	for _, s := range r.dataCentres {
		s.peers = 0
	}
	for _, p := range r.peers {
		if s, ok := r.dataCentres[p.dataCentre]; ok && !p.heard.IsZero() {
			s.peers++
		}
	}
}

// noteReportedCuts records which data centres another instance of the same data
// centre reports as cut off. Reports from other data centres are ignored.
func (rt *Router) noteReportedCuts(now time.Time, m *Message) {
	if m.DataCentre != rt.config.DataCentre {
		return
	}
	for _, name := range m.CutOff {
		if name != rt.config.DataCentre {
			rt.roster.dataCentreState(name).reportedAt = now
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

// findSilentDataCentres returns, sorted, the data centres from whose instances no
// message has arrived within silenceTimeout. Data centres without known instances
// are left out.
func (rt *Router) findSilentDataCentres(now time.Time) []string {
	var names []string
	for name, s := range rt.roster.dataCentres {
		if name != rt.config.DataCentre && s.peers > 0 && now.Sub(s.heard) > rt.roster.silenceTimeout(s.peers) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// findUnreachableDataCentres returns, sorted, the data centres that fell silent,
// and those that this instance has never received a message from and that another
// instance of its data centre reports as cut off.
func (rt *Router) findUnreachableDataCentres(now time.Time) []string {
	names := slices.Clone(rt.silentDataCentres)
	for name, s := range rt.roster.dataCentres {
		if s.heard.IsZero() && now.Sub(s.reportedAt) <= missedHeartbeats*rt.roster.roundInterval() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// checkDataCentres updates the list of unreachable data centres and the readiness
// that depends on it.
func (rt *Router) checkDataCentres(now time.Time) {
	rt.silentDataCentres = rt.findSilentDataCentres(now)
	cut := rt.findUnreachableDataCentres(now)
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
// known to be unreachable. It is also true while no data centre is cut off or no
// upstream is known.
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
