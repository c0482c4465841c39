package view

import (
	"cmp"
	"fmt"
)

// Version orders the values that the platform publishes. Revision increases with
// each write. Generation increases when the platform is restored from a backup
// and its revisions start over. The pair follows the topic and leader epochs of
// KIP-232.
type Version struct {
	Generation uint64 `json:"generation"`
	Revision   uint64 `json:"revision"`
}

// Compare returns -1 if v is older than other, 0 if they are equal and 1 if v is
// newer.
func (v Version) Compare(other Version) int {
	if c := cmp.Compare(v.Generation, other.Generation); c != 0 {
		return c
	}
	return cmp.Compare(v.Revision, other.Revision)
}

// String returns the version in the form "generation.revision".
func (v Version) String() string {
	return fmt.Sprintf("%d.%d", v.Generation, v.Revision)
}
