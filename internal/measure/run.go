package measure

import (
	"cmp"
	"fmt"
	"io"
	"sync"
)

// Selection selects the runs and says how to execute them. An empty name
// matches all.
type Selection struct {
	Row, Deployment, Policy string
	// Seed is the seed of the first trace of flows, Seeds the number of traces.
	// Each trace uses the next seed.
	Seed  uint64
	Seeds int
	// Workers is the number of concurrent runs.
	Workers int
}

// Run is one row of the table for one deployment and one policy. Result is nil
// until the run has been executed.
type Run struct {
	Deployment Deployment
	Row        Row
	Candidate  Candidate
	Result     *Result
}

// Deployments returns the deployments that are simulated.
func Deployments() []Deployment { return []Deployment{Ocre(), Vatulele()} }

// runs returns the selected runs without executing them.
func (s Selection) runs(rows []Row) []*Run {
	var runs []*Run
	for _, d := range Deployments() {
		for _, r := range rows {
			for _, c := range Candidates() {
				if matches(s.Deployment, d.Name) && matches(s.Row, r.Name) && matches(s.Policy, c.Name) {
					runs = append(runs, &Run{Deployment: d, Row: r, Candidate: c})
				}
			}
		}
	}
	return runs
}

func matches(wanted, name string) bool { return wanted == "" || wanted == name }

// runAll executes the runs, several at a time, and waits for them.
func (s Selection) runAll(runs []*Run) {
	pending := make(chan *Run)
	var wait sync.WaitGroup
	for range max(s.Workers, 1) {
		wait.Go(func() {
			for r := range pending {
				r.runSeeds(s)
			}
		})
	}
	// Long runs start first, so that none of them runs alone at the end.
	for _, long := range []bool{true, false} {
		for _, r := range runs {
			if r.Row.Long == long {
				pending <- r
			}
		}
	}
	close(pending)
	wait.Wait()
}

// runSeeds executes the row with each seed and merges the results. Long rows
// run with the first seed only.
func (r *Run) runSeeds(s Selection) {
	seeds := max(s.Seeds, 1)
	if r.Row.Long {
		seeds = 1
	}
	for n := range uint64(seeds) {
		result := NewWorld(r.Deployment, r.Candidate, s.Seed+n).Run(r.Row)
		if r.Result == nil {
			r.Result = result
			continue
		}
		r.Result.add(result)
	}
}

// PrintRuns executes the selected runs and writes their table and the violated
// bounds.
func PrintRuns(w io.Writer, s Selection) error {
	runs := s.runs(append(Rows(), restoredRow(), lossyRow()))
	if len(runs) == 0 {
		return &selectionError{selection: s}
	}
	s.runAll(runs)
	printTable(w, runs)
	printViolations(w, runs)
	return nil
}

// TraceFlow writes the events of the flow with the number. If the number is
// zero, it traces the first flow that broke, opened at two upstreams or was
// shed.
func TraceFlow(w io.Writer, s Selection, number uint64) error {
	runs := s.runs(append(Rows(), restoredRow(), lossyRow()))
	if len(runs) != 1 {
		return &selectionError{selection: s}
	}
	r := runs[0]
	if number == 0 {
		first := NewWorld(r.Deployment, r.Candidate, s.Seed).Run(r.Row)
		number = cmp.Or(first.FirstBroken, first.FirstOpenedTwice, first.FirstOverLimit)
	}
	if number == 0 {
		fmt.Fprintln(w, "no flow broke or opened beyond a limit")
		return nil
	}
	fmt.Fprintf(w, "flow %d\n", number)
	world := NewWorld(r.Deployment, r.Candidate, s.Seed)
	world.traced, world.log = number, w
	world.Run(r.Row)
	return nil
}

// selectionError reports that a selection matches no run, or more than one
// where only one can be traced.
type selectionError struct{ selection Selection }

// Error implements error.
func (e *selectionError) Error() string {
	return fmt.Sprintf("selection matches no run, or more than one to trace: row %q, deployment %q, policy %q",
		e.selection.Row, e.selection.Deployment, e.selection.Policy)
}
