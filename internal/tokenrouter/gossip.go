package tokenrouter

import (
	"math/bits"
	"net/netip"
	"slices"
	"time"
)

const (
	// maxMissedProbes is the number of consecutive unanswered probes after which a
	// neighbour counts as dead. Probes are heartbeatInterval apart.
	maxMissedProbes = 2
	// rumourFactor times the binary logarithm of the number of peers is the number
	// of messages in which an instance repeats a rumour (Das et al., SWIM, 2002).
	rumourFactor = 3
	// rumoursPerMessage is the number of rumours that a message repeats.
	rumoursPerMessage = 8
	// rumourLifetime is how long a rumour is spread at most: the time in which
	// gossip reaches all instances, twice.
	rumourLifetime = 3 * time.Second
	// maxRumours limits the rumours that are spread at once.
	maxRumours = 512
)

// rumour is a peer whose state has changed and the number of messages that still
// say so, until a time. The peer is nil for this instance.
type rumour struct {
	peer      *peer
	remaining int
	until     time.Time
}

// spreadRumour makes the next messages tell the state of a peer, nil for this
// instance. Small fleets need no rumours: all instances hear each other.
func (rt *Router) spreadRumour(now time.Time, p *peer) {
	r := &rt.roster
	if r.mesh() {
		return
	}
	r.rumours = slices.DeleteFunc(r.rumours, func(u rumour) bool { return u.peer == p })
	if len(r.rumours) < maxRumours {
		r.rumours = append(r.rumours, rumour{p, rumourFactor * bits.Len(uint(len(r.peers))), now.Add(rumourLifetime)})
	}
}

// namePeers returns what this instance knows of peers other than the receiver:
// those with news, and live ones that follow each other in random order, up to
// count in all.
func (rt *Router) namePeers(now time.Time, to *peer, count int) []PeerGroup {
	list := peerLister{self: rt.config.Self, selfDataCentre: rt.config.DataCentre}
	rt.nameRumours(now, &list, to)
	order := rt.ordered()
	if len(order) == 0 {
		return list.groups
	}
	start := rt.random.IntN(len(order))
	for i := 0; i < len(order) && list.count < count; i++ {
		p := order[(start+i)%len(order)]
		if p != to && rt.roster.live(now, p) {
			list.add(now, p)
		}
	}
	return list.groups
}

// nameRumours adds the peers with news to a list, those first that were told least
// often.
func (rt *Router) nameRumours(now time.Time, list *peerLister, to *peer) {
	r := &rt.roster
	for range min(len(r.rumours), rumoursPerMessage) {
		u := r.rumours[0]
		r.rumours = r.rumours[1:]
		if u.peer != to {
			list.add(now, u.peer)
			u.remaining--
		}
		if u.remaining > 0 && now.Before(u.until) {
			r.rumours = append(r.rumours, u)
		}
	}
}

// peerLister collects states of peers by data centre.
type peerLister struct {
	self           netip.AddrPort
	selfDataCentre string
	groups         []PeerGroup
	count          int
}

// add appends the state of a peer, nil for this instance, unless it is listed.
func (l *peerLister) add(now time.Time, p *peer) {
	dataCentre, state := l.selfDataCentre, PeerState{Address: l.self}
	if p != nil {
		dataCentre, state = p.dataCentre, PeerState{Address: p.address, Age: now.Sub(p.alive)}
		if !p.alive.After(p.dead) {
			state.Age, state.Dead = now.Sub(p.dead), true
		}
	}
	i := slices.IndexFunc(l.groups, func(g PeerGroup) bool { return g.DataCentre == dataCentre })
	if i < 0 {
		l.groups = append(l.groups, PeerGroup{DataCentre: dataCentre})
		i = len(l.groups) - 1
	}
	if !slices.ContainsFunc(l.groups[i].Peers, func(s PeerState) bool { return s.Address == state.Address }) {
		l.groups[i].Peers = append(l.groups[i].Peers, state)
		l.count++
	}
}

// nameReaders returns the instances other than the receiver that were last known
// to read the store.
func (rt *Router) nameReaders(now time.Time, to *peer) []Reader {
	var readers []Reader
	for _, p := range rt.roster.readers {
		if p != to && rt.roster.reads(now, p) && len(readers) < readersPerHeartbeat {
			readers = append(readers, Reader{p.address, now.Sub(p.readAt)})
		}
	}
	return readers
}

