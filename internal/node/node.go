// Package node is the whole of one instance without input and output: one
// reducer over all events that joins membership, the view of the configuration
// and the balancer, and returns effects as data.
package node

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

// Config describes one instance.
type Config struct {
	Name       string
	DataCentre string
	// Packets and Peers are the addresses that other instances reach this one
	// at, told to them while the platform does not list it.
	Packets netip.AddrPort
	Peers   netip.AddrPort
	// Incarnation grows with each start of the instance.
	Incarnation uint64
	Seed        uint64
	// Bootstrap are RPC addresses of peers to ask at the start, beside those
	// that the platform lists.
	Bootstrap []netip.AddrPort
	Members   member.Settings
	Balancer  balancer.Settings
	// Policy decides about packets, nil for the balancer.
	Policy balancer.Policy
}

// Node is the reducer of one instance.
type Node struct {
	config Config
	self   view.ID
	random *rand.Rand
	// now is the time of the event in hand.
	now     time.Time
	store   view.Store
	members *member.Membership
	policy  balancer.Policy
	reader  reader
	fetcher fetcher
	start   start
	wake    wake
	// recent are the keys that changed last.
	recent []view.KeyVersion
	// changed is the time of the last change and source where it came from.
	changed time.Time
	source  Source
	effects []Effect
}

// New returns an instance that holds no configuration yet. The first event
// makes it ask the platform and its peers.
func New(c Config) *Node {
	id := view.IDFromName(c.Name)
	n := &Node{
		config: c,
		self:   id,
		random: rand.New(rand.NewPCG(c.Seed, uint64(id)^1)),
		policy: policyOf(c, id),
		members: member.New(member.Config{
			Name: c.Name, DataCentre: c.DataCentre, Packets: c.Packets, Peers: c.Peers,
			Incarnation: c.Incarnation, Seed: c.Seed, Settings: c.Members,
		}),
	}
	n.fetcher.pending = make(map[netip.AddrPort]time.Time)
	return n
}

func policyOf(c Config, self view.ID) balancer.Policy {
	if c.Policy != nil {
		return c.Policy
	}
	return balancer.New(balancer.Config{Self: self, DataCentre: c.DataCentre, Settings: c.Balancer})
}

// Apply returns the effects of the event at the time now. The result is valid
// until the next call.
func (n *Node) Apply(now time.Time, event Event) []Effect {
	n.now = now
	n.effects = n.effects[:0]
	switch e := event.(type) {
	case *balancer.Tick:
		n.tick(now, e)
	case *balancer.Resumed:
		n.woke(now, e)
	case *balancer.StopRequested:
		n.applyMembers(now, &member.Stopping{})
		n.balance(now, e)
	case balancer.Event:
		n.balance(now, e)
	case *ValuesReceived:
		n.valuesReceived(now, e)
	case *PlatformFailed:
		n.platformFailed(now)
	case *PeerFailed:
		n.peerFailed(now, e.Peer)
	case *ProbeReceived:
		n.applyMembers(now, e)
		n.compare(now, e.From, e.Digest)
	case *ProbeAcknowledged:
		n.applyMembers(now, e)
		n.compare(now, e.From, e.Digest)
		n.confirmBy(now, e)
	case member.Event:
		n.applyMembers(now, e)
	}
	return n.effects
}

// Newer returns the values that a peer lacks, for its fetch.
func (n *Node) Newer(have []view.KeyVersion) []view.Value { return n.store.ChangesSince(have) }

// View returns the view in force, nil before the first one.
func (n *Node) View() *view.View { return n.store.View() }

// Members returns the members believed to be alive, ordered by ID.
func (n *Node) Members() []balancer.Member { return n.members.Live() }

// Peer returns the packet and RPC addresses of a known instance, also of one
// that the platform does not list yet.
func (n *Node) Peer(id view.ID) (packets, peers netip.AddrPort, ok bool) {
	return n.members.Addresses(id)
}

func (n *Node) emit(e Effect) { n.effects = append(n.effects, e) }

func (n *Node) log(event string, fields ...Field) {
	n.emit(Effect{Kind: LogChange, Text: event, Fields: fields})
}

