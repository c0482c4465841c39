package baseline_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/baseline"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/declaration"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

const (
	port  = 443
	flows = 400
)

var now = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// newView returns a view of one service. The given number of its upstreams,
// from the first on, are draining.
func newView(revision uint64, upstreams, draining int) *view.View {
	dataCentre := inventory.DataCentre{Name: "pit-a"}
	for n := range upstreams {
		u := inventory.Upstream{
			Name: fmt.Sprintf("ledger-%d", n), Service: "ledger",
			Packets: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 6081),
		}
		if n < draining {
			u.State = inventory.UpstreamDraining
		}
		dataCentre.Upstreams = append(dataCentre.Upstreams, u)
	}
	return view.Compile(view.Sources{
		Version:      view.Version{Generation: 1, Revision: revision},
		Declarations: declaration.Declarations{Classes: []declaration.Class{{Name: "query", Service: "ledger", Port: port}}},
		Services:     []inventory.Service{{Name: "ledger", Number: 7, Addresses: []netip.Addr{netip.MustParseAddr("198.51.100.7")}}},
		DataCentres:  []inventory.DataCentre{dataCentre},
	})
}

func packet(n int) *balancer.FabricPacket {
	k := flow.Key{
		Source:      netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), uint16(1024+n)),
		Destination: netip.AddrPortFrom(netip.MustParseAddr("198.51.100.7"), port), Protocol: flow.ProtocolTCP,
	}
	return &balancer.FabricPacket{Packet: flow.Packet{Key: k, ID: k.ID()}}
}

// upstreamsOf sends a packet of each flow and returns the upstreams that the
// policy forwards them to.
func upstreamsOf(t *testing.T, p balancer.Policy, at time.Time) []view.ID {
	t.Helper()
	var list []view.ID
	for n := range flows {
		effects := p.Apply(at, packet(n))
		if len(effects) != 1 || effects[0].Kind != balancer.Forward || effects[0].Service != 7 {
			t.Fatalf("flow %d: effects %v, want one forward for service 7", n, effects)
		}
		list = append(list, effects[0].Upstream)
	}
	return list
}

func differing(a, b []view.ID) int {
	count := 0
	for n := range a {
		if a[n] != b[n] {
			count++
		}
	}
	return count
}

func TestStatelessMovesFlowsWhenUpstreamsChange(t *testing.T) {
	p := &baseline.Stateless{}
	p.Apply(now, &balancer.ViewChanged{View: newView(1, 4, 0)})
	before := upstreamsOf(t, p, now)
	p.Apply(now, &balancer.ViewChanged{View: newView(2, 5, 0)})
	if moved := differing(before, upstreamsOf(t, p, now)); moved < flows/10 || moved > flows*3/10 {
		t.Errorf("%d of %d flows moved to the fifth upstream, want about a fifth", moved, flows)
	}
}

func TestTableKeepsFlowsUntilIdleTimeout(t *testing.T) {
	p := &baseline.Table{IdleTimeout: time.Minute}
	p.Apply(now, &balancer.ViewChanged{View: newView(1, 4, 0)})
	before := upstreamsOf(t, p, now)
	p.Apply(now, &balancer.ViewChanged{View: newView(2, 5, 2)})
	if d := cmp.Diff(before, upstreamsOf(t, p, now.Add(30*time.Second))); d != "" {
		t.Errorf("flows moved (-before +after):\n%s", d)
	}
	later := now.Add(2 * time.Minute)
	p.Apply(later, &balancer.Tick{})
	for n, id := range upstreamsOf(t, p, later) {
		if id == view.IDFromName("ledger-0") || id == view.IDFromName("ledger-1") {
			t.Errorf("flow %d goes to a draining upstream after the idle timeout, want another one", n)
		}
	}
}

func TestPacketsWithoutServiceAreDropped(t *testing.T) {
	p := &baseline.Stateless{}
	want := func(reason balancer.Reason, e *balancer.FabricPacket) {
		t.Helper()
		got := p.Apply(now, e)
		if d := cmp.Diff([]balancer.Effect{{Kind: balancer.Drop, Reason: reason}}, got, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })); d != "" {
			t.Errorf("effects differ (-want +got):\n%s", d)
		}
	}
	want(balancer.ReasonSuspectView, packet(1))
	p.Apply(now, &balancer.ViewChanged{View: newView(1, 1, 1)})
	want(balancer.ReasonNoRoom, packet(1))
	stray := packet(1)
	stray.Packet.Key.Destination = netip.MustParseAddrPort("198.51.100.7:1")
	want(balancer.ReasonNoClass, stray)
	stray.Packet.Key.Destination = netip.MustParseAddrPort("198.51.100.8:443")
	want(balancer.ReasonNoService, stray)
}
