package measure

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/admission"
	"github.com/chervilhaven/chervilhaven/internal/catalog"
	"github.com/chervilhaven/chervilhaven/internal/scheduler"
)

// Times of the surge after all instances have lost power.
const (
	// surgeBefore is the time with traffic before the loss of power, surgeAfter
	// the time that is simulated after power returns.
	surgeBefore = 2 * time.Second
	surgeAfter  = 4 * time.Second
	// surgeWindow is the time after power returns in which requests sent for
	// the first time count.
	surgeWindow = 1500 * time.Millisecond
	// surgeStep is the time that one point of the plot covers.
	surgeStep = 100 * time.Millisecond
	// firstRetransmit and secondRetransmit are the times after which a caller
	// repeats its opening packet.
	firstRetransmit  = 200 * time.Millisecond
	secondRetransmit = 600 * time.Millisecond
	// surgeRetryAfter is the time after which a caller gives up a flow that is
	// not assigned to an upstream and retries its request once on a new one.
	surgeRetryAfter = 1400 * time.Millisecond
	// surgeOpenDelay is the time from the choice of an upstream until the
	// request arrives there, surgeEndDelay the time from its response until the
	// instances learn that the flow has ended.
	surgeOpenDelay = 10 * time.Millisecond
	surgeEndDelay  = 8 * time.Millisecond
	// surgeQueue is the number of requests that an upstream queues before it
	// sheds.
	surgeQueue = 8
	// surgeService is the service of all upstreams.
	surgeService = "desk"
)

// Surge is the load of a service whose instances all lose power at once: new
// flows, opening packets that callers retransmit, and retries of callers that
// gave up.
type Surge struct {
	Name      string
	Rate      float64 // new flows per second
	Upstreams int
	Slots     int
	Work      time.Duration // mean; uniform between 0.5 and 1.5 times that
	Target    time.Duration
	Outage    time.Duration
}

// Surges returns the loads of the two deployments' desk services, taken from
// the users' data sheets.
func Surges() []Surge {
	return []Surge{
		{Name: "ocre", Rate: 440, Upstreams: 14, Slots: 2, Work: 45 * time.Millisecond, Target: 150 * time.Millisecond, Outage: 1300 * time.Millisecond},
		{Name: "vatulele", Rate: 340, Upstreams: 14, Slots: 2, Work: 30 * time.Millisecond, Target: 400 * time.Millisecond, Outage: time.Second},
	}
}

// waitQueue holds and orders the flows that wait for an upstream.
type waitQueue interface {
	Add(flow uint64, t admission.PendingFlow)
	Remove(flow uint64)
	Serve(now time.Time, place func(flow uint64, t *admission.PendingFlow) bool)
}

// Strategy is a way of assigning flows to upstreams.
type Strategy struct {
	Name string
	// randomUpstream selects a random upstream. Otherwise the one with the
	// fewest outstanding flows is selected.
	randomUpstream bool
	// backlog returns the queue for flows that arrive while all upstreams are
	// full. If it is nil, upstreams get flows beyond their bound.
	backlog func() waitQueue
}

// Strategies returns the strategies that are compared. The last one is the one
// that the balancer implements.
func Strategies() []Strategy {
	return []Strategy{
		{Name: "by chance", randomUpstream: true},
		{Name: "least outstanding"},
		{Name: "bounded, oldest first", backlog: func() waitQueue { return &arrivalQueue{} }},
		{Name: "bounded, newest first", backlog: func() waitQueue { return &arrivalQueue{newestFirst: true} }},
		{Name: "bounded, those in time first", backlog: func() waitQueue { return &admission.Queue[uint64]{} }},
	}
}

// arrivalQueue serves flows in the order of their arrival, or in reverse.
type arrivalQueue struct {
	newestFirst bool
	flows       []uint64
	tickets     map[uint64]admission.PendingFlow
}

// Add queues a flow. A flow that is queued already keeps its position and gets
// the new parameters.
func (a *arrivalQueue) Add(flow uint64, t admission.PendingFlow) {
	if a.tickets == nil {
		a.tickets = make(map[uint64]admission.PendingFlow)
	}
	if _, ok := a.tickets[flow]; !ok {
		a.flows = append(a.flows, flow)
	}
	a.tickets[flow] = t
}

// Remove takes a flow out of the queue.
func (a *arrivalQueue) Remove(flow uint64) {
	delete(a.tickets, flow)
	a.flows = slices.DeleteFunc(a.flows, func(f uint64) bool { return f == flow })
}

