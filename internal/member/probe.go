package member

import (
	"maps"
	"slices"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/view"
)

// Limits on probing.
const (
	// deadProbeRounds is the number of rounds between probes of dead members.
	deadProbeRounds = 8
	// extraProbeInterval is the minimum time between two bursts of extra probes.
	extraProbeInterval = 500 * time.Millisecond
	// probeGrace is added to probe timeouts, which the runtime enforces, before
	// a probe without a result counts as failed here.
	probeGrace = 500 * time.Millisecond
	// maxUnlisted bounds the number of members not on the platform's list.
	maxUnlisted = 256
)

// probe is a probe in flight.
type probe struct {
	deadline time.Time
	// helpers is the number of helpers that have not replied yet.
	helpers int
	// indirect is true once helpers have been asked to probe the target.
	indirect bool
	// refused is true if the target's host refused the connection, so the
	// target's process has exited.
	refused bool
}

// startProbes sends the probes that are due.
func (m *Membership) startProbes(now time.Time) {
	if !now.Before(m.nextLocalProbe) {
		m.nextLocalProbe = now.Add(m.settings.ProbeInterval)
		if p := m.nextLocalPeer(); p != nil {
			m.startProbe(now, p)
		}
	}
	if !now.Before(m.nextRemoteProbe) && m.Representative() {
		m.nextRemoteProbe = now.Add(m.settings.ProbeInterval)
		if p := m.nextRemotePeer(); p != nil {
			m.startProbe(now, p)
		}
	}
	if m.extraProbes > 0 && !now.Before(m.nextExtraProbes) {
		m.nextExtraProbes = now.Add(extraProbeInterval)
		m.sendExtraProbes(now)
	}
}

// sendExtraProbes probes several live members at once, so that updates propagate
// faster than by regular probes.
func (m *Membership) sendExtraProbes(now time.Time) {
	local := m.sample(m.dataCentreMembers(m.config.DataCentre), m.extraProbes)
	for _, id := range local {
		m.startProbe(now, m.peers[id])
	}
	if m.Representative() {
		for range m.extraProbes {
			if p := m.nextRemotePeer(); p != nil {
				m.startProbe(now, p)
			}
		}
	}
	m.extraProbes = 0
}

// startProbe probes the peer unless a probe to it is already in flight.
func (m *Membership) startProbe(now time.Time, p *peer) {
	if m.probes[p.state.ID] != nil {
		return
	}
	m.probes[p.state.ID] = &probe{deadline: now.Add(m.settings.ProbeTimeout + probeGrace)}
	m.emit(Effect{
		Kind: Probe, Peer: p.state.ID, Address: p.address,
		Digest: m.digest(p.state.ID), Timeout: m.settings.ProbeTimeout,
	})
}

// nextLocalPeer returns the next member of this data centre to probe. Each round
// covers all members once in random order; dead members are included only in
// every deadProbeRounds-th round.
func (m *Membership) nextLocalPeer() *peer {
	for range 2 {
		for len(m.localRotation) > 0 {
			p := m.peers[m.localRotation[0]]
			m.localRotation = m.localRotation[1:]
			if p != nil && (p.state.Status != Dead || m.rounds%deadProbeRounds == 0) {
				return p
			}
		}
		m.rounds++
		m.refillLocalRotation()
	}
	return nil
}

func (m *Membership) refillLocalRotation() {
	m.localRotation = nil
	for id, p := range m.peers {
		if m.sameDataCentre(p) {
			m.localRotation = append(m.localRotation, id)
		}
	}
	slices.Sort(m.localRotation)
	m.random.Shuffle(len(m.localRotation), func(i, j int) {
		m.localRotation[i], m.localRotation[j] = m.localRotation[j], m.localRotation[i]
	})
}

