package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/olekukonko/tablewriter"

	"github.com/chervilhaven/chervilhaven/internal/fake/deployment"
)

// Report is the outcome of a run, counted by its callers and upstreams.
type Report struct {
	Deployment string  `json:"deployment"`
	Event      Event   `json:"event"`
	Seed       uint64  `json:"seed"`
	Seconds    float64 `json:"seconds"`
	Instances  int     `json:"instances"`
	Upstreams  int     `json:"upstreams"`

	Opened      int `json:"opened"`
	Established int `json:"established"`
	Finished    int `json:"finished"`
	Broken      int `json:"broken"`
	Refused     int `json:"refused"`
	Unopened    int `json:"unopened"`
	GivenUp     int `json:"given-up"`
	Unsettled   int `json:"unsettled"`
	Retried     int `json:"retried"`
	Abandoned   int `json:"abandoned"`

	Untrue     int `json:"untrue-refusals"`
	Crossed    int `json:"crossed"`
	Damaged    int `json:"damaged"`
	Misrouted  int `json:"misrouted"`
	Duplicated int `json:"duplicated"`
	OverLimit  int `json:"over-limit"`
	// Unannounced counts admissions over the limit of an upstream that turned
	// cold too short a time ago for anybody to know.
	Unannounced int `json:"over-limit-unannounced"`
	// Late counts new flows at an upstream that has been leaving for seconds.
	Late int `json:"late-work"`
	// Out counts packets to a data centre that has been out for seconds.
	Out       int     `json:"packets-while-out"`
	Imbalance float64 `json:"imbalance"`
	Peak      int     `json:"peak-open"`
	Reads     int     `json:"platform-reads"`

	Classes []Class  `json:"classes"`
	Broke   []string `json:"broken-promises"`
}

// Class is the outcome of one declared class.
type Class struct {
	Name         string  `json:"name"`
	AnswerWithin string  `json:"answer-within,omitempty"`
	FinishWithin string  `json:"finish-within,omitempty"`
	Requests     int     `json:"requests"`
	Answered     int     `json:"answered"`
	Expired      int     `json:"expired"`
	Target       float64 `json:"target"`
	Attained     float64 `json:"attained"`

	inTarget int
}

// PromiseError tells which promises a run has broken.
type PromiseError struct{ Broke []string }

// Error returns the broken promises.
func (e *PromiseError) Error() string { return fmt.Sprintf("broken promises: %v", e.Broke) }

// Err returns a PromiseError if the run has broken a promise.
func (r *Report) Err() error {
	if len(r.Broke) == 0 {
		return nil
	}
	return &PromiseError{Broke: r.Broke}
}

func newReport(c Config, result deployment.Result, spent time.Duration) *Report {
	caller, upstreams := result.Caller, result.Upstreams
	r := &Report{
		Deployment: c.Deployment, Event: c.Event, Seed: c.Seed, Seconds: round(spent.Seconds()),
		Opened: caller.Opened, Established: caller.Established, Finished: caller.Finished, Broken: caller.Broken,
		Refused: caller.Refused, Unopened: caller.Unopened, GivenUp: caller.GivenUp, Unsettled: result.Open,
		Retried: caller.Retried, Abandoned: caller.Abandoned,
		Untrue: caller.Untrue, Crossed: caller.Crossed, Damaged: caller.Damaged,
		Misrouted: upstreams.Misrouted, Duplicated: upstreams.Duplicated, OverLimit: upstreams.OverLimit,
		Unannounced: upstreams.Unannounced, Late: upstreams.Late, Out: upstreams.Out,
		Imbalance: round(result.Imbalance), Peak: upstreams.Peak, Reads: result.PlatformReads,
		Broke: []string{},
	}
	r.addClasses(result)
	r.judge()
	return r
}

