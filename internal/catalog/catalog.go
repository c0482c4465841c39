// Package catalog is an instance's copy of what the platform publishes: the
// configuration, the upstreams and the data centres taken out. Items carry the
// revision of their last change; an older one never replaces a newer one,
// wherever it came from.
package catalog

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Keys of the items.
const (
	KeyConfiguration = "configuration"
	PrefixUpstream   = "upstream/"
	PrefixOut        = "out/"
)

// Revision orders all changes of the platform. Zero is before the first.
type Revision uint64

// Work says what may be done with the requests of a route.
type Work uint8

// Kinds of work.
const (
	// Once is work that may run at most once.
	Once Work = iota
	// Idempotent is work that may be repeated.
	Idempotent
	// Bulk is idempotent work with large answers.
	Bulk
)

// String returns the name of the kind.
func (w Work) String() string {
	switch w {
	case Once:
		return "once"
	case Idempotent:
		return "idempotent"
	case Bulk:
		return "bulk"
	default:
		return "unknown"
	}
}

// Route is one public address and what is behind it.
type Route struct {
	Address netip.AddrPort
	Service string
	Work    Work
	// Target is the time in which a request is to be answered, Deadline the
	// time after which nobody waits for the answer.
	Target   time.Duration
	Deadline time.Duration
	// Priority is 0 for the most urgent work.
	Priority int
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name string
	// ColdFor is the time for which a started upstream bears little, and
	// ColdPerSecond the openings a second that it then bears.
	ColdFor       time.Duration
	ColdPerSecond float64
}

// Configuration is what operators declare.
type Configuration struct {
	Version     uint64
	Routes      []Route
	Services    []Service
	IdleTimeout time.Duration
}

// Upstream is one process that serves requests.
type Upstream struct {
	// Number is the identity of the upstream on the wire.
	Number     uint64
	Service    string
	Address    netip.AddrPort
	DataCentre string
	Slots      int
	Draining   bool
	// ColdFor is the time for which it stays cold, at the time of the change.
	ColdFor time.Duration
	// Started is the upstream's own word on its start.
	Started time.Time
}

// Item is the newest value of one key; at most one of the pointers is set.
// An item with none is deleted.
type Item struct {
	Key           string
	Revision      Revision
	Configuration *Configuration
	Upstream      *Upstream
	Out           bool
}

// Deleted tells whether the item marks a key that is gone.
func (i *Item) Deleted() bool { return i.Configuration == nil && i.Upstream == nil && !i.Out }

// Batch is a part of the platform's content.
type Batch struct {
	Items []Item
	// Since and Through bound the changes that the batch holds completely.
	Since   Revision
	Through Revision
	// Whole is true for a copy of everything: keys that it does not name and
	// that changed at Through or before are gone.
	Whole bool
}

// entry is one item and the time from which it is known.
type entry struct {
	item  Item
	knownSince time.Time
}

// Catalog holds the newest item of each key. The zero value is empty.
type Catalog struct {
	items map[string]*entry
	// through is the revision up to which the catalog is complete.
	through Revision
	// purged is the highest revision of a deletion no longer remembered.
	purged Revision
}

// Through returns the revision up to which the catalog is complete.
func (c *Catalog) Through() Revision { return c.through }

// Apply takes the newer items of a batch over and returns them, ordered by
// revision. It fails when the batch does not connect to what is held: items
// are taken over all the same, since each is newer than the one before.
func (c *Catalog) Apply(now time.Time, b Batch) (changed []Item, connected bool) {
	if c.items == nil {
		c.items = make(map[string]*entry)
	}
	for i := range b.Items {
		if c.put(now, &b.Items[i]) {
			changed = append(changed, b.Items[i])
		}
	}
	if b.Whole {
		changed = append(changed, c.deleteUnlisted(now, &b)...)
	}
	slices.SortStableFunc(changed, func(x, y Item) int { return compare(x.Revision, y.Revision) })
	if !b.Whole && b.Since > c.through {
		return changed, false
	}
	c.through = max(c.through, b.Through)
	return changed, true
}

func compare(x, y Revision) int {
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	default:
		return 0
	}
}

func (c *Catalog) put(now time.Time, i *Item) bool {
	h, ok := c.items[i.Key]
	if ok && h.item.Revision >= i.Revision {
		return false
	}
	if !ok && i.Revision <= c.through && !i.Deleted() {
		// A catalog that is complete up to here would hold it: its deletion
		// has been forgotten since.
		return false
	}
	c.items[i.Key] = &entry{item: *i, knownSince: now}
	return true
}

// deleteUnlisted marks the keys that a whole copy does not name as gone.
func (c *Catalog) deleteUnlisted(now time.Time, b *Batch) []Item {
	named := make(map[string]bool, len(b.Items))
	for i := range b.Items {
		named[b.Items[i].Key] = true
	}
	var gone []Item
	for _, key := range slices.Sorted(maps.Keys(c.items)) {
		h := c.items[key]
		if named[key] || h.item.Deleted() || h.item.Revision > b.Through {
			continue
		}
		i := Item{Key: key, Revision: b.Through}
		if c.put(now, &i) {
			gone = append(gone, i)
		}
	}
	return gone
}

// Since returns the changes above a revision, or everything where deletions
// above it have been forgotten.
func (c *Catalog) Since(r Revision) Batch {
	b := Batch{Since: r, Through: c.through, Whole: r == 0 || r < c.purged}
	for _, h := range c.items {
		if b.Whole && !h.item.Deleted() || !b.Whole && h.item.Revision > r {
			b.Items = append(b.Items, h.item)
		}
	}
	slices.SortFunc(b.Items, func(x, y Item) int {
		if d := compare(x.Revision, y.Revision); d != 0 {
			return d
		}
		return strings.Compare(x.Key, y.Key)
	})
	return b
}

// Get returns the item of a key, deleted ones included.
func (c *Catalog) Get(key string) (Item, bool) {
	if h, ok := c.items[key]; ok {
		return h.item, true
	}
	return Item{}, false
}

// Forget drops deletions that were known before the time.
func (c *Catalog) Forget(before time.Time) {
	for key, h := range c.items {
		if h.item.Deleted() && h.knownSince.Before(before) {
			c.purged = max(c.purged, h.item.Revision)
			delete(c.items, key)
		}
	}
}
