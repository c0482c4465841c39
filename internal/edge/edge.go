// Package edge is the whole of an instance that steers by token, without input
// and output: one reducer over all events. Packets of established flows carry
// the token of their upstream, so they need no state; new flows are placed with
// the help of the instance that accounts for their group of upstreams; the
// catalog comes from the platform's store, read by a few, and from peers.
package edge

import (
	"math/rand/v2"
	"net/netip"
	"strconv"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
	"github.com/chervilhaven/chervilhaven/internal/placer"
)

// Config describes one instance.
type Config struct {
	// Self is the address of this instance for other instances.
	Self       netip.AddrPort
	DataCentre string
	Seeds      []netip.AddrPort
	Seed       uint64
	// FlowLifetime is the age at which a flow may be discarded.
	FlowLifetime time.Duration
}

// Edge is the reducer of one instance.
type Edge struct {
	config        Config
	random        *rand.Rand
	started       time.Time
	stopping      bool
	catalog       catalog.Catalog
	placer        placer.Placer
	upstreams     upstreamTable
	routes        map[netip.AddrPort]catalog.Route
	services      map[string]catalog.Service
	out           map[string]bool
	roster        roster
	reader        reader
	openings      openings
	coordination  coordination
	nextSiteCheck time.Time
	// cutOff are the data centres that are cutOff off, silenced those of them that this
	// instance has heard before.
	cutOff      []string
	silentSites []string
	// unservableSince is the time since which no upstream is in reach, turnedAway
	// the last time at which the fabric was to turn to others.
	unservableSince time.Time
	unreadyAt       time.Time
	counts          Counts
	effects         []Effect
	// next is the time of the next Tick.
	next time.Time
}

// New returns an instance that holds no catalog yet. The first Tick makes it
// read the store.
func New(c Config) *Edge {
	e := &Edge{config: c, random: rand.New(rand.NewPCG(c.Seed, c.Seed^0x9e3779b97f4a7c15))}
	e.placer.Random = e.random
	e.out = make(map[string]bool)
	e.roster.sites = make(map[string]*site)
	e.roster.peers = make(map[netip.AddrPort]*peer)
	e.coordination.requesters, e.coordination.assignment = make(map[uint64]requester), make(map[uint64]assignment)
	e.coordination.lastCoordinators = make(map[group]*peer)
	e.openings.flows = make(map[flowID]*opening)
	e.openings.pendingAsks = make(map[uint32]*opening)
	return e
}

// Apply returns the effects of the event at the time now. The result is valid
// until the next call.
func (e *Edge) Apply(now time.Time, event Event) []Effect {
	e.effects = e.effects[:0]
	if e.started.IsZero() {
		e.handleStart(now)
	}
	switch v := event.(type) {
	case *Packet:
		e.handlePacket(now, v)
	case *MessageReceived:
		e.handleMessage(now, v.From, v.Message)
	case *StoreRead:
		e.handleStoreRead(now, v)
	case *StoreFailed:
		e.handleStoreFailure(now, v)
	case *Fetched:
		e.handleFetched(now, v)
	case *FetchFailed:
		e.handleFetchFailure(now, v)
	case *SeedsChanged:
		e.config.Seeds = v.Seeds
		e.greetSeeds()
	case *Woke:
		e.handlePause(now, v.Gap)
	case *Stopping:
		e.stopping = true
		e.log("stopping", "openings", strconv.Itoa(len(e.openings.flows)))
		e.heartbeat(now, true)
	case *Tick:
	}
	e.tick(now)
	e.sendMessages()
	return e.effects
}

// Next returns the time at which a Tick is due.
func (e *Edge) Next() time.Time { return e.next }

// Catalog returns what changed after a revision, for a peer's fetch.
func (e *Edge) Catalog(since catalog.Revision) catalog.Batch { return e.catalog.Since(since) }

// Counts returns what has been counted since the start.
func (e *Edge) Counts() Counts { return e.counts }

func (e *Edge) handleStart(now time.Time) {
	e.started = now
	e.reader.next = now
	e.greetSeeds()
}

// tick does what is due and sets the time of the next Tick.
func (e *Edge) tick(now time.Time) {
	e.next = now.Add(maxTickInterval)
	if e.roster.heartbeatDue(now) {
		e.heartbeat(now, false)
	}
	if !now.Before(e.nextSiteCheck) {
		e.nextSiteCheck = now.Add(siteCheckInterval)
		e.checkSites(now)
	}
	e.scheduleTick(e.nextSiteCheck)
	e.expireDoubtful(now)
	e.readIfDue(now)
	e.fetchIfDue(now)
	e.serveQueue(now)
	e.expireOpenings(now)
	e.scheduleTick(e.roster.next)
	if !e.reader.reading {
		e.scheduleTick(e.reader.next)
	}
}

func (e *Edge) scheduleTick(at time.Time) {
	if !at.IsZero() && at.Before(e.next) {
		e.next = at
	}
}

// handlePause keeps a pause of this process from counting against others.
func (e *Edge) handlePause(now time.Time, gap time.Duration) {
	for _, p := range e.roster.peers {
		p.heard = p.heard.Add(gap)
	}
	for _, s := range e.roster.sites {
		s.heard = now
	}
	clear(e.openings.flows)
	clear(e.openings.pendingAsks)
	e.log("woke", "gap", gap.String())
	e.heartbeat(now, true)
}

func (e *Edge) emit(f Effect) { e.effects = append(e.effects, f) }

func (e *Edge) observe(o Observed, took time.Duration) {
	e.emit(Effect{Kind: Observe, Observed: o, Wait: took})
}

// log emits a line of keys and values.
func (e *Edge) log(event string, pairs ...string) {
	fields := make([]Field, 0, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		fields = append(fields, Field{pairs[i], pairs[i+1]})
	}
	e.emit(Effect{Kind: Log, Line: Line{Event: event, Fields: fields}})
}
