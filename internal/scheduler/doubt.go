package scheduler

import "time"

// minRestartTime is the shortest time in which an upstream can crash and answer again.
const minRestartTime = 500 * time.Millisecond

// doubt says that an upstream may have restarted since it fell silent. That it answers
// again does not tell whether it is the process of before or a cold one, which its entry
// would tell if it could be read. Until that is known, the upstream gets no more flows
// than a cold one.
type doubt struct {
	// silent is true from the suspicion until the next answer.
	silent bool
	// until is the end of the time for which an upstream that has answered again may be
	// cold.
	until time.Time
	// since is when the doubt arose, or when the upstream answered again.
	since time.Time
}

// mayBeCold reports whether the upstream may have restarted and not be warm yet.
func (u *upstream) mayBeCold(now time.Time, pl *pool) bool {
	return pl.coldFor > 0 && (u.doubt.silent || now.Before(u.doubt.until))
}

// raiseDoubt records that the upstream fell silent.
func (u *upstream) raiseDoubt(now time.Time) {
	if !u.doubt.silent {
		u.doubt.silent, u.doubt.since = true, now
	}
}

// noteAnswer records that the upstream answers. After a silence in which it may have
// restarted it counts as cold from now on.
func (u *upstream) noteAnswer(now time.Time, pl *pool) {
	if u.doubt.silent {
		u.doubt.silent = false
		if now.Sub(u.lastAnswer) >= minRestartTime {
			u.doubt.since, u.doubt.until = now, now.Add(pl.coldFor)
		}
	}
	u.lastAnswer = now
}

// Doubt is an upstream that fell silent and may have restarted since. ColdFor is how
// long it may still be cold, zero if it has not answered again.
type Doubt struct {
	Upstream uint64
	ColdFor  time.Duration
}

// DoubtOf returns the doubt about an upstream, if there is one.
func (p *Scheduler) DoubtOf(now time.Time, number uint64) (Doubt, bool) {
	u, ok := p.upstreams[number]
	if !ok || !u.mayBeCold(now, p.pools[u.info.Service]) {
		return Doubt{}, false
	}
	d := Doubt{Upstream: number}
	if !u.doubt.silent {
		d.ColdFor = u.doubt.until.Sub(now)
	}
	return d, true
}

// AddDoubt takes over the doubt of another instance.
func (p *Scheduler) AddDoubt(now time.Time, d Doubt) {
	u, ok := p.upstreams[d.Upstream]
	if !ok {
		return
	}
	if d.ColdFor == 0 {
		u.raiseDoubt(now)
		return
	}
	if until := now.Add(d.ColdFor); until.After(u.doubt.until) {
		u.doubt.since, u.doubt.until = now, until
	}
}

// ClearDoubts ends the doubts that arose before the given time, because an upstream that
// had restarted would have published its new start since.
func (p *Scheduler) ClearDoubts(before time.Time) {
	for _, u := range p.upstreams {
		if u.doubt.since.Before(before) {
			u.doubt = doubt{}
		}
	}
}
