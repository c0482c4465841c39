// Package rendezvous ranks the candidates of a flow by rendezvous hashing
// (Thaler and Ravishankar 1998). It caches the rankings, so that the cost of a
// lookup does not grow with the number of candidates.
package rendezvous

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"

	"github.com/chervilhaven/chervilhaven/internal/view"
)

// Score returns the rendezvous weight of a candidate for a key. The candidate with
// the greatest weight ranks first.
func Score(key uint64, candidate view.ID) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(candidate))
	return xxh3.HashSeed(b[:], key)
}

// Best returns the index of the candidate with the greatest weight for the key, or
// -1 if there are no candidates.
func Best(key uint64, candidates []view.ID) int {
	best, greatest := -1, uint64(0)
	for i, c := range candidates {
		if s := Score(key, c); best < 0 || s > greatest {
			best, greatest = i, s
		}
	}
	return best
}
