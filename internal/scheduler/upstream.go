package scheduler

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
	"github.com/chervilhaven/chervilhaven/internal/outlier"
	"github.com/chervilhaven/chervilhaven/internal/speed"
	"github.com/chervilhaven/chervilhaven/internal/work"
)

// upstream is the scheduler's record of one upstream.
type upstream struct {
	info      catalog.Upstream
	state     State
	coldUntil time.Time
	// placed are the outstanding flows, oldest first.
	placed []placed
	// earlyEnds are flows whose end was reported before their placement, each
	// with the time of that report.
	earlyEnds []placed
	// coldPlacements are the times of flows placed in the last second while the
	// upstream was cold.
	coldPlacements []time.Time
	// serviceTime is a moving average, zero until the first measurement.
	serviceTime time.Duration
	// lastPlacement is the time at which a flow was last added.
	lastPlacement time.Time
	suspicion     suspicion
	// lastAnswer is when it last answered an opening, zero before the first answer.
	lastAnswer time.Time
	doubt      doubt
	// work is the work for open flows, speed how slow the upstream is.
	work  work.Ledger[netip.AddrPort]
	speed speed.Estimate
	curve speed.Curve
	reach reach
	// outlier weighs the answers that came too soon.
	outlier outlier.Detector
}

// placed is a flow and the time at which it was placed or, in earlyEnds, at which
// its end was reported.
type placed struct {
	flow  uint64
	at    time.Time
	class Class
	// load is the number of requests at the upstream when the flow was placed, this one
	// included, and 0 if it is not known.
	load float64
	// inherited marks a flow that another coordinator placed. Its length says nothing
	// about the upstream: all such flows are handed over at once, and may be idle.
	inherited bool
}

// expectedTime returns the expected time until one more flow gets its response.
func (u *upstream) expectedTime(now time.Time, pl *pool, r Request) time.Duration {
	u.expire(now, pl)
	if pl.measured {
		return u.measuredTime(now, pl, r)
	}
	work := pl.medianServiceTime
	if w := u.serviceTimeAt(now); w > slowFactor*work {
		work = w
	}
	if u.isCold(now, pl) && !u.doubt.silent {
		// A cold upstream is assumed to take slowFactor times as long. One that has to
		// answer first is tried as soon as any other.
		work *= slowFactor
	}
	slots := max(u.info.Slots, 1)
	waiting := max(0, len(u.placed)+1-slots)
	// A small cost for each busy slot favours idle upstreams.
	return work + work*time.Duration(waiting)/time.Duration(slots) +
		work*time.Duration(min(len(u.placed), slots))/time.Duration(4*slots)
}

// serviceTimeAt returns the service time, halved once for each serviceTimeHalfLife
// since lastPlacement.
func (u *upstream) serviceTimeAt(now time.Time) time.Duration {
	idle := now.Sub(u.lastPlacement)
	if idle < serviceTimeHalfLife {
		return u.serviceTime
	}
	return u.serviceTime >> min(idle/serviceTimeHalfLife, 16)
}

// expire stops tracking flows that are older than the expiry time.
func (u *upstream) expire(now time.Time, pl *pool) {
	n := 0
	for n < len(u.placed) && now.Sub(u.placed[n].at) > pl.flowExpiry() {
		// A flow that outlasts its expiry indicates a slow upstream, unless flows of
		// its class stay open between requests.
		if f := u.placed[n]; !f.inherited && !pl.longLived(f.class) {
			u.serviceTime = min(cmp.Or(u.serviceTime, pl.medianServiceTime)*5/4, maxServiceTime)
		}
		pl.recordOutcome(u.placed[n].class, true)
		n++
	}
	u.placed = slices.Delete(u.placed, 0, n)
}

