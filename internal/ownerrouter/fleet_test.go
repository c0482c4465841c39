package ownerrouter

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

const (
	testStep    = 50 * time.Millisecond
	testLatency = 2 * time.Millisecond
)

// recorder is a balancer policy that records the events of its router and makes
// no decisions.
type recorder struct {
	view          *view.View
	live          []balancer.Member
	confirmations int
	resumed       int
	// regressed is set once a view is older than the one before.
	regressed bool
}

func (r *recorder) Apply(_ time.Time, event balancer.Event) []balancer.Effect {
	switch e := event.(type) {
	case *balancer.ViewChanged:
		r.regressed = r.regressed || r.view != nil && e.View.Version.Compare(r.view.Version) < 0
		r.view = e.View
	case *balancer.MembersChanged:
		r.live = slices.Clone(e.Live)
	case *balancer.ViewConfirmed:
		r.confirmations++
	case *balancer.Resumed:
		r.resumed++
	}
	return nil
}

// fakePlatform publishes versioned values. While stale has an entry for a
// reader, that reader sees those values instead.
type fakePlatform struct {
	values map[string]view.Value
	newest view.Version
	down   map[string]bool
	stale  map[string]map[string]view.Value
	reads  int
}

func (p *fakePlatform) put(key, content string) view.Version {
	p.newest.Generation = max(p.newest.Generation, 1)
	p.newest.Revision++
	p.values[key] = view.Value{Key: key, Version: p.newest, Content: []byte(content)}
	return p.newest
}

func (p *fakePlatform) newer(reader string, since view.Version) []view.Value {
	values := p.values
	if s := p.stale[reader]; s != nil {
		values = s
	}
	generation := uint64(0)
	for _, v := range values {
		generation = max(generation, v.Version.Generation)
	}
	var list []view.Value
	for _, v := range values {
		if generation != since.Generation || v.Version.Compare(since) > 0 {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b view.Value) int { return a.Version.Compare(b.Version) })
	return list
}

func (p *fakePlatform) copy() map[string]view.Value {
	values := make(map[string]view.Value)
	for k, v := range p.values {
		values[k] = v
	}
	return values
}

// delivery is a scheduled event for an instance or a scheduled action.
type delivery struct {
	at time.Time
	// order is the position among deliveries at the same time.
	order int
	to    *host
	// process is the router for which the event was scheduled; a restarted host
	// does not receive it.
	process *Router
	event   Event
	action  func()
}

// host simulates the machine of one instance. Its router is replaced when the
// process restarts.
type host struct {
	*Router
	*recorder
	config Config
	up     bool
	// refusesConnections is set when the process has exited but the machine is
	// up, so that connections are refused at once.
	refusesConnections bool
	// pausedAt is zero while the process is not paused.
	pausedAt time.Time
	// pending holds the events that arrived during the pause.
	pending []delivery
	// sent counts the probes sent.
	sent int
}

// fleet simulates a set of routers that exchange messages with latency on a
// virtual clock.
type fleet struct {
	t        *testing.T
	now      time.Time
	hosts    []*host
	platform *fakePlatform
	queue    []delivery
	// order is that of the last delivery queued.
	order       int
	partitioned func(a, b *host) bool
	random      *rand.Rand
}

func newFleet(t *testing.T, seed uint64, sizes ...int) *fleet {
	t.Helper()
	f := &fleet{
		t: t, now: time.Unix(1_800_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)),
		partitioned: func(*host, *host) bool { return false },
		platform: &fakePlatform{
			values: make(map[string]view.Value), down: make(map[string]bool),
			stale: make(map[string]map[string]view.Value),
		},
	}
	f.platform.put(view.KeyServices, `{"services":[{"name":"desk","number":1,"addresses":["198.18.0.1"]}]}`)
	for dataCentre, size := range sizes {
		for i := range size {
			f.hosts = append(f.hosts, f.newHost(dataCentre, i, seed))
		}
	}
	f.publishInstances()
	return f
}

func dataCentreName(dataCentre int) string { return fmt.Sprintf("dc%d", dataCentre) }

