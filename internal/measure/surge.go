package measure

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
	"github.com/chervilhaven/chervilhaven/internal/scheduler"
)

// Times of the surge that follows a loss of power of all instances.
const (
	// surgeBefore is the time with traffic before the loss, surgeAfter that
	// after the return.
	surgeBefore = 2 * time.Second
	surgeAfter  = 4 * time.Second
	// surgeWindow is the time after the return in which first askings count.
	surgeWindow = 1500 * time.Millisecond
	// surgeStep is the length of one point of the plot.
	surgeStep = 100 * time.Millisecond
	// firstRepeat and secondRepeat are the times after which a caller repeats its
	// opening packet.
	firstRepeat  = 200 * time.Millisecond
	secondRepeat = 600 * time.Millisecond
	// surgeGiveUp is the time after which a caller asks once more on a new flow.
	surgeGiveUp = 1400 * time.Millisecond
	// surgeHandshake is the time from the choice to the request at the upstream,
	// surgeReport that from the answer to the word of the flow's end.
	surgeHandshake = 10 * time.Millisecond
	surgeReport    = 8 * time.Millisecond
	// surgeQueue is the number of requests that an upstream queues before it
	// sheds.
	surgeQueue = 8
	// surgeService names the upstreams.
	surgeService = "desk"
)

// Surge is the load of a service whose instances all lose power: new flows, the
// opening packets that callers repeat, and second tries of those that gave up.
type Surge struct {
	Name      string
	Rate      float64 // new flows per second
	Upstreams int
	Slots     int
	Work      time.Duration // mean, evenly spread from a half to one and a half
	Target    time.Duration
	Outage    time.Duration
}

// Surges returns the loads, those of the users' sheets for the desk's service.
func Surges() []Surge {
	return []Surge{
		{Name: "ocre", Rate: 440, Upstreams: 14, Slots: 2, Work: 45 * time.Millisecond, Target: 150 * time.Millisecond, Outage: 1300 * time.Millisecond},
		{Name: "vatulele", Rate: 340, Upstreams: 14, Slots: 2, Work: 30 * time.Millisecond, Target: 400 * time.Millisecond, Outage: time.Second},
	}
}

// waitingLine orders the flows that wait for an upstream.
type waitingLine interface {
	Add(flow uint64, t scheduler.PendingFlow)
	Remove(flow uint64)
	Serve(now time.Time, place func(flow uint64, t *scheduler.PendingFlow) bool)
}

// Way is one way of placing flows.
type Way struct {
	Name string
	// chance draws the upstream; otherwise the one with the least outstanding
	// flows is taken.
	chance bool
	// line holds flows while all upstreams are full; without one they are
	// offered beyond the bound.
	line func() waitingLine
}

// Ways returns the ways that are weighed. The last one is built.
func Ways() []Way {
	return []Way{
		{Name: "by chance", chance: true},
		{Name: "least outstanding"},
		{Name: "bounded, oldest first", line: func() waitingLine { return &arrivals{} }},
		{Name: "bounded, newest first", line: func() waitingLine { return &arrivals{newest: true} }},
		{Name: "bounded, those in time first", line: func() waitingLine { return &scheduler.Queue[uint64]{} }},
	}
}

// arrivals serves flows by the time at which they came.
type arrivals struct {
	newest  bool
	flows   []uint64
	tickets map[uint64]scheduler.PendingFlow
}

// Add lets a flow wait; one that waits keeps its place.
func (a *arrivals) Add(flow uint64, t scheduler.PendingFlow) {
	if a.tickets == nil {
		a.tickets = make(map[uint64]scheduler.PendingFlow)
	}
	if _, ok := a.tickets[flow]; !ok {
		a.flows = append(a.flows, flow)
	}
	a.tickets[flow] = t
}

// Remove ends the wait of a flow.
func (a *arrivals) Remove(flow uint64) {
	delete(a.tickets, flow)
	a.flows = slices.DeleteFunc(a.flows, func(f uint64) bool { return f == flow })
}

