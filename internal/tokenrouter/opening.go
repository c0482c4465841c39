package tokenrouter

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

// Limits and timeouts of openings.
const (
	// maxOpenings limits the openings held at once. An unacknowledged opening is
	// held for openTimeout at most, and no instance forwards that many openings in
	// that time.
	maxOpenings = 8192
	// maxTries limits the number of upstreams that one opening is sent to.
	maxTries = 4
	// initialAckTime is the assumed time to the caller's acknowledgement until
	// one has been measured: two one-way trips of 3 ms to the caller plus a
	// margin.
	initialAckTime = 12 * time.Millisecond
	// minHedgeDelay and maxHedgeDelay limit the time after which an
	// unacknowledged opening is sent to another upstream. The caller itself
	// retransmits after 200 ms.
	minHedgeDelay = 16 * time.Millisecond
	maxHedgeDelay = 80 * time.Millisecond
	// recentAckWindow is how long after any acknowledgement a missing one counts
	// against an upstream: during that time, callers' packets are known to pass
	// through this instance.
	recentAckWindow = 50 * time.Millisecond
	// rehashWindow is how long after an instance joins the network fabric may
	// redistribute flows: it probes readiness twice a second.
	rehashWindow = 600 * time.Millisecond
	// openTimeout is the time after which a caller gives up opening a flow.
	openTimeout = 1400 * time.Millisecond
	// firstRetransmit and secondRetransmit are the times after which a caller
	// retransmits its opening packet.
	firstRetransmit  = 200 * time.Millisecond
	secondRetransmit = 600 * time.Millisecond
	// answerPeriod is the time in which an upstream repeats its answer to an opening
	// that the caller did not acknowledge.
	answerPeriod = 15 * time.Second
	// retransmitTolerance is how far the time of a caller's retransmission may be off
	// that of the lost packet: less than half of the time between two hedges.
	retransmitTolerance = 8 * time.Millisecond
	// maxReportDelay is how long a report waits to be sent along with another
	// message.
	maxReportDelay = 5 * time.Millisecond
)

// flowID identifies a flow by the caller's address and the service's address.
type flowID struct{ source, destination netip.AddrPort }

// hash returns the identifier of the flow in messages between instances.
func (f flowID) hash() uint64 {
	b := make([]byte, 0, 48)
	b, _ = f.source.AppendBinary(b)
	b, _ = f.destination.AppendBinary(b)
	return xxh3.Hash(b)
}

// phase is the progress of an opening.
type phase uint8

const (
	// waiting for a configuration.
	waiting phase = iota
	// asking the coordinator for an upstream, or queued for a free slot.
	asking
	// offered to an upstream and not acknowledged yet.
	offered
	// seeking an instance that saw the acknowledgement, before the opening is
	// offered to another upstream.
	seeking
	// opened: acknowledged by the caller, but not certain at which upstream. Only
	// hedged flows are kept in this phase.
	opened
)

// String returns the name of the phase for log lines and dumps.
func (p phase) String() string {
	return [...]string{"waiting", "asking", "offered", "seeking", "opened", "", "", ""}[p&7]
}

// opening is the state of a flow from its opening packet until its
// acknowledgement, or until the end of answerPeriod for a hedged flow.
type opening struct {
	id flowID
	// flow is the hash of id.
	flow uint64
	// raw is a copy of the opening packet.
	raw   []byte
	route catalog.Route
	phase phase
	// opened is when the caller opened the flow; firstSeen is when its first
	// packet arrived at this instance.
	opened    time.Time
	firstSeen time.Time
	// lastSeen is when the caller's last opening packet arrived.
	lastSeen time.Time
	// phaseDeadline is when the current phase times out.
	phaseDeadline time.Time
	// repeated is true if the first packet that arrived here was a retransmission:
	// another instance may hold the opening, too.
	repeated bool
	// tries lists the upstreams that the opening was sent to, in order, and offers the
	// times; firstOffered and offered are the first and the last of them.
	tries        []uint64
	offers       []time.Time
	firstOffered time.Time
	offered      time.Time
	// sought is true once the neighbours were asked for the flow.
	sought bool
	// resumed is true if the process was suspended since the opening was sent to an
	// upstream: the flow may be open elsewhere, and no further upstream is tried.
	resumed bool
	// coordinator is the peer that the latest Ask was sent to, nil for this instance.
	coordinator *peer
	// group is the randomly drawn group of upstreams for the flow.
	group    int
	hasGroup bool
	// queued is true while the flow waits for a free slot at an upstream.
	queued bool
	// held is true while the flow waits for its caller's next packet, because there is no
	// room and too many ask for it.
	held bool
}

