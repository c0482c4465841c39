package balancer_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/declaration"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

const (
	portQueries  = 7001
	portPostings = 7002
	portBulk     = 7003
)

// outcome describes what happened to one packet.
type outcome struct {
	upstreams []string
	refused   bool
	// reset is true if the upstream did not know the flow.
	reset  bool
	reason balancer.Reason
	hops   int
}

func (o outcome) upstream() string {
	if len(o.upstreams) == 0 {
		return ""
	}
	return o.upstreams[0]
}

// message is a control message between two instances.
type message struct {
	to    view.ID
	event balancer.Event
}

// fleet simulates a fleet by function calls between balancers. Packets are
// delivered immediately, control messages at the next tick.
type fleet struct {
	t         testing.TB
	random    *rand.Rand
	sources   view.Sources
	balancers map[view.ID]*balancer.Balancer
	// order lists the running instances in the order of their starts.
	order []view.ID
	// dataCentre maps each instance to its data centre.
	dataCentre map[view.ID]string
	leaving    map[view.ID]bool
	// isolated marks the data centres that a partition cuts off from all others.
	isolated map[string]bool
	paused   map[view.ID]bool
	// lagging marks instances that get no new configuration and member lists.
	lagging map[view.ID]bool
	// started, shedding, unready and open hold the state of each upstream: the
	// start time of its process, whether it sheds load, whether its health check
	// fails, and its open flows.
	started  map[string]time.Time
	shedding map[string]bool
	unready  map[string]bool
	open     map[string]map[flow.ID]bool
	// stopped marks the instances whose planned stop has finished.
	stopped  map[view.ID]bool
	messages []message
	// control counts the bytes of handovers that each instance has sent.
	control  map[view.ID]int
	settings balancer.Settings
	// dropReleaseRequests loses all release requests.
	dropReleaseRequests bool
	// nextPort is a counter from which newKey derives the source addresses.
	nextPort uint32
}

// newFleet starts instances in each data centre and adds upstreams that have
// been running for an hour.
func newFleet(t testing.TB, dataCentres, instances, upstreams int, settings balancer.Settings) *fleet {
	f := &fleet{
		t: t, random: rand.New(rand.NewPCG(1, 2)), settings: settings,
		balancers: map[view.ID]*balancer.Balancer{}, dataCentre: map[view.ID]string{},
		leaving: map[view.ID]bool{}, isolated: map[string]bool{}, paused: map[view.ID]bool{},
		lagging: map[view.ID]bool{}, started: map[string]time.Time{}, shedding: map[string]bool{},
		unready: map[string]bool{}, open: map[string]map[flow.ID]bool{}, stopped: map[view.ID]bool{},
		control: map[view.ID]int{},
	}
	f.sources = view.Sources{
		Declarations: declaration.Declarations{Classes: []declaration.Class{
			{Name: "queries", Service: "lot-ledger", Port: portQueries, Target: declaration.Target{AnswerWithin: 200 * time.Millisecond, Share: 0.99}},
			{Name: "postings", Service: "lot-ledger", Port: portPostings, Target: declaration.Target{AnswerWithin: time.Second, Share: 0.99, Once: true}},
			{Name: "bulk", Service: "lot-ledger", Port: portBulk, Target: declaration.Target{FinishWithin: time.Minute, Share: 0.95, Whole: true}},
			{Name: "certificates", Service: "assay-desk", Port: portQueries, Target: declaration.Target{FinishWithin: time.Minute, Share: 0.95, Whole: true}},
		}},
		Services: []inventory.Service{
			{Name: "lot-ledger", Number: 1, Addresses: []netip.Addr{netip.MustParseAddr("203.0.113.1")}},
			{Name: "assay-desk", Number: 2, Addresses: []netip.Addr{netip.MustParseAddr("203.0.113.2")}},
		},
	}
	for d := range dataCentres {
		dataCentre := inventory.DataCentre{Name: fmt.Sprintf("pit-%d", d), Region: "north"}
		for i := range instances {
			name := fmt.Sprintf("entry-%d-%d", d, i)
			dataCentre.Instances = append(dataCentre.Instances, instanceNamed(name))
		}
		f.sources.DataCentres = append(f.sources.DataCentres, dataCentre)
	}
	for u := range upstreams {
		f.addUpstream(fmt.Sprintf("lot-%d", u), u%dataCentres)
	}
	for _, d := range f.sources.DataCentres {
		for _, i := range d.Instances {
			f.start(i.Name, d.Name)
		}
	}
	f.publish()
	f.gossip()
	return f
}

