package catalog

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestSnapshotOfLaterEraReplacesHeldItems(t *testing.T) {
	var c Catalog
	c.Apply(at(0), Batch{Era: 1, Snapshot: true, Through: 9, Items: []Item{upstream("a", 2, 1), upstream("b", 3, 2), upstream("c", 9, 3)}})
	change := c.Apply(at(1), Batch{Era: 2, Snapshot: true, Through: 6, Items: []Item{upstream("a", 2, 1), upstream("b", 5, 7), upstream("d", 6, 4)}})
	if d := cmp.Diff([]string{"upstream/b@5", "upstream/d@6", "upstream/c@6"}, keysOf(change.Items)); d != "" || !change.Connected {
		t.Errorf("connected %t, changed keys (-want +got):\n%s", change.Connected, d)
	}
	if p := c.Position(); p != (Position{Era: 2, Revision: 6}) {
		t.Errorf("position %+v, want revision 6 of era 2", p)
	}
	change = c.Apply(at(2), Batch{Era: 2, Since: 6, Through: 7, Items: []Item{upstream("c", 7, 5)}})
	if len(change.Items) != 1 || !change.Connected {
		t.Errorf("%d changes at a revision that was given out before, connected %t; want 1, true", len(change.Items), change.Connected)
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