// handlePeers learns the states of instances of one data centre that another
// instance named.
func (rt *Router) handlePeers(now time.Time, g *PeerGroup) {
	for _, s := range g.Peers {
		switch {
		case s.Address == rt.config.Self && s.Dead:
			rt.log("taken-for-dead", "found-ago", s.Age.String())
			rt.spreadRumour(now, nil)
		case s.Dead:
			rt.handleDeath(now, s)
		default:
			rt.handleAlive(now, g.DataCentre, s)
		}
	}
}

// handleDeath learns that an instance was found dead, unless it is known to have
// been alive since.
func (rt *Router) handleDeath(now time.Time, s PeerState) {
	p, ok := rt.roster.peers[s.Address]
	at := now.Add(-s.Age)
	if !ok || p.alive.After(at) || !p.alive.After(p.dead) {
		return
	}
	p.dead = at
	rt.log("peer-dead", "peer", p.address.String(), "data-centre", p.dataCentre, "found-ago", s.Age.String())
	rt.spreadRumour(now, p)
}

// handleAlive learns that an instance was alive some time ago. Of the instances
// that were unknown so far, a few get a hello.
func (rt *Router) handleAlive(now time.Time, dataCentre string, s PeerState) {
	r := &rt.roster
	p, known := r.peers[s.Address]
	if !known {
		if p = rt.addPeer(s.Address); p == nil {
			return
		}
		p.dataCentre = dataCentre
		r.lastNewPeer = now
		if r.greeted < maxGreeted || r.mesh() {
			r.greeted++
			rt.messageTo(p).Hello = true
		}
	}
	if at := now.Add(-s.Age); at.After(p.alive) && (p.dead.IsZero() || at.After(p.dead.Add(reviveMargin))) {
		live := r.live(now, p)
		p.alive = at
		if !live && r.live(now, p) {
			r.lastJoin = now
			rt.logHeard(p)
			rt.spreadRumour(now, p)
		}
	}
}

// handleReaders learns which instances read the store.
func (rt *Router) handleReaders(now time.Time, readers []Reader) {
	for _, x := range readers {
		if p, ok := rt.roster.peers[x.Address]; ok {
			if at := now.Add(-x.Age); at.After(p.readAt) && at.After(p.quitAt) {
				rt.roster.noteReader(p, at)
			}
		}
	}
}

// probeNeighbour probes one instance of this data centre. Neighbours find each
// other dead because no partition is expected between them; whole data centres
// are judged by checkDataCentres.
func (rt *Router) probeNeighbour(now time.Time) {
	r := &rt.roster
	if p := r.probed; p != nil && p.heard.Before(r.probedAt) && r.live(now, p) && r.lastHeard.After(r.probedAt) {
		if p.missedProbes++; p.missedProbes >= maxMissedProbes {
			r.probed, p.missedProbes, p.dead = nil, 0, now
			rt.log("peer-dead", "peer", p.address.String(), "data-centre", p.dataCentre, "silent", now.Sub(p.heard).String())
			rt.spreadRumour(now, p)
		}
	} else {
		r.probed = nil
	}
	if r.probed == nil {
		r.probed = rt.nextProbeTarget(now)
	}
	if r.probed != nil {
		r.probedAt = now
		rt.heartbeatTo(now, r.probed, 0).Answer = AnyMessage
	}
}

// nextProbeTarget returns the next live peer of this data centre. Each cycle
// covers all of them once in random order.
func (rt *Router) nextProbeTarget(now time.Time) *peer {
	r := &rt.roster
	for range 2 {
		for len(r.probes) > 0 {
			p := r.probes[len(r.probes)-1]
			r.probes = r.probes[:len(r.probes)-1]
			if r.peers[p.address] == p && !p.leaving && r.live(now, p) {
				return p
			}
		}
		for _, p := range rt.ordered() {
			if p.dataCentre == rt.config.DataCentre {
				r.probes = append(r.probes, p)
			}
		}
		rt.random.Shuffle(len(r.probes), func(i, j int) { r.probes[i], r.probes[j] = r.probes[j], r.probes[i] })
	}
	return nil
}
