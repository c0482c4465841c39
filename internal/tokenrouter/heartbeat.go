package tokenrouter

import (
	"net/netip"
	"time"
)

const (
	// heartbeatInterval is the time between two rounds of heartbeats. A reader of
	// the store has to be replaced within four of them.
	heartbeatInterval = 250 * time.Millisecond
	// roundParts is the number of parts of a round in a large fleet, partFanout the
	// number of peers that get a heartbeat in each. Their product times 4 is the
	// rate of heartbeats a second, whatever the size of the fleet.
	roundParts = 2
	partFanout = 3
	// helloInterval is the time between hello messages to the seeds until one
	// answers. All instances may start at once, and the seeds last.
	helloInterval = 25 * time.Millisecond
	// joinInterval is the time between the heartbeats of an instance that has just
	// started in a large fleet, until it has heard of no new peer for joinQuietTime.
	// They ask for peers.
	joinInterval  = 50 * time.Millisecond
	joinQuietTime = 300 * time.Millisecond
	// maxGreeted is the number of peers that a starting instance sends a hello to
	// because others named them. Each answer names up to peersPerAnswer more.
	maxGreeted = 32
	// peersPerHeartbeat is the number of peers that a heartbeat names without news
	// of them: in a large fleet, only the first of each part does. peersPerAnswer is
	// that of an answer with peers: a datagram of about 1,200 bytes.
	peersPerHeartbeat = 4
	peersPerAnswer    = 100
	// readersPerHeartbeat is the number of readers that a heartbeat names.
	readersPerHeartbeat = 3
	// maxTickInterval is the longest time between two Ticks.
	maxTickInterval = 250 * time.Millisecond
)

type outgoing struct {
	peer    *peer
	message *Message
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

// heartbeat sends the heartbeats that are due: to all peers in a small fleet or if
// urgent, otherwise to the next ones of the rotation.
func (rt *Router) heartbeat(now time.Time, urgent bool) {
	r := &rt.roster
	r.next = now.Add(heartbeatInterval)
	switch {
	case r.lastHeard.IsZero():
		r.next = now.Add(helloInterval)
		rt.sendHelloToSeeds()
		rt.heartbeatToAll(now)
	case urgent || r.mesh():
		rt.heartbeatToAll(now)
	default:
		r.next = now.Add(rt.gossip(now))
	}
	if !now.Before(r.nextSweep) {
		rt.sweep(now)
	}
}

func (rt *Router) heartbeatToAll(now time.Time) {
	for _, p := range rt.roster.peers {
		rt.heartbeatTo(now, p, peersPerHeartbeat)
	}
}

// gossip sends one part of a round of heartbeats and returns the time until the
// next.
func (rt *Router) gossip(now time.Time) time.Duration {
	interval, answer := heartbeatInterval/roundParts, NoAnswer
	if now.Sub(rt.started) < rosterSettleTime && now.Sub(rt.roster.lastNewPeer) < joinQuietTime {
		interval, answer = joinInterval, PeersMessage
	}
	for i := range partFanout {
		p := rt.nextInRotation()
		if p == nil {
			break
		}
		count := 0
		if i == 0 {
			count = peersPerHeartbeat
		}
		rt.heartbeatTo(now, p, count).Answer = answer
	}
	if !now.Before(rt.roster.nextProbe) {
		rt.roster.nextProbe = now.Add(heartbeatInterval)
		rt.probeNeighbour(now)
	}
	return interval
}

// nextInRotation returns the next peer to send a heartbeat to. Each cycle covers
// all peers once in random order.
func (rt *Router) nextInRotation() *peer {
	r := &rt.roster
	if len(r.rotation) == 0 {
		r.rotation = append(r.rotation[:0], rt.ordered()...)
		rt.random.Shuffle(len(r.rotation), func(i, j int) { r.rotation[i], r.rotation[j] = r.rotation[j], r.rotation[i] })
	}
	for len(r.rotation) > 0 {
		p := r.rotation[len(r.rotation)-1]
		r.rotation = r.rotation[:len(r.rotation)-1]
		if r.peers[p.address] == p {
			return p
		}
	}
	return nil
}

// heartbeatTo adds to the message for a peer what this instance knows of others:
// the news and, in all, at least count peers.
func (rt *Router) heartbeatTo(now time.Time, p *peer, count int) *Message {
	m := rt.messageTo(p)
	if m.Peers == nil {
		m.Peers = rt.namePeers(now, p, count)
	}
	if !rt.roster.mesh() {
		m.Readers = rt.nameReaders(now, p)
	}
	return m
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
		m.Version = rt.catalog.ConfigurationVersion()
		m.Through, m.Reads, m.CutOff = rt.catalog.Position(), rt.reader.readsStore, rt.silentDataCentres
		rt.attachReports(o.peer, m)
		rt.emit(Effect{Kind: SendMessage, Peer: o.peer.address, Message: m})
	}
	rt.roster.outbox = rt.roster.outbox[:0]
}

