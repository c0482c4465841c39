// Package tokenrouter implements one instance of the token-based load balancer as a
// state machine without I/O: Apply takes an event and returns the effects to
// carry out. Packets of an established flow carry a token that names their
// upstream, so forwarding them needs no per-flow state. New flows are placed
// through the coordinator of a group of upstreams, the instance that counts the
// group's flows. The catalog (configuration and upstreams) comes from the
// platform's store, which only a few instances read, and from peers. The network
// fabric distributes the packets of callers over the ready instances.
package tokenrouter

import (
	"math/rand/v2"
	"net/netip"
	"strconv"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/admission"
	"github.com/chervilhaven/chervilhaven/internal/catalog"
	"github.com/chervilhaven/chervilhaven/internal/scheduler"
)

// Config holds the settings of one instance.
type Config struct {
	// Self is the address at which other instances reach this one.
	Self       netip.AddrPort
	DataCentre string
	// Seeds lists addresses of instances to contact first.
	Seeds []netip.AddrPort
	// Seed initialises the random number generator.
	Seed uint64
	// FlowLifetime is the age at which a flow may be discarded. State of removed
	// upstreams is kept for that long, and for one minute at least.
	FlowLifetime time.Duration
	// EntryLease is the time without a write after which the store drops the entry of
	// an upstream.
	EntryLease time.Duration
	// SlowLink makes the instance leave the first read of the store to others for a
	// moment, as a whole read over its link takes longer than a fetch from a peer.
	SlowLink bool
}

