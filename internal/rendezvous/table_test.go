package rendezvous_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/chervilhaven/chervilhaven/internal/rendezvous"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

const (
	flows     = 20000
	upstreams = 14
)

func newTable(groups int) *rendezvous.Table[string] {
	var names []string
	var candidates []rendezvous.Candidate
	for i := range upstreams {
		name := fmt.Sprintf("upstream-%d", i)
		names = append(names, name)
		candidates = append(candidates, rendezvous.Candidate{ID: view.IDFromName(name), Group: i % groups})
	}
	return rendezvous.NewTable(names, candidates)
}

func randomFlows(seed uint64) []flow.ID {
	r := rand.New(rand.NewPCG(seed, 0))
	ids := make([]flow.ID, flows)
	for i := range ids {
		ids[i] = flow.ID{High: r.Uint64(), Low: r.Uint64()}
	}
	return ids
}

func names(t *rendezvous.Table[string], id flow.ID) []string {
	l := t.List(id)
	var list []string
	for place := range l.Len() {
		list = append(list, t.Item(l.At(place)))
	}
	return list
}

func TestListsAreIndependentOfItemOrder(t *testing.T) {
	forward := newTable(4)
	items := slices.Clone(forward.Items())
	candidates := slices.Clone(forward.Candidates())
	slices.Reverse(items)
	slices.Reverse(candidates)
	backward := rendezvous.NewTable(items, candidates)
	for _, id := range randomFlows(1) {
		if diff := cmp.Diff(names(forward, id), names(backward, id)); diff != "" {
			t.Fatalf("lists differ (-forward +backward):\n%s", diff)
		}
	}
}

func TestListsSpanTwoGroups(t *testing.T) {
	// Nearly all candidates are in group 0, so most lists need a replacement.
	table := newTable(upstreams)
	candidates := slices.Clone(table.Candidates())
	for i := range candidates {
		candidates[i].Group = min(i/13, 1)
	}
	table = rendezvous.NewTable(table.Items(), candidates)
	for _, id := range randomFlows(2) {
		seen := map[int]bool{}
		l := table.List(id)
		for place := range l.Len() {
			seen[candidates[l.At(place)].Group] = true
		}
		if len(seen) < 2 {
			t.Fatalf("list %v spans %d groups, want 2", names(table, id), len(seen))
		}
	}
}

func TestRemovalMovesOnlyFlowsOfRemovedItem(t *testing.T) {
	before := newTable(4)
	after := rendezvous.NewTable(before.Items()[:upstreams-1], before.Candidates()[:upstreams-1])
	removed := before.Items()[upstreams-1]
	for _, id := range randomFlows(3) {
		first := names(before, id)[0]
		if first == removed {
			continue
		}
		if got := names(after, id)[0]; got != first {
			t.Fatalf("first choice changed from %s to %s although %[1]s was not removed", first, got)
		}
	}
}

func TestFirstChoicesAreBalanced(t *testing.T) {
	table := newTable(4)
	counts := map[string]int{}
	for _, id := range randomFlows(4) {
		counts[names(table, id)[0]]++
	}
	mean := float64(flows) / upstreams
	for name, count := range counts {
		if ratio := float64(count) / mean; ratio > 1.15 || ratio < 0.85 {
			t.Errorf("%s is first choice %.2f times as often as the mean, want 0.85 to 1.15", name, ratio)
		}
	}
}

func TestEmptyTableHasEmptyLists(t *testing.T) {
	var table rendezvous.Table[string]
	if got := table.List(flow.ID{High: 1}).Len(); got != 0 {
		t.Fatalf("list of an empty table has %d items, want 0", got)
	}
}
