package tokenrouter

import (
	"net/netip"
	"slices"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/work"
)

const (
	// workInterval is the time between two reports of work in open flows, workRenewal
	// that after which a coordinator is told what has not changed.
	workInterval = 200 * time.Millisecond
	workRenewal  = time.Second
	// maxWorkMessages limits the messages of one report, and so what an instance spends
	// on it however many coordinators there are. The others get theirs in the next ones.
	maxWorkMessages = 4
	// idleDelay is how long a flow without a further request is not reported as idle
	// after its first answer: flows of a single request are closed at once.
	idleDelay = 50 * time.Millisecond
)

// openWork is the work in open flows whose packets pass this instance.
type openWork struct {
	flows work.Flows
	// idleTimeout is the time for which the configuration lets a flow stay open without
	// packets. If it is 0, flows do not stay open between requests and are not followed.
	idleTimeout time.Duration
	next        time.Time
}

// observeWork learns from a packet of an open flow which requests are under way, and which
// are not answered.
func (rt *Router) observeWork(now time.Time, flow, upstream uint64, opening bool, p *Packet) {
	if rt.work.idleTimeout == 0 {
		return
	}
	rt.work.flows.RoundTrip = rt.openings.ackTime
	switch rt.work.flows.Observe(now, flow, upstream, p.Destination, opening, p.Head) {
	case work.Answered:
		rt.noteProgress(now, flow, upstream)
	case work.Repeated:
		rt.noteRepeat(now, flow, upstream, p)
	case work.Nothing, work.Began, work.BeganNext:
	}
}

// tellWork tells the coordinators of upstreams what is due of the work in open flows.
func (rt *Router) tellWork(now time.Time) {
	s := &rt.work
	if s.idleTimeout == 0 {
		return
	}
	for _, f := range s.flows.Idle(now, idleDelay) {
		rt.reportIdle(now, f)
	}
	rt.scheduleTick(s.flows.NextIdle(idleDelay))
	if now.Before(s.next) {
		rt.scheduleTick(s.next)
		return
	}
	s.next = now.Add(workInterval)
	rt.scheduleTick(s.next)
	s.flows.Sweep(now, s.idleTimeout)
	rt.scheduler.SweepWork(now)
	rt.expireStuck(now)
	rt.reportWork(now)
}

// reportIdle tells the coordinator that an upstream no longer works for a flow.
func (rt *Router) reportIdle(now time.Time, f work.Idle) {
	u, ok := rt.upstreams.byNumber[f.Upstream]
	if !ok {
		return
	}
	rt.coordination.slotFreed = true
	rt.scheduler.FlowIdle(now, f.Upstream, f.Flow, f.Age)
	rt.report(now, u.info.Service, Report{Upstream: f.Upstream, Idle: []Taken{{Flow: f.Flow, Age: f.Age}}})
}

// reportWork tells the coordinators the totals that have changed.
func (rt *Router) reportWork(now time.Time) {
	var told []*peer
	rt.work.flows.Totals(now, workRenewal, func(t work.Total) bool {
		u, ok := rt.upstreams.byNumber[t.Upstream]
		if !ok {
			return true
		}
		c := rt.coordinator(now, u.info.Service, rt.scheduler.GroupOf(u.info.Service, t.Upstream))
		if c == nil {
			rt.recordWork(now, rt.config.Self, t)
			return true
		}
		if !slices.Contains(told, c) {
			if len(told) == maxWorkMessages {
				return false
			}
			told = append(told, c)
		}
		m := rt.messageTo(c)
		m.Work = append(m.Work, t)
		return true
	})
}

// renewWork makes the next report tell all work at the upstreams of a group, which another
// instance coordinates now.
func (rt *Router) renewWork(g group) {
	rt.work.flows.Renew(func(number uint64) bool {
		u, ok := rt.upstreams.byNumber[number]
		return ok && u.info.Service == g.service && rt.scheduler.GroupOf(g.service, number) == g.number
	})
}

// handleWork takes over what another instance says of work in open flows. A process that
// has just started counts anew.
func (rt *Router) handleWork(now time.Time, p *peer, m *Message) {
	if m.Hello {
		rt.scheduler.ForgetWork(p.address)
	}
	for _, number := range m.OutOfReach {
		rt.handleOutOfReach(now, number)
	}
	for _, t := range m.Work {
		rt.recordWork(now, p.address, t)
	}
}

// recordWork takes over what an instance says of the work at an upstream.
func (rt *Router) recordWork(now time.Time, source netip.AddrPort, t work.Total) {
	if !rt.scheduler.RecordWork(now, source, t) {
		return
	}
	event := "outlier-returned"
	if rt.scheduler.IsEjected(now, t.Upstream) {
		event = "outlier-ejected"
		rt.counts.Ejected++
	}
	rt.log(event, "upstream", rt.keysOf([]uint64{t.Upstream}), "reporter", source.String())
}
