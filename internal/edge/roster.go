package edge

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"
)

// Bounds of the roster.
const (
	// heartbeatInterval is the time between two messages to the same peer in a
	// small fleet: four of them fit into the time in which a reader has to be
	// replaced.
	heartbeatInterval = 250 * time.Millisecond
	// heartbeatSpacing bounds the messages that an instance sends: 125 a
	// second cost about one percent of the smallest instance's processor.
	heartbeatSpacing = 8 * time.Millisecond
	// heartbeatFanout bounds the peers that get a message in one interval.
	heartbeatFanout = 100
	// partInterval is the time between two parts of the messages of an interval
	// that is longer than the shortest: a third of the time in which the silence
	// of a data centre counts.
	partInterval = 100 * time.Millisecond
	// missedHeartbeats is the number of heartbeats after whose loss a peer
	// counts as dead; datagrams are lost now and then.
	missedHeartbeats = 3
	// maxMissedAsks is the number of unanswered asks in a row after which a
	// peer does not account until it is heard again.
	maxMissedAsks = 2
	// helloInterval is the time between greetings of seeds until one answers:
	// all instances may start at once, the seeds last.
	helloInterval = 25 * time.Millisecond
	// peerRetention is the time after which a silent peer is not greeted
	// any more; a restart takes a few seconds, a cut longer.
	peerRetention = 2 * time.Minute
	// peersPerMessage is the number of other peers that a message names.
	peersPerMessage = 6
	// peersPerHelloAnswer is the number of peers that the answer to a greeting names.
	peersPerHelloAnswer = 32
	maxTickInterval     = 250 * time.Millisecond
)

// roster is the other instances.
type roster struct {
	peers map[netip.AddrPort]*peer
	sites map[string]*site
	next  time.Time
	// part counts the parts of intervals.
	part uint64
	// heard is true once any peer has been heard.
	heard bool
	// lastNewPeer is the time at which a peer was last heard for the first time.
	lastNewPeer time.Time
	// lastJoin is the time at which an instance last lastJoin, known before or not.
	lastJoin time.Time
	// outbox gathers what one Apply has to tell each peer.
	outbox []outgoing
}

type outgoing struct {
	peer    *peer
	message *Message
}

// peer is what is known of another instance.
type peer struct {
	address    netip.AddrPort
	dataCentre string
	// heard is the time of its last message, zero before the first.
	heard      time.Time
	lastNamed  time.Time
	leaving    bool
	readsStore bool
	through    uint64
	// fetchFailedAt is the time of the last fetch that it did not answer.
	fetchFailedAt time.Time
	// missedAsks is the number of unanswered asks in a row.
	missedAsks int
	rank       uint64
	// partOffset spreads the messages to the peers over an interval.
	partOffset uint64
}

func (r *roster) heartbeatDue(now time.Time) bool { return !now.Before(r.next) }

// roundInterval is the time in which an instance has a turn to tell its peers.
func (r *roster) roundInterval() time.Duration {
	return max(heartbeatInterval, time.Duration(min(len(r.peers), heartbeatFanout))*heartbeatSpacing)
}

// roundsPerPeer is the number of intervals in which an instance tells each peer once.
func (r *roster) roundsPerPeer() int { return max(1, (len(r.peers)+heartbeatFanout-1)/heartbeatFanout) }

// partsPerRound is the number of parts of an interval. A fleet that starts at once would
// speak all at the same time and be silent in between.
func (r *roster) partsPerRound() int {
	if r.roundInterval() == heartbeatInterval {
		return 1
	}
	return int((r.roundInterval() + partInterval - 1) / partInterval)
}

// messageInterval is the time between two messages of the same instance. Those that
// read the store tell all others at each turn, as they have to be replaced soon.
func (r *roster) messageInterval(reads bool) time.Duration {
	if reads {
		return r.roundInterval()
	}
	return r.roundInterval() * time.Duration(r.roundsPerPeer())
}

// live tells whether the peer has been heard of late.
func (r *roster) live(now time.Time, p *peer) bool {
	return !p.heard.IsZero() && now.Sub(p.heard) <= missedHeartbeats*r.messageInterval(p.readsStore)
}

// addPeer returns the peer at an address.
func (e *Edge) addPeer(address netip.AddrPort) *peer {
	if address == e.config.Self || !address.IsValid() {
		return nil
	}
	p, ok := e.roster.peers[address]
	if !ok {
		p = &peer{address: address, rank: rankOf(address, "", 0), partOffset: e.random.Uint64()}
		e.roster.peers[address] = p
	}
	return p
}

// rankOf orders instances for a duty, the same on all of them (rendezvous
// hashing).
func rankOf(address netip.AddrPort, service string, group int) uint64 {
	b := make([]byte, 0, 64)
	b, _ = address.AppendBinary(b)
	b = append(b, service...)
	b = binary.BigEndian.AppendUint32(b, uint32(group))
	return xxh3.Hash(b)
}

// greetSeeds greets the seeds, which answer at once and name others.
func (e *Edge) greetSeeds() {
	for _, s := range e.config.Seeds {
		if p := e.addPeer(s); p != nil {
			e.messageTo(p).Hello = true
		}
	}
}

