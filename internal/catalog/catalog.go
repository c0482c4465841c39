// Package catalog holds an instance's copy of what the platform (the control plane)
// publishes in its store: the configuration, the upstreams and the data centres taken
// out of service. Each item carries the revision of its last change. An older revision
// never replaces a newer one, whether it comes from the store or from another instance.
package catalog

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Keys and key prefixes of the items. Items under PrefixDataCentreOut mark data
// centres that are taken out of service.
const (
	KeyConfiguration    = "configuration"
	PrefixUpstream      = "upstream/"
	PrefixDataCentreOut = "out/"
)

// Revision orders all changes of the store within an era. Zero precedes the first
// change.
type Revision uint64

// Era counts how often the store was restored from a copy. A restored store gives
// out the revisions after that of the copy again, for other changes.
type Era uint64

// Position is a point in the history of the store. Positions compare by era, then by
// revision. The zero value precedes all changes.
type Position struct {
	Era      Era
	Revision Revision
}

// Before reports whether p precedes q.
func (p Position) Before(q Position) bool {
	return p.Era < q.Era || p.Era == q.Era && p.Revision < q.Revision
}

// WorkKind classifies the requests of a route by how often they may run and how large
// their responses are. The zero value, Once, is the most cautious.
type WorkKind uint8

// Kinds of work.
const (
	// Once is work that must not run twice.
	Once WorkKind = iota
	// Idempotent is work that may be retried.
	Idempotent
	// Bulk is idempotent work with large responses.
	Bulk
)

