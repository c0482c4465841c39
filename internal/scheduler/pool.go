package scheduler

import (
	"slices"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/speed"
)

// pool holds the upstreams of one service, ordered by number.
type pool struct {
	members       []*upstream
	coldPerSecond float64
	// coldFor is how long upstreams are cold after their start.
	coldFor time.Duration
	// maxTarget is the longest Request.Target seen so far.
	maxTarget time.Duration
	// outcomes counts how recent flows of each class ended.
	outcomes map[Class]*outcomes
	// endTimes are the times of recent flow ends, of tracked flows and others.
	endTimes []time.Time
	// medianServiceTime is the median over the upstreams, computed at medianAt.
	medianServiceTime time.Duration
	medianAt          time.Time
	// measured is true once flows of the service are known to stay open between requests.
	// Upstreams are then compared by their measured work and speed.
	measured bool
	// durations holds the usual duration of the first requests of flows by class,
	// openDuration that of later requests.
	durations    map[Class]*speed.Reference[time.Duration]
	openDuration speed.Reference[time.Duration]
	// hasLongLived is true if a class has flows that outlast their expiry.
	hasLongLived bool
	// usualFactor is the median of how much longer requests take at upstreams whose slots
	// are all busy.
	usualFactor float64
	// workPerFlow is the average number of requests under way in an open flow.
	workPerFlow float64
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

// outcomes counts recent flows whose end was reported before the flow expired, and
// flows that expired first.
type outcomes struct {
	endedInTime int
	expired     int
	// idle counts the flows among endedInTime that stayed open after their first request.
	idle int
}

// recordOutcome counts a flow that ended in time or expired. The counts are halved
// when they exceed longLivedSample, so that recent flows dominate.
func (pl *pool) recordOutcome(c Class, expired bool) {
	if pl.outcomes == nil {
		pl.outcomes = make(map[Class]*outcomes)
	}
	o := pl.outcomes[c]
	if o == nil {
		o = &outcomes{}
		pl.outcomes[c] = o
	}
	if expired {
		o.expired++
	} else {
		o.endedInTime++
	}
	if o.endedInTime+o.expired > longLivedSample {
		o.endedInTime, o.expired, o.idle = o.endedInTime/2, o.expired/2, o.idle/2
	}
}

// recordIdle counts a flow that ended in time as one that stays open.
func (pl *pool) recordIdle(c Class) {
	o := pl.outcomes[c]
	o.idle++
	pl.measured = pl.measured || o.idle >= minIdleFlows && pl.staysOpen(c)
}

// staysOpen reports whether most flows of a class stay open after their first request.
func (pl *pool) staysOpen(c Class) bool {
	o := pl.outcomes[c]
	return o != nil && 2*o.idle > o.endedInTime
}

// longLived reports whether most flows of a class outlast their expiry. The number
// of tracked flows then says nothing about the load.
func (pl *pool) longLived(c Class) bool {
	o := pl.outcomes[c]
	return o != nil && o.expired > longLivedSample/4 && o.expired > longLivedRatio*o.endedInTime
}

// flowExpiry returns the time after which a flow without a reported end expires. Work that
// meets its target takes no longer than that: the lengths of flows that stay open must not
// be taken for work for good, once some of them have been.
func (pl *pool) flowExpiry() time.Duration {
	usual := max(pl.medianServiceTime, initialServiceTime)
	if pl.maxTarget > 0 {
		usual = min(usual, max(pl.maxTarget, initialServiceTime))
	}
	return flowExpiryFactor * usual
}

// updateMedian recomputes the median service time if it is out of date.
func (pl *pool) updateMedian(now time.Time) {
	if now.Sub(pl.medianAt) < serviceTimeHalfLife/4 && pl.medianServiceTime > 0 {
		return
	}
	pl.medianAt = now
	pl.updateMeasures(now)
	pl.hasLongLived = false
	for c := range pl.outcomes {
		pl.hasLongLived = pl.hasLongLived || pl.longLived(c)
	}
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
