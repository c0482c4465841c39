package scheduler

import (
	"net/netip"
	"slices"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/speed"
	"github.com/chervilhaven/chervilhaven/internal/work"
)

// RecordWork takes over what an instance says of the work at an upstream. It returns true
// if the upstream has been ejected, or no longer is. Unknown upstreams are ignored.
func (p *Scheduler) RecordWork(now time.Time, source netip.AddrPort, t work.Total) bool {
	u, ok := p.upstreams[t.Upstream]
	if !ok {
		return false
	}
	more := u.work.Record(now, source, t)
	if more.Ended > 0 {
		p.recordSpeed(now, u, more)
	}
	return more.Answers > 0 && p.judgeAnswers(now, u, more)
}

// recordSpeed learns the speed of an upstream from requests of open flows.
func (p *Scheduler) recordSpeed(now time.Time, u *upstream, more work.Increase) {
	pl := p.pools[u.info.Service]
	u.reach.noteWork(now)
	took := time.Duration(float64(more.Took) / float64(more.Ended) / u.crowd(now, pl, u.load(now, pl)+1))
	pl.openDuration.Add(took)
	u.speed.Add(now, pl.openDuration.Ratio(took), int(more.Ended))
}

// Measured reports whether flows of the service stay open between requests, so that its
// upstreams are compared by their measured work and speed.
func (p *Scheduler) Measured(service string) bool {
	pl := p.pools[service]
	return pl != nil && pl.measured
}

// Measures is what is measured of an upstream.
type Measures struct {
	// Open is the number of flows that stay open, Work the average number of their requests
	// under way.
	Open int
	Work float64
	// Slowness is how long requests take compared with other upstreams.
	Slowness float64
	// AtOnce is the number of requests at once that the upstream takes well.
	AtOnce float64
}

// Measures returns what is measured of an upstream.
func (p *Scheduler) Measures(now time.Time, number uint64) Measures {
	u, ok := p.upstreams[number]
	if !ok {
		return Measures{}
	}
	pl := p.pools[u.info.Service]
	return Measures{u.work.Open(), u.work.Work(now, pl.workPerFlow), u.speed.Slowness(now), u.slots(now, pl)}
}

// ForgetWork drops what an instance said of the work at upstreams, because its process
// has ended.
func (p *Scheduler) ForgetWork(source netip.AddrPort) {
	for _, u := range p.upstreams {
		u.work.Forget(source)
	}
}

// SweepWork forgets old reports of work.
func (p *Scheduler) SweepWork(now time.Time) {
	for _, u := range p.upstreams {
		u.work.Sweep(now)
	}
}

// recordDuration learns the speed of an upstream from the first request of a flow.
func (pl *pool) recordDuration(now time.Time, u *upstream, f placed, took time.Duration) {
	if f.load == 0 {
		return
	}
	if pl.durations == nil {
		pl.durations = make(map[Class]*speed.Reference[time.Duration])
	}
	usual := pl.durations[f.class]
	if usual == nil {
		usual = &speed.Reference[time.Duration]{}
		pl.durations[f.class] = usual
	}
	u.curve.Add(now, usual.Ratio(took), f.load, float64(max(u.info.Slots, 1)))
	took = time.Duration(float64(took) / u.crowd(now, pl, f.load))
	usual.Add(took)
	u.speed.Add(now, usual.Ratio(took), 1)
}

// medianFactor returns the median of how much longer requests take at upstreams whose slots
// are all busy, 1 if it is not known.
func medianFactor(now time.Time, members []*upstream) float64 {
	factors := make([]float64, 0, len(members))
	for _, u := range members {
		if f := u.curve.Factor(now); f > 0 {
			factors = append(factors, f)
		}
	}
	if len(factors) == 0 {
		return 1
	}
	slices.Sort(factors)
	return factors[len(factors)/2]
}

// updateMeasures recomputes what is usual for the service: the average number of requests
// under way in an open flow, and how much upstreams slow down when they are busy.
func (pl *pool) updateMeasures(now time.Time) {
	underWay, open := 0.0, 0
	for _, u := range pl.members {
		underWay += u.work.Work(now, 0)
		open += u.work.Open()
	}
	pl.usualFactor = medianFactor(now, pl.members)
	pl.workPerFlow = underWay / float64(max(open, 1))
	pl.measured = pl.measured || open >= openPerUpstream*len(pl.members)
}

// load returns the number of requests that the upstream has, of flows of all kinds. Flows
// that outlast their expiry say nothing: what they bring is not known.
func (u *upstream) load(now time.Time, pl *pool) float64 {
	placed := len(u.placed)
	if pl.hasLongLived {
		placed = u.countWorking(pl)
	}
	return float64(placed) + u.work.Work(now, pl.workPerFlow)
}

// slots returns the number of requests at once that the upstream takes well.
func (u *upstream) slots(now time.Time, pl *pool) float64 {
	return u.curve.Slots(now, float64(max(u.info.Slots, 1)), pl.usualFactor)
}

// crowd returns the number of requests for each slot at a load, at least 1.
func (u *upstream) crowd(now time.Time, pl *pool, load float64) float64 {
	return max(1, load/u.slots(now, pl))
}

// measuredTime returns the expected time until one more flow gets its response, by the
// measured work and speed of the upstream. A flow that stays open will bring further
// requests: it counts the work that all open flows of the upstream are expected to bring,
// and it is better off in the data centre of its caller, as it cannot be moved if that is
// cut off.
func (u *upstream) measuredTime(now time.Time, pl *pool, r Request) time.Duration {
	slots := u.slots(now, pl)
	slowness := u.speed.Slowness(now)
	usual := float64(pl.medianServiceTime) * slowness
	if u.isCold(now, pl) && !u.doubt.silent {
		usual *= slowFactor
	}
	load, brought := u.load(now, pl), 0.0
	if pl.staysOpen(r.class()) {
		if u.info.DataCentre != r.DataCentre {
			usual *= remoteFactor
		}
		brought = float64(u.work.Open()) * pl.workPerFlow * slowness
		load = max(load, float64(len(u.placed))+brought)
	}
	waiting := max(0, load+1-slots)
	return time.Duration(usual * (1 + waiting/slots + min(load, slots)/(4*slots) + brought/slots))
}

// measuredAtBound reports whether the upstream has as many requests as it can answer
// soon.
func (u *upstream) measuredAtBound(now time.Time, pl *pool, r Request) bool {
	slots := u.slots(now, pl)
	if r.Bulk {
		slots *= bulkPerSlot
	}
	bound := measuredPerSlot * slots / max(u.speed.Slowness(now), 1/float64(maxSpeedup))
	if r.Urgent {
		bound += urgentPerSlot * slots
	}
	return u.load(now, pl)+1 > max(bound, 1)
}