func (m *Membership) expireProbes(now time.Time) {
	if len(m.probes) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(m.probes)) {
		p := m.probes[id]
		if now.Before(p.deadline) {
			continue
		}
		if p.indirect {
			m.handleUnreachable(now, id)
		} else {
			m.requestIndirectProbes(now, id, false)
		}
	}
}

// requestIndirectProbes asks helpers to probe a peer that did not reply to a
// direct probe.
func (m *Membership) requestIndirectProbes(now time.Time, target view.ID, refused bool) {
	pr := m.probes[target]
	if pr == nil || pr.indirect {
		return
	}
	pr.refused = refused
	helpers := m.helpers(target)
	if len(helpers) == 0 {
		m.handleUnreachable(now, target)
		return
	}
	pr.indirect, pr.helpers = true, len(helpers)
	// Allow one timeout for the helper's probe of the target and one for the
	// helper itself, which may not reply either.
	pr.deadline = now.Add(2*m.settings.ProbeTimeout + probeGrace)
	for _, id := range helpers {
		m.emit(Effect{
			Kind: IndirectProbe, Peer: id, Address: m.peers[id].address, Target: target,
			Timeout: 2 * m.settings.ProbeTimeout,
		})
	}
}

// helpers returns random members of this data centre to probe the target,
// supplemented by representatives of other data centres if there are too few.
func (m *Membership) helpers(target view.ID) []view.ID {
	eligible := func(id view.ID) bool {
		p := m.peers[id]
		return p != nil && id != target && !p.unresponsive && p.state.Status != Suspect
	}
	list := m.sample(filter(m.dataCentreMembers(m.config.DataCentre), eligible), m.settings.Helpers)
	if len(list) == m.settings.Helpers {
		return list
	}
	var remote []view.ID
	for _, name := range slices.Sorted(maps.Keys(m.dataCentres)) {
		if dc := m.dataCentres[name]; name != m.config.DataCentre && dc.state.Status != Dead {
			remote = append(remote, filter(dc.representatives, eligible)...)
		}
	}
	return append(list, m.sample(remote, m.settings.Helpers-len(list))...)
}

// handleIndirectResult processes a helper's result. The target counts as
// unresponsive once all helpers have reported failure.
func (m *Membership) handleIndirectResult(now time.Time, target view.ID, reachable bool) {
	pr := m.probes[target]
	if pr == nil || !pr.indirect {
		return
	}
	if reachable {
		delete(m.probes, target)
		if p := m.peers[target]; p != nil {
			p.unresponsive = false
		}
		return
	}
	if pr.helpers--; pr.helpers == 0 {
		m.handleUnreachable(now, target)
	}
}

// handleUnreachable handles a peer that neither this instance nor any helper
// could reach. A peer of this data centre becomes suspect, or dead if it was
// leaving or its process has exited.
func (m *Membership) handleUnreachable(now time.Time, target view.ID) {
	pr, p := m.probes[target], m.peers[target]
	delete(m.probes, target)
	if p == nil {
		return
	}
	p.unresponsive = true
	if !m.sameDataCentre(p) {
		m.checkReachability(now, p.dataCentre)
		return
	}
	next := State{ID: target, Incarnation: p.state.Incarnation, Status: Suspect}
	// A peer without a known incarnation may still be starting, so a refused
	// connection does not prove that it has exited.
	exited := pr != nil && pr.refused && p.state.Incarnation > 0
	if p.isLeaving() || exited {
		next.Status = Dead
	}
	if next.supersedes(p.state) {
		m.applyState(now, p, next)
	}
}

// sample returns up to n random known peers of the list.
func (m *Membership) sample(list []view.ID, n int) []view.ID {
	list = filter(list, func(id view.ID) bool { return m.peers[id] != nil })
	m.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

func filter(list []view.ID, keep func(view.ID) bool) []view.ID {
	out := make([]view.ID, 0, len(list))
	for _, id := range list {
		if keep(id) {
			out = append(out, id)
		}
	}
	return out
}
