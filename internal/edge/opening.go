package edge

import (
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
	"github.com/chervilhaven/chervilhaven/internal/placer"
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
	// askWait is the time that the accounting instance has to answer: two
	// crossings between data centres, and its turn on a busy processor.
	askWait = 8 * time.Millisecond
	// firstAcknowledgement is the time to the caller's acknowledgement while
	// none has been measured: two crossings of 3 ms to the caller and some.
	firstAcknowledgement = 12 * time.Millisecond
	// minHedge and maxHedge bound the time after which a silent opening goes
	// to another upstream. The caller's own copy comes after 200 ms.
	minHedge = 16 * time.Millisecond
	maxHedge = 80 * time.Millisecond
	// acknowledgedFor is the time after an acknowledgement for which silence
	// speaks against an upstream: packets of callers pass here.
	acknowledgedFor = 50 * time.Millisecond
	// openingFor is the time after which a caller gives an opening up.
	openingFor = 1400 * time.Millisecond
	// firstCopy and secondCopy are the times after which a caller repeats its
	// opening packet.
	firstCopy  = 200 * time.Millisecond
	secondCopy = 600 * time.Millisecond
	// pinnedFor is the time for which a hedged flow is kept to the upstream
	// that its caller acknowledged; the upstream's own packets have brought
	// the caller its token by then.
	pinnedFor = 15 * time.Second
	// reportInterval is the time that outcomes wait for a message to ride with.
	reportInterval = 5 * time.Millisecond
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

// opening is one flow from its opening packet to the acknowledgement.
type opening struct {
	id    flowID
	raw   []byte
	route catalog.Route
	phase phase
	// opened is the time at which the caller opened the flow, first the time
	// of its first packet here.
	opened time.Time
	first  time.Time
	// seen is the time of the caller's last opening packet.
	seen time.Time
	// due is the time at which the phase has lasted too long.
	due time.Time
	// tries are the upstreams that got the opening, in order.
	tries   []uint64
	offered time.Time
	// ask is the number of the pending ask, accountant whom it went to.
	ask        uint32
	accountant *peer
	// group is the group of upstreams that was drawn for the flow.
	group   int
	grouped bool
	// queued is true while the flow waits for an upstream to become free.
	queued bool
	// chosen is the upstream of an opened flow.
	chosen uint64
}

// openings are the flows that are being opened.
type openings struct {
	flows map[flowID]*opening
	asks  map[uint32]*opening
	ask   uint32
	// acknowledgement and deviation estimate the time to the caller's
	// acknowledgement (Jacobson 1988).
	acknowledgement time.Duration
	deviation       time.Duration
	// acknowledgedAt is the time of the last acknowledgement.
	acknowledgedAt time.Time
	// reports wait to be sent to the accounting instances.
	reports []report
	flushAt time.Time
}

// report is one outcome to tell an accounting instance.
type report struct {
	to     *peer
	report Report
}

func routeTable(list []catalog.Route) map[netip.AddrPort]catalog.Route {
	routes := make(map[netip.AddrPort]catalog.Route, len(list))
	for _, r := range list {
		routes[r.Address] = r
	}
	return routes
}

// packet handles one packet of a caller.
func (e *Edge) packet(now time.Time, p *Packet) {
	id := flowID{p.Source, p.Destination}
	o := e.openings.flows[id]
	if p.Role == flow.Open {
		e.open(now, id, o, p)
		return
	}
	if o != nil && len(o.tries) > 0 {
		e.established(now, o, p)
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
		e.finished(now, u.info.Number)
	}
}

func (e *Edge) forward(u *upstream, p *Packet) {
	e.counts.Forwarded++
	e.emit(Effect{Kind: Forward, Upstream: u.info.Address, Number: u.info.Number, Token: u.token, Raw: p.Raw})
}

// open handles an opening packet.
func (e *Edge) open(now time.Time, id flowID, o *opening, p *Packet) {
	if o != nil {
		e.repeated(now, o)
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
	o = &opening{id: id, raw: slices.Clone(p.Raw), route: route, first: now, opened: now.Add(-copyAge(p.Copy)), seen: now}
	e.openings.flows[id] = o
	if e.routes == nil {
		o.due = now.Add(openingFor)
		e.wakeAt(o.due)
		return
	}
	e.choose(now, o)
}

// copyAge is the age of a flow by the number of its opening packet.
func copyAge(number uint32) time.Duration {
	switch number {
	case 0:
		return 0
	case 1:
		return firstCopy
	default:
		return secondCopy
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

// repeated handles the caller's copy of an opening: the last upstream did not
// answer, or its answer was lost.
func (e *Edge) repeated(now time.Time, o *opening) {
	o.seen = now
	switch o.phase {
	case offered:
		if now.Sub(o.offered) >= e.openings.hedgeAfter() {
			e.hedge(now, o)
		}
	case opened, waiting, asking:
	}
}

// choose finds the next upstream for an opening, with the help of the instance
// that accounts for a group of upstreams.
func (e *Edge) choose(now time.Time, o *opening) {
	if !o.grouped {
		o.group, o.grouped = e.random.IntN(e.placer.Groups(o.route.Service)), true
	}
	a := e.accountant(now, o.route.Service, o.group)
	if o.ask == 0 || a != o.accountant {
		e.openings.ask++
		o.ask = e.openings.ask
	}
	o.phase, o.accountant = asking, a
	e.openings.asks[o.ask] = o
	ask := e.askFor(now, o)
	if a == nil {
		e.askSelf(now, o, &ask)
		return
	}
	o.due = now.Add(askWait)
	m := e.tell(a)
	m.Asks = append(m.Asks, ask)
	e.wakeAt(o.due)
}

func (e *Edge) askFor(now time.Time, o *opening) Ask {
	return Ask{
		Number: o.ask, Flow: o.id.hash(), Service: o.route.Service, Group: o.group, Avoid: slices.Clone(o.tries), Age: now.Sub(o.opened), Seen: now.Sub(o.seen),
		Target: o.route.Target, Deadline: o.route.Deadline, Priority: o.route.Priority, Bulk: o.route.Work == catalog.Bulk,
	}
}

// askSelf places an opening at the upstreams that this instance accounts for.
func (e *Edge) askSelf(now time.Time, o *opening, a *Ask) {
	t := ticketOf(now, a, e.config.DataCentre)
	e.placeOwn(now, o, a, &t)
}

// chooseAlone places an opening by what this instance knows, at its share of
// the pace of all: the others may have to do the same.
func (e *Edge) chooseAlone(now time.Time, o *opening) {
	ask := e.askFor(now, o)
	t := ticketOf(now, &ask, e.config.DataCentre)
	t.Request.Group, t.Alone = placer.Any, true
	e.openings.asks[o.ask] = o
	if number := e.placeOwn(now, o, &ask, &t); number != 0 {
		e.report(now, o.route.Service, Report{Upstream: number, Taken: 1})
	}
}

// placeOwn places an opening without another instance, or lets it wait here.
func (e *Edge) placeOwn(now time.Time, o *opening, a *Ask, t *placer.Ticket) uint64 {
	number, verdict := e.account(now, asker{nil, a.Number}, a.Flow, t)
	switch verdict {
	case placer.Full:
		o.phase, o.queued, o.due = asking, true, now.Add(queueRefresh)
		e.wakeAt(o.due)
		if now.Equal(o.first) {
			e.logQueue(o)
		}
		return 0
	case placer.None:
		t.Request.Suspects = true
		if number, verdict = e.placer.Place(now, t.Request); verdict != placer.Placed {
			e.unplaced(now, o)
			return 0
		}
	case placer.Placed:
	}
	delete(e.openings.asks, a.Number)
	e.offer(now, o, number)
	return number
}

// coldAllowed tells whether this instance may give flows to cold upstreams.
func (e *Edge) coldAllowed(now time.Time, service string, group int) bool {
	return now.Sub(e.started) >= settleFor && e.accountant(now, service, group) == nil && e.mostly(now)
}

// unplaced refuses an opening that no upstream can take, or waits for the
// outcome of the tries made.
func (e *Edge) unplaced(now time.Time, o *opening) {
	if len(o.tries) > 0 {
		o.phase, o.due = offered, o.opened.Add(openingFor)
		e.wakeAt(o.due)
		return
	}
	e.refuse(o.id, "no-upstream")
	delete(e.openings.flows, o.id)
}

// offer sends an opening to an upstream.
func (e *Edge) offer(now time.Time, o *opening, number uint64) {
	u := e.upstreams.byNumber[number]
	o.phase, o.offered, o.due = offered, now, now.Add(e.openings.hedgeAfter()<<len(o.tries))
	o.tries = append(o.tries, number)
	if len(o.tries) > 1 {
		e.counts.Hedged++
		e.flowLog("hedged", o.id, "upstream", u.key, "try", strconv.Itoa(len(o.tries)), "after", now.Sub(o.first).String())
	}
	e.emit(Effect{Kind: Forward, Upstream: u.info.Address, Number: number, Token: u.token, Raw: o.raw})
	e.wakeAt(o.due)
}

// silent goes on after an opening was not acknowledged in time. Just after the
// start the fabric spreads flows anew, and acknowledgements pass through other
// instances: a further upstream would only be loaded in vain.
func (e *Edge) silent(now time.Time, o *opening) {
	last := o.tries[len(o.tries)-1]
	if now.Sub(e.openings.acknowledgedAt) < acknowledgedFor && e.placer.Unanswered(now, last, e.config.Self.String()) {
		e.logSuspect(last, e.config.Self)
	}
	if e.starting(now) {
		o.due = o.opened.Add(openingFor)
		e.wakeAt(o.due)
		return
	}
	e.hedge(now, o)
}

// hedge sends an opening that stays silent to one more upstream.
func (e *Edge) hedge(now time.Time, o *opening) {
	if len(o.tries) >= maxTries {
		o.due = o.opened.Add(openingFor)
		e.wakeAt(o.due)
		return
	}
	e.choose(now, o)
}

// hedgeAfter is the time in which nearly all acknowledgements come.
func (s *openings) hedgeAfter() time.Duration {
	if s.acknowledgement == 0 {
		return 2 * firstAcknowledgement
	}
	return min(max(s.acknowledgement+4*s.deviation, minHedge), maxHedge)
}

// measure takes in one time to an acknowledgement.
func (s *openings) measure(took time.Duration) {
	if s.acknowledgement == 0 {
		s.acknowledgement, s.deviation = took, took/2
		return
	}
	s.deviation += ((took - s.acknowledgement).Abs() - s.deviation) / 4
	s.acknowledgement += (took - s.acknowledgement) / 8
}

// established handles a later packet of a flow whose opening is known here.
func (e *Edge) established(now time.Time, o *opening, p *Packet) {
	number := o.chosen
	if o.phase != opened {
		u, ok := e.upstreams.byToken[p.Token]
		if !ok || !slices.Contains(o.tries, u.info.Number) {
			e.counts.UnknownToken++
			e.flowLog("unknown-token", o.id, "token", hex(p.Token), "through", revision(e.catalog.Through()))
			return
		}
		number = u.info.Number
		e.acknowledged(now, o, number)
	}
	u, ok := e.upstreams.byNumber[number]
	if !ok {
		delete(e.openings.flows, o.id)
		return
	}
	e.forward(u, p)
	if p.Role == flow.Close || p.Role == flow.Reset {
		delete(e.openings.flows, o.id)
		e.finished(now, number)
	}
}

// acknowledged notes which upstream the caller opened the flow at. A flow that
// was offered to several is kept to that one, whatever token follows.
func (e *Edge) acknowledged(now time.Time, o *opening, number uint64) {
	e.counts.Opened++
	e.openings.acknowledgedAt = now
	e.placer.Answered(number)
	e.report(now, o.route.Service, Report{Upstream: number, Answered: 1})
	e.cancelAsk(o)
	if len(o.tries) == 1 {
		e.openings.measure(now.Sub(o.offered))
		delete(e.openings.flows, o.id)
		return
	}
	for _, t := range o.tries {
		if t != number {
			e.unanswered(now, o.route.Service, t)
		}
	}
	o.phase, o.chosen, o.due = opened, number, now.Add(pinnedFor)
}

// cancelAsk ends the search for a further upstream.
func (e *Edge) cancelAsk(o *opening) {
	delete(e.openings.asks, o.ask)
	e.accounts.queue.Remove(o.id.hash())
}

// unanswered notes that an upstream did not answer an opening that another one
// answered.
func (e *Edge) unanswered(now time.Time, service string, number uint64) {
	e.accounts.freed = true
	e.placer.Moved(number, 1)
	if e.placer.Silent(now, number, 1, e.config.Self.String(), true) {
		e.logSuspect(number, e.config.Self)
	}
	e.report(now, service, Report{Upstream: number, Moved: 1, Silent: 1})
}

func (e *Edge) logSuspect(number uint64, reporter netip.AddrPort) {
	if u, ok := e.upstreams.byNumber[number]; ok {
		e.log("upstream-suspect", "upstream", u.key, "reporter", reporter.String())
	}
}

// finished notes the end of a flow.
func (e *Edge) finished(now time.Time, number uint64) {
	u := e.upstreams.byNumber[number]
	e.accounts.freed = true
	e.placer.Finished(now, number, 1)
	e.report(now, u.info.Service, Report{Upstream: number, Finished: 1})
}

// report queues an outcome for the instance that accounts for the upstream.
func (e *Edge) report(now time.Time, service string, r Report) {
	a := e.accountant(now, service, e.placer.GroupOf(service, r.Upstream))
	if a == nil {
		return
	}
	s := &e.openings
	for i := range s.reports {
		if q := &s.reports[i].report; s.reports[i].to == a && q.Upstream == r.Upstream {
			q.Finished, q.Moved = q.Finished+r.Finished, q.Moved+r.Moved
			q.Taken, q.Answered, q.Silent = q.Taken+r.Taken, q.Answered+r.Answered, q.Silent+r.Silent
			return
		}
	}
	if len(s.reports) == 0 {
		s.flushAt = now.Add(reportInterval)
		e.wakeAt(s.flushAt)
	}
	s.reports = append(s.reports, report{a, r})
}

// addReports lets outcomes ride along with a message to their accountant.
func (e *Edge) addReports(p *peer, m *Message) {
	s := &e.openings
	s.reports = slices.DeleteFunc(s.reports, func(r report) bool {
		if r.to != p {
			return false
		}
		m.Reports = append(m.Reports, r.report)
		return true
	})
}

// flushReports sends outcomes that have waited.
func (e *Edge) flushReports(now time.Time) {
	s := &e.openings
	if len(s.reports) == 0 {
		return
	}
	if now.Before(s.flushAt) {
		e.wakeAt(s.flushAt)
		return
	}
	for _, r := range s.reports {
		e.tell(r.to)
	}
}

// refuseUnrouted resets a flow whose address has no route. While nobody reads
// the store a route may have been added: the caller's copy is awaited then.
func (e *Edge) refuseUnrouted(now time.Time, id flowID) {
	if !e.informed(now) {
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
		if now.Before(o.due) {
			e.wakeAt(o.due)
			continue
		}
		switch {
		case o.phase == opened:
			delete(e.openings.flows, id)
		case now.Sub(o.opened) >= openingFor:
			e.abandon(now, o)
		case o.phase == asking:
			e.unheard(now, o)
		case o.phase == offered:
			e.silent(now, o)
		case o.phase == waiting:
			o.due = o.opened.Add(openingFor)
		}
	}
}

// abandon forgets an opening that its caller has given up.
func (e *Edge) abandon(now time.Time, o *opening) {
	e.counts.Abandoned++
	delete(e.openings.flows, o.id)
	e.cancelAsk(o)
	e.flowLog("abandoned", o.id, "tries", strconv.Itoa(len(o.tries)), "phase", strconv.Itoa(int(o.phase)))
}

func hex(t token.Token) string { return strconv.FormatUint(uint64(t), 16) }

func (e *Edge) flowLog(event string, id flowID, pairs ...string) {
	e.log(event, append([]string{"flow", id.source.String() + "," + id.destination.String()}, pairs...)...)
}