func instanceNamed(name string) inventory.Instance {
	id := uint64(view.IDFromName(name))
	address := netip.AddrFrom4([4]byte{127, 1, byte(id >> 8), byte(id)})
	return inventory.Instance{Name: name, Packets: netip.AddrPortFrom(address, 6081)}
}

func (f *fleet) addUpstream(name string, dataCentre int) {
	f.sources.DataCentres[dataCentre].Upstreams = append(f.sources.DataCentres[dataCentre].Upstreams,
		inventory.Upstream{Name: name, Service: "lot-ledger", Slots: 2, Connections: 2000})
	f.started[name] = time.Now().Add(-time.Hour)
	f.open[name] = map[flow.ID]bool{}
}

// start adds an instance.
func (f *fleet) start(name, dataCentre string) view.ID {
	id := view.IDFromName(name)
	f.balancers[id] = balancer.New(balancer.Config{Self: id, DataCentre: dataCentre, Settings: f.settings})
	f.dataCentre[id] = dataCentre
	f.order = append(f.order, id)
	return id
}

// kill removes an instance without a planned stop.
func (f *fleet) kill(id view.ID) {
	delete(f.balancers, id)
	f.order = slices.DeleteFunc(f.order, func(other view.ID) bool { return other == id })
}

// publish sends the current configuration to all instances that do not lag.
func (f *fleet) publish() {
	f.sources.Version.Revision++
	for _, id := range f.order {
		if !f.lagging[id] {
			f.apply(id, &balancer.ViewChanged{View: view.Compile(f.sources)})
		}
	}
}

// gossip sends the list of live instances to all instances that do not lag.
func (f *fleet) gossip() {
	for _, id := range f.order {
		if !f.lagging[id] {
			f.apply(id, &balancer.MembersChanged{Live: f.members(f.dataCentre[id])})
		}
	}
}

func (f *fleet) members(from string) []balancer.Member {
	var live []balancer.Member
	for _, id := range f.order {
		live = append(live, balancer.Member{
			ID: id, DataCentre: f.dataCentre[id], Leaving: f.leaving[id],
			Packets:     netip.AddrPortFrom(netip.IPv4Unspecified(), 1),
			Unreachable: f.separated(from, f.dataCentre[id]),
		})
	}
	return live
}

// separated reports whether a partition separates two data centres.
func (f *fleet) separated(a, b string) bool {
	return a != b && (f.isolated[a] || f.isolated[b])
}

// apply delivers an event other than a packet to an instance.
func (f *fleet) apply(id view.ID, event balancer.Event) {
	instance, ok := f.balancers[id]
	if !ok || f.paused[id] {
		return
	}
	for _, e := range slices.Clone(instance.Apply(time.Now(), event)) {
		f.handleEffect(id, e)
	}
}

func (f *fleet) handleEffect(from view.ID, e balancer.Effect) {
	switch e.Kind {
	case balancer.SendHandover:
		f.control[from] += 64 + 32*(len(e.Handover.Records)+len(e.Handover.Pointers))
		f.messages = append(f.messages, message{to: e.Peer, event: &balancer.HandoverReceived{From: from, Handover: *e.Handover}})
	case balancer.RequestRelease:
		if f.dropReleaseRequests {
			return
		}
		f.messages = append(f.messages, message{to: e.Peer, event: &balancer.ReleaseRequested{From: from, Upstreams: e.Upstreams}})
	case balancer.PollStatus:
		f.messages = append(f.messages, message{to: from, event: f.status(e.Upstream)})
	case balancer.Stopped:
		f.stopped[from] = true
	default:
	}
}

func (f *fleet) status(id view.ID) *balancer.StatusReported {
	for name, started := range f.started {
		if view.IDFromName(name) == id {
			return &balancer.StatusReported{
				Upstream: id, Ready: !f.unready[name], Started: started,
				Open: len(f.open[name]), Shedding: f.shedding[name],
			}
		}
	}
	return &balancer.StatusReported{Upstream: id, Ready: true}
}

// wait advances the clock tick by tick.
func (f *fleet) wait(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(balancer.TickInterval)
		messages := f.messages
		f.messages = nil
		for _, m := range messages {
			f.apply(m.to, m.event)
		}
		for _, id := range slices.Clone(f.order) {
			f.apply(id, &balancer.Tick{})
		}
	}
}

// dataCentreOf returns the data centre of an upstream, or "" if there is no
// such upstream.
func (f *fleet) dataCentreOf(upstream string) string {
	for _, d := range f.sources.DataCentres {
		for _, u := range d.Upstreams {
			if u.Name == upstream {
				return d.Name
			}
		}
	}
	return ""
}

