// Package flow describes the TCP and UDP flows that the balancer forwards: their
// addresses and ports, a fixed-size identifier derived from them, and the role
// of each packet in its flow.
package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/zeebo/xxh3"
)

// IANA protocol numbers of the transport protocols that the balancer forwards.
const (
	ProtocolTCP uint8 = 6
	ProtocolUDP uint8 = 17
)

// keyBytes is the size of the canonical encoding of a Key: two 16-byte
// addresses, two 2-byte ports, one protocol byte.
const keyBytes = 16 + 2 + 16 + 2 + 1

// Key is the 5-tuple of a flow, as seen in packets from the caller to the
// service.
type Key struct {
	Source      netip.AddrPort
	Destination netip.AddrPort
	Protocol    uint8
}

// ID identifies a flow by a 128-bit hash of its Key. All instances derive the
// same ID. The zero ID is not a valid flow ID. High selects the preference
// list; both halves are the key in the flow table.
type ID struct {
	High uint64
	Low  uint64
}

// ID returns the XXH3 hash of the key, which is never the zero ID.
func (k Key) ID() ID {
	var b [keyBytes]byte
	source, destination := k.Source.Addr().As16(), k.Destination.Addr().As16()
	copy(b[0:16], source[:])
	copy(b[16:32], destination[:])
	binary.BigEndian.PutUint16(b[32:34], k.Source.Port())
	binary.BigEndian.PutUint16(b[34:36], k.Destination.Port())
	b[36] = k.Protocol
	h := xxh3.Hash128(b[:])
	id := ID{High: h.Hi, Low: h.Lo}
	if id == (ID{}) {
		id.Low = 1
	}
	return id
}

// Role is the function of a packet in the life cycle of its flow.
type Role uint8

// Roles of a packet.
const (
	// RoleData is any packet of an established flow, acknowledgements included.
	RoleData Role = iota
	// RoleOpen requests a new flow: a TCP SYN without ACK. Every UDP packet from a
	// caller has this role as well, because any of them may be the first.
	RoleOpen
	// RoleClose half-closes the flow from the caller's side: a TCP FIN.
	RoleClose
	// RoleReset aborts the flow: a TCP RST.
	RoleReset
)

// String returns the name of the role, or "unknown" for an undefined role.
func (r Role) String() string {
	switch r {
	case RoleOpen:
		return "open"
	case RoleClose:
		return "close"
	case RoleReset:
		return "reset"
	case RoleData:
		return "data"
	default:
		return "unknown"
	}
}

// Packet holds the fields that the balancer decodes from an inner packet.
type Packet struct {
	Key  Key
	ID   ID
	Role Role
	// PayloadBytes is the size in bytes of the transport payload.
	PayloadBytes int
	// Sequence and Acknowledgement are the TCP sequence and acknowledgement
	// numbers, zero for UDP.
	Sequence        uint32
	Acknowledgement uint32
}
