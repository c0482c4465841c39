package member

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/view"
)

// Defaults of Settings.
const (
	defaultProbeInterval      = time.Second
	defaultProbeTimeout       = 500 * time.Millisecond
	defaultSuspicionTimeout   = 2 * time.Second
	defaultUnconfirmedTimeout = 10 * time.Second
	defaultUnlistedRetention  = time.Minute
	defaultHelpers            = 3
	defaultRepresentatives    = 3
)

// expireInterval is the time between checks for expired suspicions and for
// unlisted or unconfirmed peers.
const expireInterval = 250 * time.Millisecond

// Settings are the tuning parameters of a Membership. Zero values select the
// defaults.
type Settings struct {
	// ProbeInterval is the time between probes inside the data centre, and
	// between probes of a representative across data centres.
	ProbeInterval time.Duration
	ProbeTimeout  time.Duration
	// SuspicionTimeout is the time that a suspected member has to refute the
	// suspicion.
	SuspicionTimeout time.Duration
	// UnconfirmedTimeout is the time after which a listed instance counts as
	// live even if no instance has reached it.
	UnconfirmedTimeout time.Duration
	// UnlistedRetention is the time after which a member that is no longer on
	// the platform's list may be removed.
	UnlistedRetention time.Duration
	// Helpers is the number of peers asked to probe a member that does not
	// respond, and the number of extra probes sent after a change.
	Helpers int
	// Representatives is the number of representatives in each data centre.
	Representatives int
}

func (s Settings) withDefaults() Settings {
	s.ProbeInterval = cmp.Or(s.ProbeInterval, defaultProbeInterval)
	s.ProbeTimeout = cmp.Or(s.ProbeTimeout, defaultProbeTimeout)
	s.SuspicionTimeout = cmp.Or(s.SuspicionTimeout, defaultSuspicionTimeout)
	s.UnconfirmedTimeout = cmp.Or(s.UnconfirmedTimeout, defaultUnconfirmedTimeout)
	s.UnlistedRetention = cmp.Or(s.UnlistedRetention, defaultUnlistedRetention)
	s.Helpers = cmp.Or(s.Helpers, defaultHelpers)
	s.Representatives = cmp.Or(s.Representatives, defaultRepresentatives)
	return s
}

// Config describes this instance. Packets is its data-plane address and Peers
// its RPC address. Incarnation must be greater than in earlier runs of the instance,
// such as the start time. Seed initialises the random choice of peers.
type Config struct {
	Name        string
	DataCentre  string
	Packets     netip.AddrPort
	Peers       netip.AddrPort
	Incarnation uint64
	Seed        uint64
	Settings    Settings
}

// Membership decides which instances are live. It performs no I/O and reads no
// clock: events go in and effects come out of Apply. It is not safe for
// concurrent use.
type Membership struct {
	config      Config
	settings    Settings
	random      *rand.Rand
	self        State
	currentView *view.View
	peers       map[view.ID]*peer
	dataCentres map[string]*dataCentreState
	updates     []pendingUpdate
	// probes are the probes in flight by target.
	probes map[view.ID]*probe
	// localRotation holds the local peers, and remoteRotation the other data
	// centres, that are still to be probed in the current round.
	localRotation  []view.ID
	remoteRotation []string
	// nonAlive are the peers that are not alive, ordered by ID. Digests include
	// them in rotation, starting after nonAliveCursor.
	nonAlive       []view.ID
	nonAliveCursor int
	// unlisted are the peers that are not on the platform's list.
	unlisted []view.ID
	// nextLocalProbe and nextRemoteProbe are the times of the next probes inside
	// the data centre and across data centres.
	nextLocalProbe  time.Time
	nextRemoteProbe time.Time
	nextExpiry      time.Time
	nextExtraProbes time.Time
	// rounds counts the completed probe rounds of this data centre.
	rounds int
	// extraProbes is the size of the next burst of extra probes, zero for none.
	extraProbes int
	// dirty is true if the list of live members must be recomputed.
	dirty bool
	live  []balancer.Member
	// effects are the results of the current Apply. Their memory is reused.
	effects []Effect
}

// peer is this instance's record of another instance.
type peer struct {
	state      State
	name       string
	dataCentre string
	packets    netip.AddrPort
	// address is the RPC address.
	address     netip.AddrPort
	listed      bool
	listedSince time.Time
	// unlistedSince is zero while the member is on the platform's list.
	unlistedSince time.Time
	// listedLeaving is true if the platform lists the member as leaving.
	listedLeaving bool
	// confirmed is true once any instance has seen the member alive. Members of
	// the first view, and members listed for UnconfirmedTimeout, are presumed
	// alive and count as confirmed.
	confirmed bool
	// suspectedAt is the start of the current suspicion.
	suspectedAt time.Time
	// lastContact is the time of the last message from the peer.
	lastContact time.Time
	// unresponsive is true after a probe failed both directly and through
	// helpers.
	unresponsive bool
}

