// Package placer chooses the upstream of each new flow: the one where it waits
// least, by the flows that are outstanding there. It answers a load in which
// upstreams with two slots are half busy or more, where placing by chance
// keeps one request in three waiting although slots are free elsewhere.
package placer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
)

// Bounds of placing.
const (
	// maxGroupSize is the number of upstreams of a service up to which one
	// instance accounts for all of them: it bounds the messages that one
	// instance gets, and leaves enough slots in a group to level the load.
	maxGroupSize = 32
	// flowExpiryFactor times the usual length of a flow is the time after
	// which a flow without a reported end no longer counts: the report was lost
	// or went to another accounting instance. Nearly all work is shorter, and a
	// flow that is counted too long keeps a free upstream idle.
	flowExpiryFactor = 4
	// earlyEndRetention is the time for which the end of a flow waits for the word that
	// it counts: the time in which instances that start together find the one
	// that accounts.
	earlyEndRetention = 500 * time.Millisecond
	// recentWindow is the time for which flows count towards a Limit: about what
	// a flow takes at an upstream that is free.
	recentWindow = 2 * initialServiceTime
	// initialServiceTime is the work of a request while none has been measured.
	initialServiceTime = 30 * time.Millisecond
	// serviceTimeGain is the weight of a new measurement, as in RFC 6298.
	serviceTimeGain = 1.0 / 8
	// longLivedSample is the number of flows over which those that outlasted their
	// count are compared with those that ended in it, and keptFactor the
	// preponderance from which flows are taken to stay open between requests. A
	// partition or a restart loses some ends, not most.
	longLivedSample = 50
	longLivedRatio = 4
	// maxServiceTime bounds the length of flows that outlast their count.
	maxServiceTime = time.Minute
	// slowFactor is the work beyond that of the others from which an upstream
	// counts as slow; within it, differences are those of the requests.
	slowFactor = 2
	// serviceTimeHalfLife is the time after which the measured work of an upstream that
	// got nothing is halved, so that one that has recovered is tried.
	serviceTimeHalfLife = time.Second
	// silentThreshold is the number of unanswered openings in a row, each
	// answered by another upstream, that make an upstream suspect.
	silentThreshold = 2
	// unansweredThreshold is the number of openings in a row without an
	// acknowledgement in time that make an upstream suspect; one in a hundred
	// is late or takes another way.
	unansweredThreshold = 3
	// maxUnansweredFlows bounds the unanswered openings that are remembered: those
	// of the time from offering to suspicion, on two instances.
	maxUnansweredFlows = 16
	// minSuspectTime and maxSuspectFor bound the time that a suspect gets
	// nothing; it doubles while trials stay unanswered. The shorter one is the
	// time in which a crashed upstream is replaced or a cut ends at best.
	minSuspectTime    = 2 * time.Second
	maxSuspectTime = 8 * time.Second
	// trialTimeout is the time after which a test without outcome is repeated: a
	// caller has sent its opening twice by then.
	trialTimeout = 500 * time.Millisecond
	// boundPerSlot times the slots and one are the flows given to an upstream:
	// a slot is busy for half of the time from grant to report, and one more
	// keeps it busy when work ends early.
	boundPerSlot = 2
	// bulkPerSlot is the number of bulk flows that share a slot: the transfer
	// of an answer takes several times the work.
	bulkPerSlot = 8
	// probeGain is the growth of the pace while flows end as fast as they are
	// placed, that of BBR's probing (Cardwell et al. 2016).
	probeGain = 1.25
	// coldShare is the part of what a cold upstream bears that one instance
	// gives it. Two instances may account for it while members change.
	coldShare = 0.5
)

// State says what an upstream may be used for.
type State uint8

// States of an upstream.
const (
	// Closed upstreams get no new flows.
	Closed State = iota
	// Unreachable ones are out of reach as far as is known; they are the last
	// choice.
	Unreachable
	// Doubtful ones vanished from the store a short while ago; they are used
	// where the open ones are full.
	Doubtful
	// Open ones get new flows.
	Open
)