func (n *Node) tick(now time.Time, e *balancer.Tick) {
	if n.start.phase == idle {
		n.begin(now)
	}
	n.expireStart(now)
	n.expireFetches(now)
	n.expireWake(now)
	n.readIfDue(now)
	n.repair(now)
	if n.start.phase == serving {
		n.applyMembers(now, &member.Tick{})
	}
	n.balance(now, e)
}

// balance gives an event to the balancer and carries its effects on.
func (n *Node) balance(now time.Time, e balancer.Event) {
	for _, b := range n.policy.Apply(now, e) {
		if b.Kind == balancer.FetchView {
			n.fetchView(now, b)
			continue
		}
		n.emit(Effect{Kind: Balance, Balancer: b})
	}
}

// applyMembers gives an event to the membership and carries its effects on.
func (n *Node) applyMembers(now time.Time, e member.Event) {
	var live []balancer.Member
	for _, m := range n.members.Apply(now, e) {
		switch m.Kind {
		case member.MembersChanged:
			live = m.Live
		case member.Probe:
			n.emit(Effect{
				Kind: Probe, Peer: m.Peer, Address: m.Address, Timeout: m.Timeout,
				Digest: n.fill(now, m.Digest),
			})
		case member.IndirectProbe:
			n.emit(Effect{
				Kind: ProbeFor, Peer: m.Peer, Address: m.Address, Target: m.Target, Timeout: m.Timeout,
			})
		case member.ProbeReply:
			n.emit(Effect{Kind: AnswerProbe, Peer: m.Peer, Digest: n.fill(now, m.Digest)})
		}
	}
	if live != nil && n.start.phase == serving {
		n.log("members-changed", Field{"live", strconv.Itoa(len(live))})
		n.balance(now, &balancer.MembersChanged{Live: live})
	}
}

// fill adds what this instance knows of the configuration to a digest.
func (n *Node) fill(now time.Time, d member.Digest) member.Digest {
	d.Version = n.store.Version()
	d.Keys = slices.Clone(n.recent)
	d.Platform = n.reader.contactAt(now)
	return d
}

// valuesReceived puts newer values in force.
func (n *Node) valuesReceived(now time.Time, e *ValuesReceived) {
	var c view.Change
	if e.Source == FromPlatform {
		c = n.platformAnswered(now, e.Values)
	} else {
		c = n.store.Put(e.Values...)
		n.fetcher.answered(n, e.From, len(c.Applied) > 0)
	}
	for _, r := range c.Refused {
		n.log("value-refused", Field{"key", r.Key}, Field{"version", r.Version.String()}, Field{"cause", r.Err.Error()})
	}
	n.remember(now, e.Source, c)
	n.advanceStart(now, e)
	if e.Source == FromPlatform {
		n.readIfDue(now)
	}
	if len(c.Applied) > 0 && n.start.phase == serving {
		n.serveView(now)
		n.applyMembers(now, &member.GossipRequested{})
	}
	if n.asked(e.Asked) && (e.Source == FromPeer || n.lonely()) {
		n.confirm(now)
	}
}

// remember keeps the keys that changed last, the newest first.
func (n *Node) remember(now time.Time, source Source, c view.Change) {
	if len(c.Applied) == 0 {
		return
	}
	n.changed, n.source = now, source
	for _, k := range c.Applied {
		n.recent = slices.DeleteFunc(n.recent, func(r view.KeyVersion) bool { return r.Key == k.Key })
		n.recent = slices.Insert(n.recent, 0, k)
	}
	n.recent = n.recent[:min(len(n.recent), member.MaxDigestKeys)]
	n.log("configuration-changed", Field{"version", n.store.Version().String()},
		Field{"source", source.String()}, Field{"keys", strconv.Itoa(len(c.Applied))})
}

// serveView gives the view in force to the membership and the balancer.
func (n *Node) serveView(now time.Time) {
	v := n.store.View()
	n.balance(now, &balancer.ViewChanged{View: v})
	n.applyMembers(now, &member.ViewChanged{View: v})
}
