package scheduler

import (
	"slices"
	"time"
)

// OutstandingFlow is a flow that was placed at an upstream and has not ended. In the
// list of ends that TakeGroup returns, At is the time of the end.
type OutstandingFlow struct {
	Upstream uint64
	Flow     uint64
	At       time.Time
	// Class is the zero value if it is not known.
	Class Class
	// Inherited marks a flow that another coordinator placed.
	Inherited bool
}

// TrackFlow tracks a flow that another instance placed or tracked. Flows that are
// already tracked, or that recently ended, are ignored.
func (p *Scheduler) TrackFlow(now time.Time, o OutstandingFlow) {
	if u, ok := p.upstreams[o.Upstream]; ok && u.indexOf(o.Flow) < 0 && !u.endedEarly(now, o.Flow) {
		u.addFlow(now, p.pools[u.info.Service], placed{flow: o.Flow, at: o.At, class: o.Class, inherited: o.Inherited})
	}
}

// TakeGroup removes and returns the outstanding flows of a group, and the recent
// ends of flows that were not tracked, for handoff to the next coordinator.
func (p *Scheduler) TakeGroup(now time.Time, service string, group int) (flows, ended []OutstandingFlow) {
	pl := p.pools[service]
	if pl == nil {
		return nil, nil
	}
	groups := p.Groups(service)
	for _, u := range pl.members {
		if groupOf(u.info.Number, groups) != group {
			continue
		}
		u.expire(now, pl)
		for _, f := range u.placed {
			flows = append(flows, OutstandingFlow{Upstream: u.info.Number, Flow: f.flow, At: f.at, Class: f.class})
		}
		for _, f := range u.earlyEnds {
			if now.Sub(f.at) <= earlyEndRetention {
				ended = append(ended, OutstandingFlow{Upstream: u.info.Number, Flow: f.flow, At: f.at, Class: f.class})
			}
		}
		u.placed, u.earlyEnds = u.placed[:0], u.earlyEnds[:0]
	}
	return flows, ended
}

// FlowEnded records the end of a flow. The end of a flow that is not tracked here
// gives no measurement: another instance placed the flow, or it has expired.
func (p *Scheduler) FlowEnded(now time.Time, number, flow uint64) { p.endFlow(now, number, flow, 0) }

// FlowIdle records that the first request of a flow was answered at the given time ago
// and that the flow stays open. The upstream no longer works for it.
func (p *Scheduler) FlowIdle(now time.Time, number, flow uint64, age time.Duration) {
	if u, ok := p.upstreams[number]; ok {
		u.reach.noteWork(now.Add(-age))
	}
	if f, tracked := p.endFlow(now, number, flow, age); tracked {
		p.pools[p.upstreams[number].info.Service].recordIdle(f.class)
	}
}

// endFlow stops tracking a flow whose work ended at the given time ago.
func (p *Scheduler) endFlow(now time.Time, number, flow uint64, age time.Duration) (f placed, tracked bool) {
	u, ok := p.upstreams[number]
	if !ok {
		return placed{}, false
	}
	if u.suspicion.hasUnanswered(flow) {
		// The answer may be older than the silence: the doubt remains.
		u.suspicion = suspicion{}
	}
	pl := p.pools[u.info.Service]
	pl.recentEnds(now)
	pl.endTimes = append(pl.endTimes, now)
	u.expire(now, pl)
	if f, tracked = u.endFlow(now, flow); !tracked {
		return f, false
	}
	work := max(now.Sub(f.at)-age, 0)
	// An end does not show that the upstream responds: callers that give up end flows too.
	pl.recordOutcome(f.class, false)
	if u.serviceTime == 0 {
		u.serviceTime = work
	}
	u.serviceTime += time.Duration(serviceTimeGain * float64(work-u.serviceTime))
	pl.recordDuration(now, u, f, work)
	return f, true
}

// FlowMoved stops tracking a flow at this upstream because another one answered it.
func (p *Scheduler) FlowMoved(number, flow uint64) {
	u, ok := p.upstreams[number]
	if !ok {
		return
	}
	if n := u.indexOf(flow); n >= 0 {
		u.placed = slices.Delete(u.placed, n, n+1)
	}
}

// OutstandingFlows returns the number of outstanding flows of an upstream.
func (p *Scheduler) OutstandingFlows(now time.Time, number uint64) int {
	u, ok := p.upstreams[number]
	if !ok {
		return 0
	}
	u.expire(now, p.pools[u.info.Service])
	return len(u.placed)
}
