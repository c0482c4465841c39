// Package token derives the 32-bit numbers that identify upstreams in packets. Both
// ends of a flow put the token into each packet, so that any instance finds the
// upstream of a packet without per-flow state.
package token

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"
)

// Token identifies an upstream in packets. Zero identifies none.
type Token uint32

// Of returns the token of an upstream number: a hash that is the same on all
// instances and never zero. Two upstreams may have the same token.
func Of(number uint64) Token {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], number)
	t := Token(uint32(xxh3.Hash(b[:])))
	if t == 0 {
		return 1
	}
	return t
}
