package placer

import (
	"slices"
	"time"
)

// suspicion is the evidence that an upstream does not answer.
type suspicion struct {
	silent int
	// unanswered counts the openings in a row that were not acknowledged, and
	// flows are the last of them.
	unanswered int
	unansweredFlows      []uint64
	// reporters are the sources of the unanswered openings.
	reporters []string
	until     time.Time
	duration    time.Duration
	// trialAt is the time of the opening that tests a suspect, if any.
	trialAt time.Time
}

// Answered notes that the upstream answered an opening.
func (p *Placer) Answered(number uint64) {
	if u, ok := p.upstreams[number]; ok {
		u.suspicion = suspicion{}
	}
}

// Silent notes openings that only another upstream answered. The evidence of
// one source counts for itself; others are believed when two agree. It returns
// true when the upstream has become suspect.
func (p *Placer) Silent(now time.Time, number uint64, openings int, reporter string, own bool) bool {
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
	return true
}

// Unanswered notes an opening that was not acknowledged in time, and returns
// true when the upstream has become suspect by a row of them. As with Silent,
// others are believed when two agree.
func (p *Placer) Unanswered(now time.Time, number, flow uint64, reporter string, own bool) bool {
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
	if !p.Silent(now, number, silentThreshold, reporter, own) {
		return false
	}
	s.unanswered = 0
	return true
}

// hasUnanswered tells whether a flow that ended had counted as unanswered: its caller
// received the answer then, and the acknowledgement passed another instance.
func (s *suspicion) hasUnanswered(flow uint64) bool { return slices.Contains(s.unansweredFlows, flow) }

// Suspect tells whether the upstream gets nothing for lack of answers.
func (p *Placer) Suspect(now time.Time, number uint64) bool {
	u, ok := p.upstreams[number]
	return ok && !u.suspicion.allowsOpening(now)
}

// allowsOpening tells whether an opening may go to the upstream: one that was
// suspect gets a single one to test it.
func (s *suspicion) allowsOpening(now time.Time) bool {
	if s.duration == 0 {
		return true
	}
	return !now.Before(s.until) && (s.trialAt.IsZero() || now.Sub(s.trialAt) > trialTimeout)
}
