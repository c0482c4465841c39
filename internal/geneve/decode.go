// Package geneve encodes and decodes the datagrams of the packet interface:
// Geneve (RFC 8926) over UDP, with the caller's IP packet as the inner packet.
// Between instances, the relay header is carried as a Geneve option.
package geneve

import (
	"encoding/binary"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/chervilhaven/chervilhaven/internal/keyring"
	"github.com/chervilhaven/chervilhaven/internal/relay"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

const (
	// maxLayers is the initial capacity for the decoded layers of an inner packet,
	// including IPv6 extension headers.
	maxLayers = 16
	// portBytes is the size of the source and destination ports at the start of a
	// quoted transport header.
	portBytes = 4
	// icmpQuoteOffset is the offset of the quoted packet in an ICMPv6 payload.
	icmpQuoteOffset = 4
	criticalBit     = 0x80
	optionWordBytes = 4
)

// Encapsulation holds the decoded encapsulation of a datagram.
type Encapsulation struct {
	VNI uint32
	// Relayed is true if the datagram has a relay option. Only then are Header and
	// From set.
	Relayed bool
	Header  relay.Header
	// From is the instance that relayed the packet.
	From view.ID
	// ICMPError is true if the inner packet is an ICMP error that quotes a packet from
	// the service to the caller.
	ICMPError bool
	// Inner is the inner packet. It aliases the datagram.
	Inner []byte
}

// Decoder decodes datagrams. It reuses its layers between calls to avoid
// allocations, and is not safe for concurrent use. It does not verify the
// checksums of the inner packet; the upstream's host does.
type Decoder struct {
	keys     *keyring.Keyring
	geneve   layers.Geneve
	ip4      layers.IPv4
	ip6      layers.IPv6
	skipper  layers.IPv6ExtensionSkipper
	fragment layers.IPv6Fragment
	tcp      layers.TCP
	udp      layers.UDP
	icmp4    layers.ICMPv4
	icmp6    layers.ICMPv6
	parser4  *gopacket.DecodingLayerParser
	parser6  *gopacket.DecodingLayerParser
	decoded  []gopacket.LayerType
	base     [baseBytes]byte
	option   relayOption
}

// NewDecoder returns a decoder that verifies the MAC of relayed packets with keys.
// With no keys, relayed packets are accepted without verification.
func NewDecoder(keys *keyring.Keyring) *Decoder {
	d := &Decoder{keys: keys, decoded: make([]gopacket.LayerType, 0, maxLayers)}
	d.parser4 = newParser(layers.LayerTypeIPv4, &d.ip4, &d.tcp, &d.udp, &d.icmp4)
	// The fragment layer overrides the extension skipper for fragment headers. The
	// skipper would interpret the payload of later fragments as transport headers.
	d.parser6 = newParser(layers.LayerTypeIPv6, &d.ip6, &d.skipper, &d.fragment, &d.tcp, &d.udp, &d.icmp6)
	return d
}

func newParser(first gopacket.LayerType, list ...gopacket.DecodingLayer) *gopacket.DecodingLayerParser {
	p := gopacket.NewDecodingLayerParser(first)
	p.IgnoreUnsupported = true
	var container gopacket.DecodingLayerContainer = gopacket.DecodingLayerArray(nil)
	for _, l := range list {
		container = container.Put(l)
	}
	p.SetDecodingLayerContainer(container)
	return p
}

// Decode decodes a datagram into outer and packet. If it returns an error, which
// is always an *Error, the contents of outer and packet are undefined.
func (d *Decoder) Decode(datagram []byte, outer *Encapsulation, packet *flow.Packet) error {
	*outer, *packet = Encapsulation{}, flow.Packet{}
	if err := d.decodeTunnel(datagram, outer); err != nil {
		return err
	}
	if err := d.decodeInner(outer, packet); err != nil {
		return err
	}
	if !outer.Relayed || d.keys.Empty() {
		return nil
	}
	signed := datagram[baseBytes+optionHeaderBytes:][:signedBytes]
	mac, ok := d.keys.PacketMAC(d.option.key, signed, packet.ID)
	if !ok || mac != d.option.mac {
		return reject(ReasonInvalidMAC, nil)
	}
	return nil
}

// decodeTunnel decodes the Geneve header. gopacket decodes the fixed part only,
// because it allocates for each option.
func (d *Decoder) decodeTunnel(datagram []byte, outer *Encapsulation) error {
	if len(datagram) < baseBytes {
		return reject(ReasonMalformedTunnel, nil)
	}
	copy(d.base[:], datagram)
	options := int(d.base[0]&0x3f) * optionWordBytes
	d.base[0] &^= 0x3f
	if err := d.geneve.DecodeFromBytes(d.base[:], d.parser4); err != nil {
		return reject(ReasonMalformedTunnel, err)
	}
	if d.geneve.Version != 0 || len(datagram) < baseBytes+options {
		return reject(ReasonMalformedTunnel, nil)
	}
	if d.geneve.OAMPacket {
		return reject(ReasonControlPacket, nil)
	}
	outer.VNI = d.geneve.VNI
	outer.Inner = datagram[baseBytes+options:]
	return d.decodeOptions(datagram[baseBytes:baseBytes+options], outer)
}

// decodeOptions decodes the relay option, which must be the first option, and
// rejects unknown critical options.
func (d *Decoder) decodeOptions(b []byte, outer *Encapsulation) error {
	for first := true; len(b) > 0; first = false {
		if len(b) < optionHeaderBytes {
			return reject(ReasonMalformedTunnel, nil)
		}
		length := int(b[3]&0x1f) * optionWordBytes
		if len(b) < optionHeaderBytes+length {
			return reject(ReasonMalformedTunnel, nil)
		}
		known := binary.BigEndian.Uint16(b) == OptionClass && b[2] == OptionType
		switch {
		case known && (!first || length != optionBytes):
			return reject(ReasonMalformedTunnel, nil)
		case known:
			d.option.decode(b[optionHeaderBytes:])
			outer.Relayed = true
			outer.Header = d.option.header
			outer.From = d.option.from
		case b[2]&criticalBit != 0:
			return reject(ReasonCriticalOption, nil)
		}
		b = b[optionHeaderBytes+length:]
	}
	return nil
}

func (d *Decoder) decodeInner(outer *Encapsulation, packet *flow.Packet) error {
	inner := outer.Inner
	if len(inner) == 0 {
		return reject(ReasonMalformedPacket, nil)
	}
	version := inner[0] >> 4
	switch {
	case d.geneve.Protocol == layers.EthernetTypeIPv4 && version == 4:
		return d.decodeIPv4(inner, outer, packet)
	case d.geneve.Protocol == layers.EthernetTypeIPv6 && version == 6:
		return d.decodeIPv6(inner, outer, packet)
	case d.geneve.Protocol == layers.EthernetTypeIPv4, d.geneve.Protocol == layers.EthernetTypeIPv6:
		return reject(ReasonMalformedPacket, nil)
	}
	return reject(ReasonUnknownProtocol, nil)
}

func (d *Decoder) decodeIPv4(inner []byte, outer *Encapsulation, packet *flow.Packet) error {
	err := d.parser4.DecodeLayers(inner, &d.decoded)
	if err != nil {
		return reject(ReasonMalformedPacket, err)
	}
	// Hosts set the length to zero in packets for segmentation offload; such a
	// packet is not valid on the wire.
	if binary.BigEndian.Uint16(inner[2:]) == 0 {
		return reject(ReasonMalformedPacket, nil)
	}
	if d.ip4.FragOffset != 0 || d.ip4.Flags&layers.IPv4MoreFragments != 0 {
		// The first fragment has ports but is rejected too: the later fragments have
		// none, and an upstream cannot use an incomplete datagram.
		return reject(ReasonFragment, nil)
	}
	if d.parser4.Truncated {
		return reject(ReasonMalformedPacket, nil)
	}
	source, _ := netip.AddrFromSlice(d.ip4.SrcIP)
	destination, _ := netip.AddrFromSlice(d.ip4.DstIP)
	return d.decodeTransport(source, destination, outer, packet)
}

func (d *Decoder) decodeIPv6(inner []byte, outer *Encapsulation, packet *flow.Packet) error {
	err := d.parser6.DecodeLayers(inner, &d.decoded)
	if err != nil {
		return reject(ReasonMalformedPacket, err)
	}
	if d.decoded[len(d.decoded)-1] == layers.LayerTypeIPv6Fragment {
		return reject(ReasonFragment, nil)
	}
	if d.parser6.Truncated {
		return reject(ReasonMalformedPacket, nil)
	}
	source, _ := netip.AddrFromSlice(d.ip6.SrcIP)
	destination, _ := netip.AddrFromSlice(d.ip6.DstIP)
	return d.decodeTransport(source, destination, outer, packet)
}

// decodeTransport decodes the last layer. It rejects IP-in-IP packets, which the
// parser would accept.
func (d *Decoder) decodeTransport(source, destination netip.Addr, outer *Encapsulation, packet *flow.Packet) error {
	for _, l := range d.decoded[1:] {
		if l == layers.LayerTypeIPv4 || l == layers.LayerTypeIPv6 {
			return reject(ReasonUnknownProtocol, nil)
		}
	}
	switch d.decoded[len(d.decoded)-1] {
	case layers.LayerTypeTCP:
		packet.Key.Protocol = flow.ProtocolTCP
		packet.Key.Source = netip.AddrPortFrom(source, uint16(d.tcp.SrcPort))
		packet.Key.Destination = netip.AddrPortFrom(destination, uint16(d.tcp.DstPort))
		if err := d.decodeTCP(packet); err != nil {
			return err
		}
	case layers.LayerTypeUDP:
		packet.Key.Protocol = flow.ProtocolUDP
		packet.Key.Source = netip.AddrPortFrom(source, uint16(d.udp.SrcPort))
		packet.Key.Destination = netip.AddrPortFrom(destination, uint16(d.udp.DstPort))
		// UDP does not mark the first packet of a flow, so any packet may open one.
		packet.Role = flow.RoleOpen
		packet.PayloadBytes = len(d.udp.Payload)
	case layers.LayerTypeICMPv4:
		return d.decodeQuote4(destination, outer, packet)
	case layers.LayerTypeICMPv6:
		return d.decodeQuote6(destination, outer, packet)
	default:
		return reject(ReasonUnknownProtocol, nil)
	}
	packet.ID = packet.Key.ID()
	return nil
}

func (d *Decoder) decodeTCP(packet *flow.Packet) error {
	switch {
	case d.tcp.SYN && (d.tcp.FIN || d.tcp.RST):
		return reject(ReasonMalformedPacket, nil)
	case d.tcp.SYN && !d.tcp.ACK:
		packet.Role = flow.RoleOpen
	case d.tcp.RST:
		packet.Role = flow.RoleReset
	case d.tcp.FIN:
		packet.Role = flow.RoleClose
	default:
		packet.Role = flow.RoleData
	}
	packet.PayloadBytes = len(d.tcp.Payload)
	packet.Sequence = d.tcp.Seq
	packet.Acknowledgement = d.tcp.Ack
	return nil
}
