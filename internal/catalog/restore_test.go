package catalog

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestSnapshotOfLaterEraReplacesHeldItems(t *testing.T) {
	var c Catalog
	c.Apply(at(0), Batch{Era: 1, Snapshot: true, Through: 9, Items: []Item{upstream("a", 2, 1), upstream("b", 3, 2), upstream("c", 9, 3)}})
	change := c.Apply(at(1), Batch{Era: 2, Snapshot: true, Through: 6, Items: []Item{upstream("a", 2, 1), upstream("b", 5, 7), upstream("d", 6, 4)}})
	if d := cmp.Diff([]string{"upstream/b@5", "upstream/d@6"}, keysOf(change.Items)); d != "" || !change.Connected || !change.Restored {
		t.Errorf("connected %t, restored %t, changed keys (-want +got):\n%s", change.Connected, change.Restored, d)
	}
	if d := cmp.Diff([]string{"upstream/c@6"}, keysOf(change.Reverted)); d != "" {
		t.Errorf("reverted keys (-want +got):\n%s", d)
	}
	if p := c.Position(); p != (Position{Era: 2, Revision: 6}) {
		t.Errorf("position %+v, want revision 6 of era 2", p)
	}
	change = c.Apply(at(2), Batch{Era: 2, Since: 6, Through: 7, Items: []Item{upstream("c", 7, 5)}})
	if len(change.Items) != 1 || !change.Connected {
		t.Errorf("%d changes at a revision that was given out before, connected %t; want 1, true", len(change.Items), change.Connected)
	}
}

// The copy and the writes that follow it are told apart by what was held before.
func TestItemsThatMayPrecedeHeldOnesAreReverted(t *testing.T) {
	out := func(r Revision) Item {
		return Item{Key: PrefixDataCentreOut + "a", Revision: r, DataCentreOut: true}
	}
	started := func(i Item, s float64, draining bool) Item {
		i.Upstream.Started, i.Upstream.Draining = at(s), draining
		return i
	}
	deleted := func(i Item) Item { return Item{Key: i.Key, Revision: i.Revision} }
	for _, c := range []struct {
		name     string
		held     []Item
		restored []Item
		changed  []string
		reverted []string
	}{
		{"older value", []Item{upstream("a", 8, 2)}, []Item{upstream("a", 3, 1)}, nil, []string{"upstream/a@3"}},
		{"start after the one held", []Item{started(upstream("a", 8, 1), 1, false)}, []Item{started(upstream("a", 3, 1), 2, false)}, []string{"upstream/a@3"}, nil},
		{"start before the one held", []Item{started(upstream("a", 8, 1), 2, false)}, []Item{started(upstream("a", 3, 1), 1, true)}, nil, []string{"upstream/a@3"}},
		{"drain of the same start", []Item{started(upstream("a", 8, 1), 1, false)}, []Item{started(upstream("a", 3, 1), 1, true)}, []string{"upstream/a@3"}, nil},
		{"end of a drain of the same start", []Item{started(upstream("a", 8, 1), 1, true)}, []Item{started(upstream("a", 3, 1), 1, false)}, nil, []string{"upstream/a@3"}},
		{"value after the one held", []Item{upstream("a", 3, 1)}, []Item{upstream("a", 5, 2)}, []string{"upstream/a@5"}, nil},
		{"revision given out again", []Item{upstream("a", 5, 1)}, []Item{upstream("a", 5, 2)}, []string{"upstream/a@5"}, nil},
		{"same value", []Item{upstream("a", 8, 1)}, []Item{upstream("a", 3, 1)}, nil, nil},
		{"unknown key", nil, []Item{upstream("a", 3, 1)}, []string{"upstream/a@3"}, nil},
		{"lost value", []Item{upstream("a", 8, 1)}, nil, nil, []string{"upstream/a@6"}},
		{"deletion undone", []Item{deleted(upstream("a", 8, 1))}, []Item{upstream("a", 3, 1)}, nil, []string{"upstream/a@3"}},
		{"deletion in both", []Item{deleted(upstream("a", 8, 1))}, nil, nil, nil},
		{"data centre out no more", []Item{out(8)}, nil, nil, []string{"out/a@6"}},
		{"data centre out again", []Item{deleted(out(8))}, []Item{out(3)}, nil, []string{"out/a@3"}},
	} {
		var l Catalog
		l.Apply(at(0), Batch{Era: 1, Snapshot: true, Through: 2})
		l.Apply(at(0), Batch{Era: 1, Since: 2, Through: 9, Items: c.held})
		change := l.Apply(at(1), Batch{Era: 2, Snapshot: true, Through: 6, Items: c.restored})
		if d := cmp.Diff(c.changed, keysOf(change.Items)); d != "" {
			t.Errorf("%s: changed keys (-want +got):\n%s", c.name, d)
		}
		if d := cmp.Diff(c.reverted, keysOf(change.Reverted)); d != "" {
			t.Errorf("%s: reverted keys (-want +got):\n%s", c.name, d)
		}
	}
}