// Serve places flows until the upstreams are full.
func (a *arrivals) Serve(now time.Time, place func(flow uint64, t *scheduler.PendingFlow) bool) {
	for len(a.flows) > 0 {
		flow := a.flows[0]
		if a.newest {
			flow = a.flows[len(a.flows)-1]
		}
		t := a.tickets[flow]
		if now.Sub(t.Opened) < t.Deadline && !place(flow, &t) {
			return
		}
		a.Remove(flow)
	}
}

// SurgeResult is what callers get in one or more plays.
type SurgeResult struct {
	Surge Surge
	Way   Way
	// Asked and InTarget count first askings by the step after the return.
	Asked    []int
	InTarget []int
	// Late, Shed and Unanswered count those of the window without an answer in
	// time.
	Late       int
	Shed       int
	Unanswered int
}

// Attained returns the share of the window's first askings answered in time.
func (r *SurgeResult) Attained() float64 {
	steps := int(surgeWindow / surgeStep)
	return float64(total(r.InTarget[:steps])) / float64(max(1, total(r.Asked[:steps])))
}

func total(counts []int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}

// Borne is the share of what comes in the window that the upstreams can answer:
// callers that gave up ask again on new flows, which nothing tells from others.
func (s Surge) Borne() float64 {
	return min(1, float64(s.Upstreams*s.Slots)/s.Work.Seconds()/(2*s.Rate))
}

// surge is one play.
type surge struct {
	queue
	Surge
	way       Way
	random    *rand.Rand
	placer    scheduler.Scheduler
	line      waitingLine
	upstreams []surgeUpstream
	up        bool
	flow      uint64
	asked     []*asking
	waiting   map[uint64]*asking
}

type surgeUpstream struct {
	busy    int
	waiting []func()
}

// asking is one request of a caller; first is when it asked first.
type asking struct {
	flow    uint64
	first   time.Duration
	opened  time.Duration
	again   bool
	offered bool
	shed    bool
	done    time.Duration
}

// Play plays the surge with each seed and adds up what callers get.
func (s Surge) Play(w Way, seed uint64, seeds int) *SurgeResult {
	steps := int(surgeAfter/surgeStep) / 2
	r := &SurgeResult{Surge: s, Way: w, Asked: make([]int, steps), InTarget: make([]int, steps)}
	for n := range uint64(seeds) {
		p := &surge{Surge: s, way: w, random: rand.New(rand.NewPCG(seed+n, 1)), upstreams: make([]surgeUpstream, s.Upstreams)}
		p.play()
		p.count(r)
	}
	return r
}

func (p *surge) play() {
	end := surgeBefore + p.Outage + surgeAfter
	gap := time.Duration(float64(time.Second) / p.Rate)
	for at := time.Duration(0); at < end; at += gap {
		p.after(at+time.Duration(p.random.Int64N(int64(gap))), func() { p.ask(&asking{first: p.now}) })
	}
	p.powerOn()
	p.after(surgeBefore, func() { p.up = false })
	p.after(surgeBefore+p.Outage, p.powerOn)
	p.advance(end)
}

// powerOn starts the instances without any knowledge of flows.
func (p *surge) powerOn() {
	p.up, p.placer, p.line, p.waiting = true, scheduler.Scheduler{Random: p.random}, nil, make(map[uint64]*asking)
	if p.way.line != nil {
		p.line = p.way.line()
	}
	for n := range p.upstreams {
		p.placer.SetUpstream(p.clock(), catalog.Upstream{Number: uint64(n + 1), Service: surgeService, Slots: p.Slots}, scheduler.Open, 0)
	}
}

func (p *surge) clock() time.Time { return time.Unix(0, 0).Add(p.now) }

// ask opens a flow and repeats its opening packet until it is offered.
func (p *surge) ask(a *asking) {
	p.flow++
	a.flow, a.opened = p.flow, p.now
	if !a.again {
		p.asked = append(p.asked, a)
	}
	for _, copied := range [...]time.Duration{0, firstRepeat, secondRepeat} {
		p.after(copied, func() {
			if p.up && !a.offered {
				p.place(a)
			}
		})
	}
	p.after(surgeGiveUp, func() {
		if a.offered {
			return
		}
		if p.line != nil {
			p.line.Remove(a.flow)
		}
		if !a.again {
			p.ask(&asking{first: a.first, again: true})
		}
	})
}