func (f *fleet) newHost(dataCentre, i int, seed uint64) *host {
	ip := netip.AddrFrom4([4]byte{127, 0, byte(dataCentre), byte(i + 1)})
	h := &host{up: true, recorder: &recorder{}}
	h.config = Config{
		Name: fmt.Sprintf("%s-%d", dataCentreName(dataCentre), i), DataCentre: dataCentreName(dataCentre), Seed: seed,
		Packets: netip.AddrPortFrom(ip, 6081), Peers: netip.AddrPortFrom(ip, 7000),
		Incarnation: 1, Policy: h.recorder,
	}
	h.Router = New(h.config)
	return h
}

// publishInstances publishes instance lists that contain all hosts.
func (f *fleet) publishInstances() {
	dataCentres := make(map[string][]inventory.Instance)
	for _, h := range f.hosts {
		dataCentres[h.config.DataCentre] = append(dataCentres[h.config.DataCentre],
			inventory.Instance{Name: h.config.Name, Packets: h.config.Packets, Peers: h.config.Peers})
	}
	for dataCentre, list := range dataCentres {
		f.publishDataCentre(dataCentre, list)
	}
}

func (f *fleet) publishDataCentre(dataCentre string, list []inventory.Instance) {
	b, err := json.Marshal(map[string]any{"region": "north", "instances": list})
	if err != nil {
		f.t.Fatal(err)
	}
	f.platform.put(view.PrefixInstances+dataCentre, string(b))
}

// publishUpstreams changes a value that all instances hold and returns its
// version.
func (f *fleet) publishUpstreams(count int) view.Version {
	return f.platform.put(view.PrefixUpstreams+"dc0", upstreamsValue(count))
}

func upstreamsValue(count int) string {
	list := make([]inventory.Upstream, count)
	for i := range list {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 6081)
		list[i] = inventory.Upstream{
			Name: fmt.Sprintf("u%d", i), Service: "desk", Packets: address, Status: address,
			Slots: 2, Connections: 2000,
		}
	}
	b, _ := json.Marshal(map[string]any{"upstreams": list})
	return string(b)
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(testStep)
		f.deliver()
		for _, h := range f.hosts {
			if h.up && h.pausedAt.IsZero() {
				f.apply(h, &balancer.Tick{})
			}
		}
	}
}

func (f *fleet) deliver() {
	for {
		due := slices.IndexFunc(f.queue, func(d delivery) bool { return !d.at.After(f.now) })
		if due < 0 {
			return
		}
		slices.SortFunc(f.queue, func(a, b delivery) int {
			return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.order, b.order))
		})
		d := f.queue[0]
		f.queue = f.queue[1:]
		switch {
		case d.action != nil:
			d.action()
		case !d.to.up || d.to.Router != d.process:
		case !d.to.pausedAt.IsZero():
			d.to.pending = append(d.to.pending, d)
		default:
			f.apply(d.to, d.event)
		}
	}
}

func (f *fleet) deliverAfter(d time.Duration, to *host, event Event) {
	f.order++
	f.queue = append(f.queue, delivery{at: f.now.Add(d), order: f.order, to: to, process: to.Router, event: event})
}

func (f *fleet) runAfter(d time.Duration, action func()) {
	f.order++
	f.queue = append(f.queue, delivery{at: f.now.Add(d), order: f.order, action: action})
}

func (f *fleet) reachable(a, b *host) bool {
	return b != nil && b.up && !f.partitioned(a, b)
}

func (f *fleet) host(id view.ID) *host {
	for _, h := range f.hosts {
		if view.IDFromName(h.config.Name) == id {
			return h
		}
	}
	return nil
}

func (f *fleet) apply(h *host, event Event) []Effect {
	effects := slices.Clone(h.Router.Apply(f.now, event))
	for _, e := range effects {
		f.execute(h, e)
	}
	return effects
}

func (f *fleet) execute(h *host, e Effect) {
	latency := testLatency + time.Duration(f.random.Int64N(int64(testLatency)))
	switch e.Kind {
	case Probe:
		h.sent++
		f.probe(h, e, latency)
	case IndirectProbe:
		h.sent++
		helper, target := f.host(e.Peer), f.host(e.Target)
		if f.reachable(h, helper) && f.reachable(helper, target) && target.pausedAt.IsZero() {
			f.deliverAfter(4*latency, h, &IndirectProbeResult{Target: e.Target, Reachable: true})
		} else {
			f.deliverAfter(e.Timeout, h, &IndirectProbeResult{Target: e.Target})
		}
	case Fetch:
		f.fetch(h, e, latency)
	case ReadPlatform:
		f.read(h, h.Router, e, f.now.Add(e.Wait))
	default:
	}
}

