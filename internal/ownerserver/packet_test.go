package ownerserver

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/gopacket/gopacket/layers"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/geneve"
	"github.com/chervilhaven/chervilhaven/internal/keyring"
	"github.com/chervilhaven/chervilhaven/internal/ownerrouter"
	"github.com/chervilhaven/chervilhaven/internal/relay"
	"github.com/chervilhaven/chervilhaven/internal/settings"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

func TestInnerPacketIsForwardedUnchanged(t *testing.T) {
	for _, address := range []netip.AddrPort{loopback, netip.MustParseAddrPort("[::1]:0")} {
		t.Run(address.Addr().String(), func(t *testing.T) {
			fabric, upstream := newEndpointAt(t, address), newEndpointAt(t, address)
			f := newFakeRouter(func(e ownerrouter.Event) []ownerrouter.Effect {
				if _, ok := e.(*balancer.FabricPacket); !ok {
					return nil
				}
				return balancerEffect(balancer.Effect{Kind: balancer.Forward, Service: 77, Address: upstream.address()})
			})
			s := testSettings("a", fabric.address())
			s.Packets = address
			server := run(t, s, f)
			inner := callerPacket(t, layers.TCP{SYN: true, Seq: 9}, "")
			fabric.send(server.PacketsAddress(), encapsulate(t, 0, inner))
			outer, _ := upstream.receive()
			if diff := cmp.Diff(geneve.Encapsulation{VNI: 77, Inner: inner}, outer); diff != "" {
				t.Error(diff)
			}
			got := expect[balancer.FabricPacket](t, f)
			want := flow.Packet{Key: testFlow, ID: testFlow.ID(), Role: flow.RoleOpen, Sequence: 9}
			if got.Packet != want {
				t.Errorf("got %+v, want %+v", got.Packet, want)
			}
		})
	}
}

func TestCloseEndsRun(t *testing.T) {
	server, err := New(Config{Settings: testSettings("a", loopback)})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- server.Run(context.Background()) }()
	server.Close()
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(waitTimeout):
		t.Error("Run did not return after Close")
	}
}

// relayPair starts two instances: the first relays packets to the second, which
// refuses them. It also returns the second's router.
func relayPair(t *testing.T, fabric *endpoint, first, second []settings.Key) (a, b *Server, fb *fakeRouter) {
	t.Helper()
	header := relay.Header{Version: view.Version{Generation: 1, Revision: 2}, Target: 5, Hops: 1, Flags: relay.Search}
	fb = newFakeRouter(func(e ownerrouter.Event) []ownerrouter.Effect {
		if _, ok := e.(*balancer.RelayedPacket); !ok {
			return nil
		}
		return balancerEffect(balancer.Effect{Kind: balancer.Refuse, Reason: balancer.ReasonNoRoom})
	})
	b = run(t, testSettings("b", fabric.address(), second...), fb)
	fa := newFakeRouter(func(e ownerrouter.Event) []ownerrouter.Effect {
		if _, ok := e.(*balancer.FabricPacket); !ok {
			return nil
		}
		return balancerEffect(balancer.Effect{Kind: balancer.Relay, Service: 77, Address: b.PacketsAddress(), Header: header})
	})
	a = run(t, testSettings("a", fabric.address(), first...), fa)
	return a, b, fb
}

func testKey(id uint8) settings.Key {
	return settings.Key{ID: id, Secret: [settings.SecretBytes]byte{id}}
}

func testKeyring(t testing.TB, keys ...settings.Key) *keyring.Keyring {
	t.Helper()
	ring, err := keyring.New((&Config{Settings: Settings{Keys: keys}}).keys())
	if err != nil {
		t.Fatal(err)
	}
	return ring
}

func TestResetForRelayedPacketIsSentToFabric(t *testing.T) {
	fabric := newEndpoint(t)
	old, fresh := testKey(1), testKey(2)
	// During key rotation only the second instance signs with the new key.
	a, b, fb := relayPair(t, fabric, []settings.Key{old, fresh}, []settings.Key{fresh, old})
	fb.setView(viewOf(a, b))
	fabric.send(a.PacketsAddress(), encapsulate(t, 0, callerPacket(t, layers.TCP{SYN: true, Seq: 9}, "")))
	outer, packet := fabric.receive()
	want := flow.Key{Source: testFlow.Destination, Destination: testFlow.Source, Protocol: flow.ProtocolTCP}
	if outer.VNI != 0 || packet.Key != want || packet.Role != flow.RoleReset || packet.Acknowledgement != 10 {
		t.Errorf("got VNI %d, packet %+v; want VNI 0 and a reset of the flow", outer.VNI, packet)
	}
	got := expect[balancer.RelayedPacket](t, fb)
	if got.From != a.id || got.Header.Target != 5 || got.Header.Flags != relay.Search {
		t.Errorf("second instance received %+v, want the header of the first", got)
	}
}

