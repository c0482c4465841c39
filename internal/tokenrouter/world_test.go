package tokenrouter

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
	"github.com/chervilhaven/chervilhaven/internal/token"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// One-way latencies of the simulation in which tests run instances, upstreams,
// callers and the platform's store against a simulated clock.
const (
	peerDelay   = time.Millisecond
	storeDelay  = 2 * time.Millisecond
	callerDelay = 3 * time.Millisecond
)

// world is a deterministic simulation: a clock, an event queue and all simulated
// parties.
type world struct {
	t         *testing.T
	random    *rand.Rand
	now       time.Time
	events    eventQueue
	sequence  int
	nodes     []*node
	upstreams map[uint64]*server
	store     store
	callers   []*caller
	// cutOff reports whether datagrams and calls between two instances are lost.
	cutOff func(a, b *node) bool
	// messageLoss is the share of messages between instances that are lost.
	messageLoss float64
	// lostOpenAnswers is the share of the upstreams' answers to opening packets that are
	// lost.
	lostOpenAnswers float64
	// retries makes callers retry once on a new flow.
	retries bool
	// asksSent counts the Asks between instances.
	asksSent int
	// unreachable reports whether packets from an instance to an upstream are
	// lost.
	unreachable func(n *node, u *server) bool
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// node is one simulated instance. incarnation counts its starts.
type node struct {
	w           *world
	name        string
	address     netip.AddrPort
	seeds       []netip.AddrPort
	dc          string
	router      *Router
	up          bool
	incarnation int
	nextTick    time.Time
	slowLink    bool
	// storeRefuses makes the store refuse reads of this instance at once; with
	// storeSilent, they time out instead.
	storeRefuses bool
	storeSilent  bool
	// chooseOverride replaces the instance's choice of an upstream, to compare
	// policies.
	chooseOverride func(upstreams []uint64) uint64
	lines          []Line
	storeReads     int
	// remoteFetches counts this instance's fetches from other data centres,
	// fetchesServed the fetches that others made from it.
	remoteFetches int
	fetchesServed int
	// messagesSent counts the messages to other instances, bytesSent their bytes.
	messagesSent int
	bytesSent    int
	refused      int
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1_700_000_000, 0),
		upstreams: make(map[uint64]*server),
	}
	w.store.items = make(map[string]catalog.Item)
	return w
}

// after runs a function once d of simulated time has passed.
func (w *world) after(d time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.events, event{w.now.Add(d), w.sequence, run})
}

// advance runs all events of the next d of simulated time.
func (w *world) advance(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// addressOf returns the address of instance n of a data centre.
func addressOf(dc, n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(dc), 0, byte(n)}), 7000)
}

// addNodes adds instances to a data centre without starting them.
func (w *world) addNodes(dc string, count int) {
	index := int(dc[0])
	for i := range count {
		w.nodes = append(w.nodes, &node{w: w, name: fmt.Sprintf("%s%d", dc, i), address: addressOf(index, i+1), dc: dc})
	}
}

// startAll starts all instances within 20 ms. The first three are the seeds.
func (w *world) startAll() {
	for _, n := range w.nodes {
		w.after(time.Duration(w.random.IntN(20))*time.Millisecond, n.start)
	}
}

// startSeedsLast starts all instances, the seeds 0.3 s after the others.
func (w *world) startSeedsLast() {
	for i, n := range w.nodes {
		late := time.Duration(0)
		if i < 3 {
			late = 300 * time.Millisecond
		}
		w.after(late+time.Duration(w.random.IntN(20))*time.Millisecond, n.start)
	}
}

func (n *node) start() {
	n.up = true
	n.incarnation++
	seeds := n.seeds
	if seeds == nil {
		for _, s := range n.w.nodes[:min(3, len(n.w.nodes))] {
			seeds = append(seeds, s.address)
		}
	}
	n.router = New(Config{
		Self: n.address, DataCentre: n.dc, Seeds: seeds, Seed: uint64(n.incarnation) + uint64(n.address.Addr().As4()[3]), FlowLifetime: time.Minute,
		EntryLease: entryLease, SlowLink: n.slowLink,
	})
	n.apply(&Tick{})
}

