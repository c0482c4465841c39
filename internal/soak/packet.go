// Package soak plays real processes of an instance that steers by token against
// stand-ins of the store, the fabric, upstreams and callers, injects faults from
// outside, and checks the promises to callers while it runs.
package soak

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
	headBytes   = 36
	numberBytes = 8
)

// packet is one packet between a caller and an upstream.
type packet struct {
	echo        uint32
	source      netip.AddrPort
	destination netip.AddrPort
	flags       byte
	ack         uint32
	data        []byte
}

// encode returns the bytes of a packet, with a sum that the system under test
// cannot make.
func (p *packet) encode() []byte {
	b := make([]byte, headBytes, headBytes+len(p.data))
	binary.BigEndian.PutUint32(b, p.echo)
	destination, source := p.destination.Addr().As4(), p.source.Addr().As4()
	copy(b[8:], destination[:])
	copy(b[12:], source[:])
	binary.BigEndian.PutUint16(b[16:], p.source.Port())
	binary.BigEndian.PutUint16(b[18:], p.destination.Port())
	b[20] = p.flags
	binary.BigEndian.PutUint16(b[26:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[32:], p.ack)
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[4:], sumOf(b))
	return b
}

// sumOf covers all but echo and the sum itself.
func sumOf(b []byte) uint32 {
	return crc32.Update(crc32.ChecksumIEEE([]byte("key of the two ends")), crc32.IEEETable, b[8:])
}

// decode reads a packet and tells whether an end wrote it.
func decode(b []byte) (p packet, genuine, ok bool) {
	if len(b) < headBytes {
		return packet{}, false, false
	}
	p = packet{
		echo:        binary.BigEndian.Uint32(b),
		destination: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[8:12])), binary.BigEndian.Uint16(b[18:])),
		source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[12:16])), binary.BigEndian.Uint16(b[16:])),
		flags:       b[20], ack: binary.BigEndian.Uint32(b[32:]), data: b[headBytes:],
	}
	return p, binary.BigEndian.Uint32(b[4:]) == sumOf(b), true
}
