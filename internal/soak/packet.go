// Package soak runs randomized fault-injection tests. It starts real processes of
// the token-routing load balancer against simulated callers, upstreams, fabric and
// store, injects faults from outside, and checks the guarantees to callers during
// the run.
package soak

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Packet flags, one bit each.
const (
	flagAck   = 2
	flagSyn   = 4
	flagReset = 64
	flagFin   = 128
)

const (
	headerBytes         = 36
	upstreamNumberBytes = 8
)

// packet is a packet between a caller and an upstream.
type packet struct {
	// token is the routing token of the flow. The caller echoes the token of the
	// last packet that it received.
	token       uint32
	source      netip.AddrPort
	destination netip.AddrPort
	flags       byte
	// sequence is the number of the first byte of the data.
	sequence uint32
	// ack holds the low 32 bits of the upstream number plus the number of bytes received
	// from it, or the attempt in a SYN.
	ack  uint32
	data []byte
}

// encode returns the wire format of the packet. Its checksum is keyed, so that the
// system under test cannot forge a packet.
func (p *packet) encode() []byte {
	b := make([]byte, headerBytes, headerBytes+len(p.data))
	binary.BigEndian.PutUint32(b, p.token)
	destination, source := p.destination.Addr().As4(), p.source.Addr().As4()
	copy(b[8:], destination[:])
	copy(b[12:], source[:])
	binary.BigEndian.PutUint16(b[16:], p.source.Port())
	binary.BigEndian.PutUint16(b[18:], p.destination.Port())
	b[20] = p.flags
	binary.BigEndian.PutUint16(b[26:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[28:], p.sequence)
	binary.BigEndian.PutUint32(b[32:], p.ack)
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[4:], checksum(b))
	return b
}

// checksum returns the keyed checksum of a packet. It covers everything except the
// token and the checksum field.
func checksum(b []byte) uint32 {
	return crc32.Update(crc32.ChecksumIEEE([]byte("key of the two ends")), crc32.IEEETable, b[8:])
}

// decode parses a packet. validChecksum reports whether a caller or an upstream
// wrote it, and ok is false if it is too short. The data aliases b.
func decode(b []byte) (p packet, validChecksum, ok bool) {
	if len(b) < headerBytes {
		return packet{}, false, false
	}
	p = packet{
		token:       binary.BigEndian.Uint32(b),
		destination: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[8:12])), binary.BigEndian.Uint16(b[18:])),
		source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[12:16])), binary.BigEndian.Uint16(b[16:])),
		flags:       b[20], sequence: binary.BigEndian.Uint32(b[28:]), ack: binary.BigEndian.Uint32(b[32:]), data: b[headerBytes:],
	}
	return p, binary.BigEndian.Uint32(b[4:]) == checksum(b), true
}
