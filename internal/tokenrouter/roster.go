package tokenrouter

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"
)

// Limits and intervals of messages between instances.
const (
	// heartbeatInterval is the time between two messages to the same peer in a
	// small fleet. A reader of the store has to be replaced within four of them.
	heartbeatInterval = 250 * time.Millisecond
	// heartbeatSpacing limits the rate of heartbeats: 125 a second use about one
	// percent of the smallest instance's processor.
	heartbeatSpacing = 8 * time.Millisecond
	// heartbeatFanout limits the number of peers that get a heartbeat in one
	// round.
	heartbeatFanout = 100
	// partInterval is the time between the parts into which a round longer than
	// heartbeatInterval is split: a third of the silence after which a data
	// centre counts as cut off.
	partInterval = 100 * time.Millisecond
	// missedHeartbeats is the number of missed heartbeats after which a peer
	// counts as dead. A single datagram may get lost.
	missedHeartbeats = 3
	// maxMissedAsks is the number of consecutive unanswered Asks after which a
	// peer is no longer used as coordinator, until it sends a Grant or a message
	// without Asks.
	maxMissedAsks = 2
	// helloInterval is the time between hello messages to the seeds until one
	// answers. All instances may start at once, and the seeds last.
	helloInterval = 25 * time.Millisecond
	// peerRetention is how long a silent peer is still contacted. A restart takes
	// a few seconds, a network partition longer.
	peerRetention = 2 * time.Minute
	// peersPerMessage is the number of other peers named in a heartbeat.
	peersPerMessage = 6
	// peersPerHelloAnswer is the number of peers named in the answer to a hello.
	peersPerHelloAnswer = 32
	// maxTickInterval is the longest time between two Ticks.
	maxTickInterval = 250 * time.Millisecond
)

// roster holds the other instances of the fleet.
type roster struct {
	peers map[netip.AddrPort]*peer
	// dataCentres holds the reachability of data centres by name.
	dataCentres map[string]*dataCentreState
	// next is when the next part of a heartbeat round is due.
	next time.Time
	// part counts the parts of rounds sent so far.
	part uint64
	// heard is true once a message from any peer has arrived.
	heard bool
	// lastNewPeer is when a message last came from a peer for the first time.
	lastNewPeer time.Time
	// lastJoin is when an instance last joined, for the first time or after a
	// restart or outage.
	lastJoin time.Time
	// outbox collects the messages of one Apply call, one for each peer.
	outbox []outgoing
}

type outgoing struct {
	peer    *peer
	message *Message
}

// peer is the state of another instance.
type peer struct {
	address    netip.AddrPort
	dataCentre string
	// heard is when its last message arrived, zero before the first. lastNamed is
	// when another instance last named it.
	heard      time.Time
	lastNamed  time.Time
	leaving    bool
	readsStore bool
	// through is the revision up to which its catalog is complete.
	through uint64
	// fetchFailedAt is when a fetch from it last failed.
	fetchFailedAt time.Time
	// missedAsks counts consecutive unanswered Asks.
	missedAsks int
	// rank is its rank for reading the store, see rankOf.
	rank uint64
	// partOffset is a random number that selects the part of a round in which the
	// peer gets its heartbeat.
	partOffset uint64
}

// heartbeatDue reports whether the next part of a heartbeat round is due.
func (r *roster) heartbeatDue(now time.Time) bool { return !now.Before(r.next) }

// roundInterval is the duration of a heartbeat round, in which up to
// heartbeatFanout peers get a message.
func (r *roster) roundInterval() time.Duration {
	return max(heartbeatInterval, time.Duration(min(len(r.peers), heartbeatFanout))*heartbeatSpacing)
}

// roundsPerPeer is the number of rounds in which each peer gets one heartbeat.
func (r *roster) roundsPerPeer() int { return max(1, (len(r.peers)+heartbeatFanout-1)/heartbeatFanout) }

// partsPerRound is the number of parts of a round. Without them, the instances
// of a fleet that started at once would all send at the same time and be silent
// in between.
func (r *roster) partsPerRound() int {
	if r.roundInterval() == heartbeatInterval {
		return 1
	}
	return int((r.roundInterval() + partInterval - 1) / partInterval)
}

// messageInterval is the time between two heartbeats from the same peer. Readers
// of the store send to all peers in every round, so that their failure is
// noticed soon.
func (r *roster) messageInterval(reads bool) time.Duration {
	if reads {
		return r.roundInterval()
	}
	return r.roundInterval() * time.Duration(r.roundsPerPeer())
}

// live reports whether a message from the peer arrived recently enough.
func (r *roster) live(now time.Time, p *peer) bool {
	return !p.heard.IsZero() && now.Sub(p.heard) <= missedHeartbeats*r.messageInterval(p.readsStore)
}

