package measure

import "time"

// queue runs functions in simulated time, ordered by their time and then by the
// order in which they were scheduled.
type queue struct {
	now    time.Duration
	count  uint64
	events []event
}

// event is one scheduled function.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// after schedules run at the given delay from now. A negative delay counts as
// zero.
func (q *queue) after(delay time.Duration, run func()) {
	q.count++
	q.events = append(q.events, event{at: q.now + max(delay, 0), order: q.count, run: run})
	for i := len(q.events) - 1; i > 0; {
		parent := (i - 1) / 2
		if !q.less(i, parent) {
			return
		}
		q.events[i], q.events[parent] = q.events[parent], q.events[i]
		i = parent
	}
}

// advance runs all events up to and including the given time and sets the clock
// to it.
func (q *queue) advance(until time.Duration) {
	for len(q.events) > 0 && q.events[0].at <= until {
		next := q.pop()
		q.now = next.at
		next.run()
	}
	q.now = until
}

func (q *queue) less(i, j int) bool {
	a, b := &q.events[i], &q.events[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}

func (q *queue) pop() event {
	top, last := q.events[0], len(q.events)-1
	q.events[0] = q.events[last]
	q.events[last] = event{}
	q.events = q.events[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			return top
		}
		if child+1 < last && q.less(child+1, child) {
			child++
		}
		if !q.less(child, i) {
			return top
		}
		q.events[i], q.events[child] = q.events[child], q.events[i]
		i = child
	}
}
