package admission

import "time"

const (
	// rateWindow is the time over which the rate of placements is measured.
	rateWindow = time.Second
	// placedPerRefusal is the number of placements for each refusal. A caller that is
	// refused comes back at once, while one that waits is served when there is room:
	// refusals must not add more to the load than the tries of a tenth of all callers.
	placedPerRefusal = 10
	// maxSavedRefusals bounds the refusals that are saved up.
	maxSavedRefusals = 50
	// minLine is the number of waiting flows that are never too many.
	minLine = 32
)

// Refusals decides how many of the flows that wait for room at a group of upstreams have
// to be refused, because the group cannot serve them before their callers give up. The
// zero value is ready for use.
type Refusals struct {
	// placed and last are the numbers of placements since the start of the window and in
	// the one before.
	placed, last int
	since        time.Time
	// unused is the number of placements that no refusal has been counted for.
	unused int
}

// Placed counts a flow that was placed in the group.
func (r *Refusals) Placed(now time.Time) {
	r.roll(now)
	r.placed++
	r.unused = min(r.unused+1, placedPerRefusal*maxSavedRefusals)
}

func (r *Refusals) roll(now time.Time) {
	age := now.Sub(r.since)
	if age < rateWindow {
		return
	}
	r.last, r.placed = r.placed, 0
	if age >= 2*rateWindow {
		r.last = 0
	}
	r.since = now
}

// Line returns the number of flows that the group can serve while a caller waits.
func (r *Refusals) Line(now time.Time, patience time.Duration) int {
	r.roll(now)
	rate := float64(max(r.last, r.placed)) / rateWindow.Seconds()
	return max(minLine, int(rate*patience.Seconds()))
}

// Allowed returns how many flows may be refused now.
func (r *Refusals) Allowed() int { return r.unused / placedPerRefusal }

// Refused counts refusals.
func (r *Refusals) Refused(count int) { r.unused -= placedPerRefusal * count }
