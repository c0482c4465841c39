package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Flags of a packet.
const (
	flagAck   = 2
	flagSyn   = 4
	flagReset = 64
	flagFin   = 128
)

const (
	headBytes = 36
	// idBytes precede each datagram to an endpoint.
	idBytes       = 8
	datagramBytes = 2048
)

// packet is a packet as PROTOCOL.md describes it.
type packet struct {
	echo uint32
	src  netip.AddrPort
	dst  netip.AddrPort
	flag byte
	seq  uint32
	ack  uint32
	data []byte
	// forged is true for a packet whose sum no client or endpoint wrote. Resets of the
	// system have the sum 0.
	forged  bool
	zeroSum bool
}

// encode returns the packet with its sum.
func (p *packet) encode() []byte {
	b := make([]byte, headBytes, headBytes+len(p.data))
	binary.BigEndian.PutUint32(b[0:], p.echo)
	dst, src := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[8:], dst[:])
	copy(b[12:], src[:])
	binary.BigEndian.PutUint16(b[16:], p.src.Port())
	binary.BigEndian.PutUint16(b[18:], p.dst.Port())
	b[20] = p.flag
	binary.BigEndian.PutUint16(b[26:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[28:], p.seq)
	binary.BigEndian.PutUint32(b[32:], p.ack)
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[4:], sum(b))
	return b
}

// sum covers all fields but echo, pad and the sum itself.
func sum(b []byte) uint32 {
	s := crc32.ChecksumIEEE([]byte("only the two ends know this"))
	s = crc32.Update(s, crc32.IEEETable, b[8:21])
	s = crc32.Update(s, crc32.IEEETable, b[26:])
	if s == 0 {
		return 1
	}
	return s
}

// decode parses a packet. Its data is a copy.
func decode(b []byte) (p packet, ok bool) {
	if len(b) < headBytes || int(binary.BigEndian.Uint16(b[26:])) != len(b)-headBytes {
		return packet{}, false
	}
	p = packet{
		echo: binary.BigEndian.Uint32(b[0:]),
		src:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[12:16])), binary.BigEndian.Uint16(b[16:])),
		dst:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[8:12])), binary.BigEndian.Uint16(b[18:])),
		flag: b[20], seq: binary.BigEndian.Uint32(b[28:]), ack: binary.BigEndian.Uint32(b[32:]),
		data: append([]byte(nil), b[headBytes:]...),
	}
	written := binary.BigEndian.Uint32(b[4:])
	p.forged, p.zeroSum = written != sum(b), written == 0
	return p, true
}