func (n *node) kill() { n.up = false }

// apply passes an event to the instance, executes the effects and schedules the
// next Tick.
func (n *node) apply(e Event) {
	if !n.up {
		return
	}
	for _, f := range n.router.Apply(n.w.now, e) {
		n.execute(f)
	}
	if next := n.router.Next(); n.nextTick.Before(n.w.now) || next.Before(n.nextTick) || n.nextTick.Equal(n.w.now) {
		n.nextTick = next
		startCount := n.incarnation
		n.w.after(max(next.Sub(n.w.now), 0), func() {
			if n.incarnation == startCount && n.nextTick.Equal(next) {
				n.apply(&Tick{})
			}
		})
	}
}

// execute carries out an effect with the simulated latencies.
func (n *node) execute(f Effect) {
	w, startCount := n.w, n.incarnation
	deliver := func(d time.Duration, e Event) {
		w.after(d, func() {
			if n.incarnation == startCount {
				n.apply(e)
			}
		})
	}
	switch f.Kind {
	case Forward:
		raw := slices.Clone(f.Raw)
		number, t := f.Number, f.Token
		if n.chooseOverride != nil && flow.Role(raw[4]) == flow.RoleOpen {
			number = n.chooseOverride(n.router.upstreams.sortedNumbers())
			t = token.Of(number)
			c := w.callers[binary.BigEndian.Uint32(raw)]
			if o := n.router.openings.flows[flowID{c.source, c.destination}]; o != nil {
				o.tries[len(o.tries)-1] = number
			}
		}
		w.after(peerDelay, func() { w.deliver(n, number, t, raw) })
	case Refuse:
		n.refused++
		for _, c := range w.callers {
			if c.source == f.Source && c.destination == f.Destination {
				c.refused = true
				if c.session != nil && c.openedUpstream != 0 {
					c.session.handleReset()
				}
			}
		}
	case ReadStore:
		n.storeReads++
		n.read(f, deliver)
	case SendMessage:
		n.messagesSent++
		n.bytesSent += messageBytes(f.Message)
		w.asksSent += len(f.Message.Asks)
		for _, p := range w.nodes {
			if p.address != f.Peer || w.cutOff != nil && w.cutOff(n, p) || w.messageLoss > 0 && w.random.Float64() < w.messageLoss {
				continue
			}
			from, m := n.address, *f.Message
			w.after(peerDelay, func() { p.apply(&MessageReceived{From: from, Message: &m}) })
		}
	case Fetch:
		for _, p := range w.nodes {
			if p.address != f.Peer {
				continue
			}
			if !p.up || w.cutOff != nil && w.cutOff(n, p) {
				deliver(f.Timeout, &FetchFailed{From: p.address, Err: errors.New("no answer")})
				continue
			}
			p.fetchesServed++
			if p.dc != n.dc {
				n.remoteFetches++
			}
			deliver(4*peerDelay, &Fetched{From: p.address, Batch: p.router.CatalogSince(f.Since)})
		}
	case Dial:
		for _, u := range w.upstreams {
			if u.info.Address == f.Upstream && u.alive && (w.unreachable == nil || !w.unreachable(n, u)) {
				deliver(2*peerDelay, &Dialed{Number: f.Number, Answer: Connected})
				return
			}
		}
		if u := w.upstreams[f.Number]; u != nil && u.refuses {
			deliver(2*peerDelay, &Dialed{Number: f.Number, Answer: Refused})
			return
		}
		deliver(f.Timeout, &Dialed{Number: f.Number, Answer: Silent})
	case Log:
		n.lines = append(n.lines, f.Line)
	case ObserveDuration:
	}
}

