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
func (rt *Router) compareDigest(now time.Time, from view.ID, d member.Digest) {
	rt.mergeContact(now, d.Platform)
	if rt.store.IsBehind(d.Keys) || rt.needsVersion(now, d.Version) {
		rt.fetchFromPeer(now, from, d.Version)
	}
}

// needsVersion reports whether v is newer than the version in force and not
// subject to the backoff after an empty fetch.
func (rt *Router) needsVersion(now time.Time, v view.Version) bool {
	if v.Compare(rt.store.Version()) <= 0 {
		return false
	}
	return now.After(rt.fetcher.emptyUntil) || v.Compare(rt.fetcher.emptyVersion) > 0
}

func (rt *Router) fetchFromPeer(now time.Time, peer view.ID, requested view.Version) {
	address := rt.peerAddress(peer)
	if !address.IsValid() || peer == rt.self {
		return
	}
	rt.fetchFromAddress(now, peer, address, requested)
}

func (rt *Router) fetchFromAddress(now time.Time, peer view.ID, address netip.AddrPort, requested view.Version) {
	f := &rt.fetcher
	if _, ok := f.pending[address]; ok || len(f.pending) >= maxPendingFetches {
		return
	}
	f.pending[address] = now.Add(fetchTimeout)
	f.requested = requested
	rt.emit(Effect{
		Kind: Fetch, Peer: peer, Address: address, Have: rt.store.Versions(), Timeout: fetchTimeout,
	})
}

// peerAddress returns the RPC address of a peer from the membership or, failing
// that, from the view. The result is invalid for an unknown peer.
func (rt *Router) peerAddress(peer view.ID) netip.AddrPort {
	if _, a, ok := rt.membership.Addresses(peer); ok {
		return a
	}
	if v := rt.store.View(); v != nil {
		if i, ok := v.Instance(peer); ok {
			return i.Peers
		}
	}
	return netip.AddrPort{}
}

// fetchNewerView executes the balancer's request to fetch the view of a packet
// that was routed with a newer version.
func (rt *Router) fetchNewerView(now time.Time, b balancer.Effect) {
	if !rt.needsVersion(now, b.Header.Version) || now.Before(rt.fetcher.nextOnDemand) {
		return
	}
	rt.fetcher.nextOnDemand = now.Add(onDemandFetchInterval)
	if id, ok := rt.membership.RandomPeer(); ok {
		rt.fetchFromPeer(now, id, b.Header.Version)
	}
}

// fetchFromListedPeers fetches from up to count peers listed in the view,
// preferring the local data centre.
func (rt *Router) fetchFromListedPeers(now time.Time, count int) {
	peers := rt.fetchCandidates()
	for _, p := range peers[:min(count, len(peers))] {
		rt.fetchFromAddress(now, p.ID, p.Peers, view.Version{})
	}
}

// fetchCandidates returns the listed peers that are not leaving, in random
// order, with those of the local data centre first.
func (rt *Router) fetchCandidates() []*view.Instance {
	v := rt.store.View()
	if v == nil {
		return nil
	}
	var local, remote []*view.Instance
	for _, d := range v.DataCentres {
		for _, i := range d.Instances {
			switch {
			case i.ID == rt.self || i.Leaving:
			case d.Name == rt.config.DataCentre:
				local = append(local, i)
			default:
				remote = append(remote, i)
			}
		}
	}
	for _, list := range [][]*view.Instance{local, remote} {
		rt.random.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	}
	return slices.Concat(local, remote)
}

// finish completes a fetch from a peer. If it returned nothing new, the
// requested version is not fetched again for emptyFetchBackoff.
func (f *fetcher) finish(rt *Router, from view.ID, useful bool) {
	f.removePending(rt, from)
	if !useful && f.requested.Compare(rt.store.Version()) > 0 {
		f.emptyVersion, f.emptyUntil = f.requested, rt.now.Add(emptyFetchBackoff)
	}
}

// removePending removes the pending fetch of a peer. Bootstrap peers are known
// by address only and have ID 0; for them any pending bootstrap fetch is
// removed.
func (f *fetcher) removePending(rt *Router, peer view.ID) {
	if a := rt.peerAddress(peer); a.IsValid() {
		delete(f.pending, a)
	}
	if peer != 0 {
		return
	}
	for _, a := range rt.config.Bootstrap {
		if _, ok := f.pending[a]; ok {
			delete(f.pending, a)
			return
		}
	}
}

func (rt *Router) handlePeerFailure(now time.Time, peer view.ID) {
	rt.fetcher.removePending(rt, peer)
	rt.advanceStartup(now, nil)
}

func (rt *Router) expireFetches(now time.Time) {
	for a, deadline := range rt.fetcher.pending {
		if !now.Before(deadline) {
			delete(rt.fetcher.pending, a)
		}
	}
}

// repair fetches from a random peer at intervals of repairInterval plus jitter.
// This anti-entropy pass transfers values that digests, which carry only recent
// keys, did not announce.
func (rt *Router) repair(now time.Time) {
	if rt.startup.phase != phaseServing || now.Before(rt.fetcher.nextRepair) {
		return
	}
	jitter := time.Duration(rt.random.Int64N(int64(repairInterval) / 2))
	first := rt.fetcher.nextRepair.IsZero()
	rt.fetcher.nextRepair = now.Add(repairInterval + jitter)
	if first {
		return
	}
	if id, ok := rt.membership.RandomPeer(); ok {
		rt.fetchFromPeer(now, id, view.Version{})
	}
}

// Address returns the RPC address of a peer, invalid if it is unknown.
func (rt *Router) Address(peer view.ID) netip.AddrPort { return rt.peerAddress(peer) }
