// Package token names upstreams by 32-bit numbers that both ends of a flow
// carry in each packet, so that any instance finds the upstream of a packet
// without state.
package token

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"
)

// Token names an upstream. Zero names none.
type Token uint32

// Of returns the token of an upstream number. All instances derive the same.
func Of(number uint64) Token {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], number)
	t := Token(uint32(xxh3.Hash(b[:])))
	if t == 0 {
		return 1
	}
	return t
}