// heartbeat tells the peers whose turn it is, or all where it is urgent, that
// this instance lives and what it knows.
func (e *Edge) heartbeat(now time.Time, urgent bool) {
	r := &e.roster
	parts := r.partsPerRound()
	r.next = now.Add(r.roundInterval() / time.Duration(parts))
	if !r.heard {
		r.next, urgent = now.Add(helloInterval), true
		e.greetSeeds()
	}
	if !e.reader.readsStore {
		parts *= r.roundsPerPeer()
	}
	r.part++
	for address, p := range r.peers {
		if now.Sub(latest(p.heard, p.lastNamed)) > peerRetention && !slices.Contains(e.config.Seeds, address) {
			delete(r.peers, address)
			continue
		}
		if urgent || (r.part+p.partOffset)%uint64(parts) == 0 {
			e.messageTo(p)
		}
	}
	r.countPeersBySite()
	e.purgeGone(now)
	e.expireGrants(now)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// messageTo returns the message that goes to the peer at the end of this Apply.
func (e *Edge) messageTo(p *peer) *Message {
	for _, o := range e.roster.outbox {
		if o.peer == p {
			return o.message
		}
	}
	m := &Message{}
	e.roster.outbox = append(e.roster.outbox, outgoing{p, m})
	return m
}

// sendMessages sends the gathered messages.
func (e *Edge) sendMessages() {
	for _, o := range e.roster.outbox {
		m := o.message
		m.DataCentre, m.Leaving = e.config.DataCentre, e.stopping
		m.Through, m.Reads, m.CutOff = e.catalog.Through(), e.reader.readsStore, e.silentSites
		e.attachReports(o.peer, m)
		if m.Asks == nil && m.Grants == nil && m.Peers == nil {
			m.Peers = e.samplePeers(o.peer, peersPerMessage)
		}
		e.emit(Effect{Kind: Tell, Peer: o.peer.address, Message: m})
	}
	e.roster.outbox = e.roster.outbox[:0]
}

// samplePeers returns peers heard of late to tell another peer about.
func (e *Edge) samplePeers(to *peer, count int) []netip.AddrPort {
	list := make([]netip.AddrPort, 0, count)
	for _, p := range e.roster.peers {
		if len(list) == count {
			break
		}
		if p != to && !p.heard.IsZero() {
			list = append(list, p.address)
		}
	}
	return list
}

// handleMessage takes in what another instance says.
func (e *Edge) handleMessage(now time.Time, from netip.AddrPort, m *Message) {
	p := e.addPeer(from)
	if p == nil {
		return
	}
	live := e.roster.live(now, p)
	if m.Hello || !live {
		e.roster.lastJoin = now
	}
	if !live {
		e.log("peer-heard", "peer", from.String(), "data-centre", m.DataCentre, "peers", strconv.Itoa(len(e.roster.peers)))
	}
	if e.roster.heard = true; p.heard.IsZero() {
		e.roster.lastNewPeer = now
	}
	p.heard, p.dataCentre, p.leaving, p.readsStore = now, m.DataCentre, m.Leaving, m.Reads
	p.through = uint64(m.Through)
	e.reader.maxRevision = max(e.reader.maxRevision, m.Through)
	e.roster.noteHeard(now, m.DataCentre)
	e.noteReportedCuts(now, m)
	if m.Asks == nil {
		p.missedAsks = 0
	}
	e.greetNewPeers(now, m.Peers)
	if m.Hello {
		e.messageTo(p).Peers = e.samplePeers(p, peersPerHelloAnswer)
	}
	if m.News != nil {
		e.handleChanges(now, p, m.News)
	}
	for i := range m.Reports {
		e.handleReport(now, p, &m.Reports[i])
	}
	for i := range m.Asks {
		e.handleAsk(now, p, &m.Asks[i])
	}
	for i := range m.Grants {
		e.handleGrant(now, p, &m.Grants[i])
	}
}

// greetNewPeers greets instances that another one names.
func (e *Edge) greetNewPeers(now time.Time, addresses []netip.AddrPort) {
	for _, a := range addresses {
		if q, ok := e.roster.peers[a]; ok {
			q.lastNamed = now
		} else if q := e.addPeer(a); q != nil {
			q.lastNamed = now
			e.messageTo(q).Hello = true
		}
	}
}

// coordinator returns the live instance that accounts for a group of upstreams,
// nil where it is this one.
func (e *Edge) coordinator(now time.Time, service string, group int) *peer {
	var best *peer
	var highest uint64
	if !e.stopping {
		highest = rankOf(e.config.Self, service, group)
	}
	for _, p := range e.roster.peers {
		if p.leaving || p.missedAsks >= maxMissedAsks || !e.roster.live(now, p) || slices.Contains(e.cutOff, p.dataCentre) {
			continue
		}
		if r := rankOf(p.address, service, group); r > highest {
			best, highest = p, r
		}
	}
	return best
}

// hearsMajority tells whether most instances known of late are heard, so that this
// one is not on the small side of a partition.
func (e *Edge) hearsMajority(now time.Time) bool {
	live, known := 1, 1
	for _, p := range e.roster.peers {
		if p.heard.IsZero() || now.Sub(p.heard) > fleetSizeWindow {
			continue
		}
		known++
		if e.roster.live(now, p) {
			live++
		}
	}
	return 2*live > known
}