// handleMessage processes a message from another instance.
func (rt *Router) handleMessage(now time.Time, from netip.AddrPort, m *Message) {
	p := rt.addPeer(from)
	if p == nil {
		return
	}
	rt.noteHeard(now, p, m)
	rt.noteReportedCuts(now, m)
	if m.Asks == nil {
		p.missedAsks = 0
	}
	for i := range m.Peers {
		rt.handlePeers(now, &m.Peers[i])
	}
	rt.handleReaders(now, m.Readers)
	rt.answer(now, p, m)
	if m.News != nil {
		rt.handleChanges(now, p, m.News)
	}
	if len(m.Relay) > 0 {
		rt.relayChanges(now, m)
	}
	for i := range m.Reports {
		rt.handleReport(now, p, &m.Reports[i])
	}
	for _, s := range m.Seeks {
		rt.handleSeek(now, p, s)
	}
	for _, s := range m.Pins {
		rt.handlePin(now, s)
	}
	rt.handleDoubts(now, m.Doubts)
	rt.handleWork(now, p, m)
	for i := range m.Asks {
		rt.handleAsk(now, p, &m.Asks[i])
	}
	for i := range m.Grants {
		rt.handleGrant(now, p, &m.Grants[i])
	}
}

// noteHeard records what a message says of its sender.
func (rt *Router) noteHeard(now time.Time, p *peer, m *Message) {
	r := &rt.roster
	live := r.live(now, p)
	if m.Hello || !live {
		r.lastJoin = now
	}
	if p.alive.IsZero() {
		r.lastNewPeer = now
	}
	if p.dataCentre != m.DataCentre {
		p.dataCentre = m.DataCentre
		r.version++
	}
	r.lastHeard = now
	p.heard, p.alive, p.leaving, p.missedProbes = now, now, m.Leaving, 0
	if m.Reads {
		r.noteReader(p, now)
	} else {
		p.readAt, p.quitAt = time.Time{}, now
	}
	p.through, p.version = m.Through, m.Version
	rt.reader.newestVersion = max(rt.reader.newestVersion, m.Version)
	if rt.reader.newest.Before(m.Through) {
		rt.reader.newest = m.Through
	}
	r.noteHeard(now, m.DataCentre)
	if !live {
		rt.logHeard(p)
	}
	if m.Hello || !live {
		rt.spreadRumour(now, p)
	}
}

// answer sends what a message asks for.
func (rt *Router) answer(now time.Time, p *peer, m *Message) {
	if m.Hello {
		rt.tellDoubts(now, p, func(*upstream) bool { return true })
	}
	switch {
	case m.Hello || m.Answer == PeersMessage:
		rt.messageTo(p).Peers = rt.namePeers(now, p, peersPerAnswer)
	case m.Answer == AnyMessage:
		rt.messageTo(p)
	}
}