// addFlow tracks a flow. If the upstream is suspect, the flow counts as its trial.
func (u *upstream) addFlow(now time.Time, pl *pool, f placed) {
	i, _ := slices.BinarySearchFunc(u.placed, f, func(a, b placed) int { return a.at.Compare(b.at) })
	u.placed = slices.Insert(u.placed, i, f)
	u.serviceTime, u.lastPlacement = u.serviceTimeAt(now), now
	if u.isCold(now, pl) {
		u.coldPlacements = append(u.coldPlacements, now)
	}
	if u.suspicion.duration > 0 {
		u.suspicion.trialAt = now
	}
}

// isCold reports whether the upstream is cold or may be.
func (u *upstream) isCold(now time.Time, pl *pool) bool {
	return now.Before(u.coldUntil) || u.mayBeCold(now, pl)
}

// allowsCold reports whether the upstream is warm or, if cold, admits one more flow
// within its rate limit. Without AllowCold, a cold upstream admits none. One that is
// only in doubt admits flows as a last resort, of each instance its part of the rate.
func (u *upstream) allowsCold(now time.Time, pl *pool, r Request) bool {
	if !u.isCold(now, pl) {
		return true
	}
	rate := max(1, pl.coldPerSecond*coldShare)
	if !r.AllowCold {
		interval := time.Duration(float64(max(r.Instances, 1)) / rate * float64(time.Second))
		return r.AllowSuspects && !now.Before(u.coldUntil) && now.Sub(u.lastPlacement) >= interval
	}
	n := 0
	for n < len(u.coldPlacements) && now.Sub(u.coldPlacements[n]) > time.Second {
		n++
	}
	u.coldPlacements = slices.Delete(u.coldPlacements, 0, n)
	return float64(len(u.coldPlacements)) < rate
}

// atBound reports whether the upstream has as many flows as it can work on, plus
// a few in transit. Long-lived flows do not count: they say nothing about the load.
func (u *upstream) atBound(now time.Time, pl *pool, r Request) bool {
	u.expire(now, pl)
	if pl.measured {
		return u.measuredAtBound(now, pl, r)
	}
	c := r.class()
	slots := max(u.info.Slots, 1)
	if c.Bulk {
		slots *= bulkPerSlot
	}
	if pl.longLived(c) || len(u.placed) < boundPerSlot*slots+1 {
		return false
	}
	return u.countWorking(pl) >= boundPerSlot*slots+1
}

// countWorking returns the number of placed flows of classes that do not outlast their
// expiry.
func (u *upstream) countWorking(pl *pool) int {
	n := 0
	for _, f := range u.placed {
		if !pl.longLived(f.class) {
			n++
		}
	}
	return n
}

// endFlow stops tracking a flow and returns it. The end of an untracked flow is kept
// for a while, as the report of its placement may still arrive.
func (u *upstream) endFlow(now time.Time, flow uint64) (f placed, counted bool) {
	n := u.indexOf(flow)
	if n < 0 {
		if !u.endedEarly(now, flow) {
			u.earlyEnds = append(u.earlyEnds, placed{flow: flow, at: now})
		}
		return placed{}, false
	}
	f = u.placed[n]
	u.placed = slices.Delete(u.placed, n, n+1)
	return f, true
}

// endedEarly reports whether the end of a flow arrived before the report that it was
// placed. It drops ends older than earlyEndRetention.
func (u *upstream) endedEarly(now time.Time, flow uint64) bool {
	u.earlyEnds = slices.DeleteFunc(u.earlyEnds, func(f placed) bool { return now.Sub(f.at) > earlyEndRetention })
	return slices.ContainsFunc(u.earlyEnds, func(f placed) bool { return f.flow == flow })
}

// indexOf returns the index of an outstanding flow, or -1 if it is not tracked.
func (u *upstream) indexOf(flow uint64) int {
	return slices.IndexFunc(u.placed, func(f placed) bool { return f.flow == flow })
}

// stateFor returns the state of the upstream for one request, which may list its
// data centre as cut off.
func (u *upstream) stateFor(r Request) State {
	if u.state != Closed && slices.Contains(r.UnreachableDataCentres, u.info.DataCentre) {
		return Unreachable
	}
	return u.state
}
