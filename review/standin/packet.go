//go:build review

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
	headBytes   = 36
	numberBytes = 8
)

// packet is one packet of PROTOCOL.md, "Packets".
type packet struct {
	echo     uint32
	src, dst netip.AddrPort
	flags    byte
	seq, ack uint32
	data     []byte
}

func (p *packet) encode() []byte {
	b := make([]byte, headBytes, headBytes+len(p.data))
	binary.BigEndian.PutUint32(b, p.echo)
	d, s := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[8:], d[:])
	copy(b[12:], s[:])
	binary.BigEndian.PutUint16(b[16:], p.src.Port())
	binary.BigEndian.PutUint16(b[18:], p.dst.Port())
	b[20] = p.flags
	binary.BigEndian.PutUint16(b[26:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(b[28:], p.seq)
	binary.BigEndian.PutUint32(b[32:], p.ack)
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[4:], keyedSum(b))
	return b
}

// keyedSum covers all fields except echo and pad.
func keyedSum(b []byte) uint32 {
	sum := crc32.Update(crc32.ChecksumIEEE([]byte("the key of the two ends")), crc32.IEEETable, b[8:21])
	return crc32.Update(sum, crc32.IEEETable, b[26:])
}

// decode parses a packet. valid reports whether one of the two ends wrote it.
func decode(b []byte) (p packet, valid, ok bool) {
	if len(b) < headBytes || int(binary.BigEndian.Uint16(b[26:])) != len(b)-headBytes {
		return packet{}, false, false
	}
	at := func(ip, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[ip:ip+4])), binary.BigEndian.Uint16(b[port:]))
	}
	p = packet{
		echo: binary.BigEndian.Uint32(b), src: at(12, 16), dst: at(8, 18), flags: b[20],
		seq: binary.BigEndian.Uint32(b[28:]), ack: binary.BigEndian.Uint32(b[32:]), data: append([]byte(nil), b[headBytes:]...),
	}
	return p, binary.BigEndian.Uint32(b[4:]) == keyedSum(b), true
}
