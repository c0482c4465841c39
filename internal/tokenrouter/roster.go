package tokenrouter

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
)

const (
	// meshPeers is the number of peers up to which all instances send heartbeats to
	// each other in every round. Larger fleets gossip.
	meshPeers = 8
	// missedHeartbeats is the number of missed heartbeats after which a peer
	// counts as dead in a small fleet. A single datagram may get lost.
	missedHeartbeats = 3
	// maxMissedAsks is the number of consecutive unanswered Asks after which a
	// peer is no longer used as coordinator, until it sends a Grant or a message
	// without Asks.
	maxMissedAsks = 2
	// minPeerRetention is how long a peer without a sign of life is still contacted
	// at least. A restart takes a few seconds, a network partition longer. In a very
	// large fleet it is retainedCycles times the time in which an instance sends a
	// heartbeat to all others.
	minPeerRetention = 2 * time.Minute
	retainedCycles   = 4
	// reviveMargin is how much later than its death an instance must have been
	// alive to count as live again by the word of others: ages grow by the time
	// that messages take.
	reviveMargin = 500 * time.Millisecond
	// rankedPerGroup is the number of candidates for coordinator that are kept for
	// each group of upstreams.
	rankedPerGroup = 16
	// sweepInterval is the time between removals of expired peers, upstreams and
	// assignments.
	sweepInterval = time.Second
)

// roster holds the other instances of the fleet.
type roster struct {
	peers map[netip.AddrPort]*peer
	// version counts the changes of the set of peers. order holds the peers by data
	// centre, in random order inside each, as of orderVersion.
	version      uint64
	order        []*peer
	orderVersion uint64
	// ranked holds the candidates for coordinator of each group.
	ranked map[group]ranking
	// dataCentres holds the reachability of data centres by name.
	dataCentres map[string]*dataCentreState
	// next is when the next heartbeats are due, nextProbe the next probe of a
	// neighbour, nextSweep the next sweep.
	next      time.Time
	nextProbe time.Time
	nextSweep time.Time
	// rotation holds the peers that are still to get a heartbeat in this cycle,
	// probes the peers of the same data centre that are still to be probed.
	rotation []*peer
	probes   []*peer
	// probed is the neighbour that was probed at probedAt, nil for none.
	probed   *peer
	probedAt time.Time
	rumours  []rumour
	// readers are the peers that were recently known to read the store.
	readers []*peer
	// greeted counts the peers that got a hello because another peer named them.
	greeted int
	// lastHeard is when a message from any peer last arrived, zero before the first.
	lastHeard time.Time
	// lastNewPeer is when a peer was last heard of for the first time.
	lastNewPeer time.Time
	// lastJoin is when an instance last joined, for the first time or after a
	// restart or outage.
	lastJoin time.Time
	// relays are the changes to pass on once this catalog contains them.
	relays []relay
	// outbox collects the messages of one Apply call, one for each peer.
	outbox []outgoing
}

// ranking lists the highest ranked instances for a group of upstreams as of a
// version of the roster.
type ranking struct {
	version uint64
	peers   []*peer
}

// peer is the state of another instance.
type peer struct {
	address    netip.AddrPort
	dataCentre string
	// heard is when its last message arrived, zero before the first.
	heard time.Time
	// alive is the latest time at which it was known to be alive, by its own
	// messages or those of others. dead is when a neighbour last found it dead.
	alive   time.Time
	dead    time.Time
	leaving bool
	// readAt is the latest time at which it was known to read the store, quitAt
	// when it last said that it does not.
	readAt time.Time
	quitAt time.Time
	// through is the position up to which its catalog is complete.
	through catalog.Position
	// version is the version of its configuration.
	version uint64
	// fetchFailedAt is when a fetch from it last failed.
	fetchFailedAt time.Time
	// missedAsks counts consecutive unanswered Asks, missedProbes consecutive
	// unanswered probes.
	missedAsks   int
	missedProbes int
	// rank is its rank for reading the store, see rankOf.
	rank uint64
}

// mesh reports whether the fleet is so small that all instances send heartbeats
// to each other in every round.
func (r *roster) mesh() bool { return len(r.peers) <= meshPeers }

// live reports whether a peer counts as alive: in a small fleet by its own
// heartbeats, in a large one until a neighbour has found it dead.
func (r *roster) live(now time.Time, p *peer) bool {
	if r.mesh() {
		return !p.heard.IsZero() && now.Sub(p.heard) <= missedHeartbeats*heartbeatInterval
	}
	return !p.alive.IsZero() && p.alive.After(p.dead) && now.Sub(p.alive) <= r.peerRetention()
}

// peerRetention is how long a peer without a sign of life is still contacted.
func (r *roster) peerRetention() time.Duration {
	cycle := heartbeatInterval * time.Duration(len(r.peers)) / (roundParts * partFanout)
	return max(minPeerRetention, retainedCycles*cycle)
}

// reads reports whether a peer reads the platform's store, as far as is known.
func (r *roster) reads(now time.Time, p *peer) bool {
	return !p.readAt.IsZero() && now.Sub(p.readAt) <= r.readerTimeout()
}

// noteReader records that a peer read the store at a time.
func (r *roster) noteReader(p *peer, at time.Time) {
	p.readAt = at
	if !slices.Contains(r.readers, p) {
		r.readers = append(r.readers, p)
	}
}

// readerTimeout is the time without news of a reader after which it counts as
// failed: the silence allowed to a direct neighbour and the rounds in which
// gossip reaches all others, as each round multiplies those who know.
func (r *roster) readerTimeout() time.Duration {
	rounds := missedHeartbeats
	if !r.mesh() {
		rounds += (bits.Len(uint(len(r.peers))) + 1) / 2
	}
	return time.Duration(rounds) * heartbeatInterval
}

