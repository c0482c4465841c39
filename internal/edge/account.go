package edge

import (
	"slices"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/placer"
)

// settleFor is the time after the start in which the roster fills: until then
// several instances may believe that they account for the same upstreams.
const settleFor = 1500 * time.Millisecond

// asked places a flow of another instance.
func (e *Edge) asked(now time.Time, p *peer, a *Ask) {
	number := e.placer.Place(now, placer.Request{
		Service: a.Service, Group: a.Group, DataCentre: p.dataCentre, Avoid: a.Avoid,
		Cold: e.accounts(now, a.Service, a.Group),
	})
	m := e.tell(p)
	m.Grants = append(m.Grants, Grant{Number: a.Number, Upstream: number})
}

// granted uses the upstream that the accounting instance chose.
func (e *Edge) granted(now time.Time, p *peer, g *Grant) {
	p.strikes = 0
	o, ok := e.openings.asks[g.Number]
	if !ok || o.accountant != p || o.phase != asking {
		e.release(now, g.Upstream)
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

// release gives a grant back that is not used.
func (e *Edge) release(now time.Time, number uint64) {
	if u, ok := e.upstreams.byNumber[number]; ok {
		e.report(now, u.info.Service, Report{Upstream: number, Moved: 1})
	}
}

// unanswered goes on alone when the accounting instance is silent.
func (e *Edge) unanswered(now time.Time, o *opening) {
	delete(e.openings.asks, o.ask)
	e.counts.AskedAlone++
	if o.accountant.strikes++; o.accountant.strikes == strikesToAvoid {
		e.log("accountant-silent", "peer", o.accountant.address.String(), "service", o.route.Service)
	}
	e.chooseAlone(now, o, placer.Any)
}

// reported takes in what became of flows of another instance.
func (e *Edge) reported(now time.Time, p *peer, r *Report) {
	for range min(r.Taken, maxOpenings) {
		e.placer.Count(now, r.Upstream)
	}
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
