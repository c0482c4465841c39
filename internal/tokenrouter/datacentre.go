package tokenrouter

import (
	"slices"
	"strings"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/scheduler"
)

const (
	// minSilence is the shortest silence of a whole data centre after which it
	// counts as cut off in a small fleet: one heartbeat interval plus a margin.
	minSilence = 300 * time.Millisecond
	// minMissedMessages is the number of average message gaps that the silence of
	// a data centre must last at least in a small fleet, because single datagrams
	// get lost.
	minMissedMessages = 3
	// In a large fleet, a data centre is asked for a sign of life after a silence of
	// probeAfterGaps average message gaps, within the limits.
	probeAfterGaps = 2
	minProbeAfter  = 200 * time.Millisecond
	maxProbeAfter  = 3 * time.Second
	// maxUnansweredChecks is the number of checks, dataCentreCheckInterval apart,
	// that a data centre may leave unanswered before it counts as cut off.
	maxUnansweredChecks = 3
	// probesPerCheck is the number of instances asked in each check but the first,
	// which asks one.
	probesPerCheck = 2
	// checksPerProbe is the number of checks between two probes of a data centre
	// that is cut off.
	checksPerProbe = 5
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
	// the first. peers is the number of its instances that count as live, at least 1.
	heard time.Time
	peers int
	// unanswered counts the checks since the last message that found it silent.
	unanswered int
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

// countPeersByDataCentre recounts the live peers of each data centre.
func (r *roster) countPeersByDataCentre(now time.Time) {
	count := make(map[string]int, len(r.dataCentres))
	for _, p := range r.peers {
		if r.live(now, p) {
			count[p.dataCentre]++
		}
	}
	for name, s := range r.dataCentres {
		s.peers = max(count[name], 1)
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
// number of instances counts as cut off in a small fleet.
func silenceTimeout(peers int) time.Duration {
	return max(minSilence, minMissedMessages*heartbeatInterval/time.Duration(peers))
}

// probeAfter returns the silence after which a data centre with the given number of
// instances is asked for a sign of life in a large fleet. The instances of a fleet
// send independently, so gaps of a multiple of the average occur by chance.
func (r *roster) probeAfter(peers int) time.Duration {
	gap := heartbeatInterval * time.Duration(len(r.peers)) / time.Duration(roundParts*partFanout*peers)
	return min(max(time.Duration(probeAfterGaps*float64(gap)), minProbeAfter), maxProbeAfter)
}

// findSilentDataCentres returns, sorted, the data centres that were heard before
// and whose instances have fallen silent.
func (rt *Router) findSilentDataCentres(now time.Time) []string {
	var names []string
	for name, s := range rt.roster.dataCentres {
		if name != rt.config.DataCentre && !s.heard.IsZero() && rt.isSilent(now, name, s) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// isSilent reports whether a data centre counts as cut off. In a large fleet, it
// asks some of its instances for a sign of life first.
func (rt *Router) isSilent(now time.Time, name string, s *dataCentreState) bool {
	silence := now.Sub(s.heard)
	if rt.roster.mesh() {
		return silence > silenceTimeout(s.peers)
	}
	if silence <= rt.roster.probeAfter(s.peers) {
		s.unanswered = 0
		return false
	}
	s.unanswered++
	cut := s.unanswered > maxUnansweredChecks
	switch {
	case !cut:
		rt.probeDataCentre(now, name, min(s.unanswered, probesPerCheck))
	case s.unanswered%checksPerProbe == 0:
		rt.probeDataCentre(now, name, 1)
	}
	return cut
}

// probeDataCentre asks some live instances of a data centre for a sign of life.
func (rt *Router) probeDataCentre(now time.Time, name string, count int) {
	order := rt.ordered()
	start, _ := slices.BinarySearchFunc(order, name, func(p *peer, name string) int { return strings.Compare(p.dataCentre, name) })
	end := start
	for end < len(order) && order[end].dataCentre == name {
		end++
	}
	if start == end {
		return
	}
	first := rt.random.IntN(end - start)
	for i := 0; i < end-start && count > 0; i++ {
		if p := order[start+(first+i)%(end-start)]; rt.roster.live(now, p) {
			rt.messageTo(p).Answer = AnyMessage
			count--
		}
	}
}

// findUnreachableDataCentres returns, sorted, the data centres that fell silent,
// and those that this instance has never received a message from and that another
// instance of its data centre reports as cut off.
func (rt *Router) findUnreachableDataCentres(now time.Time) []string {
	names := slices.Clone(rt.silentDataCentres)
	for name, s := range rt.roster.dataCentres {
		if s.heard.IsZero() && now.Sub(s.reportedAt) <= rt.roster.readerTimeout() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// checkDataCentres updates the list of unreachable data centres and the readiness
// that depends on it.
func (rt *Router) checkDataCentres(now time.Time) {
	rt.scheduler.SetInformed(now, rt.catalogFresh(now))
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