// messageBytes returns about the size of a message without news and of its UDP and
// IP headers.
func messageBytes(m *Message) int {
	const udpAndIP, fields = 28, 16
	n := udpAndIP + fields + len(m.DataCentre) + 40*len(m.Asks) + 25*len(m.Grants) + 30*len(m.Reports) + 14*len(m.Readers) + 8*len(m.Relay) + 25*len(m.Work)
	for _, g := range m.Peers {
		n += 8 + len(g.DataCentre) + 11*len(g.Peers)
	}
	return n
}

// partitionDataCentres cuts the data centres off from each other.
func (w *world) partitionDataCentres() {
	w.cutOff = func(a, b *node) bool { return a.dc != b.dc }
	w.unreachable = func(n *node, u *server) bool { return n.dc != u.info.DataCentre }
}

// healPartition ends all partitions.
func (w *world) healPartition() { w.cutOff, w.unreachable = nil, nil }

var (
	deskRoute   = netip.MustParseAddrPort("198.18.0.1:8443")
	ledgerRoute = netip.MustParseAddrPort("198.18.0.1:8080")
)

// configure publishes a configuration with a route to the service "desk" and the
// given further routes.
func (w *world) configure(version uint64, more ...catalog.Route) {
	routes := append([]catalog.Route{{
		Address: deskRoute, Service: "desk", Work: catalog.Idempotent, Target: 150 * time.Millisecond, Deadline: 1500 * time.Millisecond, Priority: 2,
	}}, more...)
	w.put(catalog.Item{Key: catalog.KeyConfiguration, Configuration: &catalog.Configuration{
		Version: version, Routes: routes, Services: []catalog.Service{{Name: "desk", ColdFor: 2 * time.Second, ColdPerSecond: 20}, {Name: "ledger"}},
	}})
}

// addServers adds upstreams of the service "desk" and publishes their entries.
func (w *world) addServers(dc string, count int, work time.Duration) []*server {
	var list []*server
	for range count {
		n := w.random.Uint64()
		u := &server{
			w: w, alive: true, meanServiceTime: work, key: fmt.Sprintf("i-%x", n), flows: make(map[string]bool), opened: make(map[string]bool), halfOpen: make(map[string]token.Token), asked: make(map[string]uint32),
			info: catalog.Upstream{
				Number: n, Service: "desk", DataCentre: dc, Slots: 2,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 200, byte(len(w.upstreams)), 1}), 8000),
			},
		}
		w.upstreams[n] = u
		w.publish(u)
		list = append(list, u)
	}
	return list
}

// servers returns the upstreams in the order of their numbers.
func (w *world) servers() []*server {
	return slices.SortedFunc(maps.Values(w.upstreams), func(a, b *server) int { return cmp.Compare(a.info.Number, b.info.Number) })
}

func (w *world) publish(u *server) {
	info := u.info
	w.put(catalog.Item{Key: catalog.PrefixUpstream + u.key, Upstream: &info})
}

func (w *world) unpublish(u *server) { w.put(catalog.Item{Key: catalog.PrefixUpstream + u.key}) }

// newSmallFleet returns a world with two data centres of three instances and
// five upstreams each, and a configuration in effect.
func newSmallFleet(t *testing.T, seed uint64) *world {
	w := newWorld(t, seed)
	w.addNodes("a", 3)
	w.addNodes("b", 3)
	w.configure(1)
	w.addServers("a", 5, 30*time.Millisecond)
	w.addServers("b", 5, 30*time.Millisecond)
	w.startAll()
	w.advance(2 * time.Second)
	return w
}

func addressWithPort(a netip.Addr, port int) netip.AddrPort {
	return netip.AddrPortFrom(a, uint16(port))
}

func routeTo(a netip.AddrPort) catalog.Route {
	return catalog.Route{Address: a, Service: "desk", Target: targetLatency, Deadline: time.Second}
}
