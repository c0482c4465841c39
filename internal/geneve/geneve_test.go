package geneve

import (
	"errors"
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"pgregory.net/rapid"

	"github.com/chervilhaven/chervilhaven/internal/keyring"
	"github.com/chervilhaven/chervilhaven/internal/relay"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

var (
	compareAddresses = cmpopts.EquateComparable(netip.AddrPort{}, netip.Addr{})
	key4             = flow.Key{
		Source:      netip.MustParseAddrPort("198.51.100.7:40000"),
		Destination: netip.MustParseAddrPort("203.0.113.1:7001"),
		Protocol:    flow.ProtocolTCP,
	}
	key6 = flow.Key{
		Source:      netip.MustParseAddrPort("[2001:db8::7]:40000"),
		Destination: netip.MustParseAddrPort("[2001:db8:1::1]:7001"),
		Protocol:    flow.ProtocolTCP,
	}
	header = relay.Header{
		Version: view.Version{Generation: 3, Revision: 1 << 40}, Target: 11, Candidate: 12,
		Visited: 5, Hops: 2, Flags: relay.Search | relay.Inconclusive, OrderHash: 0xbeef,
		Load: relay.Load{OpenFlows: 70000, Upstreams: 14},
	}
)

func serialize(t testing.TB, list ...gopacket.SerializableLayer) []byte {
	t.Helper()
	b := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(b, options, list...); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

func ipHeader(key flow.Key, protocol layers.IPProtocol) gopacket.SerializableLayer {
	if key.Source.Addr().Is4() {
		return &layers.IPv4{
			Version: 4, TTL: 64, Protocol: protocol,
			SrcIP: key.Source.Addr().AsSlice(), DstIP: key.Destination.Addr().AsSlice(),
		}
	}
	return &layers.IPv6{
		Version: 6, HopLimit: 64, NextHeader: protocol,
		SrcIP: key.Source.Addr().AsSlice(), DstIP: key.Destination.Addr().AsSlice(),
	}
}

func tcpPacket(t testing.TB, key flow.Key, tcp layers.TCP, payload string) []byte {
	t.Helper()
	ip := ipHeader(key, layers.IPProtocolTCP)
	tcp.SrcPort, tcp.DstPort = layers.TCPPort(key.Source.Port()), layers.TCPPort(key.Destination.Port())
	if err := tcp.SetNetworkLayerForChecksum(ip.(gopacket.NetworkLayer)); err != nil {
		t.Fatal(err)
	}
	return serialize(t, ip, &tcp, gopacket.Payload(payload))
}

func udpPacket(t testing.TB, key flow.Key, payload string) []byte {
	t.Helper()
	ip := ipHeader(key, layers.IPProtocolUDP)
	udp := layers.UDP{SrcPort: layers.UDPPort(key.Source.Port()), DstPort: layers.UDPPort(key.Destination.Port())}
	if err := udp.SetNetworkLayerForChecksum(ip.(gopacket.NetworkLayer)); err != nil {
		t.Fatal(err)
	}
	return serialize(t, ip, &udp, gopacket.Payload(payload))
}

// serviceReply returns the beginning of a packet from the service to the caller.
func serviceReply(t testing.TB, key flow.Key, length int) []byte {
	t.Helper()
	back := flow.Key{Source: key.Destination, Destination: key.Source, Protocol: key.Protocol}
	return tcpPacket(t, back, layers.TCP{ACK: true, Seq: 9}, "certificate sheet")[:length]
}

func icmpTooBig4(t testing.TB, quote []byte) []byte {
	t.Helper()
	router := flow.Key{Source: netip.MustParseAddrPort("192.0.2.1:0"), Destination: key4.Destination}
	code := layers.CreateICMPv4TypeCode(layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodeFragmentationNeeded)
	return serialize(t, ipHeader(router, layers.IPProtocolICMPv4), &layers.ICMPv4{TypeCode: code}, gopacket.Payload(quote))
}

func icmpTooBig6(t testing.TB, quote []byte) []byte {
	t.Helper()
	router := flow.Key{Source: netip.MustParseAddrPort("[2001:db8::1]:0"), Destination: key6.Destination}
	ip := ipHeader(router, layers.IPProtocolICMPv6).(*layers.IPv6)
	icmp := &layers.ICMPv6{TypeCode: layers.CreateICMPv6TypeCode(layers.ICMPv6TypePacketTooBig, 0)}
	if err := icmp.SetNetworkLayerForChecksum(ip); err != nil {
		t.Fatal(err)
	}
	return serialize(t, ip, icmp, gopacket.Payload(append([]byte{0, 0, 5, 0}, quote...)))
}

func encapsulate(t testing.TB, inner []byte) []byte {
	t.Helper()
	head, err := NewEncoder(nil).Forward(NewHeaderBuffer(), 0, inner)
	if err != nil {
		t.Fatal(err)
	}
	return append(append([]byte{}, head...), inner...)
}

func TestDecodeReadsFlows(t *testing.T) {
	udp := key4
	udp.Protocol = flow.ProtocolUDP
	tests := []struct {
		name   string
		inner  []byte
		packet flow.Packet
		quoted bool
	}{
		{"open", tcpPacket(t, key4, layers.TCP{SYN: true, Seq: 5}, ""), flow.Packet{Key: key4, Role: flow.RoleOpen, Sequence: 5}, false},
		{
			"data", tcpPacket(t, key4, layers.TCP{ACK: true, PSH: true, Seq: 6, Ack: 7}, "ticket"),
			flow.Packet{Key: key4, Role: flow.RoleData, PayloadBytes: 6, Sequence: 6, Acknowledgement: 7},
			false,
		},
		{"close", tcpPacket(t, key6, layers.TCP{FIN: true, ACK: true}, ""), flow.Packet{Key: key6, Role: flow.RoleClose}, false},
		{"reset", tcpPacket(t, key6, layers.TCP{RST: true}, ""), flow.Packet{Key: key6, Role: flow.RoleReset}, false},
		{"syn with ack", tcpPacket(t, key4, layers.TCP{SYN: true, ACK: true}, ""), flow.Packet{Key: key4, Role: flow.RoleData}, false},
		{"udp", udpPacket(t, udp, "four"), flow.Packet{Key: udp, Role: flow.RoleOpen, PayloadBytes: 4}, false},
		{"icmp too big", icmpTooBig4(t, serviceReply(t, key4, 28)), flow.Packet{Key: key4, Role: flow.RoleData}, true},
		{"icmpv6 too big", icmpTooBig6(t, serviceReply(t, key6, 48)), flow.Packet{Key: key6, Role: flow.RoleData}, true},
	}
	d := NewDecoder(nil)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var outer Encapsulation
			var packet flow.Packet
			if err := d.Decode(encapsulate(t, tt.inner), &outer, &packet); err != nil {
				t.Fatal(err)
			}
			tt.packet.ID = tt.packet.Key.ID()
			if diff := cmp.Diff(tt.packet, packet, compareAddresses); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(Encapsulation{ICMPError: tt.quoted, Inner: tt.inner}, outer); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func fragment4(t testing.TB, offset uint16, flags layers.IPv4Flag) []byte {
	t.Helper()
	ip := ipHeader(key4, layers.IPProtocolUDP).(*layers.IPv4)
	ip.FragOffset, ip.Flags = offset, flags
	return serialize(t, ip, gopacket.Payload("middle of a datagram"))
}

func ipInIP(t testing.TB) []byte {
	t.Helper()
	return serialize(t, ipHeader(key4, layers.IPProtocolIPv4), gopacket.Payload(tcpPacket(t, key4, layers.TCP{SYN: true}, "")))
}

func modified(b []byte, change func(b []byte)) []byte {
	b = append([]byte{}, b...)
	change(b)
	return b
}

func TestDecodeRejects(t *testing.T) {
	good := encapsulate(t, tcpPacket(t, key4, layers.TCP{SYN: true}, ""))
	fragment6 := serialize(t, ipHeader(key6, layers.IPProtocolIPv6Fragment), gopacket.Payload("\x06\x00\x00\x01\x00\x00\x00\x01payload"))
	other := serviceReply(t, flow.Key{Source: key4.Source, Destination: netip.MustParseAddrPort("203.0.113.9:7001"), Protocol: flow.ProtocolTCP}, 28)
	tests := []struct {
		name     string
		datagram []byte
		reason   Reason
	}{
		{"empty", nil, ReasonMalformedTunnel},
		{"short header", good[:7], ReasonMalformedTunnel},
		{"options beyond the end", modified(good[:12], func(b []byte) { b[0] = 0x3f }), ReasonMalformedTunnel},
		{"unsupported version", modified(good, func(b []byte) { b[0] = 0x40 }), ReasonMalformedTunnel},
		{"control packet", modified(good, func(b []byte) { b[1] = 0x80 }), ReasonControlPacket},
		{"critical option", append([]byte{1, 0x40, 8, 0, 0, 0, 0, 0, 1, 2, 0x80, 0}, good[8:]...), ReasonCriticalOption},
		{"relay option of wrong length", append([]byte{1, 0, 8, 0, 0, 0, 0, 0, 0xff, 0, 1, 0}, good[8:]...), ReasonMalformedTunnel},
		{"no inner packet", good[:8], ReasonMalformedPacket},
		{"inner ethernet frame", modified(good, func(b []byte) { b[2], b[3] = 0x65, 0x58 }), ReasonUnknownProtocol},
		{"IP version does not match protocol type", modified(good, func(b []byte) { b[2], b[3] = 0x86, 0xdd }), ReasonMalformedPacket},
		{"truncated inner packet", good[:len(good)-3], ReasonMalformedPacket},
		{"zero total length", modified(good, func(b []byte) { b[10], b[11] = 0, 0 }), ReasonMalformedPacket},
		{"syn with fin", encapsulate(t, tcpPacket(t, key4, layers.TCP{SYN: true, FIN: true}, "")), ReasonMalformedPacket},
		{"first fragment", encapsulate(t, fragment4(t, 0, layers.IPv4MoreFragments)), ReasonFragment},
		{"later fragment", encapsulate(t, fragment4(t, 8, 0)), ReasonFragment},
		{"ipv6 fragment", encapsulate(t, fragment6), ReasonFragment},
		{"IP in IP", encapsulate(t, ipInIP(t)), ReasonUnknownProtocol},
		{"sctp", encapsulate(t, serialize(t, ipHeader(key4, layers.IPProtocolSCTP), gopacket.Payload("0123456789ab"))), ReasonUnknownProtocol},
		{"ICMP echo", encapsulate(t, serialize(t, ipHeader(key4, layers.IPProtocolICMPv4), &layers.ICMPv4{TypeCode: 0x0800})), ReasonUnknownProtocol},
		{"quoted packet without ports", encapsulate(t, icmpTooBig4(t, serviceReply(t, key4, 22))), ReasonMalformedPacket},
		{"quoted packet of another service", encapsulate(t, icmpTooBig4(t, other)), ReasonMalformedPacket},
	}
	d := NewDecoder(nil)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var outer Encapsulation
			var packet flow.Packet
			err := d.Decode(tt.datagram, &outer, &packet)
			var rejected *Error
			if !errors.As(err, &rejected) {
				t.Fatalf("got error %v, want reason %s", err, tt.reason)
			}
			if diff := cmp.Diff(tt.reason, rejected.Reason); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func newKeyring(t testing.TB, ids ...uint8) *keyring.Keyring {
	t.Helper()
	var keys []keyring.Key
	for _, id := range ids {
		secret := make([]byte, keyring.MinSecretBytes)
		secret[0] = id
		keys = append(keys, keyring.Key{ID: id, Secret: secret})
	}
	r, err := keyring.New(keys)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func relayedDatagram(t testing.TB, keys *keyring.Keyring, inner []byte, f flow.ID) []byte {
	t.Helper()
	head, err := NewEncoder(keys).Relay(NewHeaderBuffer(), 77, header, 42, f, inner)
	if err != nil {
		t.Fatal(err)
	}
	return append(append([]byte{}, head...), inner...)
}

func TestRelayedPacketsAreAuthenticated(t *testing.T) {
	inner := tcpPacket(t, key4, layers.TCP{ACK: true}, "ticket")
	signed := relayedDatagram(t, newKeyring(t, 1), inner, key4.ID())
	otherFlow := tcpPacket(t, key6, layers.TCP{ACK: true}, "ticket")
	tests := []struct {
		name     string
		datagram []byte
		keys     *keyring.Keyring
		accepted bool
	}{
		{"same key", signed, newKeyring(t, 1), true},
		{"signed with old key that is still accepted", signed, newKeyring(t, 2, 1), true},
		{"signed with removed key", signed, newKeyring(t, 2), false},
		{"unsigned, receiver has keys", relayedDatagram(t, nil, inner, key4.ID()), newKeyring(t, 1), false},
		{"unsigned, receiver has no keys", relayedDatagram(t, nil, inner, key4.ID()), nil, true},
		{"modified target", modified(signed, func(b []byte) { b[12+16] ^= 1 }), newKeyring(t, 1), false},
		{"modified load", modified(signed, func(b []byte) { b[12+44] ^= 1 }), newKeyring(t, 1), false},
		{"modified MAC", modified(signed, func(b []byte) { b[12+59] ^= 1 }), newKeyring(t, 1), false},
		{"option moved to another flow", relayedDatagram(t, newKeyring(t, 1), otherFlow, key4.ID()), newKeyring(t, 1), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var outer Encapsulation
			var packet flow.Packet
			err := NewDecoder(tt.keys).Decode(tt.datagram, &outer, &packet)
			if !tt.accepted {
				var rejected *Error
				if !errors.As(err, &rejected) || rejected.Reason != ReasonInvalidMAC {
					t.Fatalf("got %v, want reason %s", err, ReasonInvalidMAC)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			want := Encapsulation{VNI: 77, Relayed: true, Header: header, From: 42, Inner: inner}
			if diff := cmp.Diff(want, outer); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestResetSequenceNumbersFollowRFC9293(t *testing.T) {
	tests := []struct {
		name  string
		key   flow.Key
		inner layers.TCP
		data  string
		want  layers.TCP
	}{
		{"syn", key4, layers.TCP{SYN: true, Seq: 100}, "", layers.TCP{RST: true, ACK: true, Ack: 101}},
		{"syn with data", key6, layers.TCP{SYN: true, Seq: 100}, "abc", layers.TCP{RST: true, ACK: true, Ack: 104}},
		{"sequence wraps", key4, layers.TCP{SYN: true, Seq: 1<<32 - 1}, "", layers.TCP{RST: true, ACK: true}},
		{"data", key6, layers.TCP{ACK: true, Seq: 100, Ack: 900}, "abc", layers.TCP{RST: true, Seq: 900}},
		{"fin without ack", key4, layers.TCP{FIN: true, Seq: 100}, "abc", layers.TCP{RST: true, ACK: true, Ack: 104}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			datagram, err := NewEncoder(nil).Reset(tcpPacket(t, tt.key, tt.inner, tt.data))
			if err != nil {
				t.Fatal(err)
			}
			p := gopacket.NewPacket(datagram, layers.LayerTypeGeneve, gopacket.Default)
			tcp := p.Layer(layers.LayerTypeTCP).(*layers.TCP)
			if err := tcp.SetNetworkLayerForChecksum(p.NetworkLayer()); err != nil {
				t.Fatal(err)
			}
			if err, bad := p.VerifyChecksums(); err != nil || len(bad) > 0 {
				t.Fatalf("checksums: %v %v", err, bad)
			}
			got := layers.TCP{RST: tcp.RST, ACK: tcp.ACK, SYN: tcp.SYN, FIN: tcp.FIN, Seq: tcp.Seq, Ack: tcp.Ack}
			if diff := cmp.Diff(tt.want, got, cmpopts.IgnoreUnexported(layers.TCP{})); diff != "" {
				t.Error(diff)
			}
			var outer Encapsulation
			var packet flow.Packet
			if err := NewDecoder(nil).Decode(datagram, &outer, &packet); err != nil {
				t.Fatal(err)
			}
			want := flow.Key{Source: tt.key.Destination, Destination: tt.key.Source, Protocol: flow.ProtocolTCP}
			if diff := cmp.Diff(want, packet.Key, compareAddresses); diff != "" || outer.VNI != 0 {
				t.Error(diff, outer.VNI)
			}
		})
	}
}

func TestResetRejectsResetUDPAndICMPError(t *testing.T) {
	udp := key4
	udp.Protocol = flow.ProtocolUDP
	for _, inner := range [][]byte{
		tcpPacket(t, key4, layers.TCP{RST: true}, ""), udpPacket(t, udp, ""), icmpTooBig4(t, serviceReply(t, key4, 28)),
	} {
		var rejected *Error
		if _, err := NewEncoder(nil).Reset(inner); !errors.As(err, &rejected) || rejected.Reason != ReasonNoReset {
			t.Errorf("got %v, want reason %s", err, ReasonNoReset)
		}
	}
}

func TestRelayRoundTrip(t *testing.T) {
	keys := newKeyring(t, 3)
	inner := tcpPacket(t, key4, layers.TCP{ACK: true}, "")
	rapid.Check(t, func(t *rapid.T) {
		// rapid.Make sets all fields, so fields added later are covered as well.
		h := rapid.Make[relay.Header]().Draw(t, "header")
		from, service := view.ID(rapid.Uint64().Draw(t, "from")), rapid.Uint32Max(maxService).Draw(t, "service")
		head, err := NewEncoder(keys).Relay(NewHeaderBuffer(), service, h, from, key4.ID(), inner)
		if err != nil {
			t.Fatal(err)
		}
		var outer Encapsulation
		var packet flow.Packet
		if err := NewDecoder(keys).Decode(append(append([]byte{}, head...), inner...), &outer, &packet); err != nil {
			t.Fatal(err)
		}
		want := Encapsulation{VNI: service, Relayed: true, Header: h, From: from, Inner: inner}
		if diff := cmp.Diff(want, outer); diff != "" {
			t.Fatal(diff)
		}
	})
}

func TestEncodeRejectsSizes(t *testing.T) {
	e, b := NewEncoder(nil), NewHeaderBuffer()
	for _, err := range []error{
		func() error { _, err := e.Forward(b, 1<<24, []byte{0x45}); return err }(),
		func() error { _, err := e.Forward(b, 1, nil); return err }(),
		func() error { _, err := e.Forward(b, 1, make([]byte, 1<<16)); return err }(),
	} {
		var rejected *Error
		if !errors.As(err, &rejected) || rejected.Reason != ReasonSize {
			t.Errorf("got %v, want reason %s", err, ReasonSize)
		}
	}
}

func TestPacketPathAllocatesNothing(t *testing.T) {
	keys := newKeyring(t, 1)
	inner := tcpPacket(t, key4, layers.TCP{ACK: true}, "ticket")
	datagram := relayedDatagram(t, keys, inner, key4.ID())
	d, e, b := NewDecoder(keys), NewEncoder(keys), NewHeaderBuffer()
	var outer Encapsulation
	var packet flow.Packet
	allocations := testing.AllocsPerRun(100, func() {
		if d.Decode(datagram, &outer, &packet) != nil {
			t.Fatal("rejected")
		}
		if _, err := e.Relay(b, 77, outer.Header, 42, packet.ID, outer.Inner); err != nil {
			t.Fatal(err)
		}
		if _, err := e.Forward(b, 77, outer.Inner); err != nil {
			t.Fatal(err)
		}
	})
	if allocations != 0 {
		t.Errorf("%v allocations per packet, want 0", allocations)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(encapsulate(f, tcpPacket(f, key4, layers.TCP{SYN: true}, "")))
	f.Add(encapsulate(f, tcpPacket(f, key6, layers.TCP{ACK: true}, "data")))
	f.Add(encapsulate(f, icmpTooBig4(f, serviceReply(f, key4, 28))))
	f.Add(encapsulate(f, icmpTooBig6(f, serviceReply(f, key6, 48))))
	f.Add(encapsulate(f, fragment4(f, 8, 0)))
	f.Add(encapsulate(f, ipInIP(f)))
	f.Add(relayedDatagram(f, newKeyring(f, 1), tcpPacket(f, key4, layers.TCP{ACK: true}, ""), key4.ID()))
	f.Add([]byte{0x3f, 0, 8, 0, 0, 0, 0, 0})
	d, e, b := NewDecoder(newKeyring(f, 1)), NewEncoder(newKeyring(f, 1)), NewHeaderBuffer()
	f.Fuzz(func(t *testing.T, datagram []byte) {
		var outer, relayedOuter Encapsulation
		var packet, relayedPacket flow.Packet
		if d.Decode(datagram, &outer, &packet) != nil {
			return
		}
		if packet.ID != packet.Key.ID() || !packet.Key.Source.IsValid() || !packet.Key.Destination.IsValid() {
			t.Fatalf("accepted a packet without a valid flow: %+v", packet)
		}
		head, err := e.Relay(b, outer.VNI, outer.Header, outer.From, packet.ID, outer.Inner)
		if err != nil {
			t.Fatal(err)
		}
		// The next instance must decode a relayed packet to the same flow packet.
		if err := d.Decode(append(append([]byte{}, head...), outer.Inner...), &relayedOuter, &relayedPacket); err != nil || packet != relayedPacket {
			t.Fatalf("relayed as %+v (%v), received %+v", relayedPacket, err, packet)
		}
		_, _ = e.Reset(outer.Inner)
	})
}

func BenchmarkDecodeFabric(b *testing.B) {
	datagram := encapsulate(b, tcpPacket(b, key4, layers.TCP{ACK: true}, "ticket"))
	benchmarkDecode(b, nil, datagram)
}

func BenchmarkDecodeRelayed(b *testing.B) {
	keys := newKeyring(b, 1)
	benchmarkDecode(b, keys, relayedDatagram(b, keys, tcpPacket(b, key4, layers.TCP{ACK: true}, "ticket"), key4.ID()))
}

func benchmarkDecode(b *testing.B, keys *keyring.Keyring, datagram []byte) {
	d := NewDecoder(keys)
	var outer Encapsulation
	var packet flow.Packet
	b.ReportAllocs()
	for b.Loop() {
		if err := d.Decode(datagram, &outer, &packet); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkEncodeRelay(b *testing.B) {
	e, buffer := NewEncoder(newKeyring(b, 1)), NewHeaderBuffer()
	inner := tcpPacket(b, key4, layers.TCP{ACK: true}, "ticket")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := e.Relay(buffer, 77, header, 42, key4.ID(), inner); err != nil {
			b.Fatal(err)
		}
	}
}
