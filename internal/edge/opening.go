package edge

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
	"github.com/chervilhaven/chervilhaven/internal/token"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// Bounds of openings.
const (
	// maxOpenings bounds the openings held at once: with the bound on their
	// age, more than any instance forwards.
	maxOpenings = 8192
	// maxTries bounds the upstreams that get one opening.
	maxTries = 4
	// askTimeout is the time that the accounting instance has to answer: two
	// crossings between data centres, and its turn on a busy processor.
	askTimeout = 8 * time.Millisecond
	// initialAckTime is the time to the caller's acknowledgement while
	// none has been measured: two crossings of 3 ms to the caller and some.
	initialAckTime = 12 * time.Millisecond
	// minHedgeDelay and maxHedge bound the time after which a silent opening goes
	// to another upstream. The caller's own copy comes after 200 ms.
	minHedgeDelay = 16 * time.Millisecond
	maxHedgeDelay = 80 * time.Millisecond
	// recentAckWindow is the time after an acknowledgement for which silence
	// speaks against an upstream: packets of callers pass here.
	recentAckWindow = 50 * time.Millisecond
	// rehashWindow is the time after an instance has joined in which the fabric
	// spreads flows anew: it probes readiness twice a second.
	rehashWindow = 600 * time.Millisecond
	// openTimeout is the time after which a caller gives an opening up.
	openTimeout = 1400 * time.Millisecond
	// firstRetransmit and secondCopy are the times after which a caller repeats its
	// opening packet.
	firstRetransmit  = 200 * time.Millisecond
	secondRetransmit = 600 * time.Millisecond
	// pinPeriod is the time for which a hedged flow is kept to the upstream
	// that its caller acknowledged; the upstream's own packets have brought
	// the caller its token by then.
	pinPeriod = 15 * time.Second
	// maxReportDelay is the time that outcomes wait for a message to ride with.
	maxReportDelay = 5 * time.Millisecond
)

// flowID names a flow: its caller and its public address.
type flowID struct{ source, destination netip.AddrPort }

func (f flowID) hash() uint64 {
	b := make([]byte, 0, 48)
	b, _ = f.source.AppendBinary(b)
	b, _ = f.destination.AppendBinary(b)
	return xxh3.Hash(b)
}

// phase is how far an opening has come.
type phase uint8

const (
	// waiting for a configuration or for an upstream that may be used.
	waiting phase = iota
	// asking the accounting instance.
	asking
	// offered to an upstream.
	offered
	// opened by the caller's acknowledgement, kept for hedged flows only.
	opened
)

// String returns the name of the phase.
func (p phase) String() string { return [...]string{"waiting", "asking", "offered", "opened"}[p&3] }

// opening is one flow from its opening packet to the acknowledgement.
type opening struct {
	id    flowID
	raw   []byte
	route catalog.Route
	phase phase
	// opened is the time at which the caller opened the flow, first the time
	// of its first packet here.
	opened    time.Time
	firstSeen time.Time
	// lastSeen is the time of the caller's last opening packet.
	lastSeen time.Time
	// phaseDeadline is the time at which the phase has lasted too long.
	phaseDeadline time.Time
	// tries are the upstreams that got the opening, in order.
	tries   []uint64
	offered time.Time
	// ask is the number of the pending ask, accountant whom it went to.
	ask         uint32
	coordinator *peer
	// group is the group of upstreams that was drawn for the flow.
	group    int
	hasGroup bool
	// queued is true while the flow waits for an upstream to become free.
	queued bool
	// chosen is the upstream of an opened flow.
	chosen uint64
}

// openings are the flows that are being opened.
type openings struct {
	flows       map[flowID]*opening
	pendingAsks map[uint32]*opening
	ask         uint32
	// ackTime and deviation estimate the time to the caller's
	// ackTime (Jacobson 1988).
	ackTime      time.Duration
	ackDeviation time.Duration
	// lastAck is the time of the last acknowledgement.
	lastAck time.Time
	// pendingReports wait to be sent to the accounting instances.
	pendingReports []report
	flushAt        time.Time
}

func routeTable(list []catalog.Route) map[netip.AddrPort]catalog.Route {
	routes := make(map[netip.AddrPort]catalog.Route, len(list))
	for _, r := range list {
		routes[r.Address] = r
	}
	return routes
}

// handlePacket handles one handlePacket of a caller.
func (e *Edge) handlePacket(now time.Time, p *Packet) {
	id := flowID{p.Source, p.Destination}
	o := e.openings.flows[id]
	if p.Role == flow.Open {
		e.handleOpen(now, id, o, p)
		return
	}
	if o != nil && len(o.tries) > 0 {
		e.handleEstablished(now, o, p)
		return
	}
	u, ok := e.upstreams.byToken[p.Token]
	if !ok {
		e.counts.UnknownToken++
		e.flowLog("unknown-token", id, "token", hex(p.Token), "through", revision(e.catalog.Through()))
		return
	}
	e.forward(u, p)
	if p.Role == flow.Close || p.Role == flow.Reset {
		e.finishFlow(now, id, u.info.Number)
	}
}

func (e *Edge) forward(u *upstream, p *Packet) {
	e.counts.Forwarded++
	e.emit(Effect{Kind: Forward, Upstream: u.info.Address, Number: u.info.Number, Token: u.token, Raw: p.Raw})
}