// Serve places flows until the upstreams are full. It drops flows whose
// deadline has passed.
func (a *arrivalQueue) Serve(now time.Time, place func(flow uint64, t *admission.PendingFlow) bool) {
	for len(a.flows) > 0 {
		flow := a.flows[0]
		if a.newestFirst {
			flow = a.flows[len(a.flows)-1]
		}
		t := a.tickets[flow]
		if now.Sub(t.Opened) < t.Deadline && !place(flow, &t) {
			return
		}
		a.Remove(flow)
	}
}

// SurgeResult holds how the requests of callers fared, summed over one or more
// runs.
type SurgeResult struct {
	Surge    Surge
	Strategy Strategy
	// Requests counts requests by the time at which they were first sent, in
	// steps of surgeStep from the return of power. InTarget counts those
	// answered within their target.
	Requests []int
	InTarget []int
	// Late, Shed and Unanswered count requests first sent within surgeWindow
	// that were not answered within their target.
	Late       int
	Shed       int
	Unanswered int
}

// InTargetShare returns the share of the requests first sent within surgeWindow
// that were answered within their target.
func (r *SurgeResult) InTargetShare() float64 {
	steps := int(surgeWindow / surgeStep)
	return float64(total(r.InTarget[:steps])) / float64(max(1, total(r.Requests[:steps])))
}

func total(counts []int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}

// AnswerableShare returns the share of the load within surgeWindow that the
// upstreams have the capacity to answer. The load is twice Rate: callers that
// gave up retry on new flows, which cannot be told from other new flows.
func (s Surge) AnswerableShare() float64 {
	return min(1, float64(s.Upstreams*s.Slots)/s.Work.Seconds()/(2*s.Rate))
}

// surgeRun is one simulation of a surge.
type surgeRun struct {
	queue
	Surge
	strategy      Strategy
	random        *rand.Rand
	flowScheduler scheduler.Scheduler
	backlog       waitQueue
	upstreams     []surgeUpstream
	up            bool
	flow          uint64
	requests      []*surgeRequest
	waiting       map[uint64]*surgeRequest
}

type surgeUpstream struct {
	busy    int
	waiting []func()
}

// surgeRequest is one attempt of a caller's request. firstOpened is the time of
// the first attempt.
type surgeRequest struct {
	flow        uint64
	firstOpened time.Duration
	opened      time.Duration
	retry       bool
	assigned    bool
	shed        bool
	answeredAt  time.Duration
}

// Run simulates the surge with each seed and returns the summed result.
func (s Surge) Run(w Strategy, seed uint64, seeds int) *SurgeResult {
	steps := int(surgeAfter/surgeStep) / 2
	r := &SurgeResult{Surge: s, Strategy: w, Requests: make([]int, steps), InTarget: make([]int, steps)}
	for n := range uint64(seeds) {
		p := &surgeRun{Surge: s, strategy: w, random: rand.New(rand.NewPCG(seed+n, 1)), upstreams: make([]surgeUpstream, s.Upstreams)}
		p.simulate()
		p.addTo(r)
	}
	return r
}

func (p *surgeRun) simulate() {
	end := surgeBefore + p.Outage + surgeAfter
	gap := time.Duration(float64(time.Second) / p.Rate)
	for at := time.Duration(0); at < end; at += gap {
		p.after(at+time.Duration(p.random.Int64N(int64(gap))), func() { p.openFlow(&surgeRequest{firstOpened: p.now}) })
	}
	p.startInstances()
	p.after(surgeBefore, func() { p.up = false })
	p.after(surgeBefore+p.Outage, p.startInstances)
	p.advance(end)
}

// startInstances starts the instances without any state about flows.
func (p *surgeRun) startInstances() {
	p.up, p.flowScheduler, p.backlog, p.waiting = true, scheduler.Scheduler{Random: p.random}, nil, make(map[uint64]*surgeRequest)
	if p.strategy.backlog != nil {
		p.backlog = p.strategy.backlog()
	}
	for n := range p.upstreams {
		p.flowScheduler.SetUpstream(p.clock(), catalog.Upstream{Number: uint64(n + 1), Service: surgeService, Slots: p.Slots}, scheduler.Open)
	}
}

func (p *surgeRun) clock() time.Time { return time.Unix(0, 0).Add(p.now) }

// openFlow opens a flow for the request and retransmits its opening packet
// until the flow is assigned.
func (p *surgeRun) openFlow(a *surgeRequest) {
	p.flow++
	a.flow, a.opened = p.flow, p.now
	if !a.retry {
		p.requests = append(p.requests, a)
	}
	for _, delay := range [...]time.Duration{0, firstRetransmit, secondRetransmit} {
		p.after(delay, func() {
			if p.up && !a.assigned {
				p.place(a)
			}
		})
	}
	p.after(surgeRetryAfter, func() {
		if a.assigned {
			return
		}
		if p.backlog != nil {
			p.backlog.Remove(a.flow)
		}
		if !a.retry {
			p.openFlow(&surgeRequest{firstOpened: a.firstOpened, retry: true})
		}
	})
}