// addPeer returns the peer at an address and creates it if necessary. It returns
// nil for an invalid address and for that of this instance.
func (rt *Router) addPeer(address netip.AddrPort) *peer {
	if address == rt.config.Self || !address.IsValid() {
		return nil
	}
	p, ok := rt.roster.peers[address]
	if !ok {
		p = &peer{address: address, rank: rankOf(address, "", 0), partOffset: rt.random.Uint64()}
		rt.roster.peers[address] = p
	}
	return p
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

// sendHelloToSeeds sends a hello to the seeds, which answer at once and name
// other instances.
func (rt *Router) sendHelloToSeeds() {
	for _, s := range rt.config.Seeds {
		if p := rt.addPeer(s); p != nil {
			rt.messageTo(p).Hello = true
		}
	}
}

// heartbeat sends a message to the peers of the current part, or to all peers if
// urgent, and drops peers, removed upstreams and assignments that have expired.
func (rt *Router) heartbeat(now time.Time, urgent bool) {
	r := &rt.roster
	parts := r.partsPerRound()
	r.next = now.Add(r.roundInterval() / time.Duration(parts))
	if !r.heard {
		r.next, urgent = now.Add(helloInterval), true
		rt.sendHelloToSeeds()
	}
	if !rt.reader.readsStore {
		parts *= r.roundsPerPeer()
	}
	r.part++
	for address, p := range r.peers {
		if now.Sub(latest(p.heard, p.lastNamed)) > peerRetention && !slices.Contains(rt.config.Seeds, address) {
			delete(r.peers, address)
			continue
		}
		if urgent || (r.part+p.partOffset)%uint64(parts) == 0 {
			rt.messageTo(p)
		}
	}
	r.countPeersByDataCentre()
	rt.purgeGone(now)
	rt.expireAssignments(now)
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// messageTo returns the message that is sent to the peer at the end of the
// current Apply call.
func (rt *Router) messageTo(p *peer) *Message {
	for _, o := range rt.roster.outbox {
		if o.peer == p {
			return o.message
		}
	}
	m := &Message{}
	rt.roster.outbox = append(rt.roster.outbox, outgoing{p, m})
	return m
}

// sendMessages emits the messages in the outbox.
func (rt *Router) sendMessages() {
	for _, o := range rt.roster.outbox {
		m := o.message
		m.DataCentre, m.Leaving = rt.config.DataCentre, rt.stopping
		m.Through, m.Reads, m.CutOff = rt.catalog.Through(), rt.reader.readsStore, rt.silentDataCentres
		rt.attachReports(o.peer, m)
		if m.Asks == nil && m.Grants == nil && m.Peers == nil {
			m.Peers = rt.samplePeers(o.peer, peersPerMessage)
		}
		rt.emit(Effect{Kind: SendMessage, Peer: o.peer.address, Message: m})
	}
	rt.roster.outbox = rt.roster.outbox[:0]
}

// samplePeers returns up to count peers, other than the receiver, that have sent
// a message to this instance.
func (rt *Router) samplePeers(to *peer, count int) []netip.AddrPort {
	list := make([]netip.AddrPort, 0, count)
	for _, p := range rt.roster.peers {
		if len(list) == count {
			break
		}
		if p != to && !p.heard.IsZero() {
			list = append(list, p.address)
		}
	}
	return list
}

// handleMessage processes a message from another instance.
func (rt *Router) handleMessage(now time.Time, from netip.AddrPort, m *Message) {
	p := rt.addPeer(from)
	if p == nil {
		return
	}
	live := rt.roster.live(now, p)
	if m.Hello || !live {
		rt.roster.lastJoin = now
	}
	if !live {
		rt.log("peer-heard", "peer", from.String(), "data-centre", m.DataCentre, "peers", strconv.Itoa(len(rt.roster.peers)))
	}
	if rt.roster.heard = true; p.heard.IsZero() {
		rt.roster.lastNewPeer = now
	}
	p.heard, p.dataCentre, p.leaving, p.readsStore = now, m.DataCentre, m.Leaving, m.Reads
	p.through = uint64(m.Through)
	rt.reader.maxRevision = max(rt.reader.maxRevision, m.Through)
	rt.roster.noteHeard(now, m.DataCentre)
	rt.noteReportedCuts(now, m)
	if m.Asks == nil {
		p.missedAsks = 0
	}
	rt.sendHelloToNewPeers(now, m.Peers)
	if m.Hello {
		rt.messageTo(p).Peers = rt.samplePeers(p, peersPerHelloAnswer)
	}
	if m.News != nil {
		rt.handleChanges(now, p, m.News)
	}
	for i := range m.Reports {
		rt.handleReport(now, p, &m.Reports[i])
	}
	for i := range m.Asks {
		rt.handleAsk(now, p, &m.Asks[i])
	}
	for i := range m.Grants {
		rt.handleGrant(now, p, &m.Grants[i])
	}
}

// sendHelloToNewPeers sends a hello to instances that a message named and that
// were unknown so far.
func (rt *Router) sendHelloToNewPeers(now time.Time, addresses []netip.AddrPort) {
	for _, a := range addresses {
		if q, ok := rt.roster.peers[a]; ok {
			q.lastNamed = now
		} else if q := rt.addPeer(a); q != nil {
			q.lastNamed = now
			rt.messageTo(q).Hello = true
		}
	}
}

// coordinator returns the live instance that places new flows at a group of
// upstreams and counts them, nil if it is this instance. Log lines and dumps
// call it the accountant.
func (rt *Router) coordinator(now time.Time, service string, group int) *peer {
	var best *peer
	var highest uint64
	if !rt.stopping {
		highest = rankOf(rt.config.Self, service, group)
	}
	for _, p := range rt.roster.peers {
		if p.leaving || p.missedAsks >= maxMissedAsks || !rt.roster.live(now, p) || slices.Contains(rt.cutOff, p.dataCentre) {
			continue
		}
		if r := rankOf(p.address, service, group); r > highest {
			best, highest = p, r
		}
	}
	return best
}

// hearsMajority reports whether more than half of the recently known instances
// are live, so that this instance is not in the minority of a partition.
func (rt *Router) hearsMajority(now time.Time) bool {
	live, known := 1, 1
	for _, p := range rt.roster.peers {
		if p.heard.IsZero() || now.Sub(p.heard) > fleetSizeWindow {
			continue
		}
		known++
		if rt.roster.live(now, p) {
			live++
		}
	}
	return 2*live > known
}
