package rendezvous

import (
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

const (
	// ListLength is the maximum number of candidates in a preference list.
	ListLength = 5
	// bucketBits sets the number of buckets that flows are hashed into. It must
	// not depend on the number of candidates, as a change would move flows.
	bucketBits = 18
	// pageBits is the number of bucket bits that select a list within a page.
	pageBits = 8
	// directCandidates is the number of candidates up to which lists are computed
	// at each lookup, so that small services need no memory for lists.
	directCandidates = 4
	// maxPages bounds the pages of one table.
	maxPages = 1 << (bucketBits - pageBits)
)

// Candidate identifies an item for ranking.
type Candidate struct {
	ID view.ID
	// Group is the failure domain. A list of ListLength candidates spans at least two
	// groups if the table has two.
	Group int
}

// List is a preference list: indexes into the items of a table, best first.
type List struct {
	places [ListLength]uint16
	length uint8
}

// Len returns the number of items in the list.
func (l *List) Len() int { return int(l.length) }

// At returns the table index of the item at the given place; place 0 is the best.
func (l *List) At(place int) int { return int(l.places[place]) }

type page [1 << pageBits]List

// Table holds items and the preference list of each flow over them. Lists are
// computed on first use. A table is not safe for concurrent use. The zero value has
// no items.
type Table[T any] struct {
	items      []T
	candidates []Candidate
	pages      []*page
	scratch    List
}

// NewTable returns a table of the items. candidates[i] describes items[i]. The table
// keeps both slices. It can rank at most 65,536 items.
func NewTable[T any](items []T, candidates []Candidate) *Table[T] {
	return &Table[T]{items: items, candidates: candidates}
}

// Items returns the items of the table. The caller must not change the slice.
func (t *Table[T]) Items() []T { return t.items }

// Candidates returns the candidate of each item, in the order of the items. The
// caller must not change the slice.
func (t *Table[T]) Candidates() []Candidate { return t.candidates }

// Item returns the item at a table index, as returned by List.At.
func (t *Table[T]) Item(i int) T { return t.items[i] }

// List returns the preference list of a flow. It is valid until the next call.
func (t *Table[T]) List(id flow.ID) *List {
	bucket := id.High >> (64 - bucketBits)
	if len(t.items) <= directCandidates {
		t.scratch.length = 0
		t.rank(bucket, &t.scratch)
		return &t.scratch
	}
	if t.pages == nil {
		t.pages = make([]*page, maxPages)
	}
	p := t.pages[bucket>>pageBits]
	if p == nil {
		p = new(page)
		t.pages[bucket>>pageBits] = p
	}
	l := &p[bucket&(1<<pageBits-1)]
	if l.length == 0 {
		t.rank(bucket, l)
	}
	return l
}

// rank fills the list with the best candidates of a bucket.
func (t *Table[T]) rank(bucket uint64, l *List) {
	var scores [ListLength]uint64
	for i, c := range t.candidates {
		insertByScore(l, &scores, uint16(i), Score(bucket, c.ID))
	}
	t.spanTwoGroups(l, bucket)
}

// spanTwoGroups replaces the last candidate of a full list whose candidates are all
// of one group with the best candidate of another group, if there is one.
func (t *Table[T]) spanTwoGroups(l *List, bucket uint64) {
	if l.length < ListLength {
		return
	}
	group := t.candidates[l.places[0]].Group
	for place := 1; place < ListLength; place++ {
		if t.candidates[l.places[place]].Group != group {
			return
		}
	}
	best, greatest := -1, uint64(0)
	for i, c := range t.candidates {
		if c.Group == group {
			continue
		}
		if s := Score(bucket, c.ID); best < 0 || s > greatest {
			best, greatest = i, s
		}
	}
	if best >= 0 {
		l.places[ListLength-1] = uint16(best)
	}
}

// insertByScore inserts a candidate in order of score if it is among the best.
func insertByScore(l *List, scores *[ListLength]uint64, index uint16, score uint64) {
	place := int(l.length)
	if place == ListLength {
		if score <= scores[ListLength-1] {
			return
		}
		place--
	} else {
		l.length++
	}
	for place > 0 && scores[place-1] < score {
		scores[place], l.places[place] = scores[place-1], l.places[place-1]
		place--
	}
	scores[place], l.places[place] = score, index
}

// WithItems returns a table that has new items for the same candidates in the same
// order. It shares the computed lists with t.
func (t *Table[T]) WithItems(items []T) *Table[T] {
	updated := *t
	updated.items = items
	return &updated
}
