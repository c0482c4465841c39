package measure_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/chervilhaven/chervilhaven/internal/measure"
)

const seed = 1

// runRow runs one row with one policy. To keep the run short, the window is 20 s
// and the flows arrive at a lower total rate than in the measurements.
func runRow(t *testing.T, row, policy string) *measure.Result {
	t.Helper()
	for _, r := range measure.Rows() {
		for _, c := range measure.Candidates() {
			if r.Name == row && c.Name == policy {
				r.Window = 20 * time.Second
				small := measure.Ocre()
				small.Queries, small.Sessions, small.Postings, small.Documents = 120, 10, 30, 3
				return measure.NewWorld(small, c, seed).Run(r)
			}
		}
	}
	t.Fatalf("no row %q or policy %q", row, policy)
	return nil
}

func TestSameSeedGivesSameResult(t *testing.T) {
	first, second := runRow(t, "uneven views, 5 s", "table"), runRow(t, "uneven views, 5 s", "table")
	if d := cmp.Diff(first.Seconds, second.Seconds); d != "" {
		t.Errorf("runs differ (-first +second):\n%s", d)
	}
	if d := cmp.Diff(first.Drops, second.Drops); d != "" {
		t.Errorf("drops differ (-first +second):\n%s", d)
	}
}

func TestBaselinesViolateBounds(t *testing.T) {
	if r := runRow(t, "steady", "stateless"); r.Broken+r.OverLimit+r.Unopened != 0 {
		t.Errorf("steady: broken %d, over limit %d, unopened %d, want none", r.Broken, r.OverLimit, r.Unopened)
	}
	stateless, table := runRow(t, "drains", "stateless"), runRow(t, "drains", "table")
	if table.Broken == 0 || stateless.Broken <= table.Broken {
		t.Errorf("drains: %d broken flows with the stateless policy and %d with the table, want some with the table and more with the stateless policy", stateless.Broken, table.Broken)
	}
	if r := runRow(t, "upstream joins", "table"); r.OverLimit == 0 {
		t.Error("upstream joins: no flow opened beyond the limit of a cold upstream, want some")
	}
	if r := runRow(t, "data centre out and back", "table"); r.GivenUp == 0 {
		t.Error("data centre out: no flow given up, want some")
	}
}
