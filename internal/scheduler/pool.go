package scheduler

import (
	"slices"
	"time"
)

// pool holds the upstreams of one service, ordered by number.
type pool struct {
	members       []*upstream
	coldPerSecond float64
	// maxTarget is the longest Request.Target seen so far.
	maxTarget time.Duration
	// endedInTime and expired count recent flows whose end was reported before
	// the flow expired, and flows that expired first.
	endedInTime int
	expired     int
	// endTimes are the times of recent flow ends, of tracked flows and others.
	endTimes []time.Time
	// medianServiceTime is the median over the upstreams, computed at medianAt.
	medianServiceTime time.Duration
	medianAt          time.Time
}

// pool returns the pool of a service and creates it if necessary.
func (p *Scheduler) pool(service string) *pool {
	pl := p.pools[service]
	if pl == nil {
		if p.pools == nil {
			p.pools = make(map[string]*pool)
		}
		pl = &pool{}
		p.pools[service] = pl
	}
	return pl
}

// recentFlows counts the outstanding flows that were placed within recentWindow.
func (pl *pool) recentFlows(now time.Time) int {
	n := 0
	for _, u := range pl.members {
		for _, f := range u.placed {
			if now.Sub(f.at) < recentWindow {
				n++
			}
		}
	}
	return n
}

// recentEnds returns the number of flows that ended within recentWindow, and drops older ends.
func (pl *pool) recentEnds(now time.Time) int {
	n := 0
	for n < len(pl.endTimes) && now.Sub(pl.endTimes[n]) >= recentWindow {
		n++
	}
	pl.endTimes = slices.Delete(pl.endTimes, 0, n)
	return len(pl.endTimes)
}

// recordOutcomes adds flows that ended in time and flows that expired. The counts
// are halved when they exceed longLivedSample, so that recent flows dominate.
func (pl *pool) recordOutcomes(ended, expired int) {
	pl.endedInTime, pl.expired = pl.endedInTime+ended, pl.expired+expired
	if pl.endedInTime+pl.expired > longLivedSample {
		pl.endedInTime, pl.expired = pl.endedInTime/2, pl.expired/2
	}
}

// longLived reports whether most flows outlast their expiry. The number of tracked
// flows then says nothing about the load.
func (pl *pool) longLived() bool {
	return pl.expired > longLivedSample/4 && pl.expired > longLivedRatio*pl.endedInTime
}

// flowExpiry returns the time after which a flow without a reported end expires.
func (pl *pool) flowExpiry() time.Duration {
	return flowExpiryFactor * max(pl.medianServiceTime, initialServiceTime)
}

// updateMedian recomputes the median service time if it is out of date.
func (pl *pool) updateMedian(now time.Time) {
	if now.Sub(pl.medianAt) < serviceTimeHalfLife/4 && pl.medianServiceTime > 0 {
		return
	}
	pl.medianAt = now
	times := make([]time.Duration, 0, len(pl.members))
	for _, u := range pl.members {
		if u.serviceTime > 0 {
			times = append(times, u.serviceTime)
		}
	}
	pl.medianServiceTime = max(initialServiceTime, pl.maxTarget/2)
	if len(times) > 0 {
		slices.Sort(times)
		pl.medianServiceTime = times[len(times)/2]
	}
}
