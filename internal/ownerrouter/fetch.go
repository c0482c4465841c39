package ownerrouter

import (
	"net/netip"
	"slices"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/member"
	"github.com/chervilhaven/chervilhaven/internal/view"
)

// Limits for fetching values from peers.
const (
	fetchTimeout = 2 * time.Second
	// onDemandFetchInterval is the minimum time between fetches triggered by
	// packets that carry a newer version.
	onDemandFetchInterval = 200 * time.Millisecond
	// repairInterval is the minimum time between anti-entropy fetches, which
	// compare all keys with a random peer.
	repairInterval = 30 * time.Second
	// emptyFetchBackoff is the time for which a version is not fetched again
	// after a fetch for it returned nothing new.
	emptyFetchBackoff = 30 * time.Second
	// maxPendingFetches limits the number of fetches in flight.
	maxPendingFetches = 3
)

// fetcher is the state of fetching values from peers.
type fetcher struct {
	// pending maps the RPC addresses of the fetches in flight to their
	// deadlines.
	pending map[netip.AddrPort]time.Time
	// nextOnDemand is the earliest time of the next fetch triggered by a
	// packet.
	nextOnDemand time.Time
	// nextRepair is the time of the next anti-entropy fetch.
	nextRepair time.Time
	// emptyVersion is a version whose fetch returned nothing new. It and older
	// versions are not fetched again before emptyUntil.
	emptyVersion view.Version
	emptyUntil   time.Time
	// requested is the version that triggered the last fetch.
	requested view.Version
}

// compareDigest fetches from a peer whose digest shows newer values.
func (n *Router) compareDigest(now time.Time, from view.ID, d member.Digest) {
	n.mergeContact(now, d.Platform)
	if n.store.IsBehind(d.Keys) || n.needsVersion(now, d.Version) {
		n.fetchFromPeer(now, from, d.Version)
	}
}

// needsVersion reports whether v is newer than the version in force and not
// subject to the backoff after an empty fetch.
func (n *Router) needsVersion(now time.Time, v view.Version) bool {
	if v.Compare(n.store.Version()) <= 0 {
		return false
	}
	return now.After(n.fetcher.emptyUntil) || v.Compare(n.fetcher.emptyVersion) > 0
}

func (n *Router) fetchFromPeer(now time.Time, peer view.ID, requested view.Version) {
	address := n.peerAddress(peer)
	if !address.IsValid() || peer == n.self {
		return
	}
	n.fetchFromAddress(now, peer, address, requested)
}

func (n *Router) fetchFromAddress(now time.Time, peer view.ID, address netip.AddrPort, requested view.Version) {
	f := &n.fetcher
	if _, ok := f.pending[address]; ok || len(f.pending) >= maxPendingFetches {
		return
	}
	f.pending[address] = now.Add(fetchTimeout)
	f.requested = requested
	n.emit(Effect{
		Kind: Fetch, Peer: peer, Address: address, Have: n.store.Versions(), Timeout: fetchTimeout,
	})
}

// peerAddress returns the RPC address of a peer from the membership or, failing
// that, from the view. The result is invalid for an unknown peer.
func (n *Router) peerAddress(peer view.ID) netip.AddrPort {
	if _, a, ok := n.membership.Addresses(peer); ok {
		return a
	}
	if v := n.store.View(); v != nil {
		if i, ok := v.Instance(peer); ok {
			return i.Peers
		}
	}
	return netip.AddrPort{}
}

// fetchNewerView executes the balancer's request to fetch the view of a packet
// that was routed with a newer version.
func (n *Router) fetchNewerView(now time.Time, b balancer.Effect) {
	if !n.needsVersion(now, b.Header.Version) || now.Before(n.fetcher.nextOnDemand) {
		return
	}
	n.fetcher.nextOnDemand = now.Add(onDemandFetchInterval)
	if id, ok := n.membership.RandomPeer(); ok {
		n.fetchFromPeer(now, id, b.Header.Version)
	}
}

// fetchFromListedPeers fetches from up to count peers listed in the view,
// preferring the local data centre.
func (n *Router) fetchFromListedPeers(now time.Time, count int) {
	peers := n.fetchCandidates()
	for _, p := range peers[:min(count, len(peers))] {
		n.fetchFromAddress(now, p.ID, p.Peers, view.Version{})
	}
}

// fetchCandidates returns the listed peers that are not leaving, in random
// order, with those of the local data centre first.
func (n *Router) fetchCandidates() []*view.Instance {
	v := n.store.View()
	if v == nil {
		return nil
	}
	var local, remote []*view.Instance
	for _, d := range v.DataCentres {
		for _, i := range d.Instances {
			switch {
			case i.ID == n.self || i.Leaving:
			case d.Name == n.config.DataCentre:
				local = append(local, i)
			default:
				remote = append(remote, i)
			}
		}
	}
	for _, list := range [][]*view.Instance{local, remote} {
		n.random.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	}
	return slices.Concat(local, remote)
}

// finish completes a fetch from a peer. If it returned nothing new, the
// requested version is not fetched again for emptyFetchBackoff.
func (f *fetcher) finish(n *Router, from view.ID, useful bool) {
	f.removePending(n, from)
	if !useful && f.requested.Compare(n.store.Version()) > 0 {
		f.emptyVersion, f.emptyUntil = f.requested, n.now.Add(emptyFetchBackoff)
	}
}

// removePending removes the pending fetch of a peer. Bootstrap peers are known
// by address only and have ID 0; for them any pending bootstrap fetch is
// removed.
func (f *fetcher) removePending(n *Router, peer view.ID) {
	if a := n.peerAddress(peer); a.IsValid() {
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

func (n *Router) handlePeerFailure(now time.Time, peer view.ID) {
	n.fetcher.removePending(n, peer)
	n.advanceStartup(now, nil)
}

func (n *Router) expireFetches(now time.Time) {
	for a, deadline := range n.fetcher.pending {
		if !now.Before(deadline) {
			delete(n.fetcher.pending, a)
		}
	}
}

// repair fetches from a random peer at intervals of repairInterval plus jitter.
// This anti-entropy pass transfers values that digests, which carry only recent
// keys, did not announce.
func (n *Router) repair(now time.Time) {
	if n.startup.phase != phaseServing || now.Before(n.fetcher.nextRepair) {
		return
	}
	jitter := time.Duration(n.random.Int64N(int64(repairInterval) / 2))
	first := n.fetcher.nextRepair.IsZero()
	n.fetcher.nextRepair = now.Add(repairInterval + jitter)
	if first {
		return
	}
	if id, ok := n.membership.RandomPeer(); ok {
		n.fetchFromPeer(now, id, view.Version{})
	}
}

// Address returns the RPC address of a peer, invalid if it is unknown.
func (n *Router) Address(peer view.ID) netip.AddrPort { return n.peerAddress(peer) }
