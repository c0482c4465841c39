// Package scheduler chooses the upstream of each new flow: the one with the
// shortest expected wait, judged by its outstanding flows. It is made for services
// whose upstreams have two slots, that is, work on two requests at a time, and are
// at least half busy. There, random placement makes one request in three wait while
// slots are free at other upstreams.
//
// The upstreams of a service are split into groups. One instance, the coordinator
// of a group, tracks the outstanding flows of its upstreams and grants upstreams
// to the other instances.
package scheduler

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
	"github.com/chervilhaven/chervilhaven/internal/outlier"
	"github.com/chervilhaven/chervilhaven/internal/speed"
	"github.com/chervilhaven/chervilhaven/internal/work"
)

// Limits and time constants of placement.
const (
	// maxGroupSize is the average number of upstreams in a group above which the
	// groups are doubled. It bounds the messages that one coordinator receives and
	// leaves enough slots in a group to level the load.
	maxGroupSize = 32
	// flowExpiryFactor times the median service time is the time after which a
	// flow without a reported end is no longer counted. Its report was lost or
	// went to another coordinator. Nearly all work is shorter, and a flow that is
	// counted too long keeps a free upstream idle.
	flowExpiryFactor = 4
	// earlyEndRetention is how long the end of a flow is kept if it arrives before
	// the report that the flow was placed. Instances that start together take this
	// long to agree on the coordinator.
	earlyEndRetention = 500 * time.Millisecond
	// recentWindow is the time within which flows count towards Request.ServiceLimit:
	// about the duration of a flow at an idle upstream.
	recentWindow = 2 * initialServiceTime
	// initialServiceTime is the assumed service time until one has been measured.
	initialServiceTime = 30 * time.Millisecond
	// serviceTimeGain is the weight of a new measurement, as in RFC 6298.
	serviceTimeGain = 1.0 / 8
	// longLivedSample is the number of recent flows over which expired flows are
	// compared with flows that ended in time. Once expired flows exceed
	// longLivedRatio times the others, flows are assumed to stay open between
	// requests. A partition or a restart loses some ends, but not most.
	longLivedSample = 50
	longLivedRatio  = 4
	// maxServiceTime caps the service time that is inferred from expired flows.
	maxServiceTime = time.Minute
	// slowFactor times the median service time is where an upstream starts to
	// count as slow. Smaller differences are due to the requests.
	slowFactor = 2
	// serviceTimeHalfLife is the time after which the service time of an upstream
	// without new flows is halved, so that a recovered upstream is tried again.
	serviceTimeHalfLife = time.Second
	// silentThreshold is the number of consecutive openings (first packets of flows)
	// that make an upstream suspect if another upstream answers each of them instead.
	silentThreshold = 2
	// unansweredThreshold is the number of consecutive openings without a timely
	// acknowledgement that make an upstream suspect. One acknowledgement in a
	// hundred is late or takes another path.
	unansweredThreshold = 3
	// maxUnansweredFlows bounds the flows of unanswered openings that are
	// remembered. It covers what two instances send to an upstream between the
	// first unanswered opening and the suspicion.
	maxUnansweredFlows = 16
	// minSuspectTime and maxSuspectTime bound how long a suspect gets no flows.
	// The time doubles while trial openings stay unanswered. The minimum is the
	// shortest time in which a crashed upstream is replaced or a partition heals.
	minSuspectTime = 2 * time.Second
	maxSuspectTime = 8 * time.Second
	// trialTimeout is the time after which a trial opening without an outcome is
	// repeated. A caller has sent its opening packet twice by then.
	trialTimeout = 500 * time.Millisecond
	// boundPerSlot times the slots, plus one, is the bound on outstanding flows of
	// an upstream. A slot is busy for only half of the time from the grant to the
	// report of the end. The extra flow keeps it busy when work ends early.
	boundPerSlot = 2
	// measuredPerSlot times the slots is the bound on requests at an upstream whose work
	// is measured, if it is as fast as usual. Requests spend a third of their time on the
	// network, so that two a slot leave slots idle. urgentPerSlot is what urgent flows may
	// use beyond that: they do not wait behind others where order cannot be changed.
	measuredPerSlot = 3
	urgentPerSlot   = 1.5
	// bulkPerSlot is the number of bulk flows that share a slot: transferring the
	// response takes several times as long as the work.
	bulkPerSlot = 8
	// minIdleFlows is the number of flows of a class that have to stay open for that to be
	// more than chance.
	minIdleFlows = 5
	// openPerUpstream is the number of open flows for each upstream of a service that
	// shows that its flows stay open. A few are open because the packets that ended them
	// were lost.
	openPerUpstream = 2
	// remoteFactor is by how much longer an answer of another data centre may take to be
	// worth as much to a flow that stays open.
	remoteFactor = 1.5
	// maxSpeedup limits by how much the bound of an upstream rises because it is fast.
	maxSpeedup = 2
	// probeGain is the factor by which the placement rate may exceed the rate at
	// which flows end. It is the probing gain of BBR (Cardwell et al. 2016).
	probeGain = 1.25
	// coldShare is the part of a cold upstream's configured rate that one coordinator
	// uses. An upstream may have two coordinators while members change.
	coldShare = 0.5
)

