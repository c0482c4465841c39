// Package balancer decides where each packet goes. Its core, Balancer, is a
// state machine that performs no I/O: Apply takes an event and returns the
// effects that the runtime has to carry out.
//
// Each upstream is owned by one instance of its data centre. Only the owner
// admits flows to the upstream, and it keeps a record of each. Every flow has a
// preference list of upstreams, derived from its key by hashing. An instance
// that receives a packet relays it to the owner of the first choice, the first
// upstream on that list. If that owner has no record of the flow, it follows
// its pointer to the upstream that holds the flow or, without a pointer, relays
// the packet along the list to search for the record; docs/DESIGN.md describes
// the search.
package balancer

import (
	"net/netip"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/relay"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// Config identifies the instance that a Balancer makes decisions for.
type Config struct {
	Self       view.ID
	DataCentre string
	Settings   Settings
}

// Counters counts packets by the decision made about them.
type Counters struct {
	Forwarded uint64              `json:"forwarded"`
	Relayed   uint64              `json:"relayed"`
	Refused   uint64              `json:"refused"`
	Dropped   [ReasonCount]uint64 `json:"-"`
	Admitted  uint64              `json:"admitted"`
	// Adopted counts flows of a previous owner that a later packet recorded here.
	Adopted uint64 `json:"adopted"`
	// Searched counts packets whose search found no record of the flow.
	Searched uint64 `json:"searched"`
	// Moved counts opening packets passed on to another upstream.
	Moved uint64 `json:"moved"`
}

// Balancer holds the routing state of one instance. It is not safe for
// concurrent use.
type Balancer struct {
	self       view.ID
	dataCentre string
	settings   Settings

	now       time.Time
	startTime time.Time
	view      *view.View

	services         map[netip.Addr]*service
	servicesByNumber map[uint32]*service
	// ownedServices lists the services of which this instance owns upstreams.
	ownedServices []*service
	targets       map[view.ID]*target
	groups        map[string]*group
	ownedUpstream map[view.ID]*ownedUpstream
	// previousOwners maps the data centre's upstreams to their owners as of the
	// last ownership update. It is nil before the first update.
	previousOwners map[view.ID]view.ID
	// joinedUpstreams marks the upstreams that appeared after the first view.
	joinedUpstreams map[view.ID]bool
	// relaySender and relayTarget are the sending instance and the target
	// upstream of the relayed packet being routed. They are zero for packets
	// from the fabric.
	relaySender view.ID
	relayTarget view.ID
	// pollOrder lists the owned upstreams, including those being handed over, in
	// the order in which they are polled.
	pollOrder []*ownedUpstream
	// outgoing lists the handovers in progress.
	outgoing []*outgoing
	// urgentPointers and backupPointers queue pointers to be sent to other
	// owners. The urgent ones are sent first.
	urgentPointers []queuedPointer
	backupPointers []queuedPointer
	// controlCredit is the number of bytes that handovers and reports may send
	// now. It may be negative.
	controlCredit int
	// lastPolled is the index in pollOrder of the upstream polled last.
	lastPolled int
	// pollCredit is the number of bytes that status polls may send now.
	pollCredit int

	stoppingSince time.Time
	// recheckOwnership requests an ownership update at the next tick.
	recheckOwnership bool
	// partitioned is true while some member is unreachable.
	partitioned bool
	// viewSuspect is true after a suspension of the process until the view is
	// confirmed. All packets are dropped meanwhile.
	viewSuspect bool
	// nextFetch is the earliest time of the next FetchView effect.
	nextFetch time.Time
	// flows counts the records and pointers of all owned upstreams.
	flows int
	// effects and scratch are reused: they hold the results of the last call of
	// Apply and of searchPath.
	effects  []Effect
	scratch  searchPath
	counters Counters
}

// New returns a Balancer that has no view and no members yet. Zero fields of
// c.Settings take their defaults.
func New(c Config) *Balancer {
	return &Balancer{
		self:          c.Self,
		dataCentre:    c.DataCentre,
		settings:      c.Settings.withDefaults(),
		services:      make(map[netip.Addr]*service),
		targets:       make(map[view.ID]*target),
		groups:        make(map[string]*group),
		ownedUpstream: make(map[view.ID]*ownedUpstream),
	}
}

// Apply updates the state for an event that occurs at time now and returns the
// resulting effects. The returned slice is valid until the next call.
func (b *Balancer) Apply(now time.Time, event Event) []Effect {
	b.now = now
	if b.startTime.IsZero() {
		b.startTime = now
	}
	b.effects = b.effects[:0]
	switch e := event.(type) {
	case *FabricPacket:
		b.receive(&e.Packet)
	case *RelayedPacket:
		b.receiveRelayed(e)
	case *ICMPErrorReceived:
		b.receive(&e.Packet)
	default:
		b.applyControl(event)
	}
	return b.effects
}

// applyControl handles all events other than packets.
func (b *Balancer) applyControl(event Event) {
	switch e := event.(type) {
	case *ViewChanged:
		b.updateView(e.View)
	case *MembersChanged:
		b.updateMembers(e.Live)
	case *StatusReported:
		b.applyStatus(e)
	case *HandoverReceived:
		b.applyHandover(e)
	case *ReleaseRequested:
		b.releaseUpstreams(e)
	case *Resumed:
		b.resume(e)
	case *ViewConfirmed:
		b.viewSuspect = false
	case *StopRequested:
		b.stop()
	case *Tick:
		b.tick()
	}
}

// receive routes a packet received from the fabric.
func (b *Balancer) receive(p *flow.Packet) {
	if b.viewSuspect {
		b.drop(ReasonSuspectView)
		return
	}
	s, ok := b.services[p.Key.Destination.Addr()]
	if !ok {
		b.drop(ReasonNoService)
		return
	}
	b.relaySender, b.relayTarget = 0, 0
	b.routeFromFirstChoice(s, p, relay.Header{})
}

// receiveRelayed routes a packet relayed by another instance.
func (b *Balancer) receiveRelayed(e *RelayedPacket) {
	if b.viewSuspect {
		b.drop(ReasonSuspectView)
		return
	}
	s, ok := b.services[e.Packet.Key.Destination.Addr()]
	if !ok {
		b.requestNewerView(e.Header.Version)
		b.drop(ReasonNoService)
		return
	}
	s.setLoad(e.From, e.Header.Load)
	b.relaySender, b.relayTarget = e.From, e.Header.Target
	b.routeRelayed(s, e)
}

// requestNewerView requests the current configuration if a peer routes by a
// newer one than this instance.
func (b *Balancer) requestNewerView(version view.Version) {
	if b.settings.IgnoreVersions || b.view == nil || version.Compare(b.view.Version) <= 0 {
		return
	}
	if b.now.Before(b.nextFetch) {
		return
	}
	b.nextFetch = b.now.Add(fetchInterval)
	b.emit(Effect{Kind: FetchView, Header: relay.Header{Version: version}})
}

func (b *Balancer) emit(e Effect) {
	b.effects = append(b.effects, e)
}

func (b *Balancer) drop(reason Reason) {
	b.counters.Dropped[reason]++
	b.emit(Effect{Kind: Drop, Reason: reason})
}

// elapsedSeconds returns the whole seconds since the first event.
func (b *Balancer) elapsedSeconds() uint32 {
	return uint32(b.now.Sub(b.startTime) / time.Second)
}

// elapsedMilliseconds returns the milliseconds since the first event, modulo
// 2^32.
func (b *Balancer) elapsedMilliseconds() uint32 {
	return uint32(b.now.Sub(b.startTime) / time.Millisecond)
}
