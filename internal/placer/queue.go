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
	// Target and Deadline count from Opened.
	Target   time.Duration
	Deadline time.Duration
	Priority int
}

// answerShare is the part of the target up to which a waiting flow can still
// be answered in time: the rest is for the work and the way.
const answerShare = 0.5

// late tells whether the target can no longer be met.
func (t *Ticket) late(now time.Time) bool {
	return now.Sub(t.Opened) > time.Duration(answerShare*float64(t.Target))
}

// Queue orders waiting flows while upstreams are full, as after a loss of
// power, when the callers of a second and their retries come at once. Flows
// that can meet their target go first, by priority, the newest first: serving
// them in turn would make each one late. Late ones follow, by priority, those
// with the nearest deadline first. The zero value is empty.
type Queue[K comparable] struct {
	waiting map[K]*Ticket
}

// Add lets a flow wait, or replaces what is known of it.
func (q *Queue[K]) Add(key K, t Ticket) {
	if q.waiting == nil {
		q.waiting = make(map[K]*Ticket)
	}
	q.waiting[key] = &t
}

// Remove ends the wait of a flow.
func (q *Queue[K]) Remove(key K) { delete(q.waiting, key) }

// Len returns the number of waiting flows.
func (q *Queue[K]) Len() int { return len(q.waiting) }

// Serve gives each waiting flow to place, in order, until place has no room
// for one, and drops those whose deadline has passed. Place returns false when
// the upstreams that the flow may use are full.
func (q *Queue[K]) Serve(now time.Time, place func(key K, t *Ticket) bool) {
	if len(q.waiting) == 0 {
		return
	}
	keys := make([]K, 0, len(q.waiting))
	for key, t := range q.waiting {
		if now.Sub(t.Opened) >= t.Deadline {
			delete(q.waiting, key)
			continue
		}
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b K) int { return compare(now, q.waiting[a], q.waiting[b]) })
	full := make(map[reach]bool)
	for _, key := range keys {
		t := q.waiting[key]
		which := reach{t.Request.Service, t.Request.Group}
		if full[which] {
			continue
		}
		if !place(key, t) {
			full[which] = true
			continue
		}
		delete(q.waiting, key)
	}
}

// reach names the upstreams that a flow may use.
type reach struct {
	service string
	group   int
}

func compare(now time.Time, a, b *Ticket) int {
	if late := a.late(now); late != b.late(now) {
		if late {
			return 1
		}
		return -1
	} else if late {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), a.Opened.Add(a.Deadline).Compare(b.Opened.Add(b.Deadline)))
	}
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), b.Opened.Compare(a.Opened))
}