// addPeer returns the peer at an address and creates it if necessary. It returns
// nil for an address that no instance can have and for that of this instance.
func (rt *Router) addPeer(address netip.AddrPort) *peer {
	if address == rt.config.Self || !address.IsValid() || address.Port() == 0 || address.Addr().IsUnspecified() {
		return nil
	}
	p, ok := rt.roster.peers[address]
	if !ok {
		p = &peer{address: address, rank: rankOf(address, "", 0)}
		rt.roster.peers[address] = p
		rt.roster.version++
	}
	return p
}

// sweep drops peers, removed upstreams and assignments that have expired.
func (rt *Router) sweep(now time.Time) {
	r := &rt.roster
	r.nextSweep = now.Add(sweepInterval)
	for address, p := range r.peers {
		if now.Sub(p.alive) > r.peerRetention() && !slices.Contains(rt.config.Seeds, address) {
			delete(r.peers, address)
			r.version++
		}
	}
	r.readers = slices.DeleteFunc(r.readers, func(p *peer) bool { return !r.reads(now, p) })
	r.countPeersByDataCentre(now)
	rt.purgeGone(now)
	rt.expireAssignments(now)
	rt.pins.expire(now, rt.config.FlowLifetime)
	rt.clearDoubts(now)
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ordered returns all peers by data centre, in random order inside each. The
// caller must not keep the result.
func (rt *Router) ordered() []*peer {
	r := &rt.roster
	if r.orderVersion == r.version {
		return r.order
	}
	r.orderVersion, r.order = r.version, r.order[:0]
	for _, p := range r.peers {
		r.order = append(r.order, p)
	}
	slices.SortFunc(r.order, func(a, b *peer) int { return a.address.Compare(b.address) })
	rt.random.Shuffle(len(r.order), func(i, j int) { r.order[i], r.order[j] = r.order[j], r.order[i] })
	slices.SortStableFunc(r.order, func(a, b *peer) int { return strings.Compare(a.dataCentre, b.dataCentre) })
	return r.order
}

// rankOf returns the rank of an instance for a group of upstreams, or for
// reading the store if service is empty. All instances compute the same rank
// (rendezvous hashing).
func rankOf(address netip.AddrPort, service string, group int) uint64 {
	b := make([]byte, 0, 64)
	b, _ = address.AppendBinary(b)
	b = append(b, service...)
	b = binary.BigEndian.AppendUint32(b, uint32(group))
	return xxh3.Hash(b)
}

// candidates returns the highest ranked instances for a group of upstreams, best
// first. This instance is nil among them.
func (rt *Router) candidates(g group) []*peer {
	r := &rt.roster
	if c, ok := r.ranked[g]; ok && c.version == r.version {
		return c.peers
	}
	type entry struct {
		peer *peer
		rank uint64
	}
	list := make([]entry, 0, len(r.peers)+1)
	list = append(list, entry{nil, rankOf(rt.config.Self, g.service, g.number)})
	for _, p := range r.peers {
		list = append(list, entry{p, rankOf(p.address, g.service, g.number)})
	}
	slices.SortFunc(list, func(a, b entry) int { return cmp.Compare(b.rank, a.rank) })
	peers := make([]*peer, 0, rankedPerGroup)
	for _, e := range list[:min(rankedPerGroup, len(list))] {
		peers = append(peers, e.peer)
	}
	if r.ranked == nil {
		r.ranked = make(map[group]ranking)
	}
	r.ranked[g] = ranking{r.version, peers}
	return peers
}

// coordinator returns the live instance that places new flows at a group of
// upstreams and counts them, nil if it is this instance. Log lines and dumps
// call it the accountant.
func (rt *Router) coordinator(now time.Time, service string, number int) *peer {
	for _, p := range rt.candidates(group{service, number}) {
		if p == nil && !rt.stopping {
			return nil
		}
		if p != nil && rt.usable(now, p) {
			return p
		}
	}
	return rt.bestCoordinator(now, service, number)
}

// bestCoordinator searches all peers for the coordinator of a group, for when
// none of its candidates is usable.
func (rt *Router) bestCoordinator(now time.Time, service string, number int) *peer {
	var best *peer
	var highest uint64
	if !rt.stopping {
		highest = rankOf(rt.config.Self, service, number)
	}
	for _, p := range rt.roster.peers {
		if !rt.usable(now, p) {
			continue
		}
		if r := rankOf(p.address, service, number); r > highest {
			best, highest = p, r
		}
	}
	return best
}

// usable reports whether a peer can be relied on: it is live and not leaving, it
// answers Asks, and its data centre can be reached.
func (rt *Router) usable(now time.Time, p *peer) bool {
	return !p.leaving && p.missedAsks < maxMissedAsks && rt.roster.live(now, p) && !slices.Contains(rt.cutOff, p.dataCentre)
}

// hearsMajority reports whether this instance can reach more than half of the
// recently known instances, so that it is not in the minority of a partition.
func (rt *Router) hearsMajority(now time.Time) bool {
	reached, known := 1, 1
	for _, p := range rt.roster.peers {
		cut := slices.Contains(rt.cutOff, p.dataCentre)
		live := rt.roster.live(now, p)
		switch {
		case p.alive.IsZero():
		case live && !cut:
			reached++
			known++
		case cut || now.Sub(p.alive) <= fleetSizeWindow:
			known++
		}
	}
	return 2*reached > known
}

// logHeard logs that a peer has joined.
func (rt *Router) logHeard(p *peer) {
	rt.log("peer-heard", "peer", p.address.String(), "data-centre", p.dataCentre, "peers", strconv.Itoa(len(rt.roster.peers)))
}