// place offers a flow to an upstream, or lets it wait.
func (p *surge) place(a *asking) {
	if p.way.chance {
		p.offer(a, uint64(1+p.random.IntN(p.Upstreams)))
		return
	}
	now := p.clock()
	t := scheduler.PendingFlow{
		Request: scheduler.Request{Service: surgeService, Flow: a.flow, Group: scheduler.AnyGroup, Target: p.Target, Bounded: p.line != nil},
		Opened:  now.Add(a.opened - p.now), LastPacket: now, LastRequested: now, Target: p.Target, Deadline: surgeGiveUp,
	}
	number, verdict := p.placer.Place(now, t.Request)
	if verdict == scheduler.Placed {
		p.offer(a, number)
		return
	}
	p.line.Add(a.flow, t)
	p.waiting[a.flow] = a
}

// serveLine offers waiting flows to upstreams that have become free.
func (p *surge) serveLine() {
	if p.line == nil || !p.up {
		return
	}
	p.line.Serve(p.clock(), func(flow uint64, t *scheduler.PendingFlow) bool {
		number, verdict := p.placer.Place(p.clock(), t.Request)
		if verdict != scheduler.Placed {
			return false
		}
		p.offer(p.waiting[flow], number)
		return true
	})
}

// offer gives a flow to an upstream, which works on its request, queues or sheds
// it.
func (p *surge) offer(a *asking, number uint64) {
	a.offered = true
	delete(p.waiting, a.flow)
	u := &p.upstreams[number-1]
	p.after(surgeHandshake, func() {
		switch {
		case u.busy < p.Slots:
			p.work(u, a, number)
		case len(u.waiting) < surgeQueue:
			u.waiting = append(u.waiting, func() { p.work(u, a, number) })
		default:
			a.shed = true
			p.end(a, number)
		}
	})
}

func (p *surge) work(u *surgeUpstream, a *asking, number uint64) {
	u.busy++
	p.after(time.Duration(float64(p.Work)*(0.5+p.random.Float64())), func() {
		u.busy--
		a.done = p.now
		p.end(a, number)
		if len(u.waiting) > 0 {
			next := u.waiting[0]
			u.waiting = u.waiting[1:]
			next()
		}
	})
}

// end tells the instances that a flow has ended.
func (p *surge) end(a *asking, number uint64) {
	p.after(surgeReport, func() {
		if p.up {
			p.placer.FlowEnded(p.clock(), number, a.flow)
			p.serveLine()
		}
	})
}

// count adds what callers got to a result.
func (p *surge) count(r *SurgeResult) {
	back := surgeBefore + p.Outage
	for _, a := range p.asked {
		step := int((a.first - back) / surgeStep)
		if a.first < back || step >= len(r.Asked) {
			continue
		}
		r.Asked[step]++
		inWindow := a.first < back+surgeWindow
		switch {
		case a.done > 0 && a.done-a.first <= p.Target:
			r.InTarget[step]++
		case !inWindow:
		case a.done > 0:
			r.Late++
		case a.shed:
			r.Shed++
		default:
			r.Unanswered++
		}
	}
}

// PlaySurges plays all surges with all ways.
func PlaySurges(seed uint64, seeds int) [][]*SurgeResult {
	var out [][]*SurgeResult
	for _, s := range Surges() {
		var results []*SurgeResult
		for _, w := range Ways() {
			results = append(results, s.Play(w, seed, seeds))
		}
		out = append(out, results)
	}
	return out
}

// PrintSurges writes the results as a table in Markdown.
func PrintSurges(w io.Writer, surges [][]*SurgeResult) {
	fmt.Fprint(w, "| load | way | in target | borne | late | shed | unanswered |\n|---|---|---:|---:|---:|---:|---:|\n")
	for _, results := range surges {
		for _, r := range results {
			fmt.Fprintf(w, "| %s | %s | %.1f%% | %.1f%% | %d | %d | %d |\n",
				r.Surge.Name, r.Way.Name, 100*r.Attained(), 100*r.Surge.Borne(), r.Late, r.Shed, r.Unanswered)
		}
	}
}
