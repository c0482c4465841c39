package tokenrouter

import (
	"net/netip"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/scheduler"
)

// maxDoubts limits the doubts in one message, and those about unknown upstreams that are
// kept.
const maxDoubts = 200

// recordAnswer records that an upstream answered an opening.
func (rt *Router) recordAnswer(now time.Time, number uint64) {
	before, silent := rt.scheduler.DoubtOf(now, number)
	rt.scheduler.RecordAnswer(now, number)
	if !silent || before.ColdFor > 0 {
		return
	}
	if d, ok := rt.scheduler.DoubtOf(now, number); ok {
		rt.log("upstream-returned", "upstream", rt.keysOf([]uint64{number}), "cold-for", d.ColdFor.String())
	}
}

// noteSuspect logs that an upstream fell silent, and tells the instances that may place
// flows there after this one or instead of it: it may be cold when it answers again.
func (rt *Router) noteSuspect(now time.Time, number uint64, reporter netip.AddrPort) {
	u, ok := rt.upstreams.byNumber[number]
	if !ok {
		return
	}
	rt.log("upstream-suspect", "upstream", u.key, "reporter", reporter.String())
	rt.checkReach(now, number)
	d, ok := rt.scheduler.DoubtOf(now, number)
	if !ok {
		return
	}
	for _, p := range rt.candidates(group{u.info.Service, rt.scheduler.GroupOf(u.info.Service, number)}) {
		if p != nil && rt.roster.live(now, p) {
			m := rt.messageTo(p)
			m.Doubts = append(m.Doubts, d)
		}
	}
}

// tellDoubts tells a peer the doubts about upstreams: one that has just started, or that
// places flows at them from now on.
func (rt *Router) tellDoubts(now time.Time, to *peer, concerns func(*upstream) bool) {
	for number, u := range rt.upstreams.byNumber {
		if d, ok := rt.scheduler.DoubtOf(now, number); ok && concerns(u) {
			m := rt.messageTo(to)
			if len(m.Doubts) >= maxDoubts {
				return
			}
			m.Doubts = append(m.Doubts, d)
		}
	}
}

// handleDoubts takes over doubts of another instance. Those about upstreams that are not
// known yet wait for them.
func (rt *Router) handleDoubts(now time.Time, doubts []scheduler.Doubt) {
	for _, d := range doubts {
		if _, known := rt.upstreams.byNumber[d.Upstream]; known {
			rt.scheduler.AddDoubt(now, d)
		} else if len(rt.earlyDoubts) < maxDoubts {
			rt.earlyDoubts[d.Upstream] = d
		}
	}
}

// applyEarlyDoubt applies the doubt about an upstream that has become known.
func (rt *Router) applyEarlyDoubt(now time.Time, number uint64) {
	if d, ok := rt.earlyDoubts[number]; ok {
		delete(rt.earlyDoubts, number)
		rt.scheduler.AddDoubt(now, d)
	}
}

// clearDoubts ends doubts once an upstream that had restarted would have published its
// new start: after the lease of its entry, while the store was read all along.
func (rt *Router) clearDoubts(now time.Time) {
	r := &rt.reader
	if !rt.catalogFresh(now) {
		r.freshSince = time.Time{}
		return
	}
	if r.freshSince.IsZero() {
		r.freshSince = now
	}
	before := now.Add(-max(rt.config.EntryLease, doubtfulPeriod) - leaseMargin)
	if r.freshSince.Before(before) {
		rt.scheduler.ClearDoubts(before)
		clear(rt.earlyDoubts)
	}
}
