package scheduler

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// quietTime is the time without any answer after which an upstream may be out of
	// reach. Reports of answers are up to half of it old.
	quietTime = 500 * time.Millisecond
	// stuckLifetime is how long a stuck flow is evidence: until its caller sends its
	// request again.
	stuckLifetime = 2 * time.Second
	// silenceTime is the time without any answer, and silentRepeats that from the first
	// report of a stuck flow, after which stuckThreshold flows suffice where no openings
	// show whether an upstream lives. Several requests take longer nowhere.
	silenceTime    = 1500 * time.Millisecond
	silentRepeats  = 700 * time.Millisecond
	stuckThreshold = 2
)

// reach is the evidence that open flows do not reach an upstream.
type reach struct {
	// lastWork is the time of the last known answer to a request.
	lastWork time.Time
	stuck    []stuckFlow
	// stuckSince is the time of the first stuck flow since the last known answer.
	stuckSince time.Time
	// trials is the number of openings that are sent there to see whether it answers.
	trials int
}

// stuckFlow is an open flow whose caller sends its request again and again.
type stuckFlow struct {
	flow uint64
	at   time.Time
}

func (r *reach) noteWork(at time.Time) {
	if at.After(r.lastWork) {
		r.lastWork = at
	}
}

// quiet reports whether nothing is known to have been answered for a time.
func (u *upstream) quiet(now time.Time, d time.Duration) bool {
	return now.Sub(u.lastAnswer) >= d && now.Sub(u.reach.lastWork) >= d
}

// RecordStuck records that the caller of an open flow sends its request again and again
// without an answer, and reports whether the upstream has answered nothing else either lately. If
// so, the next openings go there: one that is merely slow answers them.
func (p *Scheduler) RecordStuck(now time.Time, number, flow uint64) (quiet bool) {
	u, ok := p.upstreams[number]
	if !ok {
		return false
	}
	r := &u.reach
	r.stuck = slices.DeleteFunc(r.stuck, func(s stuckFlow) bool { return s.flow == flow || now.Sub(s.at) > stuckLifetime })
	r.stuck = append(r.stuck, stuckFlow{flow, now})
	if len(r.stuck) > maxUnansweredFlows {
		r.stuck = slices.Delete(r.stuck, 0, 1)
	}
	if r.stuckSince.Before(u.lastAnswer) || r.stuckSince.Before(r.lastWork) || r.stuckSince.IsZero() {
		r.stuckSince = now
	}
	quiet = u.quiet(now, quietTime)
	if r.trials == 0 && quiet && u.suspicion.duration == 0 {
		r.trials = silentThreshold
	}
	return quiet
}

// OutOfReach reports whether an upstream seems out of reach: open flows are stuck there,
// nothing is answered, and it is suspect, as openings are not answered either, or gone from
// the store, or silent for long. onlySilent is true for the last of these, which long requests
// look like as well.
func (p *Scheduler) OutOfReach(now time.Time, number uint64, gone bool) (outOfReach, onlySilent bool) {
	u, ok := p.upstreams[number]
	if !ok || !u.quiet(now, quietTime) {
		return false, false
	}
	stuck := 0
	for _, s := range u.reach.stuck {
		if now.Sub(s.at) <= stuckLifetime {
			stuck++
		}
	}
	silent := stuck >= stuckThreshold && u.quiet(now, silenceTime) && now.Sub(u.reach.stuckSince) >= silentRepeats
	shown := gone || u.suspicion.duration > 0
	return stuck > 0 && (shown || silent), !shown
}

// trial returns a candidate that has to show whether it answers, nil if there is none.
func (p *Scheduler) trial(now time.Time, r Request) *upstream {
	if !r.Bounded || r.Group == AnyGroup {
		return nil
	}
	for _, u := range p.candidates {
		if u.reach.trials == 0 {
			continue
		}
		u.reach.trials--
		if u.quiet(now, quietTime) {
			return u
		}
	}
	return nil
}

// WorkSources returns the instances that have said that they have open flows at an
// upstream.
func (p *Scheduler) WorkSources(number uint64) []netip.AddrPort {
	u, ok := p.upstreams[number]
	if !ok {
		return nil
	}
	return u.work.Sources()
}