// Changes of a later era mean nothing without the content that they are based on.
func TestChangesOfLaterEraWaitForSnapshot(t *testing.T) {
	var c Catalog
	c.Apply(at(0), Batch{Era: 1, Snapshot: true, Through: 9, Items: []Item{upstream("a", 9, 1)}})
	change := c.Apply(at(1), Batch{Era: 2, Since: 4, Through: 5, Items: []Item{upstream("a", 5, 2)}})
	if len(change.Items) != 0 || change.Connected || c.Through() != 9 {
		t.Errorf("changed keys %v, connected %t, through revision %d; want none, false, 9", keysOf(change.Items), change.Connected, c.Through())
	}
}

func TestBatchOfEarlierEraChangesNothing(t *testing.T) {
	for _, snapshot := range []bool{false, true} {
		var c Catalog
		c.Apply(at(0), Batch{Era: 2, Snapshot: true, Through: 4, Items: []Item{upstream("a", 3, 1)}})
		change := c.Apply(at(1), Batch{Era: 1, Snapshot: snapshot, Since: 8, Through: 9, Items: []Item{upstream("a", 9, 2), upstream("b", 8, 3)}})
		if len(change.Items) != 0 || !change.Connected || c.Position() != (Position{Era: 2, Revision: 4}) {
			t.Errorf("snapshot %t: changed keys %v, connected %t, position %+v; want none, true, revision 4 of era 2", snapshot, keysOf(change.Items), change.Connected, c.Position())
		}
	}
}

func TestChangesSincePositionOfAnotherEraAreSnapshot(t *testing.T) {
	var c Catalog
	c.Apply(at(0), Batch{Era: 2, Snapshot: true, Through: 4, Items: []Item{upstream("a", 3, 1)}})
	for _, p := range []Position{{Era: 1, Revision: 9}, {Era: 1, Revision: 4}, {Era: 3, Revision: 4}, {Era: 2, Revision: 2}, {}} {
		if b := c.ChangesSince(p); !b.Snapshot || len(b.Items) != 1 || b.Era != 2 {
			t.Errorf("changes since %+v: snapshot %t, %d items, era %d; want true, 1, 2", p, b.Snapshot, len(b.Items), b.Era)
		}
	}
	if b := c.ChangesSince(c.Position()); b.Snapshot || len(b.Items) != 0 {
		t.Errorf("changes since the catalog's own position: snapshot %t, %d items; want false, 0", b.Snapshot, len(b.Items))
	}
}

func configuration(revision Revision, version uint64) Item {
	return Item{Key: KeyConfiguration, Revision: revision, Configuration: &Configuration{Version: version}}
}

