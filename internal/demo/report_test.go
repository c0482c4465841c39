package demo

import (
	"bytes"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"

	"github.com/chervilhaven/chervilhaven/examples"
	"github.com/chervilhaven/chervilhaven/internal/fake/caller"
	"github.com/chervilhaven/chervilhaven/internal/fake/deployment"
	"github.com/chervilhaven/chervilhaven/internal/fake/upstream"
	"github.com/chervilhaven/chervilhaven/pkg/declaration"
)

// resultViolatingAllGuarantees returns a result that violates every guarantee.
func resultViolatingAllGuarantees() deployment.Result {
	query := declaration.Target{AnswerWithin: 300 * time.Millisecond, Share: 0.99}
	sheet := declaration.Target{FinishWithin: time.Minute, Share: 0.95, Whole: true}
	return deployment.Result{
		Caller: caller.Result{
			Opened: 1000, Established: 900, Finished: 880, Broken: 1, Refused: 50, Unopened: 50, GivenUp: 17,
			Retried: 40, Abandoned: 3, UntrueRefusals: 2, CrossedSegments: 3, DamagedResponses: 4,
			Classes: []caller.ClassResult{
				{Name: "lot-grades", Target: query, Requests: 600, Answered: 590, MetTarget: 580},
				{Name: "lot-grades", Target: query, Requests: 400, Answered: 400, MetTarget: 400},
				{Name: "certificates", Target: sheet, Requests: 100, Answered: 97, Expired: 1, MetTarget: 96},
			},
		},
		Upstreams: upstream.Counts{
			Misrouted: 5, Duplicated: 6, OverLimit: 7, OverLimitUnannounced: 8, LateFlows: 9, PacketsWhileOut: 10, PeakOpen: 44,
		},
		Imbalance: 1.23456, PlatformReads: 77, Open: 2,
	}
}

func TestReportGolden(t *testing.T) {
	r := newReport(Config{Deployment: examples.Ocre, Event: EventDrain, Seed: 3}, resultViolatingAllGuarantees(), 12345*time.Millisecond)
	r.Instances, r.Upstreams = 8, 18
	for name, write := range map[string]func(*bytes.Buffer) error{
		"report-json":  func(b *bytes.Buffer) error { return r.WriteJSON(b) },
		"report-table": func(b *bytes.Buffer) error { return r.WriteTable(b) },
	} {
		var b bytes.Buffer
		if err := write(&b); err != nil {
			t.Fatal(err)
		}
		goldie.New(t).Assert(t, name, b.Bytes())
	}
	var broken *ViolationError
	if err := r.Err(); !errors.As(err, &broken) || len(broken.Violations) != 11 {
		t.Errorf("got error %v, want 11 violated guarantees", err)
	}
}

// Admissions that no instance could know to be over the limit must not count as a
// violation.
func TestReportWithoutViolations(t *testing.T) {
	result := resultViolatingAllGuarantees()
	result.Open, result.Upstreams = 0, upstream.Counts{OverLimitUnannounced: 1}
	result.Caller.Broken, result.Caller.UntrueRefusals, result.Caller.CrossedSegments, result.Caller.DamagedResponses = 0, 0, 0, 0
	result.Caller.Classes[0].MetTarget = 599
	if err := newReport(Config{}, result, 0).Err(); err != nil {
		t.Error(err)
	}
}

func TestParseEvent(t *testing.T) {
	for _, want := range Events() {
		if got, err := ParseEvent(string(want)); got != want || err != nil {
			t.Errorf("got event %q, error %v", got, err)
		}
	}
	_, err := ParseEvent("flood")
	want := `no event "flood", expected one of none, drain, cold, instance-stop, instance-kill, data-centre-out`
	if diff := cmp.Diff(want, err.Error()); diff != "" {
		t.Error(diff)
	}
}

func TestProfilesCoverEveryClass(t *testing.T) {
	for _, name := range []string{examples.Ocre, examples.Vatulele} {
		d, err := examples.Load(name)
		if err != nil {
			t.Fatal(err)
		}
		covered := make(map[string]bool)
		for _, flows := range profiles(d.Declarations) {
			covered[flows.Name] = flows.Rate > 0
		}
		for _, c := range d.Declarations.Classes {
			if !covered[c.Name] {
				t.Errorf("%s: no flows for class %s", name, c.Name)
			}
		}
	}
}