// openings holds the flows that are being opened.
type openings struct {
	flows map[flowID]*opening
	// pendingAsks holds the flows that wait for an upstream, by flow hash. A number
	// would start anew with each process, so that the answer to an Ask of the process
	// before could pass for that to another flow.
	pendingAsks map[uint64]*opening
	// ackTime and ackDeviation are the smoothed time to a caller's
	// acknowledgement and its mean deviation (Jacobson 1988).
	ackTime      time.Duration
	ackDeviation time.Duration
	// lastAck is when the last acknowledgement arrived.
	lastAck time.Time
	// pendingReports holds reports not yet sent to coordinators; flushAt is when
	// they are sent at the latest.
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

// byHash returns the opening of a flow, nil if it is not held here.
func (s *openings) byHash(flow uint64) *opening {
	for _, o := range s.flows {
		if o.flow == flow {
			return o
		}
	}
	return nil
}

// handlePacket handles one packet from a caller.
func (rt *Router) handlePacket(now time.Time, p *Packet) {
	id := flowID{p.Source, p.Destination}
	o := rt.openings.flows[id]
	if p.Role == flow.RoleOpen {
		rt.handleOpen(now, id, o, p)
		return
	}
	if o != nil && len(o.tries) > 0 {
		rt.handleEstablished(now, o, p)
		return
	}
	hash := id.hash()
	u, ok := rt.upstreamOf(now, hash, p)
	if !ok {
		rt.dropUnknown(id, p.Token)
		return
	}
	if o != nil {
		// Another instance sent the opening packet to the upstream that answered.
		rt.cancelAsk(o)
		delete(rt.openings.flows, id)
	}
	rt.forward(u, p)
	rt.observeWork(now, hash, u.info.Number, o != nil, p)
	if p.Role == flow.RoleClose || p.Role == flow.RoleReset {
		rt.pins.forgetSeen(hash)
		rt.pins.forgetOpening(hash)
		rt.finishFlow(now, hash, u.info.Number)
	}
}

// dropUnknown counts a packet whose token names no known upstream.
func (rt *Router) dropUnknown(id flowID, t token.Token) {
	rt.counts.UnknownToken++
	rt.flowLog("unknown-token", id, "token", hex(t), "through", revision(rt.catalog.Through()))
}

func (rt *Router) forward(u *upstream, p *Packet) {
	rt.counts.Forwarded++
	rt.emit(Effect{Kind: Forward, Upstream: u.info.Address, Number: u.info.Number, Token: u.token, Raw: p.Raw})
}

// handleOpen handles an opening packet. o is the pending opening of the flow,
// nil if there is none.
func (rt *Router) handleOpen(now time.Time, id flowID, o *opening, p *Packet) {
	if p.Waited {
		rt.counts.DroppedAfterPause++
		rt.flowLog("dropped-after-pause", id, "copy", strconv.FormatUint(uint64(p.Retransmission), 10))
		return
	}
	if o != nil {
		rt.handleRetransmit(now, o)
		return
	}
	route, ok := rt.routes[p.Destination]
	if !ok && rt.routes != nil {
		rt.refuseUnrouted(now, id)
		return
	}
	hash := id.hash()
	if u, ok := rt.openUpstream(now, hash, route.Service, p); ok {
		rt.forward(u, p)
		return
	}
	if len(rt.openings.flows) >= maxOpenings {
		rt.refuse(id, "too-many-openings")
		return
	}
	o = &opening{
		id: id, flow: hash, raw: slices.Clone(p.Raw), route: route, firstSeen: now, opened: now.Add(-retransmitAge(p.Retransmission)), lastSeen: now,
		repeated: p.Retransmission > 0,
	}
	rt.openings.flows[id] = o
	if rt.routes == nil {
		o.phaseDeadline = now.Add(openTimeout)
		rt.scheduleTick(o.phaseDeadline)
		return
	}
	rt.choose(now, o)
}

// retransmitAge returns the age of a flow when its caller sends the opening
// packet with the given number.
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

// placeWaiting places the openings that arrived before the first configuration.
func (rt *Router) placeWaiting(now time.Time) {
	if rt.routes == nil {
		return
	}
	for id, o := range rt.openings.flows {
		if o.phase != waiting {
			continue
		}
		route, ok := rt.routes[id.destination]
		if !ok {
			rt.refuseUnrouted(now, id)
			delete(rt.openings.flows, id)
			continue
		}
		o.route = route
		rt.choose(now, o)
	}
}

// handleRetransmit handles a retransmitted opening packet. Either the last
// upstream did not answer, or its answer was lost.
func (rt *Router) handleRetransmit(now time.Time, o *opening) {
	o.lastSeen = now
	switch o.phase {
	case offered:
		if now.Sub(o.offered) >= rt.openings.hedgeDelay() {
			rt.hedge(now, o, false)
		}
	case asking:
		if o.queued && rt.asksAgain(now, o) {
			rt.choose(now, o)
		}
	case opened, seeking, waiting:
	}
}

// handleAckTimeout handles an opening that was not acknowledged in time. After
// an instance joins, the fabric redistributes flows and acknowledgements may
// pass through other instances, so a missing one does not count against the
// upstream.
func (rt *Router) handleAckTimeout(now time.Time, o *opening) {
	last := o.tries[len(o.tries)-1]
	if now.Sub(rt.openings.lastAck) < recentAckWindow && now.Sub(rt.roster.lastJoin) >= rehashWindow {
		if rt.scheduler.RecordUnanswered(now, last, o.flow, rt.config.Self.String(), true) {
			rt.noteSuspect(now, last, rt.config.Self)
		}
		rt.report(now, o.route.Service, Report{Upstream: last, Unanswered: []uint64{o.flow}})
	}
	rt.hedge(now, o, rt.startingUp(now) || rt.roomShort(now, o.route.Service))
}

// hedge sends an unacknowledged opening to one more upstream, up to maxTries. The
// acknowledgement may have passed through another instance, so it asks the neighbours
// first. Shortly after the start of this instance, and while there is no room, hedging
// would only add load: with patient set, it waits for the caller's next packet after that.
func (rt *Router) hedge(now time.Time, o *opening, patient bool) {
	if !o.sought {
		o.sought = true
		if rt.seek(now, o) {
			return
		}
	}
	if patient || o.resumed || len(o.tries) >= maxTries {
		o.phase, o.phaseDeadline = offered, o.opened.Add(openTimeout)
		rt.scheduleTick(o.phaseDeadline)
		return
	}
	rt.choose(now, o)
}

// resumeOpenings handles the openings that were held while the process was suspended. Those
// that were sent to an upstream may be open elsewhere by now, and the neighbours are asked
// for them. Callers repeat the packets of the others, or have given up.
func (rt *Router) resumeOpenings(now time.Time, gap time.Duration) {
	for id, o := range rt.openings.flows {
		rt.cancelAsk(o)
		if len(o.tries) == 0 {
			delete(rt.openings.flows, id)
			continue
		}
		o.opened, o.phaseDeadline = o.opened.Add(gap), o.phaseDeadline.Add(gap)
		if o.phase == opened {
			continue
		}
		o.sought, o.resumed = false, true
		rt.hedge(now, o, true)
	}
}

// expireOpenings sends due reports and handles openings whose phase timed out.
func (rt *Router) expireOpenings(now time.Time) {
	rt.flushReports(now)
	rt.repeatCorrections(now)
	for id, o := range rt.openings.flows {
		if now.Before(o.phaseDeadline) {
			rt.scheduleTick(o.phaseDeadline)
			continue
		}
		switch {
		case o.phase == opened:
			delete(rt.openings.flows, id)
		case now.Sub(o.opened) >= openTimeout:
			rt.abandon(o, now.Sub(o.firstSeen))
		case o.phase == asking:
			rt.handleAskTimeout(now, o)
		case o.phase == offered:
			rt.handleAckTimeout(now, o)
		case o.phase == seeking:
			rt.hedge(now, o, rt.startingUp(now) || rt.roomShort(now, o.route.Service))
		case o.phase == waiting:
			o.phaseDeadline = o.opened.Add(openTimeout)
		}
	}
}

// abandon drops an opening that its caller has given up.
func (rt *Router) abandon(o *opening, after time.Duration) {
	rt.counts.Abandoned++
	delete(rt.openings.flows, o.id)
	rt.cancelAsk(o)
	rt.flowLog("abandoned", o.id, "tried", rt.keysOf(o.tries), "phase", o.phase.String(), "after", after.String(),
		"through", revision(rt.catalog.Through()))
}

// keysOf returns the keys of upstreams for a log line.
func (rt *Router) keysOf(numbers []uint64) string {
	keys := make([]string, 0, len(numbers))
	for _, n := range numbers {
		if u, ok := rt.upstreams.byNumber[n]; ok {
			keys = append(keys, u.key)
		}
	}
	return strings.Join(keys, ",")
}

func hex(t token.Token) string { return strconv.FormatUint(uint64(t), 16) }

func (rt *Router) flowLog(event string, id flowID, pairs ...string) {
	rt.log(event, append([]string{"flow", id.source.String() + "," + id.destination.String()}, pairs...)...)
}
