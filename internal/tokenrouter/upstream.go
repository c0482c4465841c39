package tokenrouter

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
	"github.com/chervilhaven/chervilhaven/internal/scheduler"
	"github.com/chervilhaven/chervilhaven/internal/token"
)

// doubtfulPeriod is how long an upstream may still get new flows after its entry
// disappeared from the store without a drain. Entries that expired during a
// store outage are back 2 s after the store's return, and the tightest limit on
// requests to a removed upstream is 3 s.
const doubtfulPeriod = 2200 * time.Millisecond

// maxLoggedItems is the number of items that are logged one by one when they change
// together. A whole catalog is logged in one line: an instance has to serve before
// it could build a thousand.
const maxLoggedItems = 64

// upstreamTable indexes upstreams by number, token and store key.
type upstreamTable struct {
	byNumber map[uint64]*upstream
	byToken  map[token.Token]*upstream
	byKey    map[string]*upstream
	// doubtful lists the upstreams whose removal is not confirmed yet.
	doubtful []*upstream
}

// upstream is the forwarding state of an upstream.
type upstream struct {
	key   string
	info  catalog.Upstream
	token token.Token
	// clash is true if another upstream already uses the same token.
	clash bool
	// goneAt is when the entry disappeared from the store, zero while it exists.
	// unconfirmed is true while it may still come back.
	goneAt      time.Time
	unconfirmed bool
}

// update stores a new or changed upstream and returns it.
func (t *upstreamTable) update(key string, info catalog.Upstream) *upstream {
	if t.byNumber == nil {
		t.byNumber = make(map[uint64]*upstream)
		t.byToken = make(map[token.Token]*upstream)
		t.byKey = make(map[string]*upstream)
	}
	u, ok := t.byNumber[info.Number]
	if !ok {
		u = &upstream{token: token.Of(info.Number)}
		if first, taken := t.byToken[u.token]; taken && first.info.Number != info.Number {
			u.clash = true
		} else {
			t.byToken[u.token] = u
		}
		t.byNumber[info.Number] = u
	}
	t.byKey[key] = u
	u.key, u.info, u.goneAt = key, info, time.Time{}
	t.clearDoubtful(u)
	return u
}

// clearDoubtful ends the period in which the removal of u is unconfirmed.
func (t *upstreamTable) clearDoubtful(u *upstream) {
	u.unconfirmed = false
	t.doubtful = slices.DeleteFunc(t.doubtful, func(d *upstream) bool { return d == u })
}

// purge drops upstreams that were removed before the given time, which must be at
// least a flow's lifetime ago, and returns their numbers.
func (t *upstreamTable) purge(before time.Time) []uint64 {
	var numbers []uint64
	for number, u := range t.byNumber {
		if u.goneAt.IsZero() || !u.goneAt.Before(before) {
			continue
		}
		delete(t.byNumber, number)
		if t.byKey[u.key] == u {
			delete(t.byKey, u.key)
		}
		if t.byToken[u.token] == u {
			delete(t.byToken, u.token)
		}
		numbers = append(numbers, number)
	}
	return numbers
}

// applyItems puts changed catalog items into effect. source names their origin
// in log lines.
func (rt *Router) applyItems(now time.Time, source string, changed []catalog.Item) {
	each := len(changed) <= maxLoggedItems
	if !each {
		rt.log("items-changed", "items", strconv.Itoa(len(changed)), "source", source, "through", revision(rt.catalog.Through()))
	}
	for i := range changed {
		c := &changed[i]
		switch {
		case c.Key == catalog.KeyConfiguration:
			rt.applyConfiguration(now, source, c)
		case strings.HasPrefix(c.Key, catalog.PrefixDataCentreOut):
			rt.applyDataCentreOut(source, c)
		case c.Upstream != nil:
			rt.applyUpstream(now, source, c, each)
		case strings.HasPrefix(c.Key, catalog.PrefixUpstream):
			rt.applyRemoval(now, source, c, each)
		}
	}
	if len(changed) > 0 {
		rt.placeWaiting(now)
	}
}

func (rt *Router) applyConfiguration(now time.Time, source string, i *catalog.Item) {
	c := i.Configuration
	if c == nil {
		rt.log("configuration-deleted", "source", source, "revision", revision(i.Revision))
		return
	}
	if rt.routes == nil {
		rt.observe(TimeToConfiguration, now.Sub(rt.started))
	}
	for _, s := range c.Services {
		rt.scheduler.SetCold(s.Name, s.ColdFor, s.ColdPerSecond)
	}
	rt.routes = routeTable(c.Routes)
	rt.work.idleTimeout, rt.leastUrgent = c.IdleTimeout, leastUrgent(c.Routes)
	rt.log("configuration-changed", "source", source, "revision", revision(i.Revision),
		"version", strconv.FormatUint(c.Version, 10), "routes", strconv.Itoa(len(c.Routes)),
		"since-start", now.Sub(rt.started).String())
}

