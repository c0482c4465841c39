package tokenrouter

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
)

// oddUpstreams returns entries that no upstream can have, and one under the number of a
// good one.
func oddUpstreams(good *server) []catalog.Item {
	var list []catalog.Item
	for key, change := range map[string]func(u *catalog.Upstream){
		"slots":  func(u *catalog.Upstream) { u.Slots = 1 << 62 },
		"most":   func(u *catalog.Upstream) { u.Slots = math.MaxInt },
		"none":   func(u *catalog.Upstream) { u.Slots = 0 },
		"cold":   func(u *catalog.Upstream) { u.ColdFor = math.MaxInt64 },
		"before": func(u *catalog.Upstream) { u.ColdFor = math.MinInt64 },
		"start":  func(u *catalog.Upstream) { u.Started = time.UnixMilli(math.MaxInt64) },
		"zero":   func(u *catalog.Upstream) { u.Number = 0 },
		"port":   func(u *catalog.Upstream) { u.Address = netip.AddrPort{} },
		"taken":  func(u *catalog.Upstream) { u.Number, u.Service = good.info.Number, "ledger" },
	} {
		u := catalog.Upstream{
			Number: uint64(len(list)) + 1, Service: "desk", DataCentre: "a", Slots: 2, Address: netip.MustParseAddrPort("10.200.250.1:8000"), Started: time.UnixMilli(1),
		}
		change(&u)
		list = append(list, catalog.Item{Key: catalog.PrefixUpstream + "z-" + key, Upstream: &u})
	}
	return list
}

// Odd entries from the store, its watch, a peer's news or its catalog, before the start or
// later, get no flows and stop no instance. The good entries beside them hold.
func TestOddEntriesLeaveOthersInForce(t *testing.T) {
	for name, odd := range map[string]func(w *world, items []catalog.Item){
		"watch": func(w *world, items []catalog.Item) {
			for _, i := range items {
				w.put(i)
			}
		},
		"start": func(w *world, items []catalog.Item) {
			for _, n := range w.nodes {
				n.kill()
			}
			for _, i := range items {
				w.put(i)
			}
			w.startAll()
		},
		"news": func(w *world, items []catalog.Item) {
			for _, n := range w.nodes {
				b := catalog.Batch{Items: numbered(items, n), Since: n.router.catalog.Through(), Through: n.router.catalog.Through() + 20}
				n.apply(&MessageReceived{From: w.nodes[0].address, Message: &Message{DataCentre: "a", News: &b}})
			}
		},
		"fetch": func(w *world, items []catalog.Item) {
			for _, n := range w.nodes {
				b := catalog.Batch{Items: numbered(items, n), Since: n.router.catalog.Through(), Through: n.router.catalog.Through() + 20}
				n.apply(&Fetched{From: w.nodes[0].address, Batch: b})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSmallFleet(t, 95)
			odd(w, oddUpstreams(w.servers()[0]))
			w.advance(time.Second)
			from := w.now
			list := w.load(150, 2*time.Second)
			w.advance(3 * time.Second)
			if share := shareInTime(*list); share < 0.97 {
				t.Errorf("%.4f answered in time, want 0.97", share)
			}
			for _, u := range w.servers() {
				if opensSince(u, from) == 0 {
					t.Errorf("the good upstream %s got no flows", u.key)
				}
			}
			for _, n := range w.nodes {
				if n.router.Counts().Malformed == 0 {
					t.Errorf("%s did not count the odd entries", n.name)
				}
			}
		})
	}
}

// numbered gives items revisions after those that an instance holds.
func numbered(items []catalog.Item, n *node) []catalog.Item {
	list := make([]catalog.Item, len(items))
	for i, item := range items {
		u := *item.Upstream
		item.Upstream, item.Revision = &u, n.router.catalog.Through()+catalog.Revision(i)+1
		list[i] = item
	}
	return list
}
