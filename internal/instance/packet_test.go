package instance

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
	"github.com/chervilhaven/chervilhaven/internal/node"
	"github.com/chervilhaven/chervilhaven/internal/relay"
	"github.com/chervilhaven/chervilhaven/internal/settings"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

func TestPacketIsForwardedUnchanged(t *testing.T) {
	for _, address := range []netip.AddrPort{loopback, netip.MustParseAddrPort("[::1]:0")} {
		t.Run(address.Addr().String(), func(t *testing.T) {
			fabric, upstream := newEndpointAt(t, address), newEndpointAt(t, address)
			f := newFakeNode(func(e node.Event) []node.Effect {
				if _, ok := e.(*balancer.FabricPacket); !ok {
					return nil
				}
				return balance(balancer.Effect{Kind: balancer.Forward, Service: 77, Address: upstream.address()})
			})
			s := testSettings("a", fabric.address())
			s.Packets = address
			i := run(t, s, f)
			inner := callerPacket(t, layers.TCP{SYN: true, Seq: 9}, "")
			fabric.send(i.PacketsAddress(), wrap(t, 0, inner))
			outer, _ := upstream.receive()
			if diff := cmp.Diff(geneve.Outer{VNI: 77, Inner: inner}, outer); diff != "" {
				t.Error(diff)
			}
			got := expect[balancer.FabricPacket](t, f)
			want := flow.Packet{Key: testFlow, ID: testFlow.ID(), Role: flow.Open, Sequence: 9}
			if got.Packet != want {
				t.Errorf("got %+v, want %+v", got.Packet, want)
			}
		})
	}
}

func TestClosedInstanceEndsItsRun(t *testing.T) {
	i, err := New(Config{Settings: testSettings("a", loopback)})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- i.Run(context.Background()) }()
	i.Close()
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(waitBound):
		t.Error("still running")
	}
}

// relayPair runs two instances: the first relays, the second refuses.
func relayPair(t *testing.T, fabric *endpoint, first, second []settings.Key) (a, b *Instance, fb *fakeNode) {
	t.Helper()
	header := relay.Header{Version: view.Version{Generation: 1, Revision: 2}, Target: 5, Hops: 1, Flags: relay.Search}
	fb = newFakeNode(func(e node.Event) []node.Effect {
		if _, ok := e.(*balancer.RelayedPacket); !ok {
			return nil
		}
		return balance(balancer.Effect{Kind: balancer.Refuse, Reason: balancer.ReasonNoRoom})
	})
	b = run(t, testSettings("b", fabric.address(), second...), fb)
	fa := newFakeNode(func(e node.Event) []node.Effect {
		if _, ok := e.(*balancer.FabricPacket); !ok {
			return nil
		}
		return balance(balancer.Effect{Kind: balancer.Relay, Service: 77, Address: b.PacketsAddress(), Header: header})
	})
	a = run(t, testSettings("a", fabric.address(), first...), fa)
	return a, b, fb
}

func testKey(id uint8) settings.Key {
	return settings.Key{ID: id, Secret: [settings.SecretBytes]byte{id}}
}

func testRing(t testing.TB, keys ...settings.Key) *keyring.Keyring {
	t.Helper()
	ring, err := keyring.New((&Config{Settings: Settings{Keys: keys}}).keys())
	if err != nil {
		t.Fatal(err)
	}
	return ring
}

func TestRefusalOfRelayedPacketReachesFabric(t *testing.T) {
	fabric := newEndpoint(t)
	old, fresh := testKey(1), testKey(2)
	// The keys are being rotated: only the second instance signs with the new one.
	a, b, fb := relayPair(t, fabric, []settings.Key{old, fresh}, []settings.Key{fresh, old})
	fb.setView(viewOf(a, b))
	fabric.send(a.PacketsAddress(), wrap(t, 0, callerPacket(t, layers.TCP{SYN: true, Seq: 9}, "")))
	outer, packet := fabric.receive()
	want := flow.Key{Source: testFlow.Destination, Destination: testFlow.Source, Protocol: flow.ProtocolTCP}
	if outer.VNI != 0 || packet.Key != want || packet.Role != flow.Reset || packet.Acknowledgement != 10 {
		t.Errorf("got VNI %d, %+v", outer.VNI, packet)
	}
	got := expect[balancer.RelayedPacket](t, fb)
	if got.From != a.id || got.Header.Target != 5 || got.Header.Flags != relay.Search {
		t.Errorf("got %+v", got)
	}
}

