package scheduler

import (
	"time"

	"github.com/chervilhaven/chervilhaven/internal/outlier"
	"github.com/chervilhaven/chervilhaven/internal/work"
)

// judgeAnswers weighs answers of an upstream of which some came too soon. It returns true
// if the upstream has been ejected, or no longer is.
func (p *Scheduler) judgeAnswers(now time.Time, u *upstream, more work.Increase) bool {
	if u.mayShed(now, p.pools[u.info.Service]) {
		return false
	}
	u.outlier.Add(now, int(more.Answers), int(more.Early))
	if more.Early == 0 && !u.outlier.Ejected(now) {
		return false
	}
	pl, groups := p.pools[u.info.Service], p.Groups(u.info.Service)
	var group []*outlier.Detector
	for _, m := range pl.members {
		if groupOf(m.info.Number, groups) == groupOf(u.info.Number, groups) && m.state != Closed {
			group = append(group, &m.outlier)
		}
	}
	return u.outlier.Judge(now, group)
}

// mayShed reports whether the upstream has so much to do that requests may find its queue
// full. That it refuses them at once then is no fault.
func (u *upstream) mayShed(now time.Time, pl *pool) bool {
	return u.load(now, pl) >= boundPerSlot*float64(max(u.info.Slots, 1))
}

// IsEjected reports whether the upstream gets trial flows only, because too many of its
// answers come too soon.
func (p *Scheduler) IsEjected(now time.Time, number uint64) bool {
	u, ok := p.upstreams[number]
	return ok && u.outlier.Ejected(now)
}

// allowsOutlier reports whether the upstream is not ejected or may get a flow as its next
// trial. Urgent flows are no trials.
func (u *upstream) allowsOutlier(now time.Time, r Request) bool {
	return !u.outlier.Ejected(now) || !r.Urgent && u.outlier.AllowsTrial(now, len(u.placed), u.lastPlacement)
}