// Request describes a new flow.
type Request struct {
	Service string
	// Flow identifies the flow, for its end.
	Flow uint64
	// Group restricts the choice to one group; Any does not.
	Group int
	// DataCentre is preferred among equals.
	DataCentre string
	// Target is the declared time to an answer.
	Target time.Duration
	// Far are data centres that are the last choice, as they seem cut off.
	Far []string
	// Avoid are upstreams not to be used.
	Avoid []uint64
	// Cold allows cold upstreams, for the instance that accounts for them.
	Cold bool
	// Suspects allows upstreams that do not seem to answer.
	Suspects bool
	// Bounded keeps to the number of flows that an upstream works on at once,
	// and a few on their way.
	Bounded bool
	// Limit bounds the flows of the whole service that were placed within the
	// time that a flow takes, where no more than that ended in this time;
	// 0 does not.
	Limit int
	// Bulk marks flows that last longer than the upstream works for them.
	Bulk bool
}

// Any is the group of a request that may use all upstreams.
const Any = -1

// Placer knows the outstanding flows of upstreams. The zero value is empty.
type Placer struct {
	// Random breaks ties.
	Random    *rand.Rand
	upstreams map[uint64]*upstream
	pools     map[string]*pool
	candidates   []*upstream
}

// pool is the upstreams of one service, ordered by number.
type pool struct {
	upstreams []*upstream
	coldPerSecond float64
	// maxTarget is the longest declared time to an answer seen so far.
	maxTarget time.Duration
	// endedInTime and outlasted are the numbers of recent flows that endedInTime while they
	// counted, and that did not.
	endedInTime     int
	expired int
	// endTimes are the times of late at which flows ended, counted ones or not.
	endTimes []time.Time
	// medianServiceTime is the median work of the upstreams, as of measured.
	medianServiceTime    time.Duration
	medianAt time.Time
}

// Set takes over what is known of an upstream. A new start of the upstream
// clears what was measured.
func (p *Placer) Set(now time.Time, info catalog.Upstream, state State, coldPerSecond float64) {
	if p.upstreams == nil {
		p.upstreams, p.pools = make(map[uint64]*upstream), make(map[string]*pool)
	}
	u, ok := p.upstreams[info.Number]
	if ok && u.info.Service != info.Service {
		p.Remove(info.Number)
		ok = false
	}
	if !ok {
		u = &upstream{}
		p.upstreams[info.Number] = u
		u.info = info
		p.add(u)
	}
	if !info.Started.Equal(u.info.Started) {
		u.outstanding, u.serviceTime, u.suspicion = u.outstanding[:0], 0, suspicion{}
	}
	u.info, u.state = info, state
	u.coldUntil = now.Add(info.ColdFor)
	p.pools[info.Service].coldPerSecond = coldPerSecond
}

// SetState changes what an upstream may be used for.
func (p *Placer) SetState(number uint64, state State) {
	if u, ok := p.upstreams[number]; ok {
		u.state = state
	}
}

func (p *Placer) add(u *upstream) {
	l := p.pools[u.info.Service]
	if l == nil {
		l = &pool{}
		p.pools[u.info.Service] = l
	}
	i, _ := slices.BinarySearchFunc(l.upstreams, u, byNumber)
	l.upstreams = slices.Insert(l.upstreams, i, u)
}

func byNumber(a, b *upstream) int { return cmp.Compare(a.info.Number, b.info.Number) }

// Remove forgets an upstream.
func (p *Placer) Remove(number uint64) {
	u, ok := p.upstreams[number]
	if !ok {
		return
	}
	delete(p.upstreams, number)
	l := p.pools[u.info.Service]
	if i, found := slices.BinarySearchFunc(l.upstreams, u, byNumber); found {
		l.upstreams = slices.Delete(l.upstreams, i, i+1)
	}
}

// Groups returns the number of groups of a service.
func (p *Placer) Groups(service string) int {
	groups := 1
	if l := p.pools[service]; l != nil {
		for len(l.upstreams) > groups*maxGroupSize {
			groups *= 2
		}
	}
	return groups
}

// groupOf spreads upstreams over groups; the numbers are random.
func groupOf(number uint64, groups int) int {
	return int((number * 0x9e3779b97f4a7c15 >> 32) % uint64(groups))
}

// Verdict is the outcome of placing a flow.
type Verdict uint8

