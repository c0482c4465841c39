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
	rt := &Router{
		config: c,
		self:   id,
		random: rand.New(rand.NewPCG(c.Seed, uint64(id)^1)),
		policy: newPolicy(c, id),
		membership: member.New(member.Config{
			Name: c.Name, DataCentre: c.DataCentre, Packets: c.Packets, Peers: c.Peers,
			Incarnation: c.Incarnation, Seed: c.Seed, Settings: c.Members,
		}),
	}
	rt.fetcher.pending = make(map[netip.AddrPort]time.Time)
	return rt
}

func newPolicy(c Config, self view.ID) balancer.Policy {
	if c.Policy != nil {
		return c.Policy
	}
	return balancer.New(balancer.Config{Self: self, DataCentre: c.DataCentre, Settings: c.Balancer})
}

// Apply processes one event at the time now and returns the resulting effects.
// The returned slice is reused by the next call.
func (rt *Router) Apply(now time.Time, event Event) []Effect {
	rt.now = now
	rt.effects = rt.effects[:0]
	switch e := event.(type) {
	case *balancer.Tick:
		rt.handleTick(now, e)
	case *balancer.Resumed:
		rt.resumed(now, e)
	case *balancer.StopRequested:
		rt.applyMembership(now, &member.Stopping{})
		rt.applyPolicy(now, e)
	case balancer.Event:
		rt.applyPolicy(now, e)
	case *ValuesReceived:
		rt.handleValues(now, e)
	case *PlatformReadFailed:
		rt.handlePlatformFailure(now)
	case *FetchFailed:
		rt.handlePeerFailure(now, e.Peer)
	case *ProbeReceived:
		rt.applyMembership(now, e)
		rt.compareDigest(now, e.From, e.Digest)
	case *ProbeAcknowledged:
		rt.applyMembership(now, e)
		rt.compareDigest(now, e.From, e.Digest)
		rt.confirmFromProbe(now, e)
	case member.Event:
		rt.applyMembership(now, e)
	}
	return rt.effects
}

// Newer returns the values that are newer than those in have, which lists what
// a fetching peer already holds.
func (rt *Router) Newer(have []view.KeyVersion) []view.Value { return rt.store.ChangesSince(have) }

// View returns the configuration in force, or nil before the first one.
func (rt *Router) View() *view.View { return rt.store.View() }

// Members returns the members considered alive, sorted by ID.
func (rt *Router) Members() []balancer.Member { return rt.membership.Live() }

// Peer returns the packet and RPC addresses of an instance known to the
// membership, including instances that the platform does not list yet.
func (rt *Router) Peer(id view.ID) (packets, peers netip.AddrPort, ok bool) {
	return rt.membership.Addresses(id)
}

func (rt *Router) emit(e Effect) { rt.effects = append(rt.effects, e) }

func (rt *Router) log(event string, fields ...Field) {
	rt.emit(Effect{Kind: LogEvent, Text: event, Fields: fields})
}

func (rt *Router) handleTick(now time.Time, e *balancer.Tick) {
	if rt.startup.phase == phaseIdle {
		rt.beginStartup(now)
	}
	rt.checkStartupDeadline(now)
	rt.expireFetches(now)
	rt.checkRecoveryDeadline(now)
	rt.readIfDue(now)
	rt.repair(now)
	if rt.startup.phase == phaseServing {
		rt.applyMembership(now, &member.Tick{})
	}
	rt.applyPolicy(now, e)
}

// applyPolicy passes an event to the balancer and emits its effects.
func (rt *Router) applyPolicy(now time.Time, e balancer.Event) {
	for _, b := range rt.policy.Apply(now, e) {
		if b.Kind == balancer.FetchView {
			rt.fetchNewerView(now, b)
			continue
		}
		rt.emit(Effect{Kind: ApplyBalancerEffect, Balancer: b})
	}
}

// applyMembership passes an event to the membership and emits its effects.
func (rt *Router) applyMembership(now time.Time, e member.Event) {
	var live []balancer.Member
	for _, m := range rt.membership.Apply(now, e) {
		switch m.Kind {
		case member.MembersChanged:
			live = m.Live
		case member.Probe:
			rt.emit(Effect{
				Kind: Probe, Peer: m.Peer, Address: m.Address, Timeout: m.Timeout,
				Digest: rt.addConfiguration(now, m.Digest),
			})
		case member.IndirectProbe:
			rt.emit(Effect{
				Kind: IndirectProbe, Peer: m.Peer, Address: m.Address, Target: m.Target, Timeout: m.Timeout,
			})
		case member.ProbeReply:
			rt.emit(Effect{Kind: ProbeReply, Peer: m.Peer, Digest: rt.addConfiguration(now, m.Digest)})
		}
	}
	if live != nil && rt.startup.phase == phaseServing {
		rt.log("members-changed", Field{"live", strconv.Itoa(len(live))})
		rt.applyPolicy(now, &balancer.MembersChanged{Live: live})
	}
}

// addConfiguration adds the configuration version, the recently changed keys
// and the last platform contact to a gossip digest.
func (rt *Router) addConfiguration(now time.Time, d member.Digest) member.Digest {
	d.Version = rt.store.Version()
	d.Keys = slices.Clone(rt.recentKeys)
	d.Platform = rt.reader.digestContact(now)
	return d
}

// handleValues stores received values and activates the newer ones.
func (rt *Router) handleValues(now time.Time, e *ValuesReceived) {
	var c view.Change
	if e.Source == FromPlatform {
		c = rt.applyPlatformValues(now, e.Values)
	} else {
		c = rt.store.Put(e.Values...)
		rt.fetcher.finish(rt, e.From, len(c.Applied) > 0)
	}
	for _, r := range c.Refused {
		rt.log("value-refused", Field{"key", r.Key}, Field{"version", r.Version.String()}, Field{"cause", r.Err.Error()})
	}
	rt.recordChange(now, e.Source, c)
	rt.advanceStartup(now, e)
	if e.Source == FromPlatform {
		rt.readIfDue(now)
	}
	if len(c.Applied) > 0 && rt.startup.phase == phaseServing {
		rt.applyView(now)
		rt.applyMembership(now, &member.GossipRequested{})
	}
	if rt.sentAfterPause(e.RequestedAt) && (e.Source == FromPeer || rt.hasNoPeers()) {
		rt.confirmView(now)
	}
}

// recordChange moves the changed keys to the front of recentKeys and logs the
// change.
func (rt *Router) recordChange(now time.Time, source Source, c view.Change) {
	if len(c.Applied) == 0 {
		return
	}
	rt.changedAt, rt.changeSource = now, source
	for _, k := range c.Applied {
		rt.recentKeys = slices.DeleteFunc(rt.recentKeys, func(r view.KeyVersion) bool { return r.Key == k.Key })
		rt.recentKeys = slices.Insert(rt.recentKeys, 0, k)
	}
	rt.recentKeys = rt.recentKeys[:min(len(rt.recentKeys), member.MaxDigestKeys)]
	rt.log("configuration-changed", Field{"version", rt.store.Version().String()},
		Field{"source", source.String()}, Field{"keys", strconv.Itoa(len(c.Applied))})
}

// applyView passes the view in force to the balancer and the membership.
func (rt *Router) applyView(now time.Time) {
	v := rt.store.View()
	rt.applyPolicy(now, &balancer.ViewChanged{View: v})
	rt.applyMembership(now, &member.ViewChanged{View: v})
}
