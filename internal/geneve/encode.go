package geneve

import (
	"math"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/chervilhaven/chervilhaven/internal/keyring"
	"github.com/chervilhaven/chervilhaven/internal/relay"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

const (
	// maxService is the largest service number, which must fit in a 24-bit VNI.
	maxService = 1<<24 - 1
	resetTTL   = 64
)

// Encoder encodes the headers that precede an inner packet. It reuses its layers
// between calls and is not safe for concurrent use.
type Encoder struct {
	keys    *keyring.Keyring
	geneve  layers.Geneve
	option  layers.GeneveOption
	options []*layers.GeneveOption
	// inner decodes the packets that Reset responds to.
	inner *Decoder
}

// NewEncoder returns an encoder that signs relayed packets with the signing key of
// keys.
func NewEncoder(keys *keyring.Keyring) *Encoder {
	e := &Encoder{keys: keys, inner: NewDecoder(nil)}
	e.option = layers.GeneveOption{Class: OptionClass, Type: OptionType, Data: make([]byte, optionBytes)}
	e.options = []*layers.GeneveOption{&e.option}
	return e
}

// NewHeaderBuffer returns a buffer with enough capacity for any header.
func NewHeaderBuffer() gopacket.SerializeBuffer {
	return gopacket.NewSerializeBufferExpectedSize(MaxHeaderBytes, 0)
}

// Forward encodes into b the header for sending inner to an upstream of the
// service. The returned slice is valid until b is used again.
func (e *Encoder) Forward(b gopacket.SerializeBuffer, service uint32, inner []byte) ([]byte, error) {
	e.geneve.Options = nil
	return e.header(b, service, inner)
}

// Relay encodes into b the header for relaying inner, a packet of flow f, to
// another instance. The returned slice is valid until b is used again.
func (e *Encoder) Relay(b gopacket.SerializeBuffer, service uint32, header relay.Header, from view.ID, f flow.ID, inner []byte) ([]byte, error) {
	option := relayOption{header: header, from: from}
	option.encode(e.option.Data, e.keys, f)
	e.geneve.Options = e.options
	return e.header(b, service, inner)
}

func (e *Encoder) header(b gopacket.SerializeBuffer, service uint32, inner []byte) ([]byte, error) {
	if service > maxService || len(inner) == 0 || len(inner) > math.MaxUint16 {
		return nil, reject(ReasonSize, nil)
	}
	e.geneve.VNI = service
	e.geneve.Protocol = layers.EthernetTypeIPv4
	if inner[0]>>4 == 6 {
		e.geneve.Protocol = layers.EthernetTypeIPv6
	}
	if err := b.Clear(); err != nil {
		return nil, reject(ReasonSize, err)
	}
	if err := e.geneve.SerializeTo(b, gopacket.SerializeOptions{FixLengths: true}); err != nil {
		return nil, reject(ReasonSize, err)
	}
	return b.Bytes(), nil
}

// Reset returns a datagram for the fabric that contains a TCP reset from the
// service in response to the inner packet. Sequence and acknowledgement numbers
// follow RFC 9293, section 3.10.7.1.
func (e *Encoder) Reset(inner []byte) ([]byte, error) {
	d := e.inner
	var outer Encapsulation
	var packet flow.Packet
	outer.Inner = inner
	d.geneve.Protocol = layers.EthernetTypeIPv4
	if len(inner) > 0 && inner[0]>>4 == 6 {
		d.geneve.Protocol = layers.EthernetTypeIPv6
	}
	if err := d.decodeInner(&outer, &packet); err != nil {
		return nil, err
	}
	if packet.Key.Protocol != flow.ProtocolTCP || outer.ICMPError || d.tcp.RST {
		return nil, reject(ReasonNoReset, nil)
	}
	tcp := layers.TCP{SrcPort: d.tcp.DstPort, DstPort: d.tcp.SrcPort, RST: true}
	if d.tcp.ACK {
		tcp.Seq = d.tcp.Ack
	} else {
		tcp.ACK = true
		tcp.Ack = d.tcp.Seq + segmentLength(&d.tcp)
	}
	return e.serializeReset(&tcp, packet.Key)
}

// segmentLength returns SEG.LEN of RFC 9293: the payload length plus one each for
// SYN and FIN.
func segmentLength(tcp *layers.TCP) uint32 {
	length := uint32(len(tcp.Payload))
	if tcp.SYN {
		length++
	}
	if tcp.FIN {
		length++
	}
	return length
}

func (e *Encoder) serializeReset(tcp *layers.TCP, key flow.Key) ([]byte, error) {
	tunnel := layers.Geneve{Protocol: layers.EthernetTypeIPv4}
	source, destination := key.Destination.Addr(), key.Source.Addr()
	var network gopacket.SerializableLayer
	if source.Is4() {
		ip := &layers.IPv4{
			Version: 4, TTL: resetTTL, Flags: layers.IPv4DontFragment, Protocol: layers.IPProtocolTCP,
			SrcIP: source.AsSlice(), DstIP: destination.AsSlice(),
		}
		if err := tcp.SetNetworkLayerForChecksum(ip); err != nil {
			return nil, reject(ReasonNoReset, err)
		}
		network = ip
	} else {
		ip := &layers.IPv6{
			Version: 6, HopLimit: resetTTL, NextHeader: layers.IPProtocolTCP,
			SrcIP: source.AsSlice(), DstIP: destination.AsSlice(),
		}
		if err := tcp.SetNetworkLayerForChecksum(ip); err != nil {
			return nil, reject(ReasonNoReset, err)
		}
		tunnel.Protocol = layers.EthernetTypeIPv6
		network = ip
	}
	b := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(b, options, &tunnel, network, tcp); err != nil {
		return nil, reject(ReasonNoReset, err)
	}
	return b.Bytes(), nil
}
