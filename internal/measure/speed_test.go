package measure_test

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/baseline"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/declaration"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

const (
	manyFlows       = 300_000
	maxBytesPerFlow = 100
	maxBytes        = 64 << 20
	flowsPerTick    = 3000
	benchPort       = 443
	benchServiceNum = 1
	// baselineDecisions limits the decisions of the baseline that are timed.
	baselineDecisions = 200_000
)

// bench drives the balancer of one instance. The fleet has one or two data
// centres with one instance each, and upstreams that accept any load.
type bench struct {
	balancer *balancer.Balancer
	view     *view.View
	now      time.Time
}

func benchView(upstreams, dataCentres int) *view.View {
	sources := view.Sources{
		Version: view.Version{Generation: 1, Revision: 1},
		Declarations: declaration.Declarations{Classes: []declaration.Class{
			{Name: "query", Service: "desk", Port: benchPort, Target: declaration.Target{AnswerWithin: time.Second, Share: 0.9}},
		}},
		Services: []inventory.Service{{Name: "desk", Number: benchServiceNum, Addresses: []netip.Addr{netip.MustParseAddr("198.51.100.1")}}},
	}
	for n := range dataCentres {
		dataCentre := inventory.DataCentre{Name: fmt.Sprintf("site-%d", n), Region: "one"}
		dataCentre.Instances = []inventory.Instance{{
			Name: fmt.Sprintf("entry-%d", n), Packets: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n), 0, 1}), 6081),
		}}
		sources.DataCentres = append(sources.DataCentres, dataCentre)
	}
	for n := range upstreams {
		dataCentre := &sources.DataCentres[n%dataCentres]
		dataCentre.Upstreams = append(dataCentre.Upstreams, inventory.Upstream{
			Name: fmt.Sprintf("upstream-%d", n), Service: "desk", Slots: manyFlows, Connections: manyFlows,
			Packets: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 6081),
		})
	}
	return view.Compile(sources)
}

// newBench returns the balancer of the first data centre's instance once all
// upstreams have warmed up.
func newBench(upstreams, dataCentres int) *bench {
	d := &bench{view: benchView(upstreams, dataCentres), now: time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)}
	first := d.view.DataCentres[0]
	d.balancer = balancer.New(balancer.Config{Self: first.Instances[0].ID, DataCentre: first.Name})
	var live []balancer.Member
	for _, dataCentre := range d.view.DataCentres {
		i := dataCentre.Instances[0]
		live = append(live, balancer.Member{ID: i.ID, DataCentre: dataCentre.Name, Packets: i.Packets})
	}
	d.balancer.Apply(d.now, &balancer.MembersChanged{Live: live})
	d.balancer.Apply(d.now, &balancer.ViewChanged{View: d.view})
	for range 30 * time.Second / balancer.TickInterval {
		d.tick()
	}
	return d
}

// tick advances the clock by one tick and answers the status polls.
func (d *bench) tick() {
	d.now = d.now.Add(balancer.TickInterval)
	var polled []view.ID
	for _, e := range d.balancer.Apply(d.now, &balancer.Tick{}) {
		if e.Kind == balancer.PollStatus {
			polled = append(polled, e.Upstream)
		}
	}
	for _, id := range polled {
		d.balancer.Apply(d.now, &balancer.StatusReported{Upstream: id, Ready: true, Started: d.now.Add(-time.Hour).Truncate(time.Hour)})
	}
}

// benchPacket returns a packet of the n-th flow.
func benchPacket(n int, role flow.Role) flow.Packet {
	var source [4]byte
	binary.BigEndian.PutUint32(source[:], uint32(100<<24|n>>10))
	k := flow.Key{
		Source:      netip.AddrPortFrom(netip.AddrFrom4(source), uint16(1024+n&1023)),
		Destination: netip.AddrPortFrom(netip.MustParseAddr("198.51.100.1"), benchPort), Protocol: flow.ProtocolTCP,
	}
	return flow.Packet{Key: k, ID: k.ID(), Role: role, Acknowledgement: 1}
}

