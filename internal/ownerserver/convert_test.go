package ownerserver

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/view"
)

func TestValuesRoundTripThroughProto(t *testing.T) {
	want := []view.Value{
		{Key: view.KeyMoves, Version: view.Version{Generation: 1, Revision: 2}, Content: []byte("out: []")},
		{Key: "upstreams/a", Version: view.Version{Generation: 2}, Deleted: true},
		{
			Key: "upstreams/b", Version: view.Version{Generation: 1, Revision: 4}, Content: []byte("part"),
			Patch: &view.Patch{Base: view.Version{Generation: 1, Revision: 3}, Prefix: 5, Suffix: 6, Hash: 7},
		},
	}
	if d := cmp.Diff(want, valuesFromProto(valuesToProto(want, maxFetchBytes))); d != "" {
		t.Errorf("values (-want +got):\n%s", d)
	}
}

// The generator sets every field, so the test fails if a new field is not
// converted.
func TestHandoversRoundTripThroughProto(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.Make[balancer.Handover]().Draw(t, "handover")
		want.Open, want.Limit = int(uint32(want.Open)), int(uint32(want.Limit))
		got := handoverFromProto(handoverToProto(1, &want))
		if d := cmp.Diff(want, got, cmpopts.EquateEmpty()); d != "" {
			t.Fatalf("handover (-want +got):\n%s", d)
		}
	})
}
