package placer

import (
	"cmp"
	"slices"
	"time"
)

// Ticket is a flow that waits for an upstream to become free.
type Ticket struct {
	Request Request
	// Opened is the time at which the caller opened the flow.
	Opened time.Time
	// Seen is the time of the caller's last packet.
	Seen time.Time
	// Asked is the time at which the flow was last asked for.
	Asked time.Time
	// Target and Deadline count from Opened.
	Target   time.Duration
	Deadline time.Duration
	Priority int
	// Alone marks a flow that is placed without the accounting instance.
	Alone bool
}

// retryTimeout is the time after which a flow that is not asked for again has been
// given up or placed by another instance: a caller's copies come 400 ms apart
// at most.
const retryTimeout = 500 * time.Millisecond

// queueShareOfTarget is the part of the target up to which a waiting flow can still
// be answered in time: the rest is for the work and the way.
const queueShareOfTarget = 0.5

// Late tells whether the target can no longer be met.
func (t *Ticket) Late(now time.Time) bool {
	return now.Sub(t.Opened) > time.Duration(queueShareOfTarget*float64(t.Target))
}

// Queue orders waiting flows while upstreams are full, as after a loss of
// power, when the callers of a second and their retries come at once. Flows
// that can meet their target go first, late ones after them; both by priority,
// the one whose caller was seen last first. In turn, each would be served when
// its time is over (Maurer, Fail at Scale, 2015), and a caller that was not
// seen for long may have given up. The zero value is empty.
type Queue[K comparable] struct {
	waiting map[K]*Ticket
}

// Add lets a flow wait, or replaces what is known of it.
func (q *Queue[K]) Add(key K, t Ticket) {
	if q.waiting == nil {
		q.waiting = make(map[K]*Ticket)
	}
	if held, ok := q.waiting[key]; ok && held.Seen.After(t.Seen) {
		t.Seen = held.Seen
	}
	q.waiting[key] = &t
}

// Remove ends the wait of a flow.
func (q *Queue[K]) Remove(key K) { delete(q.waiting, key) }

// Drop ends the wait of all flows that may use only one group of upstreams.
func (q *Queue[K]) Drop(service string, group int) {
	for k, t := range q.waiting {
		if t.scope() == (scope{service, group}) {
			delete(q.waiting, k)
		}
	}
}

// Len returns the number of waiting flows.
func (q *Queue[K]) Len() int { return len(q.waiting) }

// Serve gives waiting flows to place, the best first, until the upstreams that
// it may use are full: place returns false then. Flows whose deadline has
// passed, or that nobody asks for any more, are dropped.
func (q *Queue[K]) Serve(now time.Time, place func(key K, t *Ticket) bool) {
	var full []scope
	for len(q.waiting) > 0 {
		key, best := q.best(now, full)
		if best == nil {
			return
		}
		if place(key, best) {
			delete(q.waiting, key)
		} else {
			full = append(full, best.scope())
		}
	}
}

// best returns the waiting flow to place next, and drops those that are over.
func (q *Queue[K]) best(now time.Time, full []scope) (K, *Ticket) {
	var key K
	var best *Ticket
	for k, t := range q.waiting {
		switch {
		case now.Sub(t.Opened) >= t.Deadline || now.Sub(t.Asked) >= retryTimeout:
			delete(q.waiting, k)
		case slices.Contains(full, t.scope()):
		case best == nil || compare(now, t, best) < 0:
			key, best = k, t
		}
	}
	return key, best
}

// scope names the upstreams that a flow may use.
type scope struct {
	service string
	group   int
}

func (t *Ticket) scope() scope { return scope{t.Request.Service, t.Request.Group} }

func compare(now time.Time, a, b *Ticket) int {
	if late := a.Late(now); late != b.Late(now) {
		if late {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), b.Seen.Compare(a.Seen))
}
