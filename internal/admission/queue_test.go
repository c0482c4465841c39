package admission

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/chervilhaven/chervilhaven/internal/scheduler"
)

// at returns the time d after an arbitrary start.
func at(d time.Duration) time.Time { return time.Unix(1_700_000_000, 0).Add(d) }

func pending(opened time.Duration, priority int) PendingFlow {
	return PendingFlow{
		Request: scheduler.Request{Service: "desk"}, Opened: at(opened), LastPacket: at(opened), LastRequested: at(time.Second),
		Target: 150 * time.Millisecond, Deadline: 1400 * time.Millisecond, Priority: priority,
	}
}

func TestServeOrdersByLatenessPriorityAndLastSeen(t *testing.T) {
	var q Queue[string]
	q.Add("late", pending(700*time.Millisecond, 0))
	q.Add("late, seen again", func() PendingFlow {
		t := pending(400*time.Millisecond, 0)
		t.LastPacket = at(990 * time.Millisecond)
		return t
	}())
	q.Add("fresh", pending(950*time.Millisecond, 2))
	q.Add("fresher", pending(980*time.Millisecond, 2))
	q.Add("urgent", pending(940*time.Millisecond, 1))
	var order []string
	q.Serve(at(time.Second), func(key string, _ *PendingFlow) bool { order = append(order, key); return true })
	want := []string{"urgent", "fresher", "fresh", "late, seen again", "late"}
	if d := cmp.Diff(want, order); d != "" {
		t.Errorf("order (-want +got):\n%s", d)
	}
}

func TestServeSkipsFullGroups(t *testing.T) {
	var q Queue[int]
	for n := range 10 {
		pending := pending(900*time.Millisecond, 0)
		pending.Request.Group = n % 2
		q.Add(n, pending)
	}
	placed := 0
	q.Serve(at(time.Second), func(_ int, t *PendingFlow) bool {
		if t.Request.Group == 0 {
			return false
		}
		placed++
		return true
	})
	if placed != 5 || q.Len() != 5 {
		t.Errorf("%d flows were placed and %d wait, want 5 and 5", placed, q.Len())
	}
}

func TestServeDropsExpiredAndAbandonedFlows(t *testing.T) {
	var q Queue[string]
	q.Add("deadline", pending(-500*time.Millisecond, 0))
	abandoned := pending(900*time.Millisecond, 0)
	abandoned.LastRequested = at(400 * time.Millisecond)
	q.Add("no longer requested", abandoned)
	q.Serve(at(time.Second), func(key string, _ *PendingFlow) bool { t.Errorf("%s was placed", key); return true })
	if q.Len() != 0 {
		t.Errorf("%d flows still wait, want 0", q.Len())
	}
}

// strict returns a pending flow that was opened the given time after the start.
func strict(opened time.Duration, priority int) PendingFlow {
	t := pending(opened, priority)
	t.Strict = true
	return t
}

// An urgent flow that has become late goes before a patient one that is not.
func TestStrictFlowsGoByPriorityFirst(t *testing.T) {
	var q Queue[string]
	q.Add("late", strict(600*time.Millisecond, 2))
	q.Add("urgent, late", strict(700*time.Millisecond, 1))
	q.Add("fresh", strict(980*time.Millisecond, 2))
	q.Add("urgent", strict(950*time.Millisecond, 1))
	var order []string
	q.Serve(at(time.Second), func(key string, _ *PendingFlow) bool { order = append(order, key); return true })
	want := []string{"urgent", "urgent, late", "fresh", "late"}
	if d := cmp.Diff(want, order); d != "" {
		t.Errorf("order (-want +got):\n%s", d)
	}
}

// Urgent flows alone exceed the room. The least urgent ones that wait keep a tenth of it,
// also where only urgent flows find room.
func TestLeastUrgentFlowsKeepTheirShare(t *testing.T) {
	var q Queue[int]
	served := map[int]int{}
	for n := range 1000 {
		now := at(time.Second + time.Duration(n)*time.Millisecond)
		for k, priority := range []int{1, 1, 2} {
			f := strict(time.Second+time.Duration(n)*time.Millisecond, priority)
			f.LastRequested = now
			q.Add(10*n+k, f)
		}
		room := 1
		q.Serve(now, func(_ int, t *PendingFlow) bool {
			if room == 0 || t.Priority == 2 && !t.Request.Urgent {
				return false
			}
			room--
			served[t.Priority]++
			return true
		})
	}
	if served[2] < 95 || served[2] > 105 {
		t.Errorf("%d of 1000 flows served are of the least urgent class, want 100 (%v)", served[2], served)
	}
}

