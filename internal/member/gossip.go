package member

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/view"
)

// retransmitFactor times the binary logarithm of the number of members is the
// number of digests that carry a change.
const retransmitFactor = 3

// reservedNonAlive is the number of digest entries reserved for members that
// are not alive, so that updates cannot crowd them out.
const reservedNonAlive = 2

// pendingUpdate is a state change to include in the next remaining digests.
type pendingUpdate struct {
	state     State
	remaining int
}

// receiveDigest merges a digest that was received directly from a peer.
func (m *Membership) receiveDigest(now time.Time, from view.ID, d Digest) {
	for _, i := range d.Introductions {
		m.addUnlisted(now, i)
	}
	// A message from a peer proves that it is alive, so a probe in flight to it
	// is no longer needed.
	delete(m.probes, from)
	if p, ok := m.peers[from]; ok {
		p.lastContact, p.unresponsive = now, false
		if !p.confirmed {
			p.confirmed, m.dirty = true, true
		}
		if !m.sameDataCentre(p) {
			m.markReachable(p.dataCentre)
		}
	}
	for _, s := range d.Members {
		m.merge(now, s)
	}
}

// addUnlisted adds an instance that is not yet on the platform's list.
func (m *Membership) addUnlisted(now time.Time, i Introduction) {
	id := view.IDFromName(i.Name)
	if _, ok := m.peers[id]; ok || id == m.self.ID || i.Name == "" {
		return
	}
	if !i.Packets.IsValid() || !i.Peers.IsValid() || len(m.unlisted) >= maxUnlisted {
		return
	}
	p := &peer{
		state: State{ID: id, Status: Alive}, name: i.Name, dataCentre: i.DataCentre,
		packets: i.Packets, address: i.Peers, unlistedSince: now,
		// Only live members are introduced.
		confirmed: true,
	}
	m.peers[id], m.dirty = p, true
	m.unlisted = append(m.unlisted, id)
	if m.sameDataCentre(p) {
		m.localRotation = slices.Insert(m.localRotation, 0, id)
	}
}

// merge applies one state from a digest if it supersedes the known one.
func (m *Membership) merge(now time.Time, s State) {
	if s.ID == m.self.ID {
		m.refute(s)
		return
	}
	p, ok := m.peers[s.ID]
	if !ok {
		m.mergeReachability(s)
		return
	}
	switch {
	case s.supersedes(p.state):
		m.applyState(now, p, s)
	case p.state.Status == Alive && m.sameDataCentre(p) && (s.Status == Suspect || s.Status == Dead):
		// Another instance that does not know the current incarnation could not
		// reach the member, so probe it to check that it is still alive.
		m.startProbe(now, p)
	}
}

// refute raises this instance's own incarnation to override a report that it is
// suspect, leaving or dead.
func (m *Membership) refute(s State) {
	if s.Status == Alive || s.Status == m.self.Status || s.Incarnation < m.self.Incarnation {
		return
	}
	m.self.Incarnation = s.Incarnation + 1
	m.queueUpdate(m.self)
}

// applyState stores a newer state of a peer and queues it for gossip.
func (m *Membership) applyState(now time.Time, p *peer, s State) {
	// The first incarnation learned for a member that is already live changes
	// nothing, so it is not gossiped.
	firstIncarnation := p.state.Status == Alive && p.state.Incarnation == 0 && p.confirmed && s.Status == Alive
	if p.state.Status != s.Status || s.Status == Alive && !p.confirmed {
		m.dirty = true
	}
	p.state = s
	switch s.Status {
	case Alive:
		p.confirmed, p.unresponsive = true, false
	case Suspect:
		p.suspectedAt = now
	case Leaving, Dead:
		// Flows are routed to the instance that owns them, so the loss of an
		// owner is spread quickly by extra probes.
		if m.sameDataCentre(p) {
			m.extraProbes = m.settings.Helpers
		}
	}
	m.setNonAlive(s.ID, s.Status != Alive)
	if !firstIncarnation {
		m.queueUpdate(s)
	}
}

