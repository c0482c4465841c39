package tokenrouter

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
)

// relayTimeout is how long an instance keeps the duty to pass on changes that it
// has not fetched yet. Heartbeats tell the others by then.
const relayTimeout = time.Second

// relay is the duty to pass changes on to other instances.
type relay struct {
	targets []netip.AddrPort
	through catalog.Position
	until   time.Time
}

// spreadChanges informs peers, which are ordered by data centre, of changes in the
// catalog. The content is left for them to fetch if news is nil. Many peers are
// split into parts of about as many peers as there are parts; the first peer of
// each part passes the changes on to the rest of it.
func (rt *Router) spreadChanges(now time.Time, peers []*peer, news *catalog.Batch) {
	if len(peers) <= meshPeers {
		for _, p := range peers {
			rt.messageTo(p).News = news
		}
		return
	}
	size := int(math.Ceil(math.Sqrt(float64(len(peers)))))
	for len(peers) > 0 {
		n := 1
		for n < min(size, len(peers)) && peers[n].dataCentre == peers[0].dataCentre {
			n++
		}
		part := peers[:n]
		peers = peers[n:]
		m := rt.messageTo(part[0])
		m.News, m.Readers = news, rt.nameReaders(now, part[0])
		for _, p := range part[1:] {
			m.Relay = append(m.Relay, p.address)
		}
	}
}

// stalePeers returns the peers whose catalog is older than this one's, by data
// centre, the most reliable and highest ranked ones first.
func (rt *Router) stalePeers(now time.Time, dataCentre string) []*peer {
	var list []*peer
	for _, p := range rt.ordered() {
		if p.through.Before(rt.catalog.Position()) && (dataCentre == "" || p.dataCentre == dataCentre) {
			list = append(list, p)
		}
	}
	reliable := func(p *peer) int {
		if rt.usable(now, p) {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(list, func(a, b *peer) int {
		return cmp.Or(strings.Compare(a.dataCentre, b.dataCentre), cmp.Compare(reliable(a), reliable(b)), cmp.Compare(b.rank, a.rank))
	})
	return list
}

// relayChanges passes changes on, or keeps the duty until this catalog contains
// them.
func (rt *Router) relayChanges(now time.Time, m *Message) {
	if rt.catalog.Position().Before(m.Through) {
		rt.roster.relays = append(rt.roster.relays, relay{m.Relay, m.Through, now.Add(relayTimeout)})
		return
	}
	rt.relayTo(now, m.Relay, m.News)
}

// relayIfDue carries out the duties whose changes have arrived and drops those
// that have expired.
func (rt *Router) relayIfDue(now time.Time) {
	r := &rt.roster
	r.relays = slices.DeleteFunc(r.relays, func(d relay) bool {
		arrived := !rt.catalog.Position().Before(d.through)
		if arrived {
			rt.relayTo(now, d.targets, nil)
		}
		return arrived || !now.Before(d.until)
	})
}

func (rt *Router) relayTo(now time.Time, targets []netip.AddrPort, news *catalog.Batch) {
	for _, a := range targets {
		if p := rt.addPeer(a); p != nil && p.through.Before(rt.catalog.Position()) {
			m := rt.messageTo(p)
			m.News, m.Readers = news, rt.nameReaders(now, p)
		}
	}
}
