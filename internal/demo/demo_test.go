package demo

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/chervilhaven/chervilhaven/examples"
)

// A short run in which an upstream drains must not violate any guarantee and must
// account for every opened flow.
func TestRunKeepsGuarantees(t *testing.T) {
	const flows = 200
	calls := 0
	report, err := Run(t.Context(), Config{
		Deployment: examples.Vatulele, Duration: 2 * time.Second, Event: EventDrain,
		Progress: func(_, _ time.Duration) { calls++ },
	})
	if err != nil {
		t.Fatal(err)
	}
	type violations struct{ Broken, Unopened, Unsettled, UntrueRefusals, CrossedSegments, DamagedResponses, Misrouted, Duplicated, OverLimit int }
	got := violations{
		report.Broken, report.Unopened, report.Unsettled, report.UntrueRefusals, report.CrossedSegments, report.DamagedResponses,
		report.Misrouted, report.Duplicated, report.OverLimit,
	}
	if diff := cmp.Diff(violations{}, got); diff != "" {
		t.Error(diff)
	}
	if report.Opened < flows || report.Finished+report.Refused != report.Opened || calls == 0 {
		t.Errorf("too few flows, unaccounted flows or no progress: %+v", report)
	}
	if report.Instances != 8 || report.Upstreams != 18 {
		t.Errorf("got %d instances and %d upstreams, want 8 and 18", report.Instances, report.Upstreams)
	}
}