func (f *fleet) probe(h *host, e Effect, latency time.Duration) {
	target, sentAt := f.host(e.Peer), f.now
	if target != nil && target.refusesConnections && !f.partitioned(h, target) {
		f.deliverAfter(latency, h, &ProbeFailed{Target: e.Peer, Refused: true})
		return
	}
	if !f.reachable(h, target) || !target.pausedAt.IsZero() {
		f.deliverAfter(e.Timeout, h, &ProbeFailed{Target: e.Peer})
		return
	}
	f.runAfter(latency, func() {
		if !target.up || !target.pausedAt.IsZero() {
			f.deliverAfter(e.Timeout, h, &ProbeFailed{Target: e.Peer})
			return
		}
		for _, r := range f.apply(target, &ProbeReceived{From: view.IDFromName(h.config.Name), Digest: e.Digest}) {
			if r.Kind == ProbeReply {
				f.deliverAfter(latency, h, &ProbeAcknowledged{From: e.Peer, Digest: r.Digest, SentAt: sentAt})
			}
		}
	})
}

func (f *fleet) fetch(h *host, e Effect, latency time.Duration) {
	i := slices.IndexFunc(f.hosts, func(o *host) bool { return o.config.Peers == e.Address })
	if i >= 0 && f.hosts[i].refusesConnections && !f.partitioned(h, f.hosts[i]) {
		f.deliverAfter(latency, h, &FetchFailed{Peer: e.Peer, Err: errors.New("refused")})
		return
	}
	if i < 0 || !f.reachable(h, f.hosts[i]) || !f.hosts[i].pausedAt.IsZero() {
		f.deliverAfter(e.Timeout, h, &FetchFailed{Peer: e.Peer, Err: errors.New("unreachable")})
		return
	}
	requestedAt := f.now
	f.runAfter(latency, func() {
		values := f.hosts[i].Newer(e.Have)
		f.deliverAfter(latency, h, &ValuesReceived{Source: FromPeer, From: e.Peer, Values: values, RequestedAt: requestedAt})
	})
}

// read simulates a long poll: it responds immediately if there are newer
// values, when values change, or at end.
func (f *fleet) read(h *host, process *Router, e Effect, end time.Time) {
	if !h.up || process != h.Router {
		return
	}
	if f.platform.down[h.config.Name] {
		f.deliverAfter(testLatency, h, &PlatformReadFailed{Err: errors.New("down")})
		return
	}
	values := f.platform.newer(h.config.Name, e.Since)
	if len(values) == 0 && f.now.Before(end) {
		f.runAfter(testStep, func() { f.read(h, process, e, end) })
		return
	}
	f.platform.reads++
	f.deliverAfter(testLatency, h, &ValuesReceived{Source: FromPlatform, Values: values})
}

func (f *fleet) pause(h *host) { h.pausedAt = f.now }

// resume continues a paused host. Events queued during the pause are delivered
// after the Resumed event.
func (f *fleet) resume(h *host) {
	gap := f.now.Sub(h.pausedAt)
	h.pausedAt = time.Time{}
	f.apply(h, &balancer.Resumed{Pause: gap})
	for _, d := range h.pending {
		f.apply(h, d.event)
	}
	h.pending = nil
}

// restart starts a new process on a host.
func (f *fleet) restart(h *host) {
	h.config.Incarnation++
	*h.recorder = recorder{}
	h.Router = New(h.config)
	h.up, h.refusesConnections, h.pausedAt, h.pending = true, false, time.Time{}, nil
}

func (h *host) liveMember(id view.ID) (balancer.Member, bool) {
	i := slices.IndexFunc(h.live, func(m balancer.Member) bool { return m.ID == id })
	if i < 0 {
		return balancer.Member{}, false
	}
	return h.live[i], true
}