// addClasses joins the flows that belong to one declared class.
func (r *Report) addClasses(result deployment.Result) {
	places := make(map[string]int)
	for _, flows := range result.Caller.Classes {
		place, ok := places[flows.Name]
		if !ok {
			place = len(r.Classes)
			places[flows.Name] = place
			r.Classes = append(r.Classes, Class{
				Name: flows.Name, Target: flows.Target.Share,
				AnswerWithin: bound(flows.Target.AnswerWithin), FinishWithin: bound(flows.Target.FinishWithin),
			})
		}
		class := &r.Classes[place]
		class.Requests += flows.Requests
		class.Answered += flows.Answered
		class.Expired += flows.Expired
		class.inTarget += flows.MetTarget
	}
	for i := range r.Classes {
		r.Classes[i].Attained = 1
		if r.Classes[i].Requests > 0 {
			r.Classes[i].Attained = round(float64(r.Classes[i].inTarget) / float64(r.Classes[i].Requests))
		}
	}
}

func bound(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

// round keeps four digits after the point.
func round(f float64) float64 {
	const scale = 1e4
	return math.Round(f*scale) / scale
}

// judge lists the broken promises.
func (r *Report) judge() {
	for _, promise := range []struct {
		name  string
		count int
	}{
		{"established flows broken", r.Broken},
		{"flows without an end", r.Unsettled},
		{"untrue refusals", r.Untrue},
		{"crossed answers", r.Crossed},
		{"damaged answers", r.Damaged},
		{"misrouted packets", r.Misrouted},
		{"requests run twice", r.Duplicated},
		{"flows over the limit of an upstream", r.OverLimit},
		{"new flows at leaving upstreams", r.Late},
		{"packets to data centres that are out", r.Out},
	} {
		if promise.count > 0 {
			r.Broke = append(r.Broke, fmt.Sprintf("%s: %d", promise.name, promise.count))
		}
	}
	for _, c := range r.Classes {
		if c.Attained < c.Target {
			r.Broke = append(r.Broke, fmt.Sprintf("class %s: %.4f of %.4f attained", c.Name, c.Attained, c.Target))
		}
	}
}

// WriteJSON writes the report as one object.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(r), "write report")
}

// WriteTable writes the report for people.
func (r *Report) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "%s, %d instances, %d upstreams, event %s, seed %d, %.1f s\n\n",
		r.Deployment, r.Instances, r.Upstreams, r.Event, r.Seed, r.Seconds)
	err := writeTable(w, []string{"flows", "number", "promises", "breaches"}, [][]any{
		{"opened", r.Opened, "broken", r.Broken},
		{"established", r.Established, "misrouted", r.Misrouted},
		{"finished", r.Finished, "duplicated", r.Duplicated},
		{"refused", r.Refused, "over limit", r.OverLimit},
		{"unopened", r.Unopened, "untrue refusals", r.Untrue},
		{"given up", r.GivenUp, "crossed answers", r.Crossed},
		{"retried", r.Retried, "damaged answers", r.Damaged},
		{"unsettled", r.Unsettled, "late work", r.Late},
		{"imbalance", r.Imbalance, "packets while out", r.Out},
	})
	var rows [][]any
	for _, c := range r.Classes {
		rows = append(rows, []any{c.Name, c.AnswerWithin + c.FinishWithin, c.Requests, c.Answered, c.Target, c.Attained})
	}
	fmt.Fprintln(w)
	err = errors.CombineErrors(err, writeTable(w,
		[]string{"class", "bound", "requests", "answered", "target", "attained"}, rows))
	for _, promise := range r.Broke {
		fmt.Fprintln(w, "BROKEN PROMISE:", promise)
	}
	return err
}

func writeTable(w io.Writer, header []string, rows [][]any) error {
	table := tablewriter.NewTable(w)
	table.Header(header)
	err := errors.Wrap(table.Bulk(rows), "write table")
	return errors.CombineErrors(err, errors.Wrap(table.Render(), "write table"))
}
