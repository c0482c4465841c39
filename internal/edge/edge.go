// Package edge implements one instance of the token-based load balancer as a
// state machine without I/O: Apply takes an event and returns the effects to
// carry out. Packets of an established flow carry a token that names their
// upstream, so forwarding them needs no per-flow state. New flows are placed
// through the coordinator of a group of upstreams, the instance that counts the
// group's flows. The catalog (configuration and upstreams) comes from the
// platform's store, which only a few instances read, and from peers.
package edge

import (
	"math/rand/v2"
	"net/netip"
	"strconv"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
	"github.com/chervilhaven/chervilhaven/internal/scheduler"
)

// Config holds the settings of one instance.
type Config struct {
	// Self is the address at which other instances reach this one.
	Self       netip.AddrPort
	DataCentre string
	Seeds      []netip.AddrPort
	Seed       uint64
	// FlowLifetime is the age at which a flow may be discarded. State of removed
	// upstreams is kept for that long, and for one minute at least.
	FlowLifetime time.Duration
}

// Edge is the state machine of one instance. It is not safe for concurrent use.
type Edge struct {
	config    Config
	random    *rand.Rand
	started   time.Time
	stopping  bool
	catalog   catalog.Catalog
	placer    scheduler.Scheduler
	upstreams upstreamTable
	routes    map[netip.AddrPort]catalog.Route
	services  map[string]catalog.Service
	// out holds the names of the data centres that operators took out of service.
	out           map[string]bool
	roster        roster
	reader        reader
	openings      openings
	coordination  coordination
	nextSiteCheck time.Time
	// cutOff lists the data centres that count as unreachable. silentSites lists
	// those of them that this instance received messages from before.
	cutOff      []string
	silentSites []string
	// unservableSince is the time since which no upstream has been reachable,
	// zero while one is. unreadyAt is the last time at which the instance
	// reported not ready for that reason, zero when it is ready again.
	unservableSince time.Time
	unreadyAt       time.Time
	counts          Counts
	effects         []Effect
	// next is when the next Tick is due.
	next time.Time
}

// New returns an instance with an empty catalog. Its first event makes it read
// the store and greet the seeds.
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

// Apply processes the event at the time now and returns the effects to carry
// out. The returned slice is valid until the next call.
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
	case *Resumed:
		e.handlePause(now, v.Pause)
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

// Next returns the time at which the caller must pass a Tick to Apply.
func (e *Edge) Next() time.Time { return e.next }

// CatalogSince returns the catalog changes after a revision, to answer a peer's
// fetch.
func (e *Edge) CatalogSince(since catalog.Revision) catalog.Batch {
	return e.catalog.ChangesSince(since)
}

// Counts returns the counters accumulated since the start.
func (e *Edge) Counts() Counts { return e.counts }

func (e *Edge) handleStart(now time.Time) {
	e.started = now
	e.reader.next = now
	e.greetSeeds()
}

// tick runs all timers that have expired and sets the time of the next Tick.
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

// scheduleTick makes sure that a Tick is due at the given time or earlier.
func (e *Edge) scheduleTick(at time.Time) {
	if !at.IsZero() && at.Before(e.next) {
		e.next = at
	}
}

// handlePause shifts the liveness timestamps of peers and data centres after the
// process was suspended, so that its own pause is not taken for their silence.
// It drops pending openings.
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

func (e *Edge) observe(o DurationMetric, took time.Duration) {
	e.emit(Effect{Kind: ObserveDuration, DurationMetric: o, Wait: took})
}

// log emits a log line with alternating keys and values.
func (e *Edge) log(event string, pairs ...string) {
	fields := make([]Field, 0, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		fields = append(fields, Field{pairs[i], pairs[i+1]})
	}
	e.emit(Effect{Kind: Log, Line: Line{Event: event, Fields: fields}})
}
