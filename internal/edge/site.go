package edge

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/placer"
)

const (
	// minSilence is the least time of silence of a whole data centre after which
	// it counts as cut off: one heartbeat of a small site and some.
	minSilence = 300 * time.Millisecond
	// minMissedMessages is the number of usual gaps between messages of a data centre
	// whose lack counts as a cut at least, as datagrams are lost now and then.
	minMissedMessages = 3
	// falseAlarmProbability is the chance that instances that speak at times of their own
	// leave a gap as long as that of a cut.
	falseAlarmProbability = 1e-6
	// deliveryMargin is added for the way and for busy processors.
	deliveryMargin = 50 * time.Millisecond
	// siteCheckInterval is the time between looks at the data centres.
	siteCheckInterval = 50 * time.Millisecond
	// unreadyDelay is the time for which an instance has to lack any upstream
	// before it asks the fabric to turn to others, and servableFor the time for
	// which it then does so at least.
	unreadyDelay = 200 * time.Millisecond
	minUnready   = time.Second
)

// site is another data centre as far as its instances are heard.
type site struct {
	heard time.Time
	peers int
	// reportedAt is the last time at which a neighbour reportedAt that it is cut off.
	reportedAt time.Time
}

// site returns what is known of a data centre.
func (r *roster) site(dataCentre string) *site {
	s, ok := r.sites[dataCentre]
	if !ok {
		s = &site{}
		r.sites[dataCentre] = s
	}
	return s
}

// noteHeard notes a message of a peer in a data centre.
func (r *roster) noteHeard(now time.Time, dataCentre string) {
	s := r.site(dataCentre)
	s.heard, s.peers = now, max(s.peers, 1)
}

// countPeersBySite counts the peers of each data centre anew.
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

// noteReportedCuts notes which data centres a neighbour hears no more.
func (e *Edge) noteReportedCuts(now time.Time, m *Message) {
	if m.DataCentre != e.config.DataCentre {
		return
	}
	for _, name := range m.CutOff {
		if name != e.config.DataCentre {
			e.roster.site(name).reportedAt = now
		}
	}
}

// silenceTimeout is the time after which a data centre with so many instances counts as
// cut off. Each of n speaks once an interval: a gap is longer than the share x of
// it with chance (1-x)^(n-1).
func (r *roster) silenceTimeout(peers int) time.Duration {
	interval := r.messageInterval(false)
	share := 1.0
	if peers > 1 {
		share -= math.Pow(falseAlarmProbability, 1/float64(peers-1))
	}
	return max(minSilence, minMissedMessages*interval/time.Duration(peers), time.Duration(share*float64(interval))+deliveryMargin)
}

// findSilentSites returns the data centres whose instances have all fallen silent,
// in order. Those without known instances are not among them.
func (e *Edge) findSilentSites(now time.Time) []string {
	var names []string
	for name, s := range e.roster.sites {
		if name != e.config.DataCentre && s.peers > 0 && now.Sub(s.heard) > e.roster.silenceTimeout(s.peers) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// findUnreachableSites returns the data centres that have fallen silent and those that this
// instance never heard and a neighbour hears no more, in order.
func (e *Edge) findUnreachableSites(now time.Time) []string {
	names := slices.Clone(e.silentSites)
	for name, s := range e.roster.sites {
		if s.heard.IsZero() && now.Sub(s.reportedAt) <= missedHeartbeats*e.roster.roundInterval() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// checkSites notes which data centres are cut off and whether this instance
// can serve at all.
func (e *Edge) checkSites(now time.Time) {
	e.silentSites = e.findSilentSites(now)
	cut := e.findUnreachableSites(now)
	if !slices.Equal(cut, e.cutOff) {
		e.log("data-centres-cut-off", "names", strings.Join(cut, ","))
		e.cutOff = cut
	}
	if e.canServe() {
		e.unservableSince = time.Time{}
	} else if e.unservableSince.IsZero() {
		e.unservableSince = now
	}
	switch {
	case !e.unservableSince.IsZero() && now.Sub(e.unservableSince) >= unreadyDelay:
		if e.unreadyAt.IsZero() {
			e.log("not-servable", "cut-off", strings.Join(e.cutOff, ","))
		}
		e.unreadyAt = now
	case !e.unreadyAt.IsZero() && now.Sub(e.unreadyAt) >= minUnready:
		e.log("servable")
		e.unreadyAt = time.Time{}
	}
}

// canServe tells whether any upstream may be used that is not known to be out
// of reach.
func (e *Edge) canServe() bool {
	if len(e.cutOff) == 0 {
		return true
	}
	for _, u := range e.upstreams.byNumber {
		if e.stateOf(u) != placer.Closed && !slices.Contains(e.cutOff, u.info.DataCentre) {
			return true
		}
	}
	return len(e.upstreams.byNumber) == 0
}

// Ready tells whether the fabric should send packets here: the instance holds
// a configuration, is not about to stop and has upstreams in reach.
func (e *Edge) Ready() bool {
	return !e.stopping && e.routes != nil && e.unreadyAt.IsZero()
}