// open establishes flows at the rate of a busy instance and returns a data
// packet of each.
func (d *bench) open(flows int) []balancer.FabricPacket {
	packets := make([]balancer.FabricPacket, flows)
	for n := range packets {
		packets[n].Packet = benchPacket(n, flow.RoleOpen)
		d.balancer.Apply(d.now, &packets[n])
		packets[n].Packet.Role = flow.RoleData
		d.balancer.Apply(d.now, &packets[n])
		if n%flowsPerTick == 0 {
			d.tick()
		}
	}
	return packets
}

func TestPacketDecisionDoesNotAllocate(t *testing.T) {
	for _, dataCentres := range []int{1, 2} {
		d := newBench(100, dataCentres)
		packets := d.open(10_000)
		n := 0
		allocations := testing.AllocsPerRun(len(packets)-1, func() {
			if effects := d.balancer.Apply(d.now, &packets[n]); len(effects) != 1 || effects[0].Kind > balancer.Relay {
				t.Fatalf("packet %d: effects %v, want one forward or relay", n, effects)
			}
			n++
		})
		if allocations != 0 {
			t.Errorf("%d data centres: %v allocations a packet, want 0", dataCentres, allocations)
		}
	}
}

func TestMemoryPerOpenFlow(t *testing.T) {
	d := newBench(14, 1)
	before := heapInUse()
	d.open(manyFlows)
	for range 5 * time.Second / balancer.TickInterval {
		d.tick()
	}
	used := heapInUse() - before
	if flows := d.balancer.Dump().Flows; flows != manyFlows {
		t.Fatalf("%d flows recorded, want %d", flows, manyFlows)
	}
	t.Logf("%d flows take %d bytes, %.1f each", manyFlows, used, float64(used)/manyFlows)
	if used > manyFlows*maxBytesPerFlow || used > maxBytes {
		t.Errorf("%d flows take %d bytes, want at most %d each and %d in all", manyFlows, used, maxBytesPerFlow, maxBytes)
	}
	runtime.KeepAlive(d)
}

// heapInUse returns the bytes of live objects on the heap.
func heapInUse() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkDecision times packets of established flows, both at the instance
// that owns them and at one that relays about half of them. The metric x-bare
// is that time as a multiple of the time of a plain rendezvous hash over the
// same upstreams.
func BenchmarkDecision(b *testing.B) {
	for _, upstreams := range []int{10, 100, 2300} {
		for _, dataCentres := range []int{1, 2} {
			for _, flows := range []int{10_000, manyFlows} {
				name := fmt.Sprintf("upstreams=%d/data-centres=%d/flows=%d", upstreams, dataCentres, flows)
				b.Run(name, func(b *testing.B) { benchDecision(b, upstreams, dataCentres, flows) })
			}
		}
	}
}

func benchDecision(b *testing.B, upstreams, dataCentres, flows int) {
	d := newBench(upstreams, dataCentres)
	packets := d.open(flows)
	hash := &baseline.Stateless{}
	hash.Apply(d.now, &balancer.ViewChanged{View: d.view})
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		d.balancer.Apply(d.now, &packets[n*7919%flows])
		n++
	}
	took := b.Elapsed().Seconds() / float64(b.N)
	count := min(b.N, baselineDecisions)
	start := time.Now()
	for n := range count {
		hash.Apply(d.now, &packets[n*7919%flows])
	}
	b.ReportMetric(took*float64(count)/time.Since(start).Seconds(), "x-bare")
}

// BenchmarkOpening times an opening packet together with the reset that ends
// the flow.
func BenchmarkOpening(b *testing.B) {
	d := newBench(100, 1)
	d.open(10_000)
	packets := make([]balancer.FabricPacket, 1024)
	for n := range packets {
		packets[n].Packet = benchPacket(manyFlows+n, flow.RoleOpen)
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		p := &packets[n%len(packets)]
		p.Packet.Role = flow.RoleOpen
		d.balancer.Apply(d.now, p)
		p.Packet.Role = flow.RoleReset
		d.balancer.Apply(d.now, p)
		n++
	}
}