// New returns the membership of an instance that has no known peers yet.
func New(c Config) *Membership {
	id := view.IDFromName(c.Name)
	return &Membership{
		config:      c,
		settings:    c.Settings.withDefaults(),
		random:      rand.New(rand.NewPCG(c.Seed, uint64(id))),
		self:        State{ID: id, Incarnation: c.Incarnation, Status: Alive},
		peers:       make(map[view.ID]*peer),
		dataCentres: make(map[string]*dataCentreState),
		probes:      make(map[view.ID]*probe),
		dirty:       true,
	}
}

// Apply processes an event and returns the actions for the runtime to carry
// out. The result is valid until the next call.
func (m *Membership) Apply(now time.Time, event Event) []Effect {
	m.effects = m.effects[:0]
	switch e := event.(type) {
	case *ViewChanged:
		m.applyView(now, e.View)
	case *ProbeReceived:
		m.receiveDigest(now, e.From, e.Digest)
		m.emit(Effect{Kind: ProbeReply, Peer: e.From, Digest: m.digest(e.From)})
	case *ProbeAcknowledged:
		m.receiveDigest(now, e.From, e.Digest)
	case *ProbeFailed:
		m.requestIndirectProbes(now, e.Target, e.Refused)
	case *IndirectProbeResult:
		m.handleIndirectResult(now, e.Target, e.Reachable)
	case *GossipRequested:
		m.extraProbes = m.settings.Helpers
	case *Stopping:
		m.self.Status = Leaving
		m.queueUpdate(m.self)
		m.extraProbes = m.settings.Helpers
		m.dirty = true
	case *Resumed:
		m.handlePause(now, e.Pause)
	case *Tick:
		m.tick(now)
	}
	m.updateLive(now)
	return m.effects
}

// Self returns this instance's own state as it is gossiped.
func (m *Membership) Self() State { return m.self }

// Live returns the live members, including this instance, ordered by ID. The
// caller must not modify the result.
func (m *Membership) Live() []balancer.Member { return m.live }

// Addresses returns the data-plane and RPC addresses of a known peer.
func (m *Membership) Addresses(id view.ID) (packets, peers netip.AddrPort, ok bool) {
	p, ok := m.peers[id]
	if !ok {
		return netip.AddrPort{}, netip.AddrPort{}, false
	}
	return p.packets, p.address, true
}

// Name returns the name of this instance or of a known peer, or an empty string
// for an unknown ID.
func (m *Membership) Name(id view.ID) string {
	if p, ok := m.peers[id]; ok {
		return p.name
	}
	if id == m.self.ID {
		return m.config.Name
	}
	return ""
}

// InSameDataCentre reports whether id is a known peer in this instance's data centre.
func (m *Membership) InSameDataCentre(id view.ID) bool {
	p, ok := m.peers[id]
	return ok && m.sameDataCentre(p)
}

// RandomPeer returns a random live peer, preferring this instance's data centre.
func (m *Membership) RandomPeer() (view.ID, bool) {
	for _, id := range m.sample(m.dataCentreMembers(m.config.DataCentre), 1) {
		return id, true
	}
	if p := m.nextRemotePeer(); p != nil {
		return p.state.ID, true
	}
	return 0, false
}

func (m *Membership) emit(e Effect) { m.effects = append(m.effects, e) }

// applyView applies the platform's list of instances. Peers that are no longer on the
// list are kept for UnlistedRetention or longer.
func (m *Membership) applyView(now time.Time, v *view.View) {
	initial := m.currentView == nil
	m.currentView = v
	listed := make(map[view.ID]bool)
	for _, d := range v.DataCentres {
		for _, i := range d.Instances {
			listed[i.ID] = true
			if i.ID != m.self.ID {
				m.applyListing(now, i, initial)
			}
		}
	}
	m.unlisted = m.unlisted[:0]
	for _, id := range slices.Sorted(maps.Keys(m.peers)) {
		p := m.peers[id]
		if listed[id] {
			continue
		}
		if p.listed {
			p.listed, p.unlistedSince = false, now
		}
		m.unlisted = append(m.unlisted, id)
	}
	if initial {
		m.refillLocalRotation()
		m.nextLocalProbe = now.Add(time.Duration(m.random.Int64N(int64(m.settings.ProbeInterval))))
	}
	m.dirty = true
}

// applyListing applies the platform's entry for one instance. Instances of the
// first view count as live at once: a newly started instance cannot know how
// long they have been listed, and its peers' digests report the dead ones.
func (m *Membership) applyListing(now time.Time, i *view.Instance, initial bool) {
	p, ok := m.peers[i.ID]
	if !ok {
		p = &peer{state: State{ID: i.ID, Status: Alive}, confirmed: initial}
		m.peers[i.ID] = p
	}
	if !p.listed {
		p.listed, p.listedSince, p.unlistedSince = true, now, time.Time{}
	}
	p.name, p.dataCentre = i.Name, i.DataCentre.Name
	p.packets, p.address = i.Packets, i.Peers
	if !ok && m.sameDataCentre(p) {
		m.localRotation = slices.Insert(m.localRotation, 0, i.ID)
	}
	p.listedLeaving = i.Leaving
}

