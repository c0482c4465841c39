package view

import (
	"bytes"
	"slices"

	"github.com/zeebo/xxh3"
)

// Limits on the patch history kept for each key.
const (
	// MaxPatches is the number of patches kept. 64 covers three hours or more at
	// 10,000 changes a day spread over 40 keys.
	MaxPatches = 64
	// MaxPatchBytes limits the total number of bytes in the patches of one key.
	MaxPatchBytes = 64 << 10
)

// Patch describes a Value whose Content holds only the bytes that differ from an
// earlier version of the same key. A small change to a large value can then be
// sent to peers as a small message.
type Patch struct {
	// Base is the version that the patch applies to.
	Base Version
	// Prefix and Suffix are the numbers of bytes kept from the start and the end
	// of the base.
	Prefix int
	Suffix int
	// Hash is the XXH3 hash of the complete content after applying the patch.
	Hash uint64
}

// delta is the change from one version of a key to the next. middle replaces the
// bytes between the prefix and the suffix of the base.
type delta struct {
	version Version
	patch   Patch
	middle  []byte
}

// newDelta returns the change from base to next. It returns false if either is
// deleted or if more than half of the new content differs, in which case sending
// the full value is preferable.
func newDelta(base, next Value) (delta, bool) {
	if base.Deleted || next.Deleted {
		return delta{}, false
	}
	p := Patch{Base: base.Version, Hash: xxh3.Hash(next.Content)}
	a, b := base.Content, next.Content
	for p.Prefix < min(len(a), len(b)) && a[p.Prefix] == b[p.Prefix] {
		p.Prefix++
	}
	a, b = a[p.Prefix:], b[p.Prefix:]
	for p.Suffix < min(len(a), len(b)) && a[len(a)-1-p.Suffix] == b[len(b)-1-p.Suffix] {
		p.Suffix++
	}
	middle := b[:len(b)-p.Suffix]
	if len(middle) > len(next.Content)/2 {
		return delta{}, false
	}
	return delta{version: next.Version, patch: p, middle: bytes.Clone(middle)}, true
}

// apply returns the complete content that results from applying the patch to
// base. It returns false if the patch is out of range, the result is too large
// or the hash does not match.
func (p *Patch) apply(base, middle []byte) ([]byte, bool) {
	if p.Prefix < 0 || p.Suffix < 0 || p.Prefix > len(base) || p.Suffix > len(base)-p.Prefix {
		return nil, false
	}
	if p.Prefix+len(middle)+p.Suffix > MaxValueBytes {
		return nil, false
	}
	content := make([]byte, 0, p.Prefix+len(middle)+p.Suffix)
	content = append(content, base[:p.Prefix]...)
	content = append(content, middle...)
	content = append(content, base[len(base)-p.Suffix:]...)
	return content, xxh3.Hash(content) == p.Hash
}

// patchedValue is a complete value built by applying consecutive patches.
type patchedValue struct {
	value  Value
	deltas []delta
}

// resolvePatch sets a to the complete value that v stands for. It returns false if v
// is a patch whose base is neither a nor the stored value, or if the result does not
// match the hash.
func (s *Store) resolvePatch(a *patchedValue, v Value) bool {
	if v.Patch == nil {
		*a = patchedValue{value: v}
		return true
	}
	if a.value.Key != v.Key || a.value.Version != v.Patch.Base {
		e, ok := s.values[v.Key]
		if !ok || e.value.Version != v.Patch.Base {
			return false
		}
		*a = patchedValue{value: e.value}
	}
	content, ok := v.Patch.apply(a.value.Content, v.Content)
	if !ok {
		// The stored base differs from the sender's, so request the full value.
		s.markMismatched(v.Key)
		return false
	}
	a.deltas = append(a.deltas, delta{version: v.Version, patch: *v.Patch, middle: v.Content})
	a.value = Value{Key: v.Key, Version: v.Version, Content: content}
	return true
}

// isBaseOf reports whether next is a patch on this value, which then does not
// need to be stored itself.
func (a *patchedValue) isBaseOf(next Value) bool {
	return next.Patch != nil && next.Key == a.value.Key && next.Patch.Base == a.value.Version
}

// markMismatched omits the key from Versions, so that a peer sends the full value.
func (s *Store) markMismatched(key string) {
	if e, ok := s.values[key]; ok {
		e.mismatched = true
	}
}

// appendDeltas returns the patch history of a key after a change to next, limited
// to MaxPatches and MaxPatchBytes. The change is computed if next was received
// as a full value and added is empty.
func (e *entry) appendDeltas(next Value, added []delta) []delta {
	if e == nil {
		return nil
	}
	if len(added) == 0 {
		d, ok := newDelta(e.value, next)
		if !ok {
			return nil
		}
		added = []delta{d}
	}
	deltas := append(append([]delta{}, e.deltas...), added...)
	deltas = deltas[max(0, len(deltas)-MaxPatches):]
	size := 0
	for i := len(deltas) - 1; i >= 0; i-- {
		if size += len(deltas[i].middle); size > MaxPatchBytes {
			return deltas[i+1:]
		}
	}
	return deltas
}

// changesSince returns the patches that lead from version v to the stored value.
// It returns the full value if the history does not reach back to v or if the
// patches would be larger.
func (e *entry) changesSince(v Version) []Value {
	var list []Value
	size := 0
	for i := len(e.deltas) - 1; i >= 0; i-- {
		d := &e.deltas[i]
		size += len(d.middle)
		if size > len(e.value.Content) {
			break
		}
		list = append(list, Value{Key: e.value.Key, Version: d.version, Content: d.middle, Patch: &d.patch})
		if d.patch.Base == v {
			slices.Reverse(list)
			return list
		}
	}
	return []Value{e.value}
}