// eventually waits until counted is true.
func eventually(t *testing.T, what string, counted func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitBound); !counted(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %v", what, waitBound)
		}
	}
}

func TestForeignPacketsAreDroppedAndCounted(t *testing.T) {
	fabric, stranger := newEndpoint(t), newEndpoint(t)
	key := testKey(1)
	inner := callerPacket(t, layers.TCP{ACK: true}, "ticket")
	signedBy := func(from string, keys ...settings.Key) []byte {
		head, err := geneve.NewEncoder(testRing(t, keys...)).Relay(geneve.NewHeaderBuffer(), 77, relay.Header{}, view.IDFromName(from), testFlow.ID(), inner)
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
		{"caller's packet from a stranger", stranger, wrap(t, 0, inner), reasonUnknownSource},
		{"signed packet from another address", stranger, signed(key), reasonUnknownPeer},
		{"signed packet of an instance that is not listed", stranger, signedBy("z", key), reasonUnknownPeer},
		{"unsigned relayed packet", stranger, signed(), string(geneve.ReasonForged)},
		{"relayed packet under a foreign key", stranger, signed(testKey(9)), string(geneve.ReasonForged)},
		{"relayed packet from the fabric", fabric, signed(key), reasonFabricTunnel},
		{"service number from the fabric", fabric, wrap(t, 77, inner), reasonFabricTunnel},
		{"malformed", fabric, []byte("?"), string(geneve.ReasonTunnel)},
		{"longer than a buffer", fabric, make([]byte, datagramBytes+1), reasonTooLong},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFakeNode(nil)
			i := run(t, testSettings("b", fabric.address(), key), f)
			f.setView(viewOf(i))
			tt.from.send(i.PacketsAddress(), tt.datagram)
			eventually(t, tt.reason, func() bool { return i.metrics.drops[tt.reason].Get() == 1 })
			if len(f.events) != 0 {
				t.Errorf("the node heard of it: %+v", <-f.events)
			}
		})
	}
}

func TestLongPauseIsToldBeforeAnyOtherEvent(t *testing.T) {
	f := newFakeNode(nil)
	i, err := newInstance(Config{Settings: testSettings("a", loopback)}, f)
	if err != nil {
		t.Fatal(err)
	}
	defer i.Close()
	i.lastEvent = time.Now().Add(-3 * GapBound)
	i.handleMessage(i.wake(), message{event: &balancer.ViewConfirmed{}})
	if woke, ok := (<-f.events).(*balancer.Resumed); !ok || woke.Pause < 3*GapBound {
		t.Errorf("first event is %T", woke)
	}
	if _, ok := (<-f.events).(*balancer.ViewConfirmed); !ok {
		t.Error("the event itself is missing")
	}
	i.wake()
	if len(f.events) != 0 {
		t.Errorf("the pause is told twice: %T", <-f.events)
	}
}

func TestDecisionFromBeforeAPauseIsNotSent(t *testing.T) {
	upstream := newEndpoint(t)
	i, err := newInstance(Config{Settings: testSettings("a", loopback)}, newFakeNode(nil))
	if err != nil {
		t.Fatal(err)
	}
	defer i.Close()
	b := <-i.socket.free
	o := b.next()
	o.buffers[0] = wrap(t, 77, callerPacket(t, layers.TCP{SYN: true}, ""))
	o.to(upstream.address(), 1)
	b.decided = time.Now().Add(-2 * GapBound)
	i.socket.decided <- b
	go i.socket.write(i.work.Done())
	eventually(t, reasonLate, func() bool { return i.metrics.drops[reasonLate].Get() == 1 })
}

func TestOneUnsendablePacketDoesNotStopItsBatch(t *testing.T) {
	upstream := newEndpoint(t)
	i, err := newInstance(Config{Settings: testSettings("a", loopback)}, newFakeNode(nil))
	if err != nil {
		t.Fatal(err)
	}
	defer i.Close()
	b := <-i.socket.free
	for n := range 3 {
		o := b.next()
		o.buffers[0] = wrap(t, 77, callerPacket(t, layers.TCP{SYN: true}, ""))
		if n == 1 {
			o.buffers[0] = make([]byte, 1<<16)
		}
		o.to(upstream.address(), 1)
	}
	b.decided = time.Now()
	i.socket.decided <- b
	go i.socket.write(i.work.Done())
	upstream.receive()
	upstream.receive()
	if diff := cmp.Diff(uint64(1), i.metrics.drops[reasonWrite].Get()); diff != "" {
		t.Error(diff)
	}
}