func TestConfigurationNeverRevertsToOlderVersion(t *testing.T) {
	for _, c := range []struct {
		name  string
		batch Batch
		want  uint64
	}{
		{"copy with an older one", Batch{Era: 2, Snapshot: true, Through: 4, Items: []Item{configuration(4, 1)}}, 5},
		{"copy without any", Batch{Era: 2, Snapshot: true, Through: 4}, 5},
		{"copy with a newer one at an older revision", Batch{Era: 2, Snapshot: true, Through: 4, Items: []Item{configuration(4, 7)}}, 7},
		{"changes of a later era with a newer one", Batch{Era: 2, Since: 3, Through: 4, Items: []Item{configuration(4, 7)}}, 7},
		{"snapshot of an earlier era with a newer one", Batch{Era: 0, Snapshot: true, Through: 4, Items: []Item{configuration(4, 7)}}, 7},
		{"snapshot of an earlier era with an older one", Batch{Era: 0, Snapshot: true, Through: 4, Items: []Item{configuration(4, 1)}}, 5},
		{"later revision of an older one", Batch{Era: 1, Since: 9, Through: 10, Items: []Item{configuration(10, 1)}}, 5},
		{"older revision of a newer one", Batch{Era: 1, Snapshot: true, Through: 8, Items: []Item{configuration(8, 7)}}, 7},
		{"deletion", Batch{Era: 1, Since: 9, Through: 10, Items: []Item{{Key: KeyConfiguration, Revision: 10}}}, 5},
		{"snapshot without any", Batch{Era: 1, Snapshot: true, Through: 10}, 5},
	} {
		var l Catalog
		l.Apply(at(0), Batch{Era: 1, Snapshot: true, Through: 9, Items: []Item{configuration(9, 5)}})
		change := l.Apply(at(1), c.batch)
		if v := l.ConfigurationVersion(); v != c.want || (len(change.Items) > 0) != (c.want != 5) {
			t.Errorf("%s: version %d, %d changes; want version %d", c.name, v, len(change.Items), c.want)
		}
	}
}

// simulatedStore is a store that can be restored from each of its earlier states.
type simulatedStore struct {
	era     Era
	history []Item
	version uint64
}

func (s *simulatedStore) put(i Item) {
	i.Revision = Revision(len(s.history) + 1)
	s.history = append(s.history, i)
}

func (s *simulatedStore) read(c *Catalog) Batch {
	through := Revision(len(s.history))
	if p := c.Position(); p.Era == s.era && p.Revision > 0 {
		return Batch{Era: s.era, Since: p.Revision, Through: through, Items: s.history[p.Revision:]}
	}
	b := Batch{Era: s.era, Snapshot: true, Through: through}
	for _, i := range newest(s.history) {
		if !i.Deleted() {
			b.Items = append(b.Items, i)
		}
	}
	return b
}

// Catalogs that read a store which is restored from copies, and exchange changes in
// any order, converge to its content and never revert the configuration.
func TestCatalogsConvergeAcrossRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := simulatedStore{era: 1}
		catalogs := make([]Catalog, 3)
		apply := func(step int, c *Catalog, b Batch) {
			before := c.ConfigurationVersion()
			c.Apply(at(float64(step)), b)
			if after := c.ConfigurationVersion(); after < before {
				t.Fatalf("step %d: configuration %d replaced %d", step, after, before)
			}
		}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			c := &catalogs[rapid.IntRange(0, len(catalogs)-1).Draw(t, "catalog")]
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				i := Item{Key: PrefixUpstream + rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")}
				if rapid.Bool().Draw(t, "alive") {
					i.Upstream = &Upstream{Number: uint64(step)}
				}
				s.put(i)
			case 1:
				s.version += rapid.Uint64Range(1, 3).Draw(t, "rise")
				s.put(configuration(0, s.version))
			case 2:
				if len(s.history) > 0 {
					s.history = slices.Clone(s.history[:rapid.IntRange(1, len(s.history)).Draw(t, "copy")])
					s.era++
				}
			case 3:
				apply(step, c, s.read(c))
			case 4:
				other := &catalogs[rapid.IntRange(0, len(catalogs)-1).Draw(t, "other")]
				since := rapid.SampledFrom([]Position{c.Position(), {}}).Draw(t, "since")
				if other != c {
					apply(step, c, other.ChangesSince(since))
				}
			}
		}
		s.put(configuration(0, s.version+1))
		for n := range catalogs {
			c := &catalogs[n]
			apply(99, c, s.read(c))
			for _, i := range newest(s.history) {
				got, ok := c.Get(i.Key)
				if !ok && i.Deleted() {
					continue
				}
				if !got.sameValue(&i) {
					t.Fatalf("catalog %d has %+v, the store %+v", n, got, i)
				}
			}
			for key, e := range c.items {
				if _, ok := newest(s.history)[key]; !ok && !e.item.Deleted() {
					t.Fatalf("catalog %d has %s, the store does not", n, key)
				}
			}
		}
	})
}
