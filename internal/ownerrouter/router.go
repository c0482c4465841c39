// Package ownerrouter implements steering by owner: each upstream is owned by
// one instance, which admits flows to it. The package contains the control and
// data plane logic of one instance without I/O. It is a state machine:
// Router.Apply takes one event, passes it to cluster membership, the
// configuration view and the balancer, and returns the resulting actions as
// effects. Package ownerserver executes them. Steering by token, the
// alternative design, is implemented by packages tokenrouter and tokenserver.
package ownerrouter

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/member"
	"github.com/chervilhaven/chervilhaven/internal/view"
)

// Config holds the identity, addresses and settings of one instance.
type Config struct {
	Name       string
	DataCentre string
	// Packets and Peers are the UDP and RPC addresses at which other instances
	// reach this one. Gossip announces them until the platform (the
	// configuration service) lists the instance.
	Packets netip.AddrPort
	Peers   netip.AddrPort
	// Incarnation must increase with each start of the instance.
	Incarnation uint64
	Seed        uint64
	// Bootstrap holds RPC addresses of peers to query at startup, in addition
	// to the peers listed by the platform.
	Bootstrap []netip.AddrPort
	Members   member.Settings
	Balancer  balancer.Settings
	// Policy makes the packet decisions. Nil selects the standard balancer.
	Policy balancer.Policy
}

// Router is the state machine of one instance. It is not safe for concurrent
// use.
type Router struct {
	config Config
	self   view.ID
	random *rand.Rand
	// now is the time of the event being processed.
	now        time.Time
	store      view.Store
	membership *member.Membership
	policy     balancer.Policy
	reader     reader
	fetcher    fetcher
	startup    startup
	recovery   recovery
	// recentKeys holds the most recently changed keys, newest first.
	recentKeys []view.KeyVersion
	// changedAt is the time of the last configuration change and changeSource
	// its origin.
	changedAt    time.Time
	changeSource Source
	effects      []Effect
}

// New returns a router without configuration. The first Tick starts the queries
// to the platform and to the bootstrap peers.
func New(c Config) *Router {
	id := view.IDFromName(c.Name)
	n := &Router{
		config: c,
		self:   id,
		random: rand.New(rand.NewPCG(c.Seed, uint64(id)^1)),
		policy: newPolicy(c, id),
		membership: member.New(member.Config{
			Name: c.Name, DataCentre: c.DataCentre, Packets: c.Packets, Peers: c.Peers,
			Incarnation: c.Incarnation, Seed: c.Seed, Settings: c.Members,
		}),
	}
	n.fetcher.pending = make(map[netip.AddrPort]time.Time)
	return n
}

func newPolicy(c Config, self view.ID) balancer.Policy {
	if c.Policy != nil {
		return c.Policy
	}
	return balancer.New(balancer.Config{Self: self, DataCentre: c.DataCentre, Settings: c.Balancer})
}

// Apply processes one event at the time now and returns the resulting effects.
// The returned slice is reused by the next call.
func (n *Router) Apply(now time.Time, event Event) []Effect {
	n.now = now
	n.effects = n.effects[:0]
	switch e := event.(type) {
	case *balancer.Tick:
		n.handleTick(now, e)
	case *balancer.Resumed:
		n.resumed(now, e)
	case *balancer.StopRequested:
		n.applyMembership(now, &member.Stopping{})
		n.applyPolicy(now, e)
	case balancer.Event:
		n.applyPolicy(now, e)
	case *ValuesReceived:
		n.handleValues(now, e)
	case *PlatformReadFailed:
		n.handlePlatformFailure(now)
	case *FetchFailed:
		n.handlePeerFailure(now, e.Peer)
	case *ProbeReceived:
		n.applyMembership(now, e)
		n.compareDigest(now, e.From, e.Digest)
	case *ProbeAcknowledged:
		n.applyMembership(now, e)
		n.compareDigest(now, e.From, e.Digest)
		n.confirmFromProbe(now, e)
	case member.Event:
		n.applyMembership(now, e)
	}
	return n.effects
}

// Newer returns the values that are newer than those in have, which lists what
// a fetching peer already holds.
func (n *Router) Newer(have []view.KeyVersion) []view.Value { return n.store.ChangesSince(have) }

// View returns the configuration in force, or nil before the first one.
func (n *Router) View() *view.View { return n.store.View() }

// Members returns the members considered alive, sorted by ID.
func (n *Router) Members() []balancer.Member { return n.membership.Live() }

// Peer returns the packet and RPC addresses of an instance known to the
// membership, including instances that the platform does not list yet.
func (n *Router) Peer(id view.ID) (packets, peers netip.AddrPort, ok bool) {
	return n.membership.Addresses(id)
}

