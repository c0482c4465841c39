package catalog

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

func at(s float64) time.Time { return time.Unix(0, 0).Add(time.Duration(s * float64(time.Second))) }

func upstream(key string, revision Revision, number uint64) Item {
	return Item{Key: PrefixUpstream + key, Revision: revision, Upstream: &Upstream{Number: number}}
}

func keysOf(items []Item) []string {
	var keys []string
	for _, i := range items {
		keys = append(keys, fmt.Sprintf("%s@%d", i.Key, i.Revision))
	}
	return keys
}

func TestApplyIgnoresOlderItem(t *testing.T) {
	var c Catalog
	c.Apply(at(0), Batch{Snapshot: true, Through: 9, Items: []Item{upstream("a", 9, 2)}})
	change := c.Apply(at(1), Batch{Since: 0, Through: 5, Items: []Item{upstream("a", 5, 1)}})
	if len(change.Items) != 0 || !change.Connected || change.Stale != 1 {
		t.Errorf("changed keys %v, connected %t, %d stale; want none, true, 1", keysOf(change.Items), change.Connected, change.Stale)
	}
	i, _ := c.Get(PrefixUpstream + "a")
	if i.Upstream.Number != 2 || c.Through() != 9 {
		t.Errorf("upstream number %d, catalog through revision %d; want 2 and 9", i.Upstream.Number, c.Through())
	}
}

func TestSnapshotDeletesUnlistedKeys(t *testing.T) {
	var c Catalog
	c.Apply(at(0), Batch{Snapshot: true, Through: 3, Items: []Item{upstream("a", 1, 1), upstream("b", 2, 2)}})
	// An item that is newer than the snapshot stays.
	c.Apply(at(0), Batch{Since: 3, Through: 8, Items: []Item{upstream("c", 8, 3)}})
	changed := c.Apply(at(1), Batch{Snapshot: true, Through: 6, Items: []Item{upstream("b", 2, 2)}}).Items
	if d := cmp.Diff([]string{"upstream/a@6"}, keysOf(changed)); d != "" {
		t.Errorf("changed keys (-want +got):\n%s", d)
	}
	if !changed[0].Deleted() {
		t.Error("key that the snapshot does not list is not deleted")
	}
}

func TestApplyReportsGapAndKeepsItems(t *testing.T) {
	var c Catalog
	c.Apply(at(0), Batch{Snapshot: true, Through: 3})
	change := c.Apply(at(0), Batch{Since: 5, Through: 6, Items: []Item{upstream("a", 6, 1)}})
	if change.Connected || len(change.Items) != 1 || c.Through() != 3 {
		t.Errorf("connected %t, %d changes, through revision %d; want false, 1, 3", change.Connected, len(change.Items), c.Through())
	}
}

func TestForgottenDeletionIsNotUndone(t *testing.T) {
	var c Catalog
	c.Apply(at(0), Batch{Snapshot: true, Through: 4, Items: []Item{upstream("a", 4, 1)}})
	c.Apply(at(1), Batch{Since: 4, Through: 5, Items: []Item{{Key: PrefixUpstream + "a", Revision: 5}}})
	c.ForgetDeletions(at(2))
	if changed := c.Apply(at(3), Batch{Since: 3, Through: 4, Items: []Item{upstream("a", 4, 1)}}).Items; len(changed) != 0 {
		t.Errorf("older item undid a forgotten deletion: %v", keysOf(changed))
	}
	if b := c.ChangesSince(Position{Revision: 4}); !b.Snapshot {
		t.Error("changes since before a forgotten deletion are not a snapshot")
	}
	if b := c.ChangesSince(Position{Revision: 5}); b.Snapshot || len(b.Items) != 0 {
		t.Errorf("changes since the newest revision: %d items, snapshot %t; want 0, false", len(b.Items), b.Snapshot)
	}
}

// Catalogs that exchange changes in any order converge to the same content.
func TestCatalogsConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var store []Item
		catalogs := make([]Catalog, 3)
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			n := rapid.IntRange(0, len(catalogs)-1).Draw(t, "catalog")
			c := &catalogs[n]
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				i := Item{Key: PrefixUpstream + rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), Revision: Revision(len(store) + 1)}
				if rapid.Bool().Draw(t, "alive") {
					i.Upstream = &Upstream{Number: uint64(i.Revision)}
				}
				store = append(store, i)
			case 1:
				b := Batch{Since: c.Through(), Through: Revision(len(store))}
				b.Items = append(b.Items, store[min(int(b.Since), len(store)):]...)
				c.Apply(at(float64(step)), b)
			case 2:
				other := &catalogs[rapid.IntRange(0, len(catalogs)-1).Draw(t, "other")]
				if other != c {
					c.Apply(at(float64(step)), other.ChangesSince(c.Position()))
				}
			}
		}
		for n := range catalogs {
			c := &catalogs[n]
			c.Apply(at(99), Batch{Since: c.Through(), Through: Revision(len(store)), Items: store[min(int(c.Through()), len(store)):]})
			for _, i := range newest(store) {
				got, ok := c.Get(i.Key)
				if i.Deleted() {
					if ok && !got.Deleted() {
						t.Fatalf("catalog %d has the deleted %s", n, i.Key)
					}
					continue
				}
				if d := cmp.Diff(i, got, cmpopts.EquateComparable(netip.AddrPort{})); d != "" {
					t.Fatalf("catalog %d (-store +catalog):\n%s", n, d)
				}
			}
			for _, i := range store {
				late := c.Apply(at(99), Batch{Since: i.Revision - 1, Through: i.Revision, Items: []Item{i}})
				for _, changed := range late.Items {
					if !changed.Deleted() {
						t.Fatalf("catalog %d took over %s at the past revision %d", n, i.Key, i.Revision)
					}
				}
			}
		}
	})
}

func newest(store []Item) map[string]Item {
	m := make(map[string]Item)
	for _, i := range store {
		m[i.Key] = i
	}
	return m
}

// A catalog that got a snapshot lacks the deletions that precede it.
func TestSnapshotDoesNotHideDeletionsFromOthers(t *testing.T) {
	var behind, fresh Catalog
	behind.Apply(at(0), Batch{Snapshot: true, Through: 3, Items: []Item{upstream("a", 3, 1)}})
	fresh.Apply(at(0), Batch{Snapshot: true, Through: 4})
	change := behind.Apply(at(1), fresh.ChangesSince(behind.Position()))
	if d := cmp.Diff([]string{"upstream/a@4"}, keysOf(change.Items)); d != "" {
		t.Errorf("changed keys (-want +got):\n%s", d)
	}
}

func TestAfterClaimsOnlyWhatItHolds(t *testing.T) {
	b := Batch{Era: 2, Since: 3, Through: 9, Items: []Item{upstream("a", 5, 1), upstream("b", 7, 2)}}
	for _, c := range []struct {
		after, since Revision
		keys         []string
	}{
		{2, 3, []string{"upstream/a@5", "upstream/b@7"}},
		{5, 5, []string{"upstream/b@7"}},
		{9, 9, nil},
	} {
		rest := b.After(c.after)
		if d := cmp.Diff(c.keys, keysOf(rest.Items)); d != "" || rest.Since != c.since || rest.Through != 9 || rest.Era != 2 {
			t.Errorf("after %d: since %d through %d, era %d, keys (-want +got):\n%s", c.after, rest.Since, rest.Through, rest.Era, d)
		}
	}
}
