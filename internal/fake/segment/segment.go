// Package segment encodes and decodes the TCP segments that simulated callers
// and upstreams exchange. Each segment travels in an IP packet inside a Geneve
// datagram.
package segment

import (
	"fmt"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// MaxPayload is the maximum payload of a segment in bytes. It keeps the Geneve
// datagram within the Ethernet MTU of 1500 bytes.
const MaxPayload = 1200

const (
	hopLimit   = 64
	windowSize = 65535
)

// Flags are the control bits of a TCP header.
type Flags uint8

// Control bits, with the values that they have in the TCP header.
const (
	FIN Flags = 1 << iota
	SYN
	RST
	PSH
	ACK
)

// Segment is a TCP segment together with the IP addresses of its packet.
type Segment struct {
	Source          netip.AddrPort
	Destination     netip.AddrPort
	Flags           Flags
	Sequence        uint32
	Acknowledgement uint32
	Payload         []byte
}

// DecodeError reports the protocol layer at which decoding a datagram failed.
type DecodeError struct {
	Layer string
	Err   error
}

// Error returns the layer and the cause.
func (e *DecodeError) Error() string { return fmt.Sprintf("decode %s: %v", e.Layer, e.Err) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// ProtocolError reports an EtherType or an IP protocol number that the decoder
// does not support. Decode returns it wrapped in a DecodeError.
type ProtocolError struct{ Number int }

// Error returns the unexpected protocol number.
func (e *ProtocolError) Error() string { return fmt.Sprintf("unexpected protocol %#x", e.Number) }

// Has reports whether all the given flags are set.
func (f Flags) Has(flags Flags) bool { return f&flags == flags }

// Encode returns the segment as a Geneve datagram with the given VNI.
func (s Segment) Encode(vni uint32) ([]byte, error) {
	geneve := &layers.Geneve{VNI: vni, Protocol: layers.EthernetTypeIPv4}
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(s.Source.Port()), DstPort: layers.TCPPort(s.Destination.Port()),
		Seq: s.Sequence, Ack: s.Acknowledgement, Window: windowSize,
		FIN: s.Flags.Has(FIN), SYN: s.Flags.Has(SYN), RST: s.Flags.Has(RST), PSH: s.Flags.Has(PSH), ACK: s.Flags.Has(ACK),
	}
	var ip interface {
		gopacket.SerializableLayer
		gopacket.NetworkLayer
	}
	source, destination := s.Source.Addr().AsSlice(), s.Destination.Addr().AsSlice()
	if s.Source.Addr().Is4() {
		ip = &layers.IPv4{Version: 4, TTL: hopLimit, Protocol: layers.IPProtocolTCP, SrcIP: source, DstIP: destination}
	} else {
		geneve.Protocol = layers.EthernetTypeIPv6
		ip = &layers.IPv6{Version: 6, HopLimit: hopLimit, NextHeader: layers.IPProtocolTCP, SrcIP: source, DstIP: destination}
	}
	if err := tcp.SetNetworkLayerForChecksum(ip); err != nil {
		return nil, errors.Wrap(err, "encode segment")
	}
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buffer, options, geneve, ip, tcp, gopacket.Payload(s.Payload)); err != nil {
		return nil, errors.Wrap(err, "encode segment")
	}
	return buffer.Bytes(), nil
}

// Decode returns the VNI and the segment of a Geneve datagram. The payload of
// the segment aliases the datagram. Errors are of type *DecodeError.
func Decode(datagram []byte) (uint32, Segment, error) {
	var geneve layers.Geneve
	if err := geneve.DecodeFromBytes(datagram, gopacket.NilDecodeFeedback); err != nil {
		return 0, Segment{}, &DecodeError{Layer: "geneve", Err: err}
	}
	source, destination, payload, err := decodeIP(geneve.Protocol, geneve.Payload)
	if err != nil {
		return geneve.VNI, Segment{}, err
	}
	var tcp layers.TCP
	if err := tcp.DecodeFromBytes(payload, gopacket.NilDecodeFeedback); err != nil {
		return geneve.VNI, Segment{}, &DecodeError{Layer: "tcp", Err: err}
	}
	return geneve.VNI, Segment{
		Source:      netip.AddrPortFrom(source, uint16(tcp.SrcPort)),
		Destination: netip.AddrPortFrom(destination, uint16(tcp.DstPort)),
		Flags:       flagsOf(&tcp),
		Sequence:    tcp.Seq, Acknowledgement: tcp.Ack, Payload: tcp.Payload,
	}, nil
}

func decodeIP(protocol layers.EthernetType, packet []byte) (source, destination netip.Addr, payload []byte, err error) {
	next := layers.IPProtocolTCP
	switch protocol {
	case layers.EthernetTypeIPv4:
		var ip layers.IPv4
		err = ip.DecodeFromBytes(packet, gopacket.NilDecodeFeedback)
		source, _ = netip.AddrFromSlice(ip.SrcIP)
		destination, _ = netip.AddrFromSlice(ip.DstIP)
		payload, next = ip.Payload, ip.Protocol
	case layers.EthernetTypeIPv6:
		var ip layers.IPv6
		err = ip.DecodeFromBytes(packet, gopacket.NilDecodeFeedback)
		source, _ = netip.AddrFromSlice(ip.SrcIP)
		destination, _ = netip.AddrFromSlice(ip.DstIP)
		payload, next = ip.Payload, ip.NextHeader
	default:
		err = &ProtocolError{Number: int(protocol)}
	}
	if err == nil && next != layers.IPProtocolTCP {
		err = &ProtocolError{Number: int(next)}
	}
	if err != nil {
		return source, destination, nil, &DecodeError{Layer: "ip", Err: err}
	}
	return source, destination, payload, nil
}

func flagsOf(tcp *layers.TCP) Flags {
	var flags Flags
	for _, bit := range []struct {
		set  bool
		flag Flags
	}{{tcp.FIN, FIN}, {tcp.SYN, SYN}, {tcp.RST, RST}, {tcp.PSH, PSH}, {tcp.ACK, ACK}} {
		if bit.set {
			flags |= bit.flag
		}
	}
	return flags
}
