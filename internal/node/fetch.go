package node

import (
	"net/netip"
	"slices"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/member"
	"github.com/chervilhaven/chervilhaven/internal/view"
)

// Bounds of fetching values from peers.
const (
	fetchTimeout = 2 * time.Second
	// fetchInterval is the least time between fetches asked for by packets.
	fetchInterval = 200 * time.Millisecond
	// repairInterval is the time between comparisons of all keys with a peer.
	repairInterval = 30 * time.Second
	// futileFor is the time in which a version that brought nothing is not
	// fetched again.
	futileFor = 30 * time.Second
	// maxFetches bounds the fetches in flight.
	maxFetches = 3
)

// fetcher is the state of fetching values from peers.
type fetcher struct {
	pending map[netip.AddrPort]time.Time
	// next is the earliest time of the next fetch asked for by a packet.
	next time.Time
	// repair is the time of the next comparison of all keys.
	repair time.Time
	// futile is a version whose fetch brought nothing, until futileUntil.
	futile      view.Version
	futileUntil time.Time
	// wanted is the version that the last fetch was for.
	wanted view.Version
}

// compare fetches from a peer that knows newer values.
func (n *Node) compare(now time.Time, from view.ID, d member.Digest) {
	n.hearContact(now, d.Platform)
	if n.store.IsBehind(d.Keys) || n.wants(now, d.Version) {
		n.fetch(now, from, d.Version)
	}
}

// wants tells whether a version is newer than the view in force.
func (n *Node) wants(now time.Time, v view.Version) bool {
	if v.Compare(n.store.Version()) <= 0 {
		return false
	}
	return now.After(n.fetcher.futileUntil) || v.Compare(n.fetcher.futile) > 0
}

func (n *Node) fetch(now time.Time, peer view.ID, wanted view.Version) {
	address := n.addressOf(peer)
	if !address.IsValid() || peer == n.self {
		return
	}
	n.fetchFrom(now, peer, address, wanted)
}

func (n *Node) fetchFrom(now time.Time, peer view.ID, address netip.AddrPort, wanted view.Version) {
	f := &n.fetcher
	if _, ok := f.pending[address]; ok || len(f.pending) >= maxFetches {
		return
	}
	f.pending[address] = now.Add(fetchTimeout)
	f.wanted = wanted
	n.emit(Effect{
		Kind: Fetch, Peer: peer, Address: address, Have: n.store.Versions(), Timeout: fetchTimeout,
	})
}

// addressOf returns the RPC address of a peer.
func (n *Node) addressOf(peer view.ID) netip.AddrPort {
	if _, a, ok := n.members.Addresses(peer); ok {
		return a
	}
	if v := n.store.View(); v != nil {
		if i, ok := v.Instance(peer); ok {
			return i.Peers
		}
	}
	return netip.AddrPort{}
}

// fetchView serves a balancer that met a packet of a newer view.
func (n *Node) fetchView(now time.Time, b balancer.Effect) {
	if !n.wants(now, b.Header.Version) || now.Before(n.fetcher.next) {
		return
	}
	n.fetcher.next = now.Add(fetchInterval)
	if id, ok := n.members.RandomPeer(); ok {
		n.fetch(now, id, b.Header.Version)
	}
}

// fetchAny asks up to count peers, those of the own data centre first.
func (n *Node) fetchAny(now time.Time, count int) {
	peers := n.peersToAsk()
	for _, p := range peers[:min(count, len(peers))] {
		n.fetchFrom(now, p.ID, p.Peers, view.Version{})
	}
}

// peersToAsk returns the listed peers in random order, those of the own data
// centre first, leaving ones last.
func (n *Node) peersToAsk() []*view.Instance {
	v := n.store.View()
	if v == nil {
		return nil
	}
	var near, far []*view.Instance
	for _, d := range v.DataCentres {
		for _, i := range d.Instances {
			switch {
			case i.ID == n.self || i.Leaving:
			case d.Name == n.config.DataCentre:
				near = append(near, i)
			default:
				far = append(far, i)
			}
		}
	}
	for _, list := range [][]*view.Instance{near, far} {
		n.random.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	}
	return slices.Concat(near, far)
}

// answered ends a fetch. One that brought nothing is not repeated for a while.
func (f *fetcher) answered(n *Node, from view.ID, useful bool) {
	f.drop(n, from)
	if !useful && f.wanted.Compare(n.store.Version()) > 0 {
		f.futile, f.futileUntil = f.wanted, n.now.Add(futileFor)
	}
}

// drop removes the pending fetch of a peer. Peers asked by address only, at
// the start, have no identifier.
func (f *fetcher) drop(n *Node, peer view.ID) {
	if a := n.addressOf(peer); a.IsValid() {
		delete(f.pending, a)
	}
	if peer != 0 {
		return
	}
	for _, a := range n.config.Bootstrap {
		if _, ok := f.pending[a]; ok {
			delete(f.pending, a)
			return
		}
	}
}

func (n *Node) peerFailed(now time.Time, peer view.ID) {
	n.fetcher.drop(n, peer)
	n.advanceStart(now, nil)
}

func (n *Node) expireFetches(now time.Time) {
	for a, deadline := range n.fetcher.pending {
		if !now.Before(deadline) {
			delete(n.fetcher.pending, a)
		}
	}
}

// repair compares all keys with a random peer now and then, which closes gaps
// that digests did not show.
func (n *Node) repair(now time.Time) {
	if n.start.phase != serving || now.Before(n.fetcher.repair) {
		return
	}
	jitter := time.Duration(n.random.Int64N(int64(repairInterval) / 2))
	first := n.fetcher.repair.IsZero()
	n.fetcher.repair = now.Add(repairInterval + jitter)
	if first {
		return
	}
	if id, ok := n.members.RandomPeer(); ok {
		n.fetch(now, id, view.Version{})
	}
}

// Address returns the RPC address of a peer, invalid where unknown.
func (n *Node) Address(peer view.ID) netip.AddrPort { return n.addressOf(peer) }
