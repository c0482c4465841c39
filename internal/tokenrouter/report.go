package tokenrouter

import (
	"slices"
	"time"
)

// report is a Report that waits to be sent to a coordinator.
type report struct {
	to     *peer
	report Report
}

// attachReports adds the pending reports for a coordinator to a message to it.
func (rt *Router) attachReports(p *peer, m *Message) {
	s := &rt.openings
	s.pendingReports = slices.DeleteFunc(s.pendingReports, func(r report) bool {
		if r.to != p {
			return false
		}
		m.Reports = append(m.Reports, r.report)
		return true
	})
}

// flushReports sends the pending reports once the oldest of them has waited for
// maxReportDelay.
func (rt *Router) flushReports(now time.Time) {
	s := &rt.openings
	if len(s.pendingReports) == 0 {
		return
	}
	if now.Before(s.flushAt) {
		rt.scheduleTick(s.flushAt)
		return
	}
	for _, r := range s.pendingReports {
		rt.messageTo(r.to)
	}
}

// report queues a Report for the coordinator of the upstream. It does nothing if
// this instance is the coordinator.
func (rt *Router) report(now time.Time, service string, r Report) {
	c := rt.coordinator(now, service, rt.scheduler.GroupOf(service, r.Upstream))
	if c == nil {
		return
	}
	s := &rt.openings
	for i := range s.pendingReports {
		if q := &s.pendingReports[i].report; s.pendingReports[i].to == c && q.Upstream == r.Upstream {
			q.Finished, q.Moved, q.Taken = append(q.Finished, r.Finished...), append(q.Moved, r.Moved...), append(q.Taken, r.Taken...)
			q.Unanswered, q.Idle = append(q.Unanswered, r.Unanswered...), append(q.Idle, r.Idle...)
			q.Stuck = append(q.Stuck, r.Stuck...)
			q.Answered, q.Silent = q.Answered+r.Answered, q.Silent+r.Silent
			return
		}
	}
	if len(s.pendingReports) == 0 {
		s.flushAt = now.Add(maxReportDelay)
		rt.scheduleTick(s.flushAt)
	}
	s.pendingReports = append(s.pendingReports, report{c, r})
}
