package main

import (
	"encoding/binary"
	"net/netip"
)

// Layout and flags of a packet.
const (
	headerBytes = 36
	flagSyn     = 4
	flagAck     = 2
	flagFin     = 128
	flagReset   = 64
)

// packet is one packet of a flow.
type packet struct {
	echo                  uint32
	destination, source   netip.AddrPort
	flags                 byte
	sequence, acknowledge uint32
	data                  []byte
}

// flowKey names a flow by the client's end and the platform's end.
type flowKey struct{ client, service netip.AddrPort }

func addressAt(b []byte, ip, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[ip:ip+4])), binary.BigEndian.Uint16(b[port:]))
}

func parsePacket(b []byte) (packet, bool) {
	if len(b) < headerBytes || int(binary.BigEndian.Uint16(b[26:])) != len(b)-headerBytes {
		return packet{}, false
	}
	return packet{
		echo: binary.BigEndian.Uint32(b), destination: addressAt(b, 8, 18), source: addressAt(b, 12, 16), flags: b[20],
		sequence: binary.BigEndian.Uint32(b[28:]), acknowledge: binary.BigEndian.Uint32(b[32:]), data: b[headerBytes:],
	}, true
}

// append appends the packet to b.
func (p *packet) append(b []byte) []byte {
	var h [headerBytes]byte
	to, from := p.destination.Addr().As4(), p.source.Addr().As4()
	binary.BigEndian.PutUint32(h[0:], p.echo)
	copy(h[8:], to[:])
	copy(h[12:], from[:])
	binary.BigEndian.PutUint16(h[16:], p.source.Port())
	binary.BigEndian.PutUint16(h[18:], p.destination.Port())
	h[20] = p.flags
	binary.BigEndian.PutUint16(h[26:], uint16(len(p.data)))
	binary.BigEndian.PutUint32(h[28:], p.sequence)
	binary.BigEndian.PutUint32(h[32:], p.acknowledge)
	return append(append(b, h[:]...), p.data...)
}
