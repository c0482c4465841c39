package scheduler

import (
	"slices"
	"time"
)

// suspicion is the evidence that an upstream does not respond.
type suspicion struct {
	// silent counts consecutive openings that another upstream answered instead.
	silent int
	// unanswered counts consecutive openings that were not acknowledged, and
	// unansweredFlows holds the most recent of their flows.
	unanswered      int
	unansweredFlows []uint64
	// reporters are the instances that reported openings of either kind.
	reporters []string
	// until is the end of the time without flows, duration its length. A zero
	// duration means that the upstream is not suspect.
	until    time.Time
	duration time.Duration
	// trialAt is the time of the opening sent as a trial to a suspect, or zero.
	trialAt time.Time
}

// RecordAnswer records that the upstream answered an opening. It clears all suspicion.
func (p *Scheduler) RecordAnswer(now time.Time, number uint64) {
	if u, ok := p.upstreams[number]; ok {
		u.suspicion, u.reach.trials = suspicion{}, 0
		u.noteAnswer(now, p.pools[u.info.Service])
	}
}

// RecordFailover records openings that the upstream did not answer and another one
// did. The instance's own evidence suffices; reports of other instances count once
// two of them agree. It returns true if the upstream has become suspect.
func (p *Scheduler) RecordFailover(now time.Time, number uint64, openings int, reporter string, own bool) bool {
	u, ok := p.upstreams[number]
	if !ok {
		return false
	}
	s := &u.suspicion
	s.silent += openings
	if !slices.Contains(s.reporters, reporter) {
		s.reporters = append(s.reporters, reporter)
	}
	tested := !s.trialAt.IsZero()
	if s.silent < silentThreshold && !tested || !own && len(s.reporters) < 2 {
		return false
	}
	if now.Before(s.until) && !tested {
		return false
	}
	s.duration = min(max(2*s.duration, minSuspectTime), maxSuspectTime)
	s.until, s.trialAt = now.Add(s.duration), time.Time{}
	p.raiseDoubt(now, u)
	return true
}

// RecordUnanswered records an opening that was not acknowledged in time. It returns
// true if consecutive ones have made the upstream suspect. As with RecordFailover,
// reports of other instances count once two of them agree.
func (p *Scheduler) RecordUnanswered(now time.Time, number, flow uint64, reporter string, own bool) bool {
	u, ok := p.upstreams[number]
	if !ok {
		return false
	}
	s := &u.suspicion
	s.unanswered++
	if s.unansweredFlows = append(s.unansweredFlows, flow); len(s.unansweredFlows) > maxUnansweredFlows {
		s.unansweredFlows = slices.Delete(s.unansweredFlows, 0, 1)
	}
	if !slices.Contains(s.reporters, reporter) {
		s.reporters = append(s.reporters, reporter)
	}
	if s.unanswered < unansweredThreshold || !s.allowsOpening(now) {
		return false
	}
	if !p.RecordFailover(now, number, silentThreshold, reporter, own) {
		return false
	}
	s.unanswered = 0
	return true
}

// hasUnanswered reports whether the opening of a flow was recorded as unanswered.
// If such a flow ends, its caller did receive a response: the acknowledgement passed
// through another instance.
func (s *suspicion) hasUnanswered(flow uint64) bool { return slices.Contains(s.unansweredFlows, flow) }

// IsSuspect reports whether the upstream currently gets no flows because it does not
// respond.
func (p *Scheduler) IsSuspect(now time.Time, number uint64) bool {
	u, ok := p.upstreams[number]
	return ok && !u.suspicion.allowsOpening(now)
}

// allowsOpening reports whether an opening may be sent to the upstream. After the
// suspect time, a suspect gets a single opening as a trial.
func (s *suspicion) allowsOpening(now time.Time) bool {
	if s.duration == 0 {
		return true
	}
	return !now.Before(s.until) && (s.trialAt.IsZero() || now.Sub(s.trialAt) > trialTimeout)
}