// A group that serves 100 flows a second and has 300 waiting cannot serve them all while
// their callers wait. Those whose turn comes last are refused, as many as the refusals of a
// tenth of the placements allow.
func TestFlowsWithoutChanceAreRefused(t *testing.T) {
	var q Queue[int]
	var r Refusals
	for n := range 100 {
		r.Placed(at(time.Duration(n) * 10 * time.Millisecond))
	}
	for n := range 300 {
		q.Add(n, strict(500*time.Millisecond+time.Duration(n)*time.Millisecond, 1+n%2))
	}
	now := at(time.Second)
	q.Serve(now, func(int, *PendingFlow) bool { return false })
	line := r.Line(now, 1400*time.Millisecond)
	if line != 140 {
		t.Errorf("the line may be %d flows long, want 140", line)
	}
	refused := q.Excess(now, "desk", 0, line, r.Allowed())
	if d := cmp.Diff([]int{1, 3, 5, 7, 9, 11, 13, 15, 17, 19}, refused); d != "" {
		t.Errorf("refused flows (-want +got):\n%s", d)
	}
	r.Refused(len(refused))
	if r.Allowed() != 0 {
		t.Errorf("%d more may be refused, want 0", r.Allowed())
	}
	if got := q.Excess(now, "desk", 0, 300, 100); got != nil {
		t.Errorf("%v are refused from a line that is not too long", got)
	}
}

// In a line that was empty a moment ago the flow that has waited longest goes first. In one
// that has been standing for longer the most recent one does, as the others are late by the
// time that it is their turn.
func TestOldestFlowGoesFirstWhileLineIsShort(t *testing.T) {
	order := func(standing time.Duration) (keys []int) {
		var q Queue[int]
		for n := range 3 {
			f := strict(960*time.Millisecond+time.Duration(n)*10*time.Millisecond, 1)
			f.LastRequested = at(time.Second - standing)
			q.Add(n, f)
		}
		q.Serve(at(time.Second), func(key int, _ *PendingFlow) bool { keys = append(keys, key); return true })
		return keys
	}
	if d := cmp.Diff([]int{0, 1, 2}, order(40*time.Millisecond)); d != "" {
		t.Errorf("order in a short line (-want +got):\n%s", d)
	}
	if d := cmp.Diff([]int{2, 1, 0}, order(300*time.Millisecond)); d != "" {
		t.Errorf("order in a standing line (-want +got):\n%s", d)
	}
}

// Three times as many flows ask for room as there is. The share that may ask falls until the
// coordinator hears of twice as many as it can place.
func TestThrottleLetsTwiceThePlacementsPass(t *testing.T) {
	var throttle Throttle
	passed, placed, turn := 0, 0, 0.0
	for n := range 6000 {
		now := at(time.Duration(n) * time.Millisecond)
		throttle.Requested(now)
		// Spread evenly: every share of the requests passes.
		turn += 1 - throttle.Excess()
		if turn < 1 {
			continue
		}
		turn--
		if n >= 3000 {
			passed++
		}
		if n%3 == 0 || passed%2 == 0 && n%4 == 1 {
			throttle.Placed(now)
			if n >= 3000 {
				placed++
			}
		}
	}
	if passed < placed || passed > 3*placed {
		t.Errorf("%d of 3000 requests passed for %d placements, want about twice as many", passed, placed)
	}
	var idle Throttle
	for n := range 100 {
		idle.Requested(at(time.Duration(n) * time.Millisecond))
		idle.Placed(at(time.Duration(n) * time.Millisecond))
	}
	if e := idle.Excess(); e > 0 {
		t.Errorf("a share of %.2f is held back although all are placed", e)
	}
}
