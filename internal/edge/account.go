package edge

import (
	"slices"
	"strconv"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/placer"
)

const (
	// settleFor is the time after the start in which the roster fills: until
	// then several instances may believe that they account for the same
	// upstreams.
	settleFor = 1500 * time.Millisecond
	// queueRefresh is the time after which a waiting flow is asked for again,
	// in case the accounting instance is gone.
	queueRefresh = 100 * time.Millisecond
	// queueTick is the time between looks at waiting flows while nothing ends.
	queueTick = 20 * time.Millisecond
	// maxQueued bounds the flows that wait at one instance.
	maxQueued = 4096
)

// waiter names a waiting flow: the peer that asked, nil for this instance, and
// the number of the ask.
type waiter struct {
	peer   *peer
	number uint32
}

// asked places a flow of another instance, or lets it wait.
func (e *Edge) asked(now time.Time, p *peer, a *Ask) {
	t := ticketOf(now, a, p.dataCentre)
	g := Grant{Number: a.Number}
	number, verdict := e.placeAccounted(now, &t)
	switch {
	case verdict == placer.Placed:
		g.Upstream = number
	case verdict == placer.Full && e.queue.Len() < maxQueued:
		e.queue.Add(waiter{p, a.Number}, t)
		g.Queued = true
	}
	m := e.tell(p)
	m.Grants = append(m.Grants, g)
}

func ticketOf(now time.Time, a *Ask, dataCentre string) placer.Ticket {
	return placer.Ticket{
		Request: placer.Request{
			Service: a.Service, Group: a.Group, DataCentre: dataCentre, Avoid: a.Avoid, Bounded: true, Bulk: a.Bulk,
		},
		Opened: now.Add(-a.Age), Target: a.Target, Deadline: a.Deadline, Priority: a.Priority,
	}
}

// placeAccounted places a flow at one of the upstreams that this instance
// accounts for.
func (e *Edge) placeAccounted(now time.Time, t *placer.Ticket) (uint64, placer.Verdict) {
	t.Request.Cold = e.accounts(now, t.Request.Service, t.Request.Group)
	return e.placer.Place(now, t.Request)
}

// serveQueue gives waiting flows the upstreams that have become free.
func (e *Edge) serveQueue(now time.Time) {
	if e.queue.Len() == 0 {
		return
	}
	if !e.freed && now.Before(e.queueNext) {
		e.wakeAt(e.queueNext)
		return
	}
	e.freed, e.queueNext = false, now.Add(queueTick)
	e.wakeAt(e.queueNext)
	e.queue.Serve(now, func(w waiter, t *placer.Ticket) bool {
		number, verdict := e.placeAccounted(now, t)
		if verdict == placer.Full {
			return false
		}
		if w.peer != nil {
			m := e.tell(w.peer)
			m.Grants = append(m.Grants, Grant{Number: w.number, Upstream: number})
		} else if o, ok := e.openings.asks[w.number]; ok {
			delete(e.openings.asks, w.number)
			e.use(now, o, number)
		} else {
			e.placer.Moved(number, 1)
		}
		return true
	})
}

// granted uses the upstream that the accounting instance chose.
func (e *Edge) granted(now time.Time, p *peer, g *Grant) {
	p.strikes = 0
	o, ok := e.openings.asks[g.Number]
	if !ok || o.accountant != p || o.phase != asking {
		e.release(now, g.Upstream)
		return
	}
	if g.Queued {
		o.due = now.Add(queueRefresh)
		e.wakeAt(o.due)
		o.queued = true
		return
	}
	delete(e.openings.asks, g.Number)
	u, known := e.upstreams.byNumber[g.Upstream]
	usable := known && e.stateOf(u) != placer.Closed && !slices.Contains(o.tries, g.Upstream)
	if !usable || e.placer.Suspect(now, g.Upstream) {
		e.release(now, g.Upstream)
		e.chooseAlone(now, o, placer.Any)
		return
	}
	e.placer.Count(now, g.Upstream)
	e.offer(now, o, g.Upstream)
}

// use offers a flow of this instance to an upstream that it accounts for.
func (e *Edge) use(now time.Time, o *opening, number uint64) {
	if _, known := e.upstreams.byNumber[number]; !known {
		e.chooseAlone(now, o, placer.Any)
		return
	}
	e.offer(now, o, number)
}

// release gives a grant back that is not used.
func (e *Edge) release(now time.Time, number uint64) {
	if u, ok := e.upstreams.byNumber[number]; ok {
		e.report(now, u.info.Service, Report{Upstream: number, Moved: 1})
	}
}

// unheard goes on when the accounting instance is silent: a waiting flow is
// asked for again, any other is placed alone.
func (e *Edge) unheard(now time.Time, o *opening) {
	delete(e.openings.asks, o.ask)
	if o.queued {
		o.queued = false
		e.choose(now, o)
		return
	}
	e.counts.AskedAlone++
	if o.accountant != nil {
		if o.accountant.strikes++; o.accountant.strikes == strikesToAvoid {
			e.log("accountant-silent", "peer", o.accountant.address.String(), "service", o.route.Service)
		}
	}
	e.chooseAlone(now, o, placer.Any)
}

// reported takes in what became of flows of another instance.
func (e *Edge) reported(now time.Time, p *peer, r *Report) {
	for range min(r.Taken, maxOpenings) {
		e.placer.Count(now, r.Upstream)
	}
	e.freed = e.freed || r.Finished+r.Moved > 0
	if r.Finished > 0 {
		e.placer.Finished(now, r.Upstream, r.Finished)
	}
	if r.Moved > 0 {
		e.placer.Moved(r.Upstream, r.Moved)
	}
	if r.Silent > 0 && e.placer.Silent(now, r.Upstream, r.Silent, p.address.String(), false) {
		e.logSuspect(r.Upstream, p.address)
	}
}

// logQueue notes that flows have begun to wait.
func (e *Edge) logQueue(o *opening) {
	e.flowLog("queued", o.id, "service", o.route.Service, "group", strconv.Itoa(o.group), "waiting", strconv.Itoa(e.queue.Len()))
}
