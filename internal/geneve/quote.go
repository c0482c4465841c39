package geneve

import (
	"encoding/binary"
	"net/netip"

	"github.com/gopacket/gopacket/layers"

	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// decodeQuote4 decodes the packet quoted by an ICMP error. The quoted packet is the
// beginning of a packet from the service to the caller.
func (d *Decoder) decodeQuote4(destination netip.Addr, outer *Encapsulation, packet *flow.Packet) error {
	switch d.icmp4.TypeCode.Type() {
	case layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4TypeTimeExceeded, layers.ICMPv4TypeParameterProblem:
	default:
		return reject(ReasonUnknownProtocol, nil)
	}
	quote := d.icmp4.Payload
	if len(quote) == 0 || quote[0]>>4 != 4 {
		return reject(ReasonMalformedPacket, nil)
	}
	// ICMP errors quote only the beginning of a packet, so truncation is not an
	// error here.
	if err := d.ip4.DecodeFromBytes(quote, d.parser4); err != nil {
		return reject(ReasonMalformedPacket, err)
	}
	if d.ip4.FragOffset != 0 {
		return reject(ReasonFragment, nil)
	}
	source, _ := netip.AddrFromSlice(d.ip4.SrcIP)
	target, _ := netip.AddrFromSlice(d.ip4.DstIP)
	return setQuoted(source, target, destination, d.ip4.Protocol, d.ip4.Payload, outer, packet)
}

// decodeQuote6 is like decodeQuote4 for IPv6. It rejects quoted packets with
// extension headers.
func (d *Decoder) decodeQuote6(destination netip.Addr, outer *Encapsulation, packet *flow.Packet) error {
	switch d.icmp6.TypeCode.Type() {
	case layers.ICMPv6TypeDestinationUnreachable, layers.ICMPv6TypePacketTooBig,
		layers.ICMPv6TypeTimeExceeded, layers.ICMPv6TypeParameterProblem:
	default:
		return reject(ReasonUnknownProtocol, nil)
	}
	if len(d.icmp6.Payload) <= icmpQuoteOffset || d.icmp6.Payload[icmpQuoteOffset]>>4 != 6 {
		return reject(ReasonMalformedPacket, nil)
	}
	if err := d.ip6.DecodeFromBytes(d.icmp6.Payload[icmpQuoteOffset:], d.parser6); err != nil {
		return reject(ReasonMalformedPacket, err)
	}
	source, _ := netip.AddrFromSlice(d.ip6.SrcIP)
	target, _ := netip.AddrFromSlice(d.ip6.DstIP)
	return setQuoted(source, target, destination, d.ip6.NextHeader, d.ip6.Payload, outer, packet)
}

// setQuoted sets the packet's flow key by swapping source and destination of the
// quoted packet, so that the key is in the direction from caller to service. The
// ICMP error must be addressed to the service that sent the quoted packet.
func setQuoted(source, target, destination netip.Addr, protocol layers.IPProtocol, transport []byte, outer *Encapsulation, packet *flow.Packet) error {
	if protocol != layers.IPProtocolTCP && protocol != layers.IPProtocolUDP {
		return reject(ReasonUnknownProtocol, nil)
	}
	if len(transport) < portBytes || source != destination {
		return reject(ReasonMalformedPacket, nil)
	}
	packet.Key = flow.Key{
		Source:      netip.AddrPortFrom(target, binary.BigEndian.Uint16(transport[2:])),
		Destination: netip.AddrPortFrom(source, binary.BigEndian.Uint16(transport)),
		Protocol:    uint8(protocol),
	}
	packet.ID = packet.Key.ID()
	packet.Role = flow.RoleData
	outer.ICMPError = true
	return nil
}
