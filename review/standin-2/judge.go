package main

import (
	"bufio"
	"fmt"
	"net/netip"
	"os"
	"sort"
	"sync"
	"time"
)

const (
	// contactTime is contact-ms, reorderTime flow-reorder-ms, drainTime drain-timeout-ms,
	// lifetime flow-lifetime-s and idleTime the idle-timeout-ms of the configuration.
	contactTime = 4 * time.Second
	reorderTime = 2 * time.Second
	drainTime   = 3 * time.Second
	idleTime    = 15 * time.Second
	lifetime    = 60 * time.Second
	// misroutedPackets is the number of packets at other endpoints that breaks FLOW.
	misroutedPackets = 3
)

// recorder writes record.txt.
type recorder struct {
	started time.Time
	mu      sync.Mutex
	lines   []line
	// notable holds the flows whose lines are written, those of others are left out.
	notable map[netip.AddrPort]bool
}

// line is a line of the record, of one flow or, if src is zero, of all.
type line struct {
	src  netip.AddrPort
	text string
}

func newRecorder() *recorder {
	return &recorder{started: time.Now(), notable: make(map[netip.AddrPort]bool)}
}

func (r *recorder) event(format string, args ...any) { r.flowEvent(netip.AddrPort{}, format, args...) }

// flowEvent records what happened to a flow. It is written if the flow is notable in the end.
func (r *recorder) flowEvent(src netip.AddrPort, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line{src, fmt.Sprintf("%8.3f ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, args...)})
}

// note makes a flow notable.
func (r *recorder) note(src netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notable[src] = true
}

func (r *recorder) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(f)
	for _, l := range r.lines {
		if l.src == (netip.AddrPort{}) || r.notable[l.src] {
			_, _ = fmt.Fprintln(w, l.text)
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return f.Close()
}

// history is what is known of one flow.
type history struct {
	zone     string
	sentAt   time.Time
	own      *endpoint
	openedAt time.Time
	lastSeen time.Time
	closed   bool
	// astray holds the packets that reached other endpoints since the last one that
	// reached the flow's own.
	astray   []arrival
	lastVia  *instance
	reported bool
}

type arrival struct {
	at  time.Time
	via *instance
	to  *endpoint
}

// query is what is known of one request.
type query struct {
	id       uint64
	src      netip.AddrPort
	sent     time.Duration
	ran      []string
	ranAt    time.Duration
	answered time.Duration
	outcome  string
}

// judge sees what clients and endpoints see and judges the rules.
type judge struct {
	bed     *bed
	planned bool

	mu         sync.Mutex
	flows      map[netip.AddrPort]*history
	queries    []*query
	violations map[string]int
	notOpen    int
}

func newJudge(b *bed) *judge {
	return &judge{bed: b, flows: make(map[netip.AddrPort]*history), violations: make(map[string]int)}
}

func (j *judge) since() time.Duration { return time.Since(j.bed.record.started) }

func (j *judge) violation(rule, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violationLocked(rule, format, args...)
}

func (j *judge) violationLocked(rule, format string, args ...any) {
	j.violations[rule]++
	j.bed.record.event("BROKEN %s: %s", rule, fmt.Sprintf(format, args...))
}

func (j *judge) sent(src netip.AddrPort, zone string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.flows[src] = &history{zone: zone, sentAt: time.Now()}
}

func (j *judge) notOpened(src netip.AddrPort) {
	j.mu.Lock()
	j.notOpen++
	j.mu.Unlock()
	j.bed.record.event("flow %s did not open", src)
}

// opened records that an endpoint has the end of a flow's handshake.
func (j *judge) opened(src netip.AddrPort, e *endpoint, via *instance) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if h := j.flows[src]; h != nil && h.own == nil {
		h.own, h.openedAt, h.lastSeen = e, time.Now(), time.Now()
		j.bed.record.flowEvent(src, "flow %s open at %s via %s", src, e.id, nameOf(via))
	}
}

// closing records that the client of a flow has sent a FIN.
func (j *judge) closing(src netip.AddrPort) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if h := j.flows[src]; h != nil {
		h.closed = true
	}
}

// excused reports whether a flow is one that rules do not count.
func (h *history) excused(now time.Time) bool {
	return h.own == nil || now.Sub(h.openedAt) > lifetime || now.Sub(h.lastSeen) > idleTime
}

// reached records that a packet of a flow other than an opening one reached an endpoint.
func (j *judge) reached(src netip.AddrPort, e *endpoint, via *instance) {
	j.mu.Lock()
	defer j.mu.Unlock()
	h := j.flows[src]
	if h == nil || h.own == nil {
		return
	}
	now := time.Now()
	if h.own == e {
		h.astray, h.lastSeen = nil, now
		return
	}
	if h.closed || h.excused(now) {
		return
	}
	inTouch := via != nil && via.inTouch(now)
	j.bed.record.note(src)
	j.bed.record.event("flow %s: a packet reached %s via %s, the flow is open at %s (%s in touch: %v)", src, e.id, nameOf(via), h.own.id, nameOf(via), inTouch)
	if !inTouch && !j.planned {
		h.astray = nil
		return
	}
	h.astray = append(h.astray, arrival{now, via, e})
	if n := len(h.astray); n >= misroutedPackets && now.Sub(h.astray[0].at) >= reorderTime && !h.reported {
		h.reported = true
		j.violationLocked("FLOW", "(b) flow %s, open at %s: %d packets in %s reached other endpoints (the last %s via %s) and none its own",
			src, h.own.id, n, now.Sub(h.astray[0].at).Round(time.Millisecond), e.id, nameOf(via))
	}
}

func (j *judge) willReset(src netip.AddrPort, via *instance) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if h := j.flows[src]; h != nil {
		h.lastVia = via
	}
}