func (n *Router) emit(e Effect) { n.effects = append(n.effects, e) }

func (n *Router) log(event string, fields ...Field) {
	n.emit(Effect{Kind: LogEvent, Text: event, Fields: fields})
}

func (n *Router) handleTick(now time.Time, e *balancer.Tick) {
	if n.startup.phase == phaseIdle {
		n.beginStartup(now)
	}
	n.checkStartupDeadline(now)
	n.expireFetches(now)
	n.checkRecoveryDeadline(now)
	n.readIfDue(now)
	n.repair(now)
	if n.startup.phase == phaseServing {
		n.applyMembership(now, &member.Tick{})
	}
	n.applyPolicy(now, e)
}

// applyPolicy passes an event to the balancer and emits its effects.
func (n *Router) applyPolicy(now time.Time, e balancer.Event) {
	for _, b := range n.policy.Apply(now, e) {
		if b.Kind == balancer.FetchView {
			n.fetchNewerView(now, b)
			continue
		}
		n.emit(Effect{Kind: ApplyBalancerEffect, Balancer: b})
	}
}

// applyMembership passes an event to the membership and emits its effects.
func (n *Router) applyMembership(now time.Time, e member.Event) {
	var live []balancer.Member
	for _, m := range n.membership.Apply(now, e) {
		switch m.Kind {
		case member.MembersChanged:
			live = m.Live
		case member.Probe:
			n.emit(Effect{
				Kind: Probe, Peer: m.Peer, Address: m.Address, Timeout: m.Timeout,
				Digest: n.addConfiguration(now, m.Digest),
			})
		case member.IndirectProbe:
			n.emit(Effect{
				Kind: IndirectProbe, Peer: m.Peer, Address: m.Address, Target: m.Target, Timeout: m.Timeout,
			})
		case member.ProbeReply:
			n.emit(Effect{Kind: ProbeReply, Peer: m.Peer, Digest: n.addConfiguration(now, m.Digest)})
		}
	}
	if live != nil && n.startup.phase == phaseServing {
		n.log("members-changed", Field{"live", strconv.Itoa(len(live))})
		n.applyPolicy(now, &balancer.MembersChanged{Live: live})
	}
}

// addConfiguration adds the configuration version, the recently changed keys
// and the last platform contact to a gossip digest.
func (n *Router) addConfiguration(now time.Time, d member.Digest) member.Digest {
	d.Version = n.store.Version()
	d.Keys = slices.Clone(n.recentKeys)
	d.Platform = n.reader.digestContact(now)
	return d
}

// handleValues stores received values and activates the newer ones.
func (n *Router) handleValues(now time.Time, e *ValuesReceived) {
	var c view.Change
	if e.Source == FromPlatform {
		c = n.applyPlatformValues(now, e.Values)
	} else {
		c = n.store.Put(e.Values...)
		n.fetcher.finish(n, e.From, len(c.Applied) > 0)
	}
	for _, r := range c.Refused {
		n.log("value-refused", Field{"key", r.Key}, Field{"version", r.Version.String()}, Field{"cause", r.Err.Error()})
	}
	n.recordChange(now, e.Source, c)
	n.advanceStartup(now, e)
	if e.Source == FromPlatform {
		n.readIfDue(now)
	}
	if len(c.Applied) > 0 && n.startup.phase == phaseServing {
		n.applyView(now)
		n.applyMembership(now, &member.GossipRequested{})
	}
	if n.sentAfterPause(e.RequestedAt) && (e.Source == FromPeer || n.hasNoPeers()) {
		n.confirmView(now)
	}
}

// recordChange moves the changed keys to the front of recentKeys and logs the
// change.
func (n *Router) recordChange(now time.Time, source Source, c view.Change) {
	if len(c.Applied) == 0 {
		return
	}
	n.changedAt, n.changeSource = now, source
	for _, k := range c.Applied {
		n.recentKeys = slices.DeleteFunc(n.recentKeys, func(r view.KeyVersion) bool { return r.Key == k.Key })
		n.recentKeys = slices.Insert(n.recentKeys, 0, k)
	}
	n.recentKeys = n.recentKeys[:min(len(n.recentKeys), member.MaxDigestKeys)]
	n.log("configuration-changed", Field{"version", n.store.Version().String()},
		Field{"source", source.String()}, Field{"keys", strconv.Itoa(len(c.Applied))})
}

// applyView passes the view in force to the balancer and the membership.
func (n *Router) applyView(now time.Time) {
	v := n.store.View()
	n.applyPolicy(now, &balancer.ViewChanged{View: v})
	n.applyMembership(now, &member.ViewChanged{View: v})
}
