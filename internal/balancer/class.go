package balancer

import (
	"slices"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

const (
	// quotaDecrease is the factor applied to the quotas of less strict classes
	// while a stricter class misses its target.
	quotaDecrease = 0.7
	// quotaIncrease is the fraction of an upstream's connections by which a
	// class's quota recovers per window without a miss.
	quotaIncrease = 0.05
	// minSamples is the number of responses that a window needs before the
	// share of those in time is meaningful.
	minSamples = 5
)

// classQuota limits the open flows of one class on one upstream.
type classQuota struct {
	class *view.Class
	// limit is the maximum number of open flows of the class.
	limit float64
	open  int
	// met and missed count the responses of the current window that met or
	// missed the target. metTotal and missedTotal cover the earlier windows
	// since this instance took over the upstream.
	met, missed           int
	metTotal, missedTotal uint64
}

// updateClasses switches to the classes of s. Classes that remain keep their
// quotas and counters.
func (o *ownedUpstream) updateClasses(s *service) {
	o.service = s
	same := slices.EqualFunc(o.quotas, s.Classes, func(r classQuota, c *view.Class) bool { return r.class.Name == c.Name })
	if same {
		for i, c := range s.Classes {
			o.quotas[i].class = c
		}
		o.recountBulk()
		return
	}
	newIndex := make([]int8, len(o.quotas))
	quotas := make([]classQuota, len(s.Classes))
	for i, c := range s.Classes {
		quotas[i] = classQuota{class: c, limit: float64(o.target.Connections)}
	}
	for i, r := range o.quotas {
		newIndex[i] = int8(slices.IndexFunc(s.Classes, func(c *view.Class) bool { return c.Name == r.class.Name }))
		if newIndex[i] >= 0 {
			quotas[newIndex[i]] = r
			quotas[newIndex[i]].class = s.Classes[newIndex[i]]
		}
	}
	o.records.Each(func(_ flow.ID, r *record) bool {
		if r.class >= 0 {
			r.class = newIndex[r.class]
		}
		return true
	})
	o.quotas = quotas
	o.recountBulk()
}

// recountBulk recounts the slots in use by bulk flows.
func (o *ownedUpstream) recountBulk() {
	o.bulk = 0
	for _, r := range o.active {
		if o.isBulk(r) {
			o.bulk++
		}
	}
}

// isBulk reports whether the flow belongs to a bulk class, one whose work has a
// target for completion as a whole rather than for each response.
func (o *ownedUpstream) isBulk(r *record) bool {
	return r.class >= 0 && o.quotas[r.class].class.Target.Whole
}

// occupySlot marks the flow as using a slot.
func (o *ownedUpstream) occupySlot(id flow.ID, r *record) {
	if r.has(active) {
		return
	}
	r.set(active)
	o.active[id] = r
	if o.isBulk(r) {
		o.bulk++
	}
}

// releaseSlot frees the flow's slot, if it uses one.
func (o *ownedUpstream) releaseSlot(id flow.ID, r *record) {
	if !r.has(active) {
		return
	}
	r.clear(active | awaitingResponse)
	delete(o.active, id)
	if o.isBulk(r) {
		o.bulk--
	}
}

// incrementOpen adds the flow to the open flows of its class.
func (o *ownedUpstream) incrementOpen(r *record) {
	if r.class >= 0 {
		o.quotas[r.class].open++
	}
}

// decrementOpen removes the flow from the open flows of its class.
func (o *ownedUpstream) decrementOpen(r *record) {
	if r.class >= 0 && !r.has(stale) {
		o.quotas[r.class].open--
	}
}

// countResponse counts a response that took the elapsed time as meeting or
// missing the target of its class.
func (o *ownedUpstream) countResponse(class int, elapsed time.Duration) {
	if class < 0 {
		return
	}
	quota := &o.quotas[class]
	deadline := quota.class.AnswerWithin()
	if deadline == 0 || elapsed <= deadline {
		quota.met++
		return
	}
	quota.missed++
}

// underQuota reports whether the class may open one more flow.
func (o *ownedUpstream) underQuota(class int) bool {
	quota := &o.quotas[class]
	return float64(quota.open) < max(quota.limit, 1)
}

// slotsBusy reports whether bulk flows use so many slots that a flow of the
// class would have to queue behind them. Bulk classes leave one slot to
// stricter classes. Short requests are not counted: waiting behind them costs
// less than relaying every packet of the flow.
func (o *ownedUpstream) slotsBusy(class int) bool {
	slots := o.target.Slots
	if o.quotas[class].class.Target.Whole && o.hasStricter(class) {
		slots = max(1, slots-1)
	}
	return o.bulk >= slots
}

// hasStricter reports whether a class with a stricter target shares the
// upstream.
func (o *ownedUpstream) hasStricter(class int) bool {
	return slices.ContainsFunc(o.quotas, func(q classQuota) bool {
		return stricter(q.class, o.quotas[class].class)
	})
}

// stricter reports whether class a takes priority over class b: interactive
// classes come before bulk ones, then shorter response deadlines before longer
// ones.
func stricter(a, b *view.Class) bool {
	if a.Target.Whole != b.Target.Whole {
		return b.Target.Whole
	}
	if a.AnswerWithin() == 0 || b.AnswerWithin() == 0 {
		return a.AnswerWithin() != 0 && b.AnswerWithin() == 0
	}
	return a.AnswerWithin() < b.AnswerWithin()
}

// adjustQuotas closes the window once it has ended. The quotas of less strict
// classes shrink while a stricter class misses its target and recover slowly
// afterwards.
func (o *ownedUpstream) adjustQuotas(now time.Time, window time.Duration) {
	if now.Before(o.windowEnd) {
		return
	}
	o.windowEnd = now.Add(window)
	for i := range o.quotas {
		o.adjustQuota(&o.quotas[i])
	}
	for i := range o.quotas {
		q := &o.quotas[i]
		q.metTotal += uint64(q.met)
		q.missedTotal += uint64(q.missed)
		q.met, q.missed = 0, 0
	}
}

func (o *ownedUpstream) adjustQuota(quota *classQuota) {
	connections := float64(o.target.Connections)
	for _, other := range o.quotas {
		if stricter(other.class, quota.class) && other.missesTarget() {
			quota.limit = max(1, min(quota.limit, float64(quota.open))*quotaDecrease)
			return
		}
	}
	quota.limit = min(connections, quota.limit+connections*quotaIncrease)
}

// missesTarget reports whether the class missed its target in the current
// window.
func (q *classQuota) missesTarget() bool {
	total := q.met + q.missed
	return total >= minSamples && float64(q.met) < q.class.Target.Share*float64(total)
}