// eventually waits until done returns true.
func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: condition not met within %v", what, waitTimeout)
		}
	}
}

func TestInvalidPacketsAreDroppedAndCounted(t *testing.T) {
	fabric, unknownSender := newEndpoint(t), newEndpoint(t)
	key := testKey(1)
	inner := callerPacket(t, layers.TCP{ACK: true}, "ticket")
	signedBy := func(from string, keys ...settings.Key) []byte {
		head, err := geneve.NewEncoder(testKeyring(t, keys...)).Relay(geneve.NewHeaderBuffer(), 77, relay.Header{}, view.IDFromName(from), testFlow.ID(), inner)
		if err != nil {
			t.Fatal(err)
		}
		return append(append([]byte{}, head...), inner...)
	}
	signed := func(keys ...settings.Key) []byte { return signedBy("b", keys...) }
	tests := []struct {
		name     string
		from     *endpoint
		datagram []byte
		reason   string
	}{
		{"caller's packet from an unknown source", unknownSender, encapsulate(t, 0, inner), reasonUnknownSource},
		{"signed packet from another address", unknownSender, signed(key), reasonUnknownPeer},
		{"signed packet from an unlisted instance", unknownSender, signedBy("z", key), reasonUnknownPeer},
		{"unsigned relayed packet", unknownSender, signed(), string(geneve.ReasonInvalidMAC)},
		{"relayed packet signed with an unknown key", unknownSender, signed(testKey(9)), string(geneve.ReasonInvalidMAC)},
		{"relayed packet from the fabric", fabric, signed(key), reasonFabricTunnel},
		{"service number from the fabric", fabric, encapsulate(t, 77, inner), reasonFabricTunnel},
		{"malformed", fabric, []byte("?"), string(geneve.ReasonMalformedTunnel)},
		{"longer than the buffer", fabric, make([]byte, maxDatagramBytes+1), reasonTooLong},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFakeRouter(nil)
			server := run(t, testSettings("b", fabric.address(), key), f)
			f.setView(viewOf(server))
			tt.from.send(server.PacketsAddress(), tt.datagram)
			eventually(t, tt.reason, func() bool { return server.metrics.drops[tt.reason].Get() == 1 })
			if len(f.events) != 0 {
				t.Errorf("the router received an event: %+v", <-f.events)
			}
		})
	}
}

func TestPauseIsReportedBeforeAnyOtherEvent(t *testing.T) {
	f := newFakeRouter(nil)
	server, err := newServer(Config{Settings: testSettings("a", loopback)}, f)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	server.lastEvent = time.Now().Add(-3 * PauseThreshold)
	server.handleMessage(server.nextEventTime(), message{event: &balancer.ViewConfirmed{}})
	if resumed, ok := (<-f.events).(*balancer.Resumed); !ok || resumed.Pause < 3*PauseThreshold {
		t.Errorf("first event is %T, want Resumed", resumed)
	}
	if _, ok := (<-f.events).(*balancer.ViewConfirmed); !ok {
		t.Error("the event after the pause is missing")
	}
	server.nextEventTime()
	if len(f.events) != 0 {
		t.Errorf("the pause was reported twice: %T", <-f.events)
	}
}

func TestDecisionMadeBeforePauseIsNotSent(t *testing.T) {
	upstream := newEndpoint(t)
	server, err := newServer(Config{Settings: testSettings("a", loopback)}, newFakeRouter(nil))
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	b := <-server.socket.free
	o := b.addOutput()
	o.buffers[0] = encapsulate(t, 77, callerPacket(t, layers.TCP{SYN: true}, ""))
	o.setDestination(upstream.address(), 1)
	b.decided = time.Now().Add(-2 * PauseThreshold)
	server.socket.decided <- b
	go server.socket.write(server.lifetime.Done())
	eventually(t, reasonLate, func() bool { return server.metrics.drops[reasonLate].Get() == 1 })
}

func TestFailedWriteDoesNotDropRestOfBatch(t *testing.T) {
	upstream := newEndpoint(t)
	server, err := newServer(Config{Settings: testSettings("a", loopback)}, newFakeRouter(nil))
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	b := <-server.socket.free
	for n := range 3 {
		o := b.addOutput()
		o.buffers[0] = encapsulate(t, 77, callerPacket(t, layers.TCP{SYN: true}, ""))
		if n == 1 {
			o.buffers[0] = make([]byte, 1<<16)
		}
		o.setDestination(upstream.address(), 1)
	}
	b.decided = time.Now()
	server.socket.decided <- b
	go server.socket.write(server.lifetime.Done())
	upstream.receive()
	upstream.receive()
	if diff := cmp.Diff(uint64(1), server.metrics.drops[reasonWrite].Get()); diff != "" {
		t.Error(diff)
	}
}