// State is the eligibility of an upstream for new flows.
type State uint8

// States of an upstream, from least to most preferred.
const (
	// Closed upstreams get no new flows.
	Closed State = iota
	// Unreachable upstreams are in a data centre that seems to be cut off. They
	// are used only if no other upstream is eligible.
	Unreachable
	// Doubtful upstreams recently disappeared from the store. They are used if
	// no open upstream has room.
	Doubtful
	// Open upstreams get new flows.
	Open
)

// Request describes a new flow and the upstreams it may use.
type Request struct {
	Service string
	// Flow identifies the flow when its end is reported.
	Flow uint64
	// Group restricts the choice to one group of upstreams. AnyGroup does not.
	Group int
	// DataCentre is preferred among upstreams with equal expected time.
	DataCentre string
	// Target is the response time to meet.
	Target time.Duration
	// UnreachableDataCentres lists data centres that seem to be cut off. They are a last resort.
	UnreachableDataCentres []string
	// Avoid lists the numbers of upstreams that must not be used.
	Avoid []uint64
	// AllowCold permits cold (recently started) upstreams. Only their coordinator sets it.
	AllowCold bool
	// AllowSuspects permits upstreams that seem not to respond.
	AllowSuspects bool
	// Instances is the number of instances that may place flows as a last resort.
	Instances int
	// Bounded refuses upstreams that already have as many flows as they can work
	// on, plus a few in transit.
	Bounded bool
	// Urgent marks a flow that is more urgent than others of the service. At a measured
	// service it may use room that is kept free of these.
	Urgent bool
	// ServiceLimit bounds the outstanding flows of the whole service that were placed
	// within recentWindow. The bound rises with the number of flows that ended in this
	// window. 0 means no limit.
	ServiceLimit int
	// Bulk marks flows with large responses, which outlast the upstream's work.
	Bulk bool
}

// Class is what the flows of a service are told apart by: whether they stay open
// between requests is learnt for each class. Routes to one service that differ in
// kind have different targets.
type Class struct {
	Target time.Duration
	Bulk   bool
}

func (r *Request) class() Class { return Class{r.Target, r.Bulk} }

// AnyGroup as Request.Group permits the upstreams of all groups.
const AnyGroup = -1

// Scheduler tracks the outstanding flows of upstreams and places new ones. The zero
// value is empty and ready for use. It is not safe for concurrent use.
type Scheduler struct {
	// Random breaks ties. If nil, the first candidate wins.
	Random     *rand.Rand
	upstreams  map[uint64]*upstream
	pools      map[string]*pool
	candidates []*upstream
	// informed is true while entries of upstreams can be read.
	informed bool
}

// SetUpstream adds or updates an upstream. If the upstream has restarted, its outstanding
// flows, measurements and suspicion are cleared.
func (p *Scheduler) SetUpstream(now time.Time, info catalog.Upstream, state State) {
	if p.upstreams == nil {
		p.upstreams = make(map[uint64]*upstream)
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
		u.placed, u.serviceTime, u.suspicion, u.doubt, u.lastAnswer = u.placed[:0], 0, suspicion{}, doubt{}, time.Time{}
		u.work, u.reach, u.outlier = work.Ledger[netip.AddrPort]{}, reach{}, outlier.Detector{}
		u.speed, u.curve = speed.Estimate{}, speed.Curve{}
	}
	u.info, u.state = info, state
	u.coldUntil = now.Add(info.ColdFor)
}

// SetCold sets how long upstreams of a service are cold after their start, and the
// number of new flows a second that they take meanwhile. Upstreams that have warmed up
// stay warm.
func (p *Scheduler) SetCold(service string, coldFor time.Duration, perSecond float64) {
	pl := p.pool(service)
	pl.coldFor, pl.coldPerSecond = coldFor, perSecond
}

// SetState changes the state of an upstream. Unknown upstreams are ignored.
func (p *Scheduler) SetState(number uint64, state State) {
	if u, ok := p.upstreams[number]; ok {
		u.state = state
	}
}

func (p *Scheduler) add(u *upstream) {
	pl := p.pool(u.info.Service)
	i, _ := slices.BinarySearchFunc(pl.members, u, byNumber)
	pl.members = slices.Insert(pl.members, i, u)
}

func byNumber(a, b *upstream) int { return cmp.Compare(a.info.Number, b.info.Number) }