// place assigns a flow to an upstream or queues it.
func (p *surgeRun) place(a *surgeRequest) {
	if p.strategy.randomUpstream {
		p.assign(a, uint64(1+p.random.IntN(p.Upstreams)))
		return
	}
	now := p.clock()
	t := admission.PendingFlow{
		Request: scheduler.Request{Service: surgeService, Flow: a.flow, Group: scheduler.AnyGroup, Target: p.Target, Bounded: p.backlog != nil},
		Opened:  now.Add(a.opened - p.now), LastPacket: now, LastRequested: now, Target: p.Target, Deadline: surgeRetryAfter,
	}
	number, verdict := p.flowScheduler.Place(now, t.Request)
	if verdict == scheduler.Placed {
		p.assign(a, number)
		return
	}
	p.backlog.Add(a.flow, t)
	p.waiting[a.flow] = a
}

// serveQueue assigns queued flows to upstreams with free capacity.
func (p *surgeRun) serveQueue() {
	if p.backlog == nil || !p.up {
		return
	}
	p.backlog.Serve(p.clock(), func(flow uint64, t *admission.PendingFlow) bool {
		number, verdict := p.flowScheduler.Place(p.clock(), t.Request)
		if verdict != scheduler.Placed {
			return false
		}
		p.assign(p.waiting[flow], number)
		return true
	})
}

// assign sends a flow to an upstream, which processes, queues or sheds its
// request.
func (p *surgeRun) assign(a *surgeRequest, number uint64) {
	a.assigned = true
	delete(p.waiting, a.flow)
	u := &p.upstreams[number-1]
	p.after(surgeOpenDelay, func() {
		switch {
		case u.busy < p.Slots:
			p.startWork(u, a, number)
		case len(u.waiting) < surgeQueue:
			u.waiting = append(u.waiting, func() { p.startWork(u, a, number) })
		default:
			a.shed = true
			p.reportEnd(a, number)
		}
	})
}

func (p *surgeRun) startWork(u *surgeUpstream, a *surgeRequest, number uint64) {
	u.busy++
	p.after(time.Duration(float64(p.Work)*(0.5+p.random.Float64())), func() {
		u.busy--
		a.answeredAt = p.now
		p.reportEnd(a, number)
		if len(u.waiting) > 0 {
			next := u.waiting[0]
			u.waiting = u.waiting[1:]
			next()
		}
	})
}

// reportEnd informs the instances that a flow has ended.
func (p *surgeRun) reportEnd(a *surgeRequest, number uint64) {
	p.after(surgeEndDelay, func() {
		if p.up {
			p.flowScheduler.FlowEnded(p.clock(), number, a.flow)
			p.serveQueue()
		}
	})
}

// addTo adds the outcome of the run's requests to a result.
func (p *surgeRun) addTo(r *SurgeResult) {
	back := surgeBefore + p.Outage
	for _, a := range p.requests {
		step := int((a.firstOpened - back) / surgeStep)
		if a.firstOpened < back || step >= len(r.Requests) {
			continue
		}
		r.Requests[step]++
		inWindow := a.firstOpened < back+surgeWindow
		switch {
		case a.answeredAt > 0 && a.answeredAt-a.firstOpened <= p.Target:
			r.InTarget[step]++
		case !inWindow:
		case a.answeredAt > 0:
			r.Late++
		case a.shed:
			r.Shed++
		default:
			r.Unanswered++
		}
	}
}

// RunSurges simulates all surges with all strategies. It returns a slice of
// results for each surge, in the order of Strategies.
func RunSurges(seed uint64, seeds int) [][]*SurgeResult {
	var out [][]*SurgeResult
	for _, s := range Surges() {
		var results []*SurgeResult
		for _, w := range Strategies() {
			results = append(results, s.Run(w, seed, seeds))
		}
		out = append(out, results)
	}
	return out
}

// PrintSurges writes the results as a Markdown table.
func PrintSurges(w io.Writer, surges [][]*SurgeResult) {
	fmt.Fprint(w, "| load | way | in target | borne | late | shed | unanswered |\n|---|---|---:|---:|---:|---:|---:|\n")
	for _, results := range surges {
		for _, r := range results {
			fmt.Fprintf(w, "| %s | %s | %.1f%% | %.1f%% | %d | %d | %d |\n",
				r.Surge.Name, r.Strategy.Name, 100*r.InTargetShare(), 100*r.Surge.AnswerableShare(), r.Late, r.Shed, r.Unanswered)
		}
	}
}