// any returns a random live instance.
func (f *fleet) any() view.ID {
	return f.order[f.random.IntN(len(f.order))]
}

// newKey returns a flow key that has not been used before.
func (f *fleet) newKey(port uint16) flow.Key {
	f.nextPort++
	source := netip.AddrFrom4([4]byte{198, 18, byte(f.nextPort >> 24), byte(f.nextPort >> 16)})
	return flow.Key{
		Source:      netip.AddrPortFrom(source, uint16(f.nextPort)),
		Destination: netip.AddrPortFrom(netip.MustParseAddr("203.0.113.1"), port),
		Protocol:    flow.ProtocolTCP,
	}
}

// send delivers a packet to a random instance.
func (f *fleet) send(k flow.Key, role flow.Role, payload int, ack uint32) outcome {
	return f.sendAt(f.any(), k, role, payload, ack)
}

// sendAt delivers a packet to an instance and follows it until it is handled.
func (f *fleet) sendAt(at view.ID, k flow.Key, role flow.Role, payload int, ack uint32) outcome {
	p := flow.Packet{Key: k, ID: k.ID(), Role: role, PayloadBytes: payload, Acknowledgement: ack}
	var o outcome
	f.deliver(at, &balancer.FabricPacket{Packet: p}, p, &o)
	return o
}

func (f *fleet) deliver(at view.ID, event balancer.Event, p flow.Packet, o *outcome) {
	instance, ok := f.balancers[at]
	if !ok || f.paused[at] {
		return
	}
	for _, e := range slices.Clone(instance.Apply(time.Now(), event)) {
		switch e.Kind {
		case balancer.Forward:
			f.receive(e, p, o)
		case balancer.Relay:
			o.hops++
			if !f.separated(f.dataCentre[at], f.dataCentre[e.Peer]) {
				f.deliver(e.Peer, &balancer.RelayedPacket{From: at, Header: e.Header, Packet: p}, p, o)
			}
		case balancer.Refuse:
			o.refused, o.reason = true, e.Reason
		case balancer.Drop:
			o.reason = e.Reason
		default:
			f.handleEffect(at, e)
		}
	}
}

// receive processes a packet at the upstream it was forwarded to.
func (f *fleet) receive(e balancer.Effect, p flow.Packet, o *outcome) {
	name := f.upstreamName(e.Upstream)
	o.upstreams = append(o.upstreams, name)
	switch p.Role {
	case flow.RoleOpen:
		f.open[name][p.ID] = true
	case flow.RoleClose, flow.RoleReset:
		delete(f.open[name], p.ID)
	case flow.RoleData:
		o.reset = !f.open[name][p.ID]
	}
}

func (f *fleet) upstreamName(id view.ID) string {
	for name := range f.started {
		if view.IDFromName(name) == id {
			return name
		}
	}
	f.t.Fatalf("packet forwarded to unknown upstream %d", id)
	return ""
}

// establishMany opens count flows. A flow that fails to open is replaced by
// another one after 100 ms, so that upstreams have time to warm up.
func (f *fleet) establishMany(count int, port uint16) map[flow.Key]string {
	held := make(map[flow.Key]string, count)
	for len(held) < count {
		k := f.newKey(port)
		if o := f.send(k, flow.RoleOpen, 0, 0); o.upstream() == "" {
			f.wait(100 * time.Millisecond)
			continue
		}
		held[k] = f.send(k, flow.RoleData, 0, 1).upstream()
	}
	return held
}

// establishGradually opens 5 flows every 100 ms, like real callers.
func (f *fleet) establishGradually(count int, port uint16) map[flow.Key]string {
	held := make(map[flow.Key]string, count)
	for len(held) < count {
		for k, upstream := range f.establishMany(5, port) {
			held[k] = upstream
		}
		f.wait(100 * time.Millisecond)
	}
	return held
}

// sortedKeys returns the keys of flows in a fixed order, so that one seed
// always gives the same run.
func sortedKeys(held map[flow.Key]string) []flow.Key {
	return slices.SortedFunc(maps.Keys(held), func(a, b flow.Key) int {
		return a.Source.Compare(b.Source)
	})
}

// countBroken sends a packet of each flow and returns the number of flows whose
// packet did not reach their upstream.
func (f *fleet) countBroken(held map[flow.Key]string) int {
	f.t.Helper()
	count := 0
	for _, k := range sortedKeys(held) {
		want := held[k]
		if got := f.send(k, flow.RoleData, 100, 2); len(got.upstreams) != 1 || got.upstream() != want {
			count++
			f.t.Logf("flow %v of %s went to %v, reason %v, hops %d", k, want, got.upstreams, got.reason, got.hops)
		}
	}
	return count
}
