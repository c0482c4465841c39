package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
)

type upstream struct {
	info      catalog.Upstream
	state     State
	coldUntil time.Time
	// outstanding are the outstanding flows, oldest first.
	outstanding []placedFlow
	// earlyEnds are flows whose end was told of late before they counted.
	earlyEnds []placedFlow
	// coldGrants are the times of the flows of the last second given while cold.
	coldGrants []time.Time
	serviceTime       time.Duration
	lastGrant       time.Time
	suspicion  suspicion
}

// placedFlow is a flow that an upstream got.
type placedFlow struct {
	flow uint64
	at   time.Time
}

// expectedTime returns the time to the answer of one more flow.
func (u *upstream) expectedTime(now time.Time, l *pool) time.Duration {
	u.expire(now, l)
	work := l.medianServiceTime
	if w := u.serviceTimeAt(now); w > slowFactor*work {
		work = w
	}
	if now.Before(u.coldUntil) {
		work *= slowFactor
	}
	slots := max(u.info.Slots, 1)
	waiting := max(0, len(u.outstanding)+1-slots)
	// A share of the work for each busy slot prefers idle upstreams.
	return work + work*time.Duration(waiting)/time.Duration(slots) +
		work*time.Duration(min(len(u.outstanding), slots))/time.Duration(4*slots)
}

func (u *upstream) serviceTimeAt(now time.Time) time.Duration {
	idle := now.Sub(u.lastGrant)
	if idle < serviceTimeHalfLife {
		return u.serviceTime
	}
	return u.serviceTime >> min(idle/serviceTimeHalfLife, 16)
}

func (u *upstream) expire(now time.Time, l *pool) {
	n := 0
	for n < len(u.outstanding) && now.Sub(u.outstanding[n].at) > l.flowExpiry() {
		// Its flows last longer than they count: it is slow.
		u.serviceTime = min(cmp.Or(u.serviceTime, l.medianServiceTime)*5/4, maxServiceTime)
		n++
	}
	u.outstanding = slices.Delete(u.outstanding, 0, n)
	l.recordOutcomes(0, n)
}

func (u *upstream) addFlow(now time.Time, g placedFlow) {
	i, _ := slices.BinarySearchFunc(u.outstanding, g, func(a, b placedFlow) int { return a.at.Compare(b.at) })
	u.outstanding = slices.Insert(u.outstanding, i, g)
	u.serviceTime, u.lastGrant = u.serviceTimeAt(now), now
	if now.Before(u.coldUntil) {
		u.coldGrants = append(u.coldGrants, now)
	}
	if u.suspicion.duration > 0 {
		u.suspicion.trialAt = now
	}
}

// allowsCold tells whether the upstream bears one more flow as far as its start is
// concerned.
func (u *upstream) allowsCold(now time.Time, l *pool, cold bool) bool {
	if !now.Before(u.coldUntil) {
		return true
	}
	if !cold {
		return false
	}
	n := 0
	for n < len(u.coldGrants) && now.Sub(u.coldGrants[n]) > time.Second {
		n++
	}
	u.coldGrants = slices.Delete(u.coldGrants, 0, n)
	return float64(len(u.coldGrants)) < max(1, l.coldPerSecond*coldShare)
}

// atBound tells whether the upstream has as many flows as it can work on, and
// those on their way. Flows that stay open between requests say nothing.
func (u *upstream) atBound(now time.Time, l *pool, bulk bool) bool {
	u.expire(now, l)
	slots := max(u.info.Slots, 1)
	if bulk {
		slots *= bulkPerSlot
	}
	return !l.longLived() && len(u.outstanding) >= boundPerSlot*slots+1
}

// endFlow forgets a flow and returns the time for which it counted. The endFlow of one
// that does not count is kept for a while: the word that it counts may follow.
func (u *upstream) endFlow(now time.Time, flow uint64) (time.Duration, bool) {
	n := u.indexOf(flow)
	if n < 0 {
		if !u.endedEarly(now, flow) {
			u.earlyEnds = append(u.earlyEnds, placedFlow{flow, now})
		}
		return 0, false
	}
	work := now.Sub(u.outstanding[n].at)
	u.outstanding = slices.Delete(u.outstanding, n, n+1)
	return work, true
}

// endedEarly tells whether the end of a flow came before it counted.
func (u *upstream) endedEarly(now time.Time, flow uint64) bool {
	u.earlyEnds = slices.DeleteFunc(u.earlyEnds, func(g placedFlow) bool { return now.Sub(g.at) > earlyEndRetention })
	return slices.ContainsFunc(u.earlyEnds, func(g placedFlow) bool { return g.flow == flow })
}

// indexOf returns the index of a flow that counts, -1 where it does not.
func (u *upstream) indexOf(flow uint64) int {
	return slices.IndexFunc(u.outstanding, func(g placedFlow) bool { return g.flow == flow })
}

// stateFor returns the state of the upstream for one request.
func (u *upstream) stateFor(r Request) State {
	if u.state != Closed && slices.Contains(r.Far, u.info.DataCentre) {
		return Unreachable
	}
	return u.state
}
