// Package flowmap holds a small value for each of very many flows. Entries do not
// move, so they can be updated through a pointer and swept a few at a time. A lookup
// reads two memory locations: a slot of the index, which uses open addressing with
// linear probing (Knuth 1963), and the entry.
package flowmap

import (
	"math/bits"
	"math/rand/v2"

	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

const (
	// chunkLength is the number of entries allocated at once.
	chunkLength = 256
	// minIndexSlots is the number of slots of the smallest index.
	minIndexSlots = 64
	// slotsPerFlow is the minimum number of slots per flow.
	slotsPerFlow = 2
	// hashMultiplier is an odd number close to 2^64 divided by the golden ratio.
	hashMultiplier = 0x9e3779b97f4a7c15
)

// entry holds one flow. It is free if its identifier is zero, which no flow has.
type entry[T any] struct {
	id    flow.ID
	value T
}

func (e *entry[T]) used() bool { return e.id != flow.ID{} }

// Map maps flow identifiers to values. The zero value is empty and ready for
// use. It is not safe for concurrent use.
type Map[T any] struct {
	// slots is the index. The low 32 bits of a slot hold the entry number plus one,
	// or zero if the slot is free. The high 32 bits hold bits of the flow
	// identifier, so that a lookup reads few entries of other flows.
	slots []uint64
	// seed prevents callers from choosing flows that collide in the index.
	seed uint64
	// shift reduces a 64-bit hash to an index into slots.
	shift  int
	length int
	chunks [][]entry[T]
	// freeEntries are the numbers of deleted entries, which are reused first.
	freeEntries []uint32
	// allocated is the number of entries that are or were in use.
	allocated uint32
	// sweepNext is the number of the entry that Sweep visits next.
	sweepNext uint32
}

// Len returns the number of flows.
func (m *Map[T]) Len() int { return m.length }

// Get returns a pointer to the value of a flow, or nil. The pointer is valid until
// the flow is deleted.
func (m *Map[T]) Get(id flow.ID) *T {
	if m.length == 0 {
		return nil
	}
	slot := m.find(id)
	if m.slots[slot] == 0 {
		return nil
	}
	return &m.entryOf(slot).value
}

// GetOrAdd returns a pointer to the value of a flow. It adds a zero value if the flow is
// new. The pointer is valid until the flow is deleted.
func (m *Map[T]) GetOrAdd(id flow.ID) *T {
	if (m.length+1)*slotsPerFlow > len(m.slots) {
		m.grow()
	}
	slot := m.find(id)
	if m.slots[slot] != 0 {
		return &m.entryOf(slot).value
	}
	i := m.allocate()
	m.slots[slot] = packSlot(id, i)
	m.length++
	e := m.entryAt(i)
	*e = entry[T]{id: id}
	return &e.value
}

// Delete removes a flow and reports whether it was present.
func (m *Map[T]) Delete(id flow.ID) bool {
	if m.length == 0 {
		return false
	}
	slot := m.find(id)
	if m.slots[slot] == 0 {
		return false
	}
	i := uint32(m.slots[slot]) - 1
	*m.entryAt(i) = entry[T]{}
	m.freeEntries = append(m.freeEntries, i)
	m.length--
	m.clearSlot(slot)
	return true
}

// Clear removes all flows and releases their memory.
func (m *Map[T]) Clear() {
	*m = Map[T]{}
}

// Sweep visits the next count entries, continuing where the last call stopped, and
// removes those for which keep returns false.
func (m *Map[T]) Sweep(count int, keep func(flow.ID, *T) bool) {
	for range min(count, int(m.allocated)) {
		if m.sweepNext >= m.allocated {
			m.sweepNext = 0
		}
		e := m.entryAt(m.sweepNext)
		m.sweepNext++
		if e.used() && !keep(e.id, &e.value) {
			m.Delete(e.id)
		}
	}
	m.shrink()
}

// Each calls visit for all flows until it returns false.
func (m *Map[T]) Each(visit func(flow.ID, *T) bool) {
	for i := range m.allocated {
		if e := m.entryAt(i); e.used() && !visit(e.id, &e.value) {
			return
		}
	}
}

func (m *Map[T]) entryAt(i uint32) *entry[T] {
	return &m.chunks[i/chunkLength][i%chunkLength]
}

// homeSlot returns the first slot of a flow's probe sequence.
func (m *Map[T]) homeSlot(id flow.ID) int {
	high, low := bits.Mul64(id.Low^m.seed, hashMultiplier)
	return int((high ^ low) >> m.shift)
}

// find returns the slot of a flow, or the free slot where it would be inserted.
func (m *Map[T]) find(id flow.ID) int {
	slot := m.homeSlot(id)
	for m.slots[slot] != 0 && !m.matches(slot, id) {
		slot = (slot + 1) & (len(m.slots) - 1)
	}
	return slot
}

// matches reports whether the slot belongs to the flow.
func (m *Map[T]) matches(slot int, id flow.ID) bool {
	return uint32(m.slots[slot]>>32) == uint32(id.High) && m.entryOf(slot).id == id
}

// entryOf returns the entry that an occupied slot refers to.
func (m *Map[T]) entryOf(slot int) *entry[T] {
	return m.entryAt(uint32(m.slots[slot]) - 1)
}

// packSlot returns the slot content for a flow in entry i.
func packSlot(id flow.ID, i uint32) uint64 {
	return uint64(uint32(id.High))<<32 | uint64(i+1)
}

// clearSlot frees a slot and moves back displaced flows, so that no probe sequence
// is interrupted.
func (m *Map[T]) clearSlot(hole int) {
	mask := len(m.slots) - 1
	for slot := (hole + 1) & mask; m.slots[slot] != 0; slot = (slot + 1) & mask {
		start := m.homeSlot(m.entryOf(slot).id)
		// A flow may move into the hole unless its home slot comes after it.
		if (slot-start)&mask >= (slot-hole)&mask {
			m.slots[hole] = m.slots[slot]
			hole = slot
		}
	}
	m.slots[hole] = 0
}

// grow doubles the index and reinserts all flows.
func (m *Map[T]) grow() {
	if m.seed == 0 {
		m.seed = rand.Uint64() | 1
	}
	m.slots = make([]uint64, max(minIndexSlots, 2*len(m.slots)))
	m.shift = bits.LeadingZeros64(uint64(len(m.slots) - 1))
	for i := range m.allocated {
		if e := m.entryAt(i); e.used() {
			m.slots[m.find(e.id)] = packSlot(e.id, i)
		}
	}
}

// allocate returns the number of a free entry.
func (m *Map[T]) allocate() uint32 {
	if last := len(m.freeEntries) - 1; last >= 0 {
		i := m.freeEntries[last]
		m.freeEntries = m.freeEntries[:last]
		return i
	}
	if m.allocated%chunkLength == 0 {
		m.chunks = append(m.chunks, make([]entry[T], chunkLength))
	}
	m.allocated++
	return m.allocated - 1
}

// shrink releases the memory of a peak once the map is empty. A single chunk is kept.
func (m *Map[T]) shrink() {
	if m.length == 0 && m.allocated > chunkLength {
		m.Clear()
	}
}
