package flowmap_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/chervilhaven/chervilhaven/internal/flowmap"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

func TestMapBehavesLikeABuiltInMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m flowmap.Map[int]
		model := map[flow.ID]int{}
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			id := flow.ID{High: rapid.Uint64Range(1, 400).Draw(t, "flow")}
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				value := rapid.Int().Draw(t, "value")
				*m.GetOrAdd(id) = value
				model[id] = value
			case 2:
				_, want := model[id]
				if got := m.Delete(id); got != want {
					t.Fatalf("Delete returned %v, want %v", got, want)
				}
				delete(model, id)
			case 3:
				m.Sweep(rapid.IntRange(0, 50).Draw(t, "count"), func(id flow.ID, v *int) bool {
					if *v%2 == 0 {
						delete(model, id)
					}
					return *v%2 != 0
				})
			}
		}
		got := map[flow.ID]int{}
		m.Each(func(id flow.ID, v *int) bool {
			got[id] = *v
			return true
		})
		if diff := cmp.Diff(model, got); diff != "" {
			t.Fatalf("content differs (-want +got):\n%s", diff)
		}
		if m.Len() != len(model) {
			t.Fatalf("Len is %d, want %d", m.Len(), len(model))
		}
	})
}

func TestSweepVisitsEveryEntryOnce(t *testing.T) {
	var m flowmap.Map[int]
	for i := range 1000 {
		m.GetOrAdd(flow.ID{Low: uint64(i) + 1})
	}
	for range 10 {
		m.Sweep(100, func(_ flow.ID, visits *int) bool {
			*visits++
			return true
		})
	}
	m.Each(func(id flow.ID, visits *int) bool {
		if *visits != 1 {
			t.Errorf("flow %d was visited %d times, want once", id.Low, *visits)
		}
		return true
	})
}
