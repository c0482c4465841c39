// Package admission decides in which order new flows get the room that the upstreams of a
// service have, and which of them are refused because there is none in time.
package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/scheduler"
)

const (
	// retryTimeout is the time after which a flow is dropped if the request to place
	// it is not repeated: the caller has given up or another instance has placed the
	// flow. Callers retransmit at most 400 ms apart.
	retryTimeout = 500 * time.Millisecond
	// strictRetryTimeout is that of strict flows, whose requests are repeated with the
	// caller's second retransmission only, 600 ms after the first packet.
	strictRetryTimeout = 750 * time.Millisecond
	// queueShareOfTarget is the part of the target time that a flow may spend waiting
	// and still be answered in time. The rest is for the work and the network.
	queueShareOfTarget = 0.5
	// turnAfter is the number of more urgent flows that are served before one of the
	// least urgent ones that wait: these keep a tenth of the room at least.
	turnAfter = 9
)

// PendingFlow is a flow that waits for an upstream to become free.
type PendingFlow struct {
	Request scheduler.Request
	// Opened is the time at which the caller opened the flow.
	Opened time.Time
	// LastPacket is the time of the caller's last packet.
	LastPacket time.Time
	// LastRequested is the time of the last request to place the flow.
	LastRequested time.Time
	// Target and Deadline count from Opened.
	Target   time.Duration
	Deadline time.Duration
	Priority int
	// WithoutCoordinator marks a flow that an instance places without asking its
	// coordinator.
	WithoutCoordinator bool
	// Strict puts priority before lateness, so that a less urgent flow does not go before
	// a late urgent one.
	Strict bool
}

// Late reports whether the flow has waited too long to meet its target.
func (t *PendingFlow) Late(now time.Time) bool {
	return now.Sub(t.Opened) > time.Duration(queueShareOfTarget*float64(t.Target))
}

// expired reports whether the caller has given up or asks elsewhere.
func (t *PendingFlow) expired(now time.Time) bool {
	timeout := retryTimeout
	if t.Strict {
		timeout = strictRetryTimeout
	}
	return now.Sub(t.Opened) >= t.Deadline || now.Sub(t.LastRequested) >= timeout
}

// scope identifies the upstreams that a flow may use.
type scope struct {
	service string
	group   int
}

func (t *PendingFlow) scope() scope { return scope{t.Request.Service, t.Request.Group} }

// lineKey identifies the flows that are served in one order.
type lineKey struct {
	scope
	priority int
}

// Queue orders waiting flows while upstreams are full, for example after a power
// failure, when a whole second's callers and their retries arrive at once. Flows
// that can still meet their target go first, late ones after them. Both are ordered
// by priority, then by the most recent packet of the caller. First in, first out
// would serve each flow just as its time runs out (Maurer, Fail at Scale, 2015), and
// a caller that has not been heard from for long may have given up. Strict flows are
// ordered by priority first, and the least urgent ones that wait get every tenth turn.
// The zero value is empty and ready for use. It is not safe for concurrent use.
type Queue[K comparable] struct {
	waiting map[K]*waitingFlow[K]
	lines   map[lineKey]*line[K]
	// passed counts the flows that were served in a row before less urgent ones.
	passed map[scope]int
}

// waitingFlow is a flow in a line.
type waitingFlow[K comparable] struct {
	PendingFlow
	key K
	// late is true if the flow stands among the late ones.
	late bool
}

// before reports whether w is served before b.
func (w *waitingFlow[K]) before(b *waitingFlow[K]) bool {
	byLateness := 0
	if w.late != b.late {
		byLateness = 1
		if b.late {
			byLateness = -1
		}
	}
	byPriority := cmp.Compare(w.Priority, b.Priority)
	if w.Strict && b.Strict {
		byLateness, byPriority = byPriority, byLateness
	}
	return cmp.Or(byLateness, byPriority, b.LastPacket.Compare(w.LastPacket)) < 0
}

// line holds the waiting flows of one scope and priority: those that can still meet their
// target and the late ones. A flow is moved to the late ones when it is due to be served.
type line[K comparable] struct {
	inTime, late ordered[K]
	// since is when the first flow came into the empty line.
	since time.Time
}

func (l *line[K]) len() int { return len(l.inTime) + len(l.late) }

func (l *line[K]) listOf(w *waitingFlow[K]) *ordered[K] {
	if w.late {
		return &l.late
	}
	return &l.inTime
}

// next returns the flow to serve first. The flow with the most recent packet goes first, but
// in a line of strict flows that was empty not long ago none has to be left behind: there the
// one that has waited longest goes first (adaptive LIFO, Maurer 2015). The line must not be
// empty.
func (l *line[K]) next(now time.Time) *waitingFlow[K] {
	if len(l.inTime) == 0 {
		return l.late[len(l.late)-1]
	}
	oldest := l.inTime[0]
	if oldest.Strict && now.Sub(l.since) <= time.Duration(queueShareOfTarget*float64(oldest.Target)) {
		return oldest
	}
	return l.inTime[len(l.inTime)-1]
}

// ordered holds flows by the time of their last packet, the most recent one at its end.
type ordered[K comparable] []*waitingFlow[K]

// push adds a flow, which mostly is the most recent one.
func (o *ordered[K]) push(w *waitingFlow[K]) {
	n := len(*o)
	for n > 0 && (*o)[n-1].LastPacket.After(w.LastPacket) {
		n--
	}
	*o = slices.Insert(*o, n, w)
}

