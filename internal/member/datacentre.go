package member

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/chervilhaven/chervilhaven/internal/view"
)

// dataCentreState holds the members, representatives and reachability of one
// data centre, which may be this instance's own.
type dataCentreState struct {
	// state is Dead while the data centre cannot be reached from this
	// instance's data centre. Its ID identifies the path between the two data
	// centres and is gossiped only inside this instance's data centre.
	state State
	// members are the live instances that are not leaving, ordered by ID. They
	// include this instance in its own data centre.
	members []view.ID
	// representatives are the members that probe other data centres.
	representatives []view.ID
}

// Representative reports whether this instance probes other data centres and
// watches the platform on behalf of its data centre.
func (m *Membership) Representative() bool {
	return slices.Contains(m.Representatives(), m.self.ID)
}

// Representatives returns the representatives of this instance's data centre.
// The caller must not modify the result.
func (m *Membership) Representatives() []view.ID {
	if dc := m.dataCentres[m.config.DataCentre]; dc != nil {
		return dc.representatives
	}
	return []view.ID{m.self.ID}
}

// UnreachableDataCentres returns the names of the data centres that cannot be
// reached, in alphabetical order.
func (m *Membership) UnreachableDataCentres() []string {
	var names []string
	for name, dc := range m.dataCentres {
		if dc.state.Status == Dead {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// selectRepresentatives selects the representatives of each data centre from its
// live members by rendezvous hashing. All instances with the same members agree
// on the result, and a representative that dies is replaced at once.
func (m *Membership) selectRepresentatives() {
	for _, dc := range m.dataCentres {
		dc.members = dc.members[:0]
	}
	if m.self.Status != Leaving {
		dc := m.dataCentreState(m.config.DataCentre)
		dc.members = append(dc.members, m.self.ID)
	}
	for id, p := range m.peers {
		if p.isLive() && !p.isLeaving() {
			dc := m.dataCentreState(p.dataCentre)
			dc.members = append(dc.members, id)
		}
	}
	for _, dc := range m.dataCentres {
		slices.Sort(dc.members)
		dc.representatives = topScored(dc.members, m.settings.Representatives)
	}
}

// topScored returns the count IDs with the highest scores, highest first.
func topScored(list []view.ID, count int) []view.ID {
	best := make([]view.ID, 0, count+1)
	scores := make([]uint64, 0, count+1)
	for _, id := range list {
		score := representativeScore(id)
		i, _ := slices.BinarySearchFunc(scores, score, func(a, b uint64) int { return cmp.Compare(b, a) })
		if i == count {
			continue
		}
		best, scores = slices.Insert(best, i, id), slices.Insert(scores, i, score)
		if len(best) > count {
			best, scores = best[:count], scores[:count]
		}
	}
	return best
}

func representativeScore(id view.ID) uint64 {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(id))
	return xxh3.Hash(b[:])
}

// dataCentreState returns the state of the named data centre, creating it if
// needed.
func (m *Membership) dataCentreState(name string) *dataCentreState {
	dc, ok := m.dataCentres[name]
	if !ok {
		path := m.config.DataCentre + " to " + name
		dc = &dataCentreState{state: State{ID: view.IDFromName(path), Status: Alive}}
		m.dataCentres[name] = dc
	}
	return dc
}

func (m *Membership) dataCentreMembers(name string) []view.ID {
	if dc := m.dataCentres[name]; dc != nil {
		return dc.members
	}
	return nil
}

// dataCentreByPathID returns the data centre whose state has the given ID, or nil.
func (m *Membership) dataCentreByPathID(id view.ID) *dataCentreState {
	for _, dc := range m.dataCentres {
		if dc.state.ID == id {
			return dc
		}
	}
	return nil
}

// mergeReachability applies a gossiped state of the path to a data centre.
func (m *Membership) mergeReachability(state State) {
	dc := m.dataCentreByPathID(state.ID)
	if dc == nil || !state.supersedes(dc.state) {
		return
	}
	dc.state = state
	m.queueUpdate(state)
	m.dirty = true
	if state.Status == Alive {
		m.clearUnresponsive(dc)
	}
}

func (m *Membership) clearUnresponsive(dc *dataCentreState) {
	for _, id := range dc.members {
		if p := m.peers[id]; p != nil {
			p.unresponsive = false
		}
	}
}

// markReachable marks a data centre as reachable again after direct contact.
func (m *Membership) markReachable(name string) {
	dc := m.dataCentreState(name)
	if dc.state.Status == Dead {
		m.setReachability(dc, Alive)
	}
}

// checkReachability marks a data centre as unreachable once all its
// representatives are unresponsive, and probes those that are not.
func (m *Membership) checkReachability(now time.Time, name string) {
	dc := m.dataCentreState(name)
	if dc.state.Status == Dead || len(dc.representatives) == 0 {
		return
	}
	failed := 0
	for _, id := range dc.representatives {
		if p := m.peers[id]; p == nil || p.unresponsive {
			failed++
		} else {
			m.startProbe(now, p)
		}
	}
	if failed == len(dc.representatives) {
		m.setReachability(dc, Dead)
	}
}

func (m *Membership) setReachability(dc *dataCentreState, status Status) {
	dc.state.Incarnation++
	dc.state.Status = status
	m.queueUpdate(dc.state)
	m.extraProbes = m.settings.Helpers
	m.dirty = true
}

// nextRemotePeer returns a random representative of the next data centre to
// probe; each round covers all other data centres once. In a data centre that is
// unreachable any member is eligible.
func (m *Membership) nextRemotePeer() *peer {
	if len(m.remoteRotation) == 0 {
		for name, dc := range m.dataCentres {
			if name != m.config.DataCentre && len(dc.members) > 0 {
				m.remoteRotation = append(m.remoteRotation, name)
			}
		}
		slices.Sort(m.remoteRotation)
		m.random.Shuffle(len(m.remoteRotation), func(i, j int) {
			m.remoteRotation[i], m.remoteRotation[j] = m.remoteRotation[j], m.remoteRotation[i]
		})
	}
	if len(m.remoteRotation) == 0 {
		return nil
	}
	dc := m.dataCentreState(m.remoteRotation[0])
	m.remoteRotation = m.remoteRotation[1:]
	candidates := dc.representatives
	if dc.state.Status == Dead {
		candidates = dc.members
	}
	for _, id := range m.sample(candidates, 1) {
		return m.peers[id]
	}
	return nil
}