// String returns the name of the kind of work, or "unknown".
func (w WorkKind) String() string {
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

// Route is one public address and the service behind it.
type Route struct {
	Address netip.AddrPort
	Service string
	Work    WorkKind
	// Target is the intended response time. Deadline is the time after which
	// callers no longer wait for the response.
	Target   time.Duration
	Deadline time.Duration
	// Priority is 0 for the most urgent work; greater numbers are less urgent.
	Priority int
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name string
	// ColdFor is how long an upstream stays cold after its start. ColdPerSecond is the
	// number of new flows a second that it takes while cold.
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

// Upstream is one process that serves the requests of a service.
type Upstream struct {
	// Number identifies the upstream on the wire.
	Number     uint64
	Service    string
	Address    netip.AddrPort
	DataCentre string
	// Slots is the number of requests that the upstream works on at a time.
	Slots    int
	Draining bool
	// ColdFor is the remaining time for which the upstream is cold, as of the
	// time of this change.
	ColdFor time.Duration
	// Started is the start time that the upstream itself reports.
	Started time.Time
}

// equal reports whether two upstreams have the same fields.
func (u *Upstream) equal(v *Upstream) bool {
	a, b := *u, *v
	a.Started, b.Started = time.Time{}, time.Time{}
	return a == b && u.Started.Equal(v.Started)
}

// Item is the newest value of one key. At most one of Configuration, Upstream and
// DataCentreOut is set; if none is, the key is deleted.
type Item struct {
	Key           string
	Revision      Revision
	Configuration *Configuration
	Upstream      *Upstream
	DataCentreOut bool
}

// Deleted reports whether the item marks a deleted key.
func (i *Item) Deleted() bool { return i.Configuration == nil && i.Upstream == nil && !i.DataCentreOut }

// Batch is a set of changes, or a snapshot, of the platform's content.
type Batch struct {
	// Era is the era of all revisions in the batch.
	Era   Era
	Items []Item
	// The batch holds the latest change of every key that changed after Since and
	// up to Through.
	Since   Revision
	Through Revision
	// Snapshot marks a snapshot: keys that it does not list and whose last change
	// is at or before Through are deleted.
	Snapshot bool
}

// After returns the changes of the batch after a revision.
func (b *Batch) After(r Revision) Batch {
	after := *b
	after.Since = max(b.Since, r)
	after.Items = slices.DeleteFunc(slices.Clone(b.Items), func(i Item) bool { return i.Revision <= after.Since })
	return after
}

// Change is the result of applying a batch to a Catalog.
type Change struct {
	// Items are the items that changed, ordered by revision.
	Items []Item
	// Restored is true if the batch is the first one of a later era. Reverted are the
	// items of it that may precede those held before: the store has them from a copy,
	// or lacks them, and their writers may be about to write them again.
	Restored bool
	Reverted []Item
	// Stale counts the items that are older than those held.
	Stale int
	// Connected is false if there is a gap between the catalog and the batch.
	Connected bool
}

// entry is one item and the time at which it became known.
type entry struct {
	item       Item
	knownSince time.Time
}

// Catalog holds the newest item of each key. The zero value is empty and ready for
// use. It is not safe for concurrent use.
type Catalog struct {
	items map[string]*entry
	// era is the era of all revisions below and of the items.
	era Era
	// through is the revision up to which the catalog is complete.
	through Revision
	// purged is the revision up to which deletions may be missing.
	purged Revision
}

// Through returns the revision up to which the catalog is complete.
func (c *Catalog) Through() Revision { return c.through }

// Position returns the position up to which the catalog is complete.
func (c *Catalog) Position() Position { return Position{c.era, c.through} }

// Apply stores the items of a batch that are newer than those held. It stores them
// even if there is a gap between the catalog and the batch, since each is newer than
// the one it replaces. Revisions of different eras are not comparable: a batch of an
// earlier era changes nothing, and only a snapshot of a later one is applied, which
// replaces the whole content. Configurations are ordered by their versions in all
// eras: one that was in force never reverts to an older one.
func (c *Catalog) Apply(now time.Time, b Batch) Change {
	var change Change
	switch {
	case b.Era < c.era:
		change = Change{Items: c.newerConfiguration(now, &b), Stale: len(b.Items), Connected: true}
	case b.Era > c.era && !b.Snapshot:
		change.Items = c.newerConfiguration(now, &b)
	case b.Era > c.era:
		change = c.replace(now, &b)
	default:
		change = c.merge(now, &b)
	}
	sortByRevision(change.Items)
	return change
}

func sortByRevision(items []Item) {
	slices.SortStableFunc(items, func(x, y Item) int { return cmp.Compare(x.Revision, y.Revision) })
}

// merge applies a batch of the catalog's era.
func (c *Catalog) merge(now time.Time, b *Batch) Change {
	if c.items == nil {
		c.items = make(map[string]*entry)
	}
	var change Change
	for i := range b.Items {
		if h, ok := c.items[b.Items[i].Key]; ok && h.item.Revision > b.Items[i].Revision {
			change.Stale++
		}
		if c.put(now, &b.Items[i]) {
			change.Items = append(change.Items, b.Items[i])
		}
	}
	if b.Snapshot {
		change.Items = append(change.Items, c.deleteUnlisted(now, b)...)
		c.purged = max(c.purged, b.Through)
	}
	if change.Connected = b.Snapshot || b.Since <= c.through; change.Connected {
		c.through = max(c.through, b.Through)
	}
	return change
}

// replace adopts a snapshot of a later era. The changes are the items whose value
// differs from the one held. The eras share their history up to the copy, so that an
// item at a revision below that of the one held is older or was written again.
func (c *Catalog) replace(now time.Time, b *Batch) Change {
	change := Change{Restored: true, Connected: true}
	held := c.items
	*c = Catalog{items: make(map[string]*entry, len(b.Items)), era: b.Era, purged: b.Through}
	if h, ok := held[KeyConfiguration]; ok && h.item.Configuration != nil {
		h.item.Revision = 0
		c.items[KeyConfiguration] = h
	}
	for i := range b.Items {
		item := &b.Items[i]
		h, ok := held[item.Key]
		same := ok && h.item.sameValue(item)
		switch {
		case !c.put(now, item) || same:
		case ok && !item.follows(&h.item):
			change.Reverted = append(change.Reverted, *item)
		default:
			change.Items = append(change.Items, *item)
		}
	}
	c.through = b.Through
	change.Reverted = append(change.Reverted, c.deleteLost(now, held)...)
	sortByRevision(change.Reverted)
	return change
}

// deleteLost marks keys that were held before a restore and are not listed since as
// deleted.
func (c *Catalog) deleteLost(now time.Time, held map[string]*entry) []Item {
	var deleted []Item
	for _, key := range slices.Sorted(maps.Keys(held)) {
		if _, listed := c.items[key]; listed || held[key].item.Deleted() {
			continue
		}
		i := Item{Key: key, Revision: c.through}
		c.items[key] = &entry{item: i, knownSince: now}
		deleted = append(deleted, i)
	}
	return deleted
}

// follows reports whether an item of a later era is certain to be newer than one of
// the same key held before. An upstream that drains does so until it restarts.
func (i *Item) follows(held *Item) bool {
	if u, h := i.Upstream, held.Upstream; u != nil && h != nil {
		if u.Started.After(h.Started) || u.Draining && u.Started.Equal(h.Started) {
			return true
		}
	}
	return i.Configuration != nil || i.Revision >= held.Revision
}

// sameValue reports whether two items of a key have the same value. Configurations
// are told apart by their versions.
func (i *Item) sameValue(j *Item) bool {
	switch {
	case i.Deleted() || j.Deleted():
		return i.Deleted() && j.Deleted()
	case i.Configuration != nil:
		return j.Configuration != nil && i.Configuration.Version == j.Configuration.Version
	case i.Upstream != nil:
		return j.Upstream != nil && i.Upstream.equal(j.Upstream)
	default:
		return i.DataCentreOut == j.DataCentreOut
	}
}

// put stores an item unless the catalog already has that revision or a newer one.
func (c *Catalog) put(now time.Time, i *Item) bool {
	h, ok := c.items[i.Key]
	if ok && h.item.Configuration != nil {
		return h.putConfiguration(now, i)
	}
	if ok && h.item.Revision >= i.Revision {
		return false
	}
	if i.Revision <= c.through && !i.Deleted() && (!ok || h.item.Deleted()) {
		// The catalog is complete up to this revision and would hold the item. The
		// key has been deleted since, by a deletion that may be missing.
		return false
	}
	c.items[i.Key] = &entry{item: *i, knownSince: now}
	return true
}

// putConfiguration replaces the configuration by one of a higher version, or of the
// same version and a later revision. Deletions are ignored.
func (e *entry) putConfiguration(now time.Time, i *Item) bool {
	held := &e.item
	newer := i.Configuration != nil && cmp.Or(cmp.Compare(i.Configuration.Version, held.Configuration.Version), cmp.Compare(i.Revision, held.Revision)) > 0
	held.Revision = max(held.Revision, i.Revision)
	if newer {
		held.Configuration, e.knownSince = i.Configuration, now
	}
	return newer
}

// newerConfiguration takes over the configuration of a batch of another era if its
// version is higher than that of the one held.
func (c *Catalog) newerConfiguration(now time.Time, b *Batch) []Item {
	h, ok := c.items[KeyConfiguration]
	if !ok || h.item.Configuration == nil {
		return nil
	}
	for i := range b.Items {
		if f := b.Items[i].Configuration; f != nil && f.Version > h.item.Configuration.Version {
			h.item.Configuration, h.knownSince = f, now
			return []Item{h.item}
		}
	}
	return nil
}

// deleteUnlisted marks keys that a snapshot does not list as deleted.
func (c *Catalog) deleteUnlisted(now time.Time, b *Batch) []Item {
	listed := make(map[string]bool, len(b.Items))
	for i := range b.Items {
		listed[b.Items[i].Key] = true
	}
	var deleted []Item
	for _, key := range slices.Sorted(maps.Keys(c.items)) {
		h := c.items[key]
		if listed[key] || key == KeyConfiguration || h.item.Deleted() || h.item.Revision > b.Through {
			continue
		}
		i := Item{Key: key, Revision: b.Through}
		if c.put(now, &i) {
			deleted = append(deleted, i)
		}
	}
	return deleted
}

// ChangesSince returns the changes after a position, or a snapshot if it is in another
// era or deletions after it have been forgotten.
func (c *Catalog) ChangesSince(p Position) Batch {
	r := p.Revision
	b := Batch{Era: c.era, Since: r, Through: c.through, Snapshot: r == 0 || r < c.purged || p.Era != c.era}
	for _, h := range c.items {
		if b.Snapshot && !h.item.Deleted() || !b.Snapshot && h.item.Revision > r {
			b.Items = append(b.Items, h.item)
		}
	}
	slices.SortFunc(b.Items, func(x, y Item) int {
		return cmp.Or(cmp.Compare(x.Revision, y.Revision), strings.Compare(x.Key, y.Key))
	})
	return b
}

// ConfigurationVersion returns the version of the configuration, zero if there is
// none.
func (c *Catalog) ConfigurationVersion() uint64 {
	if inForce := c.Configuration(); inForce != nil {
		return inForce.Version
	}
	return 0
}

// Configuration returns the configuration held, nil if there is none. It must not be
// changed.
func (c *Catalog) Configuration() *Configuration {
	if h, ok := c.items[KeyConfiguration]; ok {
		return h.item.Configuration
	}
	return nil
}

// Get returns the item of a key. The item may mark a deletion.
func (c *Catalog) Get(key string) (Item, bool) {
	if h, ok := c.items[key]; ok {
		return h.item, true
	}
	return Item{}, false
}

// ForgetDeletions drops deletions that became known before the given time.
func (c *Catalog) ForgetDeletions(before time.Time) {
	for key, h := range c.items {
		if h.item.Deleted() && h.knownSince.Before(before) {
			c.purged = max(c.purged, h.item.Revision)
			delete(c.items, key)
		}
	}
}