func (rt *Router) applyDataCentreOut(source string, i *catalog.Item) {
	name := strings.TrimPrefix(i.Key, catalog.PrefixDataCentreOut)
	if i.DataCentreOut {
		rt.out[name] = true
	} else {
		delete(rt.out, name)
	}
	rt.log("data-centre-changed", "data-centre", name, "out", strconv.FormatBool(i.DataCentreOut),
		"source", source, "revision", revision(i.Revision))
	for _, u := range rt.upstreams.byNumber {
		if u.info.DataCentre == name {
			rt.scheduler.SetState(u.info.Number, rt.stateOf(u))
		}
	}
}

// applyUpstream adds or updates an upstream. Of two entries with the same number, the
// one that is known first holds.
func (rt *Router) applyUpstream(now time.Time, source string, i *catalog.Item, logged bool) {
	if holder, ok := rt.upstreams.byNumber[i.Upstream.Number]; ok && holder.key != i.Key && holder.goneAt.IsZero() {
		rt.counts.Malformed++
		rt.log("number-clash", "upstream", i.Key, "holder", holder.key, "number", strconv.FormatUint(i.Upstream.Number, 16), "source", source)
		return
	}
	if old, ok := rt.upstreams.byKey[i.Key]; ok && old.info.Number != i.Upstream.Number {
		old.goneAt = now
		rt.scheduler.SetState(old.info.Number, scheduler.Closed)
	}
	u := rt.upstreams.update(i.Key, *i.Upstream)
	if u.clash {
		rt.log("token-clash", "upstream", u.key, "token", strconv.FormatUint(uint64(u.token), 16))
	}
	rt.scheduler.SetUpstream(now, u.info, rt.stateOf(u))
	rt.applyEarlyDoubt(now, u.info.Number)
	if !logged {
		return
	}
	rt.log("upstream-changed", "upstream", u.key, "service", u.info.Service, "address", u.info.Address.String(),
		"draining", strconv.FormatBool(u.info.Draining), "cold", u.info.ColdFor.String(),
		"source", source, "revision", revision(i.Revision))
}

// applyRemoval handles the disappearance of an upstream's entry. An upstream
// that was not draining may come back, so it stays usable as a last resort for
// doubtfulPeriod.
func (rt *Router) applyRemoval(now time.Time, source string, i *catalog.Item, logged bool) {
	u, ok := rt.upstreams.byKey[i.Key]
	if !ok || !u.goneAt.IsZero() {
		return
	}
	u.goneAt = now
	if !u.info.Draining {
		u.unconfirmed = true
		rt.upstreams.doubtful = append(rt.upstreams.doubtful, u)
		rt.scheduleTick(now.Add(doubtfulPeriod))
	}
	rt.scheduler.SetState(u.info.Number, rt.stateOf(u))
	if !logged {
		return
	}
	rt.log("upstream-gone", "upstream", u.key, "draining", strconv.FormatBool(u.info.Draining),
		"source", source, "revision", revision(i.Revision))
}

// stateOf returns whether an upstream may get new flows.
func (rt *Router) stateOf(u *upstream) scheduler.State {
	switch {
	case u.clash, u.info.Draining, rt.out[u.info.DataCentre]:
		return scheduler.Closed
	case u.goneAt.IsZero():
		return scheduler.Open
	case u.unconfirmed:
		return scheduler.Doubtful
	default:
		return scheduler.Closed
	}
}

// expireDoubtful closes upstreams whose entries did not come back within
// doubtfulPeriod.
func (rt *Router) expireDoubtful(now time.Time) {
	for _, u := range slices.Clone(rt.upstreams.doubtful) {
		if now.Sub(u.goneAt) < doubtfulPeriod {
			rt.scheduleTick(u.goneAt.Add(doubtfulPeriod))
			continue
		}
		rt.upstreams.clearDoubtful(u)
		rt.scheduler.SetState(u.info.Number, rt.stateOf(u))
	}
}

// purgeGone drops removed upstreams and deleted catalog items once every flow
// that may need them has ended.
func (rt *Router) purgeGone(now time.Time) {
	before := now.Add(-max(rt.config.FlowLifetime, time.Minute))
	for _, number := range rt.upstreams.purge(before) {
		rt.scheduler.Remove(number)
	}
	rt.catalog.ForgetDeletions(before)
}

func revision(r catalog.Revision) string { return strconv.FormatUint(uint64(r), 10) }

// position returns a position as ERA/REVISION.
func position(p catalog.Position) string { return era(p.Era) + "/" + revision(p.Revision) }

func era(e catalog.Era) string { return strconv.FormatUint(uint64(e), 10) }

// sortedNumbers returns the numbers of all known upstreams in ascending order.
func (t *upstreamTable) sortedNumbers() []uint64 {
	numbers := make([]uint64, 0, len(t.byNumber))
	for n := range t.byNumber {
		numbers = append(numbers, n)
	}
	slices.SortFunc(numbers, cmp.Compare[uint64])
	return numbers
}
