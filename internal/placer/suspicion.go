package placer

import (
	"slices"
	"time"
)

// suspicion is the evidence that an upstream does not answer.
type suspicion struct {
	silent int
	// reporters are the sources of the unanswered openings.
	reporters []string
	until     time.Time
	length    time.Duration
	// trial is the time of the opening that tests a suspect, if any.
	trial time.Time
}

// Answered notes that the upstream answered an opening.
func (p *Placer) Answered(number uint64) {
	if u, ok := p.upstreams[number]; ok {
		u.suspicion, u.unanswered = suspicion{}, 0
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
	tested := !s.trial.IsZero()
	if s.silent < silentToSuspect && !tested || !own && len(s.reporters) < 2 {
		return false
	}
	if now.Before(s.until) && !tested {
		return false
	}
	s.length = min(max(2*s.length, suspectFor), maxSuspectFor)
	s.until, s.trial = now.Add(s.length), time.Time{}
	return true
}

// Unanswered notes openings that were not acknowledged in time, and returns
// true when the upstream has become suspect by a row of them. As with Silent,
// others are believed when two agree.
func (p *Placer) Unanswered(now time.Time, number uint64, openings int, reporter string, own bool) bool {
	u, ok := p.upstreams[number]
	if !ok {
		return false
	}
	u.unanswered += openings
	if !slices.Contains(u.suspicion.reporters, reporter) {
		u.suspicion.reporters = append(u.suspicion.reporters, reporter)
	}
	if u.unanswered < unansweredToSuspect || !u.suspicion.allows(now) {
		return false
	}
	if !p.Silent(now, number, silentToSuspect, reporter, own) {
		return false
	}
	u.unanswered = 0
	return true
}

// Suspect tells whether the upstream gets nothing for lack of answers.
func (p *Placer) Suspect(now time.Time, number uint64) bool {
	u, ok := p.upstreams[number]
	return ok && !u.suspicion.allows(now)
}

// allows tells whether an opening may go to the upstream: one that was
// suspect gets a single one to test it.
func (s *suspicion) allows(now time.Time) bool {
	if s.length == 0 {
		return true
	}
	return !now.Before(s.until) && (s.trial.IsZero() || now.Sub(s.trial) > trialWait)
}