// handleOpen handles an opening packet.
func (e *Edge) handleOpen(now time.Time, id flowID, o *opening, p *Packet) {
	if o != nil {
		e.handleRetransmit(now, o)
		return
	}
	route, ok := e.routes[p.Destination]
	if !ok && e.routes != nil {
		e.refuseUnrouted(now, id)
		return
	}
	if len(e.openings.flows) >= maxOpenings {
		e.refuse(id, "too-many-openings")
		return
	}
	o = &opening{id: id, raw: slices.Clone(p.Raw), route: route, firstSeen: now, opened: now.Add(-retransmitAge(p.Copy)), lastSeen: now}
	e.openings.flows[id] = o
	if e.routes == nil {
		o.phaseDeadline = now.Add(openTimeout)
		e.scheduleTick(o.phaseDeadline)
		return
	}
	e.choose(now, o)
}

// retransmitAge is the age of a flow by the number of its opening packet.
func retransmitAge(number uint32) time.Duration {
	switch number {
	case 0:
		return 0
	case 1:
		return firstRetransmit
	default:
		return secondRetransmit
	}
}

// placeWaiting places the openings that came before the configuration.
func (e *Edge) placeWaiting(now time.Time) {
	if e.routes == nil {
		return
	}
	for id, o := range e.openings.flows {
		if o.phase != waiting {
			continue
		}
		route, ok := e.routes[id.destination]
		if !ok {
			e.refuseUnrouted(now, id)
			delete(e.openings.flows, id)
			continue
		}
		o.route = route
		e.choose(now, o)
	}
}

// handleRetransmit handles the caller's copy of an opening: the last upstream did not
// answer, or its answer was lost.
func (e *Edge) handleRetransmit(now time.Time, o *opening) {
	o.lastSeen = now
	switch o.phase {
	case offered:
		if now.Sub(o.offered) >= e.openings.hedgeDelay() {
			e.hedge(now, o)
		}
	case asking:
		if o.queued {
			e.choose(now, o)
		}
	case opened, waiting:
	}
}

// handleAckTimeout goes on after an opening was not acknowledged in time. When instances
// join, the fabric spreads flows anew, and acknowledgements pass through others:
// that says nothing of the upstream, and just after the start a further one would
// only be loaded in vain.
func (e *Edge) handleAckTimeout(now time.Time, o *opening) {
	last := o.tries[len(o.tries)-1]
	if now.Sub(e.openings.lastAck) < recentAckWindow && now.Sub(e.roster.lastJoin) >= rehashWindow {
		flow := o.id.hash()
		if e.placer.Unanswered(now, last, flow, e.config.Self.String(), true) {
			e.logSuspect(last, e.config.Self)
		}
		e.report(now, o.route.Service, Report{Upstream: last, Unanswered: []uint64{flow}})
	}
	if e.startingUp(now) {
		o.phaseDeadline = o.opened.Add(openTimeout)
		e.scheduleTick(o.phaseDeadline)
		return
	}
	e.hedge(now, o)
}

// hedge sends an opening that stays silent to one more upstream.
func (e *Edge) hedge(now time.Time, o *opening) {
	if len(o.tries) >= maxTries {
		o.phaseDeadline = o.opened.Add(openTimeout)
		e.scheduleTick(o.phaseDeadline)
		return
	}
	e.choose(now, o)
}

// refuseUnrouted resets a flow whose address has no route. While nobody reads
// the store a route may have been added: the caller's copy is awaited then.
func (e *Edge) refuseUnrouted(now time.Time, id flowID) {
	if !e.catalogFresh(now) {
		e.flowLog("unrouted", id, "through", revision(e.catalog.Through()))
		return
	}
	e.refuse(id, "no-route")
}

// refuse resets a flow that has not been opened.
func (e *Edge) refuse(id flowID, reason string) {
	e.counts.Refused++
	e.flowLog("refused", id, "reason", reason, "through", revision(e.catalog.Through()))
	e.emit(Effect{Kind: Refuse, Source: id.source, Destination: id.destination})
}

// expireOpenings moves on the openings whose phase has lasted too long.
func (e *Edge) expireOpenings(now time.Time) {
	e.flushReports(now)
	for id, o := range e.openings.flows {
		if now.Before(o.phaseDeadline) {
			e.scheduleTick(o.phaseDeadline)
			continue
		}
		switch {
		case o.phase == opened:
			delete(e.openings.flows, id)
		case now.Sub(o.opened) >= openTimeout:
			e.abandon(o, now.Sub(o.firstSeen))
		case o.phase == asking:
			e.handleAskTimeout(now, o)
		case o.phase == offered:
			e.handleAckTimeout(now, o)
		case o.phase == waiting:
			o.phaseDeadline = o.opened.Add(openTimeout)
		}
	}
}

// abandon forgets an opening that its caller has given up.
func (e *Edge) abandon(o *opening, after time.Duration) {
	e.counts.Abandoned++
	delete(e.openings.flows, o.id)
	e.cancelAsk(o)
	keys := make([]string, 0, len(o.tries))
	for _, t := range o.tries {
		if u, ok := e.upstreams.byNumber[t]; ok {
			keys = append(keys, u.key)
		}
	}
	e.flowLog("abandoned", o.id, "tried", strings.Join(keys, ","), "phase", o.phase.String(), "after", after.String(),
		"through", revision(e.catalog.Through()))
}

func hex(t token.Token) string { return strconv.FormatUint(uint64(t), 16) }

func (e *Edge) flowLog(event string, id flowID, pairs ...string) {
	e.log(event, append([]string{"flow", id.source.String() + "," + id.destination.String()}, pairs...)...)
}