// queueUpdate queues a state for the next digests, replacing any queued state
// of the same member.
func (m *Membership) queueUpdate(s State) {
	m.updates = slices.DeleteFunc(m.updates, func(i pendingUpdate) bool { return i.state.ID == s.ID })
	remaining := retransmitFactor * bits.Len(uint(len(m.peers)+1))
	m.updates = slices.Insert(m.updates, 0, pendingUpdate{state: s, remaining: remaining})
}

// setNonAlive adds the peer to the list of peers that are not alive, or removes
// it.
func (m *Membership) setNonAlive(id view.ID, nonAlive bool) {
	i, found := slices.BinarySearch(m.nonAlive, id)
	switch {
	case nonAlive && !found:
		m.nonAlive = slices.Insert(m.nonAlive, i, id)
	case !nonAlive && found:
		m.nonAlive = slices.Delete(m.nonAlive, i, i+1)
	}
}

// digest returns the digest to send to the given peer in a probe or a reply.
// Zero stands for any peer.
func (m *Membership) digest(to view.ID) Digest {
	p := m.peers[to]
	remote := p != nil && !m.sameDataCentre(p)
	states := make([]State, 1, MaxDigestMembers)
	states[0] = m.self
	if p != nil && p.state.Status != Alive {
		states = append(states, p.state)
	}
	states = m.appendNonAlive(states, len(states)+reservedNonAlive)
	states = m.appendUpdates(states, remote)
	states = m.appendNonAlive(states, MaxDigestMembers)
	return Digest{Members: states, Introductions: m.introductions(to)}
}

// appendUpdates adds pending updates up to MaxDigestMembers, starting with those
// that have been sent least often. Digests to other data centres omit the
// reachability of data centres, which is local to this one.
func (m *Membership) appendUpdates(states []State, remote bool) []State {
	slices.SortStableFunc(m.updates, func(a, b pendingUpdate) int { return cmp.Compare(b.remaining, a.remaining) })
	for i := range m.updates {
		if len(states) == MaxDigestMembers {
			break
		}
		u := &m.updates[i]
		if contains(states, u.state.ID) || remote && m.dataCentreByPathID(u.state.ID) != nil {
			continue
		}
		states = append(states, u.state)
		u.remaining--
	}
	m.updates = slices.DeleteFunc(m.updates, func(i pendingUpdate) bool { return i.remaining <= 0 })
	return states
}

// appendNonAlive adds members that are not alive, in rotation, until states has
// limit entries.
func (m *Membership) appendNonAlive(states []State, limit int) []State {
	for range min(len(m.nonAlive), MaxDigestMembers) {
		if len(states) == limit {
			break
		}
		m.nonAliveCursor = (m.nonAliveCursor + 1) % len(m.nonAlive)
		id := m.nonAlive[m.nonAliveCursor]
		if p := m.peers[id]; p != nil && !contains(states, id) {
			states = append(states, p.state)
		}
	}
	return states
}

// introductions returns this instance while it is not on the platform's list,
// and a random selection of other unlisted live members.
func (m *Membership) introductions(to view.ID) []Introduction {
	var list []Introduction
	if m.currentView != nil {
		if _, ok := m.currentView.Instance(m.self.ID); !ok {
			list = append(list, Introduction{
				Name: m.config.Name, DataCentre: m.config.DataCentre,
				Packets: m.config.Packets, Peers: m.config.Peers,
			})
		}
	}
	for range min(len(m.unlisted), MaxDigestIntroductions) {
		if len(list) == MaxDigestIntroductions {
			break
		}
		p := m.peers[m.unlisted[m.random.IntN(len(m.unlisted))]]
		if p != nil && p.isLive() && p.state.ID != to {
			list = append(list, Introduction{
				Name: p.name, DataCentre: p.dataCentre, Packets: p.packets, Peers: p.address,
			})
		}
	}
	return list
}

func contains(states []State, id view.ID) bool {
	return slices.ContainsFunc(states, func(s State) bool { return s.ID == id })
}

func remove(list []view.ID, id view.ID) []view.ID {
	return slices.DeleteFunc(list, func(other view.ID) bool { return other == id })
}