// reset records that a client got a reset.
func (j *judge) reset(src, from netip.AddrPort, p *packet) {
	j.mu.Lock()
	defer j.mu.Unlock()
	h, now := j.flows[src], time.Now()
	sender, via := "", j.bed.instanceAt(from)
	if via != nil {
		sender = via.name
	} else if e := j.bed.endpointAt(from); e != nil {
		sender, via = e.id, h.lastVia
	}
	j.bed.record.note(src)
	j.bed.record.event("flow %s: reset by %s, caused through %s", src, sender, nameOf(via))
	if h.own == nil || h.closed || h.excused(now) || sender == h.own.id {
		return
	}
	if j.planned || via != nil && via.inTouch(now) {
		if !h.reported {
			h.reported = true
			j.violationLocked("FLOW", "(a) flow %s, open at %s: its client got a reset from %s", src, h.own.id, sender)
		}
	}
}

func (j *judge) newRequest(src netip.AddrPort) uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	q := &query{id: uint64(len(j.queries) + 1), src: src, sent: j.since(), outcome: "under way"}
	j.queries = append(j.queries, q)
	return q.id
}

func (j *judge) ran(id uint64, e *endpoint) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if id == 0 || id > uint64(len(j.queries)) {
		j.violationLocked("UNASKED", "%s ran request %d, which no client sent", e.id, id)
		return
	}
	q := j.queries[id-1]
	q.ranAt = j.since()
	if q.ran = append(q.ran, e.id); len(q.ran) > 1 {
		j.violationLocked("RUNS TWICE", "request %d ran at %v", id, q.ran)
	}
}

func (j *judge) answered(id uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	q := j.queries[id-1]
	q.answered, q.outcome = j.since(), "answered"
}

func (j *judge) unanswered(id uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.queries[id-1].outcome = "NEVER ANSWERED"
}

// summary writes all requests to the record and returns how many were answered.
func (j *judge) summary() (answered, lost int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, q := range j.queries {
		ran := "not run"
		if len(q.ran) > 0 {
			ran = fmt.Sprintf("ran at %v %.3f", q.ran, q.ranAt.Seconds())
		}
		line := fmt.Sprintf("request %d on flow %s: sent %.3f, %s, %s", q.id, q.src, q.sent.Seconds(), ran, q.outcome)
		switch q.outcome {
		case "answered":
			answered++
			line += fmt.Sprintf(" %.3f", q.answered.Seconds())
		case "NEVER ANSWERED":
			lost++
		}
		j.bed.record.event("%s", line)
	}
	var rules []string
	for rule, n := range j.violations {
		rules = append(rules, fmt.Sprintf("%s %d", rule, n))
	}
	sort.Strings(rules)
	j.bed.record.event("requests answered %d, never answered %d, flows that did not open %d; broken: %v", answered, lost, j.notOpen, rules)
	return answered, lost
}

func nameOf(i *instance) string {
	if i == nil {
		return "nobody"
	}
	return i.name
}
