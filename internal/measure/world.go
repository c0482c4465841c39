// Package measure compares load-balancing policies in a simulation. Each policy
// gets the same traces of packets and events in simulated time, and the
// simulated callers and upstreams count the outcome. The simulation drives the
// policy interface directly, without sockets.
package measure

import (
	"cmp"
	"io"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

// Delays of the network, and times and sizes of a run.
const (
	// localDelay is the one-way delay between hosts of a data centre,
	// crossDelay that between data centres, callerDelay that between callers
	// and services.
	localDelay  = 200 * time.Microsecond
	crossDelay  = time.Millisecond
	callerDelay = 3 * time.Millisecond
	// fleetAge is the time that instances have been up when traffic starts. It
	// is long enough for owners to know all flows of their upstreams.
	fleetAge = 16 * time.Minute
	// steadyTime is the time from the start of traffic to the event of a row.
	steadyTime = 40 * time.Second
	// defaultWindow is the time measured after the event in rows that set no
	// other.
	defaultWindow = 45 * time.Second
	// warmUpTime is the time over which the long flows are opened that a fleet
	// in operation would already have.
	warmUpTime = 10 * time.Second
	// queryRetries limits the new flows on which a caller retries a live query.
	queryRetries = 3
	// retryFlowBase separates the numbers of flows for retried queries from
	// those of the trace.
	retryFlowBase = 1 << 24
	// sessionSteps and documentSteps are mean lengths of flows in chunks.
	sessionSteps  = 60
	documentSteps = 30
)

// Mean time that each kind of request occupies a slot.
const (
	queryWork    = 20 * time.Millisecond
	postingWork  = 30 * time.Millisecond
	documentWork = 100 * time.Millisecond
)

// epoch is the time of day at which runs start.
//
//nolint:gochecknoglobals // A time.Time cannot be a constant.
var epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// NewPolicy constructs the policy of one instance.
type NewPolicy func(self view.ID, dataCentre string) balancer.Policy

// World is the simulation of one run: a fleet under one policy, with its
// callers, upstreams and network. It is used for a single run.
type World struct {
	seed       uint64
	queue      queue
	deployment Deployment
	result     Result
	traffic    *rand.Rand
	faults     *rand.Rand

	sources   view.Sources
	latest    *view.View
	upstreams map[netip.AddrPort]*upstream
	byID      map[view.ID]*upstream
	instances []*instance
	// fabric holds the instances among which the network fabric spreads
	// packets.
	fabric []*instance
	// cutOff is the data centre that a partition separates from the others,
	// empty without a partition.
	cutOff string
	// outSince holds the data centres that are out of service and since when.
	outSince map[string]time.Duration
	// platformDown suspends the distribution of new views.
	platformDown bool
	comparison   VersionComparison
	// loss is the share of responses to callers that are lost.
	loss float64
	// skewLow and skewHigh bound the time until a new view reaches an instance.
	skewLow, skewHigh time.Duration
	kinds             []flowKind
	rates             []float64
	flows, retries    uint64
	// open is the number of established flows.
	open int
	// traced is the number of the flow whose packets are written to log.
	traced uint64
	log    io.Writer
}

// NewWorld returns a started fleet without traffic. The seed fixes everything
// that is random in the run.
func NewWorld(d Deployment, c Candidate, seed uint64) *World {
	w := &World{
		seed: seed, deployment: d, sources: d.sources(), comparison: c.VersionComparison,
		traffic:   rand.New(rand.NewPCG(seed, 1)),
		faults:    rand.New(rand.NewPCG(seed, 2)),
		upstreams: make(map[netip.AddrPort]*upstream), byID: make(map[view.ID]*upstream),
		outSince: make(map[string]time.Duration),
		skewLow:  100 * time.Millisecond, skewHigh: 2 * time.Second,
		kinds: []flowKind{
			{service: deskNumber, port: queryPort, steps: 1, work: queryWork, live: true},
			{service: deskNumber, port: queryPort, steps: sessionSteps, work: queryWork, queryEvery: sessionQueryEvery, live: true},
			{service: deskNumber, port: postingPort, steps: 1, work: postingWork, once: true},
			{service: bulkNumber, port: documentPort, steps: documentSteps, work: documentWork},
		},
		rates: []float64{d.Queries, d.Sessions, d.Postings, d.Documents},
	}
	for _, dataCentre := range w.sources.DataCentres {
		for _, listed := range dataCentre.Upstreams {
			w.addUpstream(dataCentre.Name, listed)
		}
	}
	w.latest = view.Compile(w.sources)
	for _, dataCentre := range w.latest.DataCentres {
		for _, listed := range dataCentre.Instances {
			w.instances = append(w.instances, newInstance(w, listed, c.New))
		}
	}
	w.fabric = append(w.fabric, w.instances...)
	for _, i := range w.instances {
		i.start()
	}
	return w
}

func (w *World) addUpstream(dataCentre string, listed inventory.Upstream) *upstream {
	number := uint32(deskNumber)
	if listed.Service == w.deployment.Bulk {
		number = bulkNumber
	}
	u := newModelUpstream(w, dataCentre, number, listed)
	w.upstreams[listed.Packets], w.byID[u.id] = u, u
	return u
}

// Run simulates the row and returns its result.
func (w *World) Run(row Row) *Result {
	length := row.Window
	if length == 0 {
		length = defaultWindow
	}
	if !row.Young {
		w.queue.advance(fleetAge)
	}
	from := w.queue.now + steadyTime
	w.result.From, w.result.To = from, from+length
	for n := range w.kinds {
		w.startArrivals(n)
		w.warmUp(n)
	}
	w.queue.after(steadyTime, func() {
		w.result.resetCounters(w.open)
		row.Script(w)
	})
	w.queue.after(time.Second, w.sampleImbalance)
	// Queries sent at the end of the window are answered after it.
	w.queue.advance(w.result.To + w.deployment.AnswerWithin)
	for _, i := range w.instances {
		if i.alive && i.view != w.latest {
			w.result.StaleInstances++
		}
	}
	return &w.result
}

// startArrivals opens flows of a kind at random intervals.
func (w *World) startArrivals(n int) {
	if w.rates[n] == 0 {
		return
	}
	random := rand.New(rand.NewPCG(w.seed, uint64(n)+10))
	var next func()
	next = func() {
		w.openFlow(n)
		w.queue.after(arrivalGap(random, w.rates[n]), next)
	}
	w.queue.after(arrivalGap(random, w.rates[n]), next)
}

// warmUp opens the long flows that a fleet in operation would already have.
func (w *World) warmUp(n int) {
	k := &w.kinds[n]
	if k.steps == 1 {
		return
	}
	// Flow lengths are exponentially distributed, so that the remaining lengths
	// of flows in progress are as well.
	count := int(w.rates[n] * float64(k.steps))
	for range count {
		w.queue.after(time.Duration(w.traffic.Int64N(int64(warmUpTime))), func() { w.openFlow(n) })
	}
}

func arrivalGap(r *rand.Rand, rate float64) time.Duration {
	return time.Duration(r.ExpFloat64() / rate * float64(time.Second))
}

func (w *World) openFlow(n int) {
	k := &w.kinds[n]
	w.flows++
	var current *query
	if k.live {
		current = w.newQuery()
	}
	startFlow(w, k, w.flows, current)
}

// newQuery returns a live query sent now and counts it.
func (w *World) newQuery() *query {
	w.result.second(w.queue.now).Queries++
	return &query{askedAt: w.queue.now}
}

// recordAnswer counts the response to a live query. Further responses do not
// count.
func (w *World) recordAnswer(q *query) {
	if q.answered {
		return
	}
	q.answered = true
	wait := w.queue.now - q.askedAt
	if wait <= w.deployment.AnswerWithin {
		w.result.second(q.askedAt).InTarget++
		return
	}
	w.result.LateAnswers++
	w.result.LateWait += wait
}

// retryQuery repeats a live query on a new flow, up to queryRetries times.
func (w *World) retryQuery(k *flowKind, q *query) {
	if q.answered || q.attempts >= queryRetries {
		return
	}
	q.attempts++
	w.retries++
	startFlow(w, k, retryFlowBase+w.retries, q)
}

// countFailedFlow counts an established flow that failed: as given up if its
// data centre is out, as broken otherwise.
func (w *World) countFailedFlow(c *caller) {
	if c.upstream != nil && w.outFor(c.upstream.dataCentre, 0) {
		w.result.GivenUp++
		return
	}
	w.result.Broken++
	w.result.second(w.queue.now).Broken++
	w.result.FirstBroken = cmp.Or(w.result.FirstBroken, c.number)
}

// outFor reports whether the data centre has been out of service for at least
// d.
func (w *World) outFor(dataCentre string, d time.Duration) bool {
	since, ok := w.outSince[dataCentre]
	return ok && w.queue.now-since >= d
}

// deliverToCaller calls handle when an upstream's response reaches the caller.
// It may drop the response to simulate loss.
func (w *World) deliverToCaller(handle func()) {
	if w.loss > 0 && w.faults.Float64() < w.loss {
		return
	}
	w.queue.after(callerDelay, handle)
}