// Verdicts.
const (
	// None tells that no upstream may be used.
	None Verdict = iota
	// Full tells that all that may be used are at their bound.
	Full
	// Placed tells that an upstream was chosen and the flow counted there.
	Placed
)

// Place chooses the upstream of a new flow and counts the flow there.
func (p *Placer) Place(now time.Time, r Request) (number uint64, verdict Verdict) {
	l := p.pools[r.Service]
	if l == nil {
		return 0, None
	}
	l.maxTarget = max(l.maxTarget, r.Target)
	l.updateMedian(now)
	if r.Limit > 0 && l.recentFlows(now) >= max(r.Limit, 1+int(probeGain*float64(l.recentEnds(now)))) {
		return 0, Full
	}
	for _, state := range []State{Open, Doubtful, Unreachable} {
		if verdict == Full && state == Unreachable {
			break
		}
		p.collectCandidates(now, l, r, state)
		u := p.leastLoaded(now, l, r)
		switch {
		case u == nil:
		case r.Bounded && u.atBound(now, l, r.Bulk):
			verdict = Full
		default:
			u.addFlow(now, placedFlow{r.Flow, now})
			return u.info.Number, Placed
		}
	}
	return 0, verdict
}

// recentFlows returns the number of flows placed of late at all upstreams.
func (l *pool) recentFlows(now time.Time) int {
	n := 0
	for _, u := range l.upstreams {
		for _, g := range u.outstanding {
			if now.Sub(g.at) < recentWindow {
				n++
			}
		}
	}
	return n
}

// recentEnds returns the number of flows that ended of late.
func (l *pool) recentEnds(now time.Time) int {
	n := 0
	for n < len(l.endTimes) && now.Sub(l.endTimes[n]) >= recentWindow {
		n++
	}
	l.endTimes = slices.Delete(l.endTimes, 0, n)
	return len(l.endTimes)
}

// Slots returns the slots of the upstreams of a service that may be used and
// the number of their data centres.
func (p *Placer) Slots(service string) (slots, dataCentres int) {
	l := p.pools[service]
	if l == nil {
		return 0, 0
	}
	seen := make(map[string]bool)
	for _, u := range l.upstreams {
		if u.state != Closed {
			slots += max(u.info.Slots, 1)
			seen[u.info.DataCentre] = true
		}
	}
	return slots, len(seen)
}

// Outstanding is a flow that counts at an upstream since it was placed.
type Outstanding struct {
	Upstream uint64
	Flow     uint64
	At       time.Time
}

// Count counts a flow that another instance placed or counted.
func (p *Placer) Count(now time.Time, o Outstanding) {
	if u, ok := p.upstreams[o.Upstream]; ok && u.indexOf(o.Flow) < 0 && !u.endedEarly(now, o.Flow) {
		u.addFlow(now, placedFlow{o.Flow, o.At})
	}
}

// Take returns the flows that count in a group, and those that ended of late
// without having counted, and forgets them.
func (p *Placer) Take(now time.Time, service string, group int) (flows, ended []Outstanding) {
	l := p.pools[service]
	if l == nil {
		return nil, nil
	}
	groups := p.Groups(service)
	for _, u := range l.upstreams {
		if groupOf(u.info.Number, groups) != group {
			continue
		}
		u.expire(now, l)
		for _, g := range u.outstanding {
			flows = append(flows, Outstanding{u.info.Number, g.flow, g.at})
		}
		for _, g := range u.earlyEnds {
			if now.Sub(g.at) <= earlyEndRetention {
				ended = append(ended, Outstanding{u.info.Number, g.flow, g.at})
			}
		}
		u.outstanding, u.earlyEnds = u.outstanding[:0], u.earlyEnds[:0]
	}
	return flows, ended
}

// GroupOf returns the group of an upstream.
func (p *Placer) GroupOf(service string, number uint64) int {
	return groupOf(number, p.Groups(service))
}

// Usable tells whether any upstream of the service may be used at all.
func (p *Placer) Usable(service string) bool {
	l := p.pools[service]
	return l != nil && slices.ContainsFunc(l.upstreams, func(u *upstream) bool { return u.state != Closed })
}

