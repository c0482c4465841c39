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

// Report is the result of a run, as counted by callers and upstreams.
type Report struct {
	Deployment string  `json:"deployment"`
	Event      Event   `json:"event"`
	Seed       uint64  `json:"seed"`
	Seconds    float64 `json:"seconds"`
	Instances  int     `json:"instances"`
	Upstreams  int     `json:"upstreams"`

	// Opened is the number of flows started, retries included.
	Opened int `json:"opened"`
	// Established is the number of flows whose handshake completed.
	Established int `json:"established"`
	// Finished is the number of flows that received all responses.
	Finished int `json:"finished"`
	// Broken is the number of established flows that ended before all
	// responses arrived although the upstream's data centre was in service.
	Broken int `json:"broken"`
	// Refused is the number of flows whose SYN was answered with a reset.
	Refused int `json:"refused"`
	// Unopened is the number of flows whose SYN was not answered in time.
	Unopened int `json:"unopened"`
	// GivenUp is the number of established flows that ended before all
	// responses arrived, after the upstream's data centre was taken out of service.
	GivenUp int `json:"given-up"`
	// Unsettled is the number of flows that were still open or waiting
	// for a retry at the end.
	Unsettled int `json:"unsettled"`
	// Retried is the number of flows that repeat a failed one.
	Retried int `json:"retried"`
	// Abandoned is the number of tasks given up without a further retry.
	Abandoned int `json:"abandoned"`

	// UntrueRefusals is the number of refused flows with a request that had run
	// although the caller never sent it.
	UntrueRefusals int `json:"untrue-refusals"`
	// CrossedSegments is the number of segments from an upstream other than the
	// flow's, or with data that no request asked for.
	CrossedSegments int `json:"crossed"`
	// DamagedResponses is the number of responses with wrong content.
	DamagedResponses int `json:"damaged"`
	// Misrouted is the number of packets at an upstream of another service
	// or address.
	Misrouted int `json:"misrouted"`
	// Duplicated is the number of repeated runs of run-once requests.
	Duplicated int `json:"duplicated"`
	// OverLimit is the number of flows admitted above the limit of an upstream.
	OverLimit int `json:"over-limit"`
	// OverLimitUnannounced is the number of flows admitted above the limit of an upstream
	// that turned cold so recently that no instance could know about it.
	OverLimitUnannounced int `json:"over-limit-unannounced"`
	// LateFlows is the number of new flows at an upstream that started to leave seconds
	// before.
	LateFlows int `json:"late-work"`
	// PacketsWhileOut is the number of packets to a data centre that was taken out of service
	// seconds before.
	PacketsWhileOut int `json:"packets-while-out"`
	// Imbalance is the largest ratio, over all services, of the maximum to the mean
	// of the time-averaged open flows of upstreams.
	Imbalance float64 `json:"imbalance"`
	// PeakOpen is the largest number of flows open at one upstream.
	PeakOpen int `json:"peak-open"`
	// Reads is the number of reads from the platform. A watch counts as one read.
	Reads int `json:"platform-reads"`

	Classes    []Class  `json:"classes"`
	Violations []string `json:"broken-promises"`
}

// Class is the result for one declared class. Target is the required and Attained the
// measured fraction of requests within the bound.
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

// ViolationError lists the guarantees that a run violated.
type ViolationError struct{ Violations []string }

// Error formats the list of violated guarantees.
func (e *ViolationError) Error() string { return fmt.Sprintf("broken promises: %v", e.Violations) }

// Err returns a ViolationError if the run violated a guarantee.
func (r *Report) Err() error {
	if len(r.Violations) == 0 {
		return nil
	}
	return &ViolationError{Violations: r.Violations}
}

func newReport(c Config, result deployment.Result, elapsed time.Duration) *Report {
	caller, upstreams := result.Caller, result.Upstreams
	r := &Report{
		Deployment: c.Deployment, Event: c.Event, Seed: c.Seed, Seconds: round(elapsed.Seconds()),
		Opened: caller.Opened, Established: caller.Established, Finished: caller.Finished, Broken: caller.Broken,
		Refused: caller.Refused, Unopened: caller.Unopened, GivenUp: caller.GivenUp, Unsettled: result.Open,
		Retried: caller.Retried, Abandoned: caller.Abandoned,
		UntrueRefusals: caller.UntrueRefusals, CrossedSegments: caller.CrossedSegments, DamagedResponses: caller.DamagedResponses,
		Misrouted: upstreams.Misrouted, Duplicated: upstreams.Duplicated, OverLimit: upstreams.OverLimit,
		OverLimitUnannounced: upstreams.OverLimitUnannounced, LateFlows: upstreams.LateFlows, PacketsWhileOut: upstreams.PacketsWhileOut,
		Imbalance: round(result.Imbalance), PeakOpen: upstreams.PeakOpen, Reads: result.PlatformReads,
		Violations: []string{},
	}
	r.addClasses(result)
	r.listViolations()
	return r
}

