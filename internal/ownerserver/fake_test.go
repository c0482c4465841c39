package ownerserver

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/geneve"
	"github.com/chervilhaven/chervilhaven/internal/ownerrouter"
	"github.com/chervilhaven/chervilhaven/internal/settings"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

const (
	waitTimeout = 10 * time.Second
	// testSkew is the balancer's view skew. It is short, so that instances stop
	// quickly.
	testSkew = 100 * time.Millisecond
)

var (
	compareAddresses = cmpopts.EquateComparable(netip.AddrPort{}, netip.Addr{})

	loopback = netip.MustParseAddrPort("127.0.0.1:0")
	testFlow = flow.Key{
		Source:      netip.MustParseAddrPort("198.51.100.7:40000"),
		Destination: netip.MustParseAddrPort("203.0.113.1:7001"),
		Protocol:    flow.ProtocolTCP,
	}
)

// fakeRouter is a router that records events and returns the effects that the
// test defines.
type fakeRouter struct {
	mu      sync.Mutex
	view    *view.View
	respond func(event ownerrouter.Event) []ownerrouter.Effect
	newer   []view.Value
	// stopEffects are returned for a StopRequested event, before Stopped.
	stopEffects []ownerrouter.Effect
	events      chan ownerrouter.Event
}

func newFakeRouter(decide func(ownerrouter.Event) []ownerrouter.Effect) *fakeRouter {
	return &fakeRouter{respond: decide, events: make(chan ownerrouter.Event, 1024)}
}

func (f *fakeRouter) Apply(_ time.Time, event ownerrouter.Event) []ownerrouter.Effect {
	switch e := event.(type) {
	case *balancer.StopRequested:
		return append(f.stopEffects, balancerEffect(balancer.Effect{Kind: balancer.Stopped})...)
	case *balancer.Tick:
	case *balancer.FabricPacket:
		copied := *e
		f.record(&copied)
	case *balancer.RelayedPacket:
		copied := *e
		f.record(&copied)
	default:
		f.record(event)
	}
	if f.respond == nil {
		return nil
	}
	return f.respond(event)
}

func (f *fakeRouter) record(event ownerrouter.Event) {
	select {
	case f.events <- event:
	default:
	}
}

func (f *fakeRouter) View() *view.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fakeRouter) setView(v *view.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view = v
}

func (f *fakeRouter) Members() []balancer.Member { return nil }

func (f *fakeRouter) Address(peer view.ID) netip.AddrPort {
	if v := f.View(); v != nil {
		if i, ok := v.Instance(peer); ok {
			return i.Peers
		}
	}
	return netip.AddrPort{}
}

func (f *fakeRouter) Newer([]view.KeyVersion) []view.Value { return f.newer }

func (f *fakeRouter) Dump() any {
	return struct {
		Name string `json:"instance-name"`
	}{"fake"}
}

func (f *fakeRouter) Explain(key flow.Key) any {
	return struct {
		Source string `json:"source"`
	}{key.Source.String()}
}

// expect waits for an event of type T and discards others.
func expect[T any](t *testing.T, f *fakeRouter) *T {
	t.Helper()
	deadline := time.After(waitTimeout)
	for {
		select {
		case e := <-f.events:
			if found, ok := e.(*T); ok {
				return found
			}
		case <-deadline:
			t.Fatalf("no %T within %v", new(T), waitTimeout)
		}
	}
}

// testSettings returns settings that listen on loopback, with fabric as the
// only fabric address.
func testSettings(name string, fabric netip.AddrPort, keys ...settings.Key) Settings {
	return Settings{
		Name: name, DataCentre: "north", Packets: loopback, Peers: loopback, Inspect: loopback,
		Fabric: []netip.AddrPort{fabric}, Keys: keys,
	}
}

// run starts an instance that is stopped at the end of the test. If f is nil,
// the instance uses a real router.
func run(t testing.TB, s Settings, f *fakeRouter) *Server {
	t.Helper()
	server, err := New(Config{Settings: s, Balancer: balancer.Settings{ViewSkew: testSkew}})
	if f != nil && err == nil {
		server.router = f
	}
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return server
}

// viewOf returns a view that lists the given instances.
func viewOf(instances ...*Server) *view.View {
	d := inventory.DataCentre{Name: "north"}
	for _, server := range instances {
		d.Instances = append(d.Instances, inventory.Instance{
			Name: server.settings.Name, Packets: server.PacketsAddress(), Peers: server.PeersAddress(),
		})
	}
	return view.Compile(view.Sources{DataCentres: []inventory.DataCentre{d}})
}

// endpoint is a UDP socket that plays the fabric, an upstream or an unknown
// sender.
type endpoint struct {
	t    testing.TB
	conn *net.UDPConn
}

func newEndpoint(t testing.TB) *endpoint {
	t.Helper()
	return newEndpointAt(t, loopback)
}

func newEndpointAt(t testing.TB, address netip.AddrPort) *endpoint {
	t.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadBuffer(socketBufferBytes)
	t.Cleanup(func() { _ = conn.Close() })
	return &endpoint{t: t, conn: conn}
}

func (e *endpoint) address() netip.AddrPort { return udpAddrPort(e.conn.LocalAddr()) }

func (e *endpoint) send(to netip.AddrPort, datagram []byte) {
	e.t.Helper()
	if _, err := e.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		e.t.Fatal(err)
	}
}

// receive returns the next datagram, decoded.
func (e *endpoint) receive() (geneve.Encapsulation, flow.Packet) {
	e.t.Helper()
	b := make([]byte, maxDatagramBytes)
	_ = e.conn.SetReadDeadline(time.Now().Add(waitTimeout))
	n, err := e.conn.Read(b)
	if err != nil {
		e.t.Fatal(err)
	}
	var outer geneve.Encapsulation
	var packet flow.Packet
	if err := geneve.NewDecoder(nil).Decode(b[:n], &outer, &packet); err != nil {
		e.t.Fatal(err)
	}
	return outer, packet
}

// callerPacket returns an IPv4 packet of testFlow from the caller.
func callerPacket(t testing.TB, tcp layers.TCP, payload string) []byte {
	t.Helper()
	ip := &layers.IPv4{
		Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP,
		SrcIP: testFlow.Source.Addr().AsSlice(), DstIP: testFlow.Destination.Addr().AsSlice(),
	}
	tcp.SrcPort, tcp.DstPort = layers.TCPPort(testFlow.Source.Port()), layers.TCPPort(testFlow.Destination.Port())
	if err := tcp.SetNetworkLayerForChecksum(ip); err != nil {
		t.Fatal(err)
	}
	b := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(b, options, ip, &tcp, gopacket.Payload(payload)); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// encapsulate returns the Geneve datagram in which the fabric sends a caller's
// packet.
func encapsulate(t testing.TB, service uint32, inner []byte) []byte {
	t.Helper()
	head, err := geneve.NewEncoder(nil).Forward(geneve.NewHeaderBuffer(), service, inner)
	if err != nil {
		t.Fatal(err)
	}
	return append(append([]byte{}, head...), inner...)
}

// balancerEffect returns a list with one balancer effect.
func balancerEffect(e balancer.Effect) []ownerrouter.Effect {
	return []ownerrouter.Effect{{Kind: ownerrouter.ApplyBalancerEffect, Balancer: e}}
}