// collectCandidates gathers the upstreams that may be used.
func (p *Placer) collectCandidates(now time.Time, l *pool, r Request, state State) {
	p.candidates = p.candidates[:0]
	groups := 1
	if r.Group != Any {
		groups = p.Groups(r.Service)
	}
	for _, u := range l.upstreams {
		switch {
		case u.stateFor(r) != state, slices.Contains(r.Avoid, u.info.Number):
		case groups > 1 && groupOf(u.info.Number, groups) != r.Group:
		case !r.Suspects && !u.suspicion.allowsOpening(now), !u.allowsCold(now, l, r.Cold):
		default:
			p.candidates = append(p.candidates, u)
		}
	}
}

// leastLoaded returns the choice with the shortest time to an answer. Among equals
// it prefers the data centre, then chance.
func (p *Placer) leastLoaded(now time.Time, l *pool, r Request) *upstream {
	var best *upstream
	var least time.Duration
	ties := 0
	for _, u := range p.candidates {
		c := u.expectedTime(now, l)
		near := u.info.DataCentre == r.DataCentre
		switch {
		case best == nil || c < least || c == least && near && best.info.DataCentre != r.DataCentre:
			best, least, ties = u, c, 1
		case c == least && near == (best.info.DataCentre == r.DataCentre):
			if ties++; p.Random != nil && p.Random.IntN(ties) == 0 {
				best = u
			}
		}
	}
	return best
}

// recordOutcomes counts flows that ended while they counted, and that did not.
func (l *pool) recordOutcomes(ended, outlasted int) {
	l.endedInTime, l.expired = l.endedInTime+ended, l.expired+outlasted
	if l.endedInTime+l.expired > longLivedSample {
		l.endedInTime, l.expired = l.endedInTime/2, l.expired/2
	}
}

// longLived tells whether flows outlast by far the time for which they count,
// so that counting them says nothing about the load.
func (l *pool) longLived() bool {
	return l.expired > longLivedSample/4 && l.expired > longLivedRatio*l.endedInTime
}

// flowExpiry is the time after which a flow that nobody saw end is forgotten.
func (l *pool) flowExpiry() time.Duration { return flowExpiryFactor * max(l.medianServiceTime, initialServiceTime) }

// updateMedian brings the median work up to date.
func (l *pool) updateMedian(now time.Time) {
	if now.Sub(l.medianAt) < serviceTimeHalfLife/4 && l.medianServiceTime > 0 {
		return
	}
	l.medianAt = now
	works := make([]time.Duration, 0, len(l.upstreams))
	for _, u := range l.upstreams {
		if u.serviceTime > 0 {
			works = append(works, u.serviceTime)
		}
	}
	l.medianServiceTime = max(initialServiceTime, l.maxTarget/2)
	if len(works) > 0 {
		slices.Sort(works)
		l.medianServiceTime = works[len(works)/2]
	}
}

// Finished notes the end of a flow. One that does not count here tells nothing
// of the upstream: another instance placed it, or it was forgotten.
func (p *Placer) Finished(now time.Time, number, flow uint64) {
	u, ok := p.upstreams[number]
	if !ok {
		return
	}
	if u.suspicion.hasUnanswered(flow) {
		p.Answered(number)
	}
	l := p.pools[u.info.Service]
	l.recentEnds(now)
	l.endTimes = append(l.endTimes, now)
	u.expire(now, l)
	work, counted := u.endFlow(now, flow)
	if !counted {
		return
	}
	// A caller that gives up ends its flow as well: this says nothing of life now.
	l.recordOutcomes(1, 0)
	if u.serviceTime == 0 {
		u.serviceTime = work
	}
	u.serviceTime += time.Duration(serviceTimeGain * float64(work-u.serviceTime))
}

// Moved notes that another upstream answered a flow.
func (p *Placer) Moved(number, flow uint64) {
	u, ok := p.upstreams[number]
	if !ok {
		return
	}
	if n := u.indexOf(flow); n >= 0 {
		u.outstanding = slices.Delete(u.outstanding, n, n+1)
	}
}

// Counted returns the number of flows that count at the upstream.
func (p *Placer) Counted(now time.Time, number uint64) int {
	u, ok := p.upstreams[number]
	if !ok {
		return 0
	}
	u.expire(now, p.pools[u.info.Service])
	return len(u.outstanding)
}