// addClasses adds up the results by declared class, since several kinds of flow may
// belong to one class.
func (r *Report) addClasses(result deployment.Result) {
	indexes := make(map[string]int)
	for _, flows := range result.Caller.Classes {
		index, ok := indexes[flows.Name]
		if !ok {
			index = len(r.Classes)
			indexes[flows.Name] = index
			r.Classes = append(r.Classes, Class{
				Name: flows.Name, Target: flows.Target.Share,
				AnswerWithin: formatBound(flows.Target.AnswerWithin), FinishWithin: formatBound(flows.Target.FinishWithin),
			})
		}
		class := &r.Classes[index]
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

// formatBound formats a latency bound. The result is empty if the class has none.
func formatBound(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

// round rounds to four decimal places.
func round(f float64) float64 {
	const scale = 1e4
	return math.Round(f*scale) / scale
}

// listViolations lists the violated guarantees in r.Violations.
func (r *Report) listViolations() {
	for _, guarantee := range []struct {
		name  string
		count int
	}{
		{"established flows broken", r.Broken},
		{"flows without an end", r.Unsettled},
		{"untrue refusals", r.UntrueRefusals},
		{"crossed answers", r.CrossedSegments},
		{"damaged answers", r.DamagedResponses},
		{"misrouted packets", r.Misrouted},
		{"requests run twice", r.Duplicated},
		{"flows over the limit of an upstream", r.OverLimit},
		{"new flows at leaving upstreams", r.LateFlows},
		{"packets to data centres that are out", r.PacketsWhileOut},
	} {
		if guarantee.count > 0 {
			r.Violations = append(r.Violations, fmt.Sprintf("%s: %d", guarantee.name, guarantee.count))
		}
	}
	for _, c := range r.Classes {
		if c.Attained < c.Target {
			r.Violations = append(r.Violations, fmt.Sprintf("class %s: %.4f of %.4f attained", c.Name, c.Attained, c.Target))
		}
	}
}

// WriteJSON writes the report as one indented JSON object.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(r), "write report")
}

// WriteTable writes the report as human-readable tables.
func (r *Report) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "%s, %d instances, %d upstreams, event %s, seed %d, %.1f s\n\n",
		r.Deployment, r.Instances, r.Upstreams, r.Event, r.Seed, r.Seconds)
	err := writeTable(w, []string{"flows", "number", "promises", "breaches"}, [][]any{
		{"opened", r.Opened, "broken", r.Broken},
		{"established", r.Established, "misrouted", r.Misrouted},
		{"finished", r.Finished, "duplicated", r.Duplicated},
		{"refused", r.Refused, "over limit", r.OverLimit},
		{"unopened", r.Unopened, "untrue refusals", r.UntrueRefusals},
		{"given up", r.GivenUp, "crossed answers", r.CrossedSegments},
		{"retried", r.Retried, "damaged answers", r.DamagedResponses},
		{"unsettled", r.Unsettled, "late work", r.LateFlows},
		{"imbalance", r.Imbalance, "packets while out", r.PacketsWhileOut},
	})
	var rows [][]any
	for _, c := range r.Classes {
		rows = append(rows, []any{c.Name, c.AnswerWithin + c.FinishWithin, c.Requests, c.Answered, c.Target, c.Attained})
	}
	fmt.Fprintln(w)
	err = errors.CombineErrors(err, writeTable(w,
		[]string{"class", "bound", "requests", "answered", "target", "attained"}, rows))
	for _, violation := range r.Violations {
		fmt.Fprintln(w, "BROKEN PROMISE:", violation)
	}
	return err
}

func writeTable(w io.Writer, header []string, rows [][]any) error {
	table := tablewriter.NewTable(w)
	table.Header(header)
	err := errors.Wrap(table.Bulk(rows), "write table")
	return errors.CombineErrors(err, errors.Wrap(table.Render(), "write table"))
}
