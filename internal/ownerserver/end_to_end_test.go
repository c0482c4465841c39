package ownerserver

import (
	"encoding/binary"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/gopacket/gopacket/layers"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/ownerrouter"
	"github.com/chervilhaven/chervilhaven/internal/settings"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

// testPlatform is an HTTP handler that serves values like the platform. It
// responds after 50 ms at the latest.
type testPlatform struct {
	mu     sync.Mutex
	values []platformValue
}

func (p *testPlatform) put(key string, content any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	text, ok := content.(string)
	if !ok {
		encoded, _ := json.Marshal(content)
		text = string(encoded)
	}
	version := view.Version{Generation: 1, Revision: uint64(len(p.values)) + 1}
	p.values = append(p.values, platformValue{Key: key, Version: version, Content: text})
}

func (p *testPlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	revision, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	response := platformResponse{Version: view.Version{Generation: 1, Revision: uint64(len(p.values))}}
	response.Values = append(response.Values, p.values[min(int(revision), len(p.values)):]...)
	if len(response.Values) == 0 {
		time.Sleep(50 * time.Millisecond)
	}
	_ = json.NewEncoder(w).Encode(response)
}

func serveHTTP(t testing.TB, h http.Handler) netip.AddrPort {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	u, err := url.Parse(s.URL)
	if err != nil {
		t.Fatal(err)
	}
	return netip.MustParseAddrPort(u.Host)
}

// readyUpstream serves the status endpoints of an upstream that is ready and has
// no flows.
func readyUpstream() http.Handler {
	mux := http.NewServeMux()
	started := time.Now()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(healthResponse{Ready: true, Started: started})
	})
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(loadResponse{Slots: 2}) })
	return mux
}

// publish publishes a service, one data centre with the given instances, and
// one upstream.
func publish(p *testPlatform, upstream, status netip.AddrPort, slots int, instances ...*Server) {
	p.put(view.KeyDeclarations, "classes:\n  - name: tickets\n    service: lot-ledger\n    port: 7001\n"+
		"    target: {answer-within: 300ms, share: 0.99, once: true}\n")
	p.put(view.KeyServices, map[string]any{"services": []inventory.Service{
		{Name: "lot-ledger", Number: 77, Addresses: []netip.Addr{testFlow.Destination.Addr()}},
	}})
	dataCentre := inventory.DataCentre{Name: "north", Region: "atacama"}
	for _, server := range instances {
		dataCentre.Instances = append(dataCentre.Instances, inventory.Instance{
			Name: server.settings.Name, Packets: server.PacketsAddress(), Peers: server.PeersAddress(),
		})
	}
	dataCentre.Upstreams = []inventory.Upstream{{
		Name: "ledger-1", Service: "lot-ledger", Packets: upstream, Status: status, Slots: slots, Connections: 2000,
	}}
	p.put(view.PrefixInstances+"north", map[string]any{"region": dataCentre.Region, "instances": dataCentre.Instances})
	p.put(view.PrefixUpstreams+"north", map[string]any{"upstreams": dataCentre.Upstreams})
}

func TestOpeningPacketReachesUpstreamThroughEitherInstance(t *testing.T) {
	fabric, upstream := newEndpoint(t), newEndpoint(t)
	platform := &testPlatform{}
	platformAddress := serveHTTP(t, platform)
	var instances []*Server
	for _, name := range []string{"north-1", "north-2"} {
		s := testSettings(name, fabric.address(), testKey(1), settings.Key{ID: 2, Secret: [16]byte{7}})
		s.Platform = []netip.AddrPort{platformAddress}
		instances = append(instances, run(t, s, nil))
	}
	publish(platform, upstream.address(), serveHTTP(t, readyUpstream()), 2, instances...)

	inner := callerPacket(t, layers.TCP{SYN: true, Seq: 9}, "")
	received := make(chan flow.Packet, 1)
	go func() {
		outer, packet := upstream.receive()
		if outer.VNI != 77 {
			t.Errorf("got VNI %d, want 77", outer.VNI)
		}
		received <- packet
	}()
	// The caller repeats its opening packet through alternating instances
	// until the fleet has started.
	deadline := time.Now().Add(waitTimeout)
	for n := 0; ; n++ {
		if time.Now().After(deadline) {
			t.Fatalf("no packet reached the upstream within %v", waitTimeout)
		}
		fabric.send(instances[n%2].PacketsAddress(), encapsulate(t, 0, inner))
		select {
		case packet := <-received:
			if packet.Key != testFlow || packet.Role != flow.RoleOpen {
				t.Errorf("got %+v, want the opening packet", packet)
			}
			for _, server := range instances {
				eventually(t, "metrics show both members and the view", func() bool {
					return server.metrics.members.Load() == 2 && server.metrics.revision.Load() == 4
				})
			}
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func TestFloodOfOpeningsDoesNotAffectEstablishedFlowsOrMemory(t *testing.T) {
	const flows, flood = 200, 20_000
	fabric, upstream := newEndpoint(t), newEndpoint(t)
	platform := &testPlatform{}
	s := testSettings("north-1", fabric.address())
	s.Platform = []netip.AddrPort{serveHTTP(t, platform)}
	s.Limits.MaxFlows = flows
	server := run(t, s, nil)
	publish(platform, upstream.address(), serveHTTP(t, readyUpstream()), 2000, server)
	openFlow(t, fabric, upstream, server, encapsulate(t, 0, callerPacket(t, layers.TCP{SYN: true}, "")), 0)

	opening := encapsulate(t, 0, callerPacket(t, layers.TCP{SYN: true}, ""))
	random := rand.New(rand.NewPCG(1, 2))
	for n := range flood {
		binary.BigEndian.PutUint32(opening[8+12:], random.Uint32())
		fabric.send(server.PacketsAddress(), opening)
		// Limit the packets in flight, so that the socket buffer drops none.
		for n-int(server.metrics.fromFabric.Get()) > batchSize {
			time.Sleep(time.Millisecond)
		}
	}
	tableSize := 0
	if err := server.runOnLoop(t.Context(), func() { tableSize = server.router.Dump().(ownerrouter.Dump).Balancer.Flows }); err != nil {
		t.Fatal(err)
	}
	if tableSize > flows {
		t.Errorf("%d flows in the table, limit is %d", tableSize, flows)
	}
	if server.metrics.drops[balancer.ReasonFlood.String()].Get() == 0 {
		t.Error("no packet was dropped because of the flow limit")
	}
	drainEndpoint(upstream)
	fabric.send(server.PacketsAddress(), encapsulate(t, 0, callerPacket(t, layers.TCP{ACK: true, Seq: 1, Ack: 1}, "ticket")))
	if _, packet := upstream.receive(); packet.PayloadBytes != len("ticket") {
		t.Errorf("got %+v, want the packet of the established flow", packet)
	}
}

// drainEndpoint discards the datagrams that have arrived.
func drainEndpoint(e *endpoint) {
	b := make([]byte, maxDatagramBytes)
	for {
		_ = e.conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if _, err := e.conn.Read(b); err != nil {
			return
		}
	}
}