func (o *ordered[K]) remove(w *waitingFlow[K]) {
	n, _ := slices.BinarySearchFunc(*o, w, func(a, b *waitingFlow[K]) int { return a.LastPacket.Compare(b.LastPacket) })
	for ; n < len(*o); n++ {
		if (*o)[n] == w {
			*o = slices.Delete(*o, n, n+1)
			return
		}
	}
}

// Add enqueues a flow, or replaces a waiting one and keeps the later
// LastPacket.
func (q *Queue[K]) Add(key K, t PendingFlow) {
	if old, ok := q.waiting[key]; ok {
		if old.LastPacket.After(t.LastPacket) {
			t.LastPacket = old.LastPacket
		}
		q.Remove(key)
	}
	if q.waiting == nil {
		q.waiting, q.lines, q.passed = make(map[K]*waitingFlow[K]), make(map[lineKey]*line[K]), make(map[scope]int)
	}
	w := &waitingFlow[K]{PendingFlow: t, key: key}
	k := w.lineKey()
	if q.lines[k] == nil {
		q.lines[k] = &line[K]{since: t.LastRequested}
	}
	q.waiting[key] = w
	q.lines[k].inTime.push(w)
}

func (t *PendingFlow) lineKey() lineKey { return lineKey{t.scope(), t.Priority} }

// Remove removes a flow from the queue. Unknown keys are ignored.
func (q *Queue[K]) Remove(key K) {
	w, ok := q.waiting[key]
	if !ok {
		return
	}
	delete(q.waiting, key)
	l := q.lines[w.lineKey()]
	l.listOf(w).remove(w)
	if l.len() == 0 {
		delete(q.lines, w.lineKey())
	}
}

// RemoveGroup removes all flows that may use only the given group of a service.
func (q *Queue[K]) RemoveGroup(service string, group int) {
	for k, l := range q.lines {
		if k.scope != (scope{service, group}) {
			continue
		}
		for _, w := range slices.Concat(l.inTime, l.late) {
			q.Remove(w.key)
		}
	}
}

// Len returns the number of waiting flows.
func (q *Queue[K]) Len() int { return len(q.waiting) }

// Serve calls place with waiting flows, best first. A flow leaves the queue if
// place returns true. If it returns false, the group of the flow is full and the
// flows of that group that are no more urgent are skipped. Flows past their deadline,
// and flows whose placement is no longer requested, are dropped.
func (q *Queue[K]) Serve(now time.Time, place func(key K, t *PendingFlow) bool) {
	var full []scope
	for len(q.waiting) > 0 {
		best := q.best(now, full)
		if best == nil {
			return
		}
		turn := q.turn(now, best)
		if turn != best {
			turn.Request.Urgent = true
		}
		if !place(turn.key, &turn.PendingFlow) {
			full = append(full, best.scope())
			continue
		}
		q.countTurn(now, turn)
		q.Remove(turn.key)
	}
}

// best returns the waiting flow to place next, nil if there is none.
func (q *Queue[K]) best(now time.Time, full []scope) *waitingFlow[K] {
	var best *waitingFlow[K]
	for k, l := range q.lines {
		if slices.Contains(full, k.scope) {
			continue
		}
		if w := q.first(now, l); w != nil && (best == nil || w.before(best)) {
			best = w
		}
	}
	return best
}

// turn returns the flow to serve instead of the best one of its scope: the least urgent
// one if enough others have been served before it.
func (q *Queue[K]) turn(now time.Time, best *waitingFlow[K]) *waitingFlow[K] {
	if !best.Strict || q.passed[best.scope()] < turnAfter {
		return best
	}
	if least := q.leastUrgent(now, best.scope()); least != nil {
		return least
	}
	return best
}

// countTurn counts a flow that is served before less urgent ones.
func (q *Queue[K]) countTurn(now time.Time, w *waitingFlow[K]) {
	if least := q.leastUrgent(now, w.scope()); least == nil || least.Priority <= w.Priority {
		delete(q.passed, w.scope())
		return
	}
	q.passed[w.scope()]++
}

func (q *Queue[K]) leastUrgent(now time.Time, s scope) *waitingFlow[K] {
	var least *waitingFlow[K]
	for k, l := range q.lines {
		if k.scope != s {
			continue
		}
		if w := q.first(now, l); w != nil && (least == nil || w.Priority > least.Priority) {
			least = w
		}
	}
	return least
}

// first returns the flow of a line to place next, nil if there is none. It drops expired
// flows that it meets, and moves those that have become late.
func (q *Queue[K]) first(now time.Time, l *line[K]) *waitingFlow[K] {
	for l.len() > 0 {
		w := l.next(now)
		switch {
		case w.expired(now):
			q.Remove(w.key)
		case !w.late && w.Late(now):
			l.inTime.remove(w)
			w.late = true
			l.late.push(w)
		default:
			return w
		}
	}
	return nil
}

// DropExpired drops the flows past their deadline and those whose placement is no longer
// requested.
func (q *Queue[K]) DropExpired(now time.Time) {
	for key, w := range q.waiting {
		if w.expired(now) {
			q.Remove(key)
		}
	}
}

// Excess returns up to count flows of the least urgent line of a group beyond the given
// length of all its lines: those whose turn would come last. The caller has to remove
// them.
func (q *Queue[K]) Excess(now time.Time, service string, group, length, count int) []K {
	s, waiting := scope{service, group}, 0
	for k, l := range q.lines {
		if k.scope == s {
			waiting += l.len()
		}
	}
	least := q.leastUrgent(now, s)
	if waiting <= length || least == nil {
		return nil
	}
	late := q.lines[least.lineKey()].late
	var keys []K
	for _, w := range late[:min(len(late), count, waiting-length)] {
		keys = append(keys, w.key)
	}
	return keys
}