// handlePause cancels the probes in flight and extends all suspicions by the
// pause, so that a pause of this process is not mistaken for failures of others.
func (m *Membership) handlePause(now time.Time, pause time.Duration) {
	clear(m.probes)
	for _, p := range m.peers {
		if p.state.Status == Suspect {
			p.suspectedAt = p.suspectedAt.Add(pause)
		}
	}
	m.nextLocalProbe, m.nextRemoteProbe = now, now
}

func (m *Membership) tick(now time.Time) {
	m.expireProbes(now)
	if !now.Before(m.nextExpiry) {
		m.nextExpiry = now.Add(expireInterval)
		m.expirePeers(now)
	}
	m.startProbes(now)
}

// expirePeers checks the timeouts of every peer that is suspect, leaving, dead,
// unlisted or unconfirmed.
func (m *Membership) expirePeers(now time.Time) {
	var due []view.ID
	for id, p := range m.peers {
		if p.state.Status != Alive || !p.listed || !p.confirmed {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	for _, id := range due {
		m.expirePeer(now, m.peers[id])
	}
}

func (m *Membership) expirePeer(now time.Time, p *peer) {
	if p.state.Status == Suspect && m.sameDataCentre(p) {
		m.expireSuspect(now, p)
	}
	if !p.confirmed && p.listed && p.state.Status == Alive && now.Sub(p.listedSince) >= m.settings.UnconfirmedTimeout {
		p.confirmed, m.dirty = true, true
	}
	if !p.listed && now.Sub(p.unlistedSince) >= m.settings.UnlistedRetention && m.removable(p) {
		m.removePeer(p.state.ID)
	}
}

// expireSuspect resolves a suspicion that has timed out. Before that, it keeps
// probing a suspect that did not respond to this instance, because a reply would
// carry the refutation.
func (m *Membership) expireSuspect(now time.Time, p *peer) {
	if now.Sub(p.suspectedAt) >= m.settings.SuspicionTimeout {
		m.resolveSuspicion(now, p)
	} else if p.unresponsive {
		m.startProbe(now, p)
	}
}

// removable reports whether the peer may be removed once the platform no longer
// lists it: it is dead, unconfirmed or in another data centre.
func (m *Membership) removable(p *peer) bool {
	return p.state.Status == Dead || !m.sameDataCentre(p) || !p.confirmed
}

func (m *Membership) removePeer(id view.ID) {
	delete(m.peers, id)
	m.setNonAlive(id, false)
	m.unlisted = remove(m.unlisted, id)
	m.dirty = true
}

// resolveSuspicion handles a suspicion that has timed out. It declares the
// member dead if this instance has received a message from another peer since
// the suspicion began, or if all other peers are dead. Otherwise this instance
// is probably cut off itself, so it keeps the member and reports it as
// unreachable.
func (m *Membership) resolveSuspicion(now time.Time, p *peer) {
	others := 0
	for _, q := range m.peers {
		if q == p || q.state.Status == Dead {
			continue
		}
		if !q.lastContact.Before(p.suspectedAt) {
			m.applyState(now, p, State{ID: p.state.ID, Incarnation: p.state.Incarnation, Status: Dead})
			return
		}
		others++
	}
	if others == 0 {
		m.applyState(now, p, State{ID: p.state.ID, Incarnation: p.state.Incarnation, Status: Dead})
	}
	m.dirty = true
}

// sameDataCentre reports whether the peer is in this instance's data centre.
func (m *Membership) sameDataCentre(p *peer) bool { return p.dataCentre == m.config.DataCentre }

// isLive reports whether the peer belongs in the list of live members.
func (p *peer) isLive() bool { return p.state.Status != Dead && p.confirmed }

// isLeaving reports whether the peer is shutting down, according to its own
// state or the platform.
func (p *peer) isLeaving() bool { return p.state.Status == Leaving || p.listedLeaving }

// updateLive recomputes the list of live members after a change and emits
// MembersChanged if the list differs.
func (m *Membership) updateLive(now time.Time) {
	if !m.dirty {
		return
	}
	m.dirty = false
	m.selectRepresentatives()
	live := []balancer.Member{{
		ID: m.self.ID, DataCentre: m.config.DataCentre, Packets: m.config.Packets,
		Leaving: m.self.Status == Leaving,
	}}
	for _, p := range m.peers {
		if p.isLive() {
			live = append(live, balancer.Member{
				ID: p.state.ID, DataCentre: p.dataCentre, Packets: p.packets,
				Leaving: p.isLeaving(), Unreachable: m.unreachable(now, p),
			})
		}
	}
	slices.SortFunc(live, func(a, b balancer.Member) int { return cmp.Compare(a.ID, b.ID) })
	if slices.Equal(live, m.live) {
		return
	}
	m.live = live
	m.emit(Effect{Kind: MembersChanged, Live: live})
}

// unreachable reports whether the peer is not known to be dead but cannot be
// reached from this instance's data centre.
func (m *Membership) unreachable(now time.Time, p *peer) bool {
	if m.sameDataCentre(p) {
		return p.state.Status == Suspect && now.Sub(p.suspectedAt) >= m.settings.SuspicionTimeout
	}
	dc := m.dataCentres[p.dataCentre]
	return dc != nil && dc.state.Status == Dead
}