// Remove deletes an upstream and its outstanding flows.
func (p *Scheduler) Remove(number uint64) {
	u, ok := p.upstreams[number]
	if !ok {
		return
	}
	delete(p.upstreams, number)
	pl := p.pools[u.info.Service]
	if i, found := slices.BinarySearchFunc(pl.members, u, byNumber); found {
		pl.members = slices.Delete(pl.members, i, i+1)
	}
}

// Groups returns the number of groups of a service: a power of two, at least 1.
func (p *Scheduler) Groups(service string) int {
	groups := 1
	if pl := p.pools[service]; pl != nil {
		for len(pl.members) > groups*maxGroupSize {
			groups *= 2
		}
	}
	return groups
}

// groupOf spreads upstreams evenly over groups by hashing their numbers.
func groupOf(number uint64, groups int) int {
	return int((number * 0x9e3779b97f4a7c15 >> 32) % uint64(groups))
}

// Verdict is the outcome of placing a flow.
type Verdict uint8

// Verdicts of Place.
const (
	// NoUpstream means that no upstream is eligible.
	NoUpstream Verdict = iota
	// Full means that all eligible upstreams, or the service, are at their bound.
	Full
	// Placed means that an upstream was chosen and the flow is counted there.
	Placed
)

// Place chooses the upstream of a new flow and counts the flow as outstanding
// there. The number is 0 unless the verdict is Placed.
func (p *Scheduler) Place(now time.Time, r Request) (number uint64, verdict Verdict) {
	pl := p.pools[r.Service]
	if pl == nil {
		return 0, NoUpstream
	}
	pl.maxTarget = max(pl.maxTarget, r.Target)
	pl.updateMedian(now)
	if r.ServiceLimit > 0 && pl.recentFlows(now) >= max(r.ServiceLimit, 1+int(probeGain*float64(pl.recentEnds(now)))) {
		return 0, Full
	}
	for _, state := range []State{Open, Doubtful, Unreachable} {
		if verdict == Full && state == Unreachable {
			break
		}
		p.collectCandidates(now, pl, r, state)
		u := p.best(now, pl, r)
		switch trial := p.trial(now, r); {
		case trial != nil:
			return trial.place(now, pl, r), Placed
		case u == nil:
		case r.Bounded && u.atBound(now, pl, r):
			verdict = Full
		default:
			return u.place(now, pl, r), Placed
		}
	}
	return 0, verdict
}

// place counts a new flow at the upstream and returns the number of the upstream.
func (u *upstream) place(now time.Time, pl *pool, r Request) uint64 {
	f := placed{flow: r.Flow, at: now, class: r.class()}
	if pl.measured {
		f.load = u.load(now, pl) + 1
	}
	u.addFlow(now, pl, f)
	return u.info.Number
}

// Slots returns the total slots of a service's upstreams that are not closed, and
// the number of data centres that they are in.
func (p *Scheduler) Slots(service string) (slots, dataCentres int) {
	pl := p.pools[service]
	if pl == nil {
		return 0, 0
	}
	seen := make(map[string]bool)
	for _, u := range pl.members {
		if u.state != Closed {
			slots += max(u.info.Slots, 1)
			seen[u.info.DataCentre] = true
		}
	}
	return slots, len(seen)
}

// GroupOf returns the group that an upstream of the service belongs to.
func (p *Scheduler) GroupOf(service string, number uint64) int {
	return groupOf(number, p.Groups(service))
}

// Usable reports whether the service has an upstream that is not closed.
func (p *Scheduler) Usable(service string) bool {
	pl := p.pools[service]
	return pl != nil && slices.ContainsFunc(pl.members, func(u *upstream) bool { return u.state != Closed })
}

// collectCandidates sets p.candidates to the eligible upstreams in the given state.
func (p *Scheduler) collectCandidates(now time.Time, pl *pool, r Request, state State) {
	p.candidates = p.candidates[:0]
	groups := 1
	if r.Group != AnyGroup {
		groups = p.Groups(r.Service)
	}
	for _, u := range pl.members {
		switch {
		case u.stateFor(r) != state, slices.Contains(r.Avoid, u.info.Number):
		case groups > 1 && groupOf(u.info.Number, groups) != r.Group:
		case !r.AllowSuspects && (!u.suspicion.allowsOpening(now) || !u.allowsOutlier(now, r)), !u.allowsCold(now, pl, r):
		default:
			p.candidates = append(p.candidates, u)
		}
	}
}

// best returns the candidate with the shortest expected time to a response, or nil
// if there are none. It breaks ties by data centre, then at random.
func (p *Scheduler) best(now time.Time, pl *pool, r Request) *upstream {
	var best *upstream
	var least time.Duration
	ties := 0
	for _, u := range p.candidates {
		c := u.expectedTime(now, pl, r)
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