// Router is the state machine of one instance. It is not safe for concurrent use.
type Router struct {
	config    Config
	random    *rand.Rand
	started   time.Time
	stopping  bool
	catalog   catalog.Catalog
	scheduler scheduler.Scheduler
	upstreams upstreamTable
	routes    map[netip.AddrPort]catalog.Route
	// leastUrgent holds the priority of the least urgent route of each service.
	leastUrgent map[string]int
	room        room
	// out holds the names of the data centres that operators took out of service.
	// Their upstreams get no new flows.
	out map[string]bool
	// deferred holds the keys of items that a restored store reverted and the times at
	// which they take effect unless they are written again.
	deferred          map[string]time.Time
	nextDeferredCheck time.Time
	roster            roster
	reader            reader
	openings          openings
	pins              pins
	work              openWork
	stuck             stuckFlows
	// earlyDoubts are doubts of other instances about upstreams that are not known yet.
	earlyDoubts         map[uint64]scheduler.Doubt
	coordination        coordination
	nextDataCentreCheck time.Time
	// cutOff lists the data centres that count as unreachable. silentDataCentres
	// lists those of them that this instance received messages from before.
	cutOff            []string
	silentDataCentres []string
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
// the store and send a hello to the seeds.
func New(c Config) *Router {
	rt := &Router{config: c, random: rand.New(rand.NewPCG(c.Seed, c.Seed^0x9e3779b97f4a7c15))}
	rt.scheduler.Random = rt.random
	rt.out = make(map[string]bool)
	rt.deferred = make(map[string]time.Time)
	rt.roster.dataCentres = make(map[string]*dataCentreState)
	rt.roster.peers = make(map[netip.AddrPort]*peer)
	rt.coordination.requesters, rt.coordination.assignment = make(map[uint64]*peer), make(map[uint64]assignment)
	rt.coordination.lastCoordinators = make(map[group]*peer)
	rt.coordination.refusals = make(map[group]*admission.Refusals)
	rt.stuck = newStuckFlows()
	rt.room = room{shortAt: make(map[string]time.Time), throttles: make(map[string]*admission.Throttle)}
	rt.pins, rt.earlyDoubts = newPins(), make(map[uint64]scheduler.Doubt)
	rt.openings.flows = make(map[flowID]*opening)
	rt.openings.pendingAsks = make(map[uint64]*opening)
	return rt
}

// Apply processes the event at the time now and returns the effects to carry
// out. The returned slice is valid until the next call.
func (rt *Router) Apply(now time.Time, event Event) []Effect {
	rt.effects = rt.effects[:0]
	if rt.started.IsZero() {
		rt.handleStart(now)
	}
	rt.handle(now, event)
	rt.tick(now)
	rt.sendMessages()
	return rt.effects
}

func (rt *Router) handle(now time.Time, event Event) {
	switch v := event.(type) {
	case *Packet:
		rt.handlePacket(now, v)
	case *MessageReceived:
		rt.handleMessage(now, v.From, v.Message)
	case *StoreRead:
		rt.handleStoreRead(now, v)
	case *StoreFailed:
		rt.handleStoreFailure(now, v)
	case *Fetched:
		rt.handleFetched(now, v)
	case *FetchFailed:
		rt.handleFetchFailure(now, v)
	case *SeedsChanged:
		rt.config.Seeds = v.Seeds
		rt.sendHelloToSeeds()
	case *Resumed:
		rt.handlePause(now, v.Pause)
	case *Dialed:
		rt.handleDialed(now, v)
	case *Stopping:
		rt.stopping = true
		rt.log("stopping", "openings", strconv.Itoa(len(rt.openings.flows)))
		rt.heartbeat(now, true)
	case *Tick:
	}
}

// Next returns the time at which the caller must pass a Tick to Apply.
func (rt *Router) Next() time.Time { return rt.next }

// CatalogSince returns the catalog changes after a position, to answer a peer's
// fetch.
func (rt *Router) CatalogSince(since catalog.Position) catalog.Batch {
	return rt.catalog.ChangesSince(since)
}

// Configuration returns the configuration in force, nil if there is none. It must not be
// changed.
func (rt *Router) Configuration() *catalog.Configuration { return rt.catalog.Configuration() }

// Counts returns the counters accumulated since the start.
func (rt *Router) Counts() Counts { return rt.counts }

func (rt *Router) handleStart(now time.Time) {
	rt.started = now
	rt.reader.next = now
	rt.sendHelloToSeeds()
}

// tick runs all timers that have expired and sets the time of the next Tick.
func (rt *Router) tick(now time.Time) {
	rt.next = now.Add(maxTickInterval)
	if !now.Before(rt.roster.next) {
		rt.heartbeat(now, false)
	}
	if !now.Before(rt.nextDataCentreCheck) {
		rt.nextDataCentreCheck = now.Add(dataCentreCheckInterval)
		rt.checkDataCentres(now)
	}
	rt.scheduleTick(rt.nextDataCentreCheck)
	rt.expireDoubtful(now)
	rt.applyDeferred(now)
	rt.readIfDue(now)
	rt.fetchIfDue(now)
	rt.relayIfDue(now)
	rt.serveQueue(now)
	rt.expireOpenings(now)
	rt.tellWork(now)
	rt.scheduleTick(rt.roster.next)
	if !rt.reader.reading {
		rt.scheduleTick(rt.reader.next)
	}
}

// scheduleTick makes sure that a Tick is due at the given time or earlier.
func (rt *Router) scheduleTick(at time.Time) {
	if !at.IsZero() && at.Before(rt.next) {
		rt.next = at
	}
}

// handlePause shifts the liveness timestamps of peers and data centres after the
// process was suspended, so that its own pause is not taken for their silence.
func (rt *Router) handlePause(now time.Time, gap time.Duration) {
	for _, p := range rt.roster.peers {
		p.heard, p.alive, p.readAt = shift(p.heard, gap), shift(p.alive, gap), shift(p.readAt, gap)
	}
	for _, s := range rt.roster.dataCentres {
		s.heard = shift(s.heard, gap)
	}
	rt.roster.probed = nil
	rt.resumeOpenings(now, gap)
	rt.log("woke", "gap", gap.String())
	rt.heartbeat(now, true)
}

// shift moves a time by the length of a pause. The zero time, for never, stays.
func shift(t time.Time, gap time.Duration) time.Time {
	if t.IsZero() {
		return t
	}
	return t.Add(gap)
}

func (rt *Router) emit(f Effect) { rt.effects = append(rt.effects, f) }

func (rt *Router) observe(o DurationMetric, took time.Duration) {
	rt.emit(Effect{Kind: ObserveDuration, DurationMetric: o, Wait: took})
}

// log emits a log line with alternating keys and values.
func (rt *Router) log(event string, pairs ...string) {
	fields := make([]Field, 0, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		fields = append(fields, Field{pairs[i], pairs[i+1]})
	}
	rt.emit(Effect{Kind: Log, Line: Line{Event: event, Fields: fields}})
}
