package scheduler

import "time"

const (
	// minRestartTime is the shortest time in which an upstream can crash and answer again.
	minRestartTime = 500 * time.Millisecond
	// noticeTime is the time in which it is noticed that the store does not answer.
	noticeTime = 2 * time.Second
)

// doubt says that an upstream may have restarted since it fell silent. That it answers
// again does not tell whether it is the process of before or a cold one. Its entry tells
// that if it can be read; otherwise the upstream gets no more flows than a cold one until
// it is known.
type doubt struct {
	// blind is true if the entry could not be read at some time since the silence began.
	blind bool
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
	return pl.coldFor > 0 && u.doubt.blind && (u.doubt.silent || now.Before(u.doubt.until))
}

// raiseDoubt records that the upstream fell silent.
func (p *Scheduler) raiseDoubt(now time.Time, u *upstream) {
	if !u.doubt.silent {
		u.doubt.silent, u.doubt.since = true, now
	}
	u.doubt.blind = u.doubt.blind || !p.informed
}

// SetInformed tells whether entries of upstreams can be read. Once they cannot, all doubts
// count, also about upstreams that answered again before that was noticed.
func (p *Scheduler) SetInformed(now time.Time, informed bool) {
	p.informed = informed
	if informed {
		return
	}
	for _, u := range p.upstreams {
		d := &u.doubt
		d.blind = d.blind || d.silent || !d.since.IsZero() && now.Sub(d.since) < noticeTime
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

// DoubtOf returns the doubt about an upstream, if there is one. That of an upstream that
// has not answered again is one even while its entry can be read.
func (p *Scheduler) DoubtOf(now time.Time, number uint64) (Doubt, bool) {
	u, ok := p.upstreams[number]
	if !ok || !u.doubt.silent && !u.mayBeCold(now, p.pools[u.info.Service]) {
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
		p.raiseDoubt(now, u)
		return
	}
	if until := now.Add(d.ColdFor); until.After(u.doubt.until) {
		u.doubt.since, u.doubt.until, u.doubt.blind = now, until, true
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
