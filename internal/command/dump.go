package command

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/ownerrouter"
	"github.com/chervilhaven/chervilhaven/internal/peer/peerv1"
)

const dumpUsage = `dump --address IP:PORT [--json]
	Print the state of a running instance: its view of the configuration, the
	other instances, the upstreams that it owns with limit, open flows and phase,
	the share of requests that met the target of each class, and its counters.

	Examples:
		chervilhaven dump --address 10.20.0.11:7401
		chervilhaven dump --address 10.20.0.11:7401 --json

	Exit codes: 0 ok, 1 the request to the instance failed, 2 usage error.

`

// dumpCommand implements the dump subcommand.
type dumpCommand struct {
	output
	inspectFlags
}

func (*dumpCommand) Name() string     { return "dump" }
func (*dumpCommand) Synopsis() string { return "print the state of a running instance" }
func (*dumpCommand) Usage() string    { return dumpUsage }

// SetFlags defines the flags of the subcommand.
func (d *dumpCommand) SetFlags(f *flag.FlagSet) {
	d.redirectFlagErrors(f)
	d.defineFlags(f)
}

// Execute requests the state from the instance and prints it.
func (d *dumpCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		return d.usageError(f, "takes no arguments")
	}
	client, err := d.client()
	if err != nil {
		return d.usageError(f, err.Error())
	}
	response, err := withTimeout(ctx, func(ctx context.Context) (*connect.Response[peerv1.DumpResponse], error) {
		return client.Dump(ctx, connect.NewRequest(&peerv1.DumpRequest{}))
	})
	if err != nil {
		return d.reportError(f, err)
	}
	if err := d.print(response.Msg.GetJson()); err != nil {
		return d.reportError(f, err)
	}
	return subcommands.ExitSuccess
}

func (d *dumpCommand) print(content []byte) error {
	if d.json {
		return d.printJSON(content)
	}
	var state ownerrouter.Dump
	if err := json.Unmarshal(content, &state); err != nil {
		return errors.Wrap(err, "decode response of the instance")
	}
	writeSummary(d.out, state)
	sections := []section{memberSection(state), valueSection(state), refusedSection(state)}
	if state.Balancer != nil {
		b := *state.Balancer
		sections = append(sections, upstreamSection(b), classSection(b), handoverSection(b), counterSection(b))
	}
	for _, s := range sections {
		if err := s.write(d.out); err != nil {
			return err
		}
	}
	return nil
}

func writeSummary(w io.Writer, d ownerrouter.Dump) {
	serving := "not serving"
	if d.Serving {
		serving = "serving"
	}
	fmt.Fprintf(w, "instance %s in %s, %s\n", d.Name, d.DataCentre, serving)
	fmt.Fprintf(w, "view %s, changed %s", d.View.Version, formatAgo(d.View.Age))
	if d.View.Source != "" {
		fmt.Fprintf(w, ", from %s", d.View.Source)
	}
	if d.View.Suspect {
		fmt.Fprint(w, ", suspect until confirmed")
	}
	fmt.Fprintf(w, "\nplatform read %s", formatAgo(d.Platform.Contact))
	if d.Platform.By != "" {
		fmt.Fprintf(w, " by %s", d.Platform.By)
	}
	if d.Platform.Watching {
		fmt.Fprintf(w, ", watched from here since %s", d.Platform.Cursor)
	}
	fmt.Fprintln(w)
	if d.Balancer != nil {
		fmt.Fprintf(w, "flows %d, suspect %t, stopping %t\n", d.Balancer.Flows, d.Balancer.Suspect, d.Balancer.Stopping)
	}
}

// formatAgo formats the time since an event; an empty string means never.
func formatAgo(elapsed string) string {
	if elapsed == "" {
		return "never"
	}
	return elapsed + " ago"
}

func memberSection(d ownerrouter.Dump) section {
	s := section{
		title:  "instances",
		header: []string{"name", "data-centre", "status", "live", "listed", "leaving", "unreachable", "heard"},
	}
	for _, m := range d.Members.Members {
		s.rows = append(s.rows, []any{
			m.Name, m.DataCentre, m.Status, m.Live, m.Listed, m.Leaving, m.Unreachable, cmp.Or(m.LastContact, "-"),
		})
	}
	return s
}

func valueSection(d ownerrouter.Dump) section {
	s := section{title: "values in force", header: []string{"key", "version", "bytes"}}
	for _, k := range d.View.Keys {
		s.rows = append(s.rows, []any{k.Key, k.Version.String(), k.Bytes})
	}
	return s
}

func refusedSection(d ownerrouter.Dump) section {
	s := section{title: "values refused", header: []string{"key", "version", "cause"}}
	for _, k := range d.View.Refused {
		s.rows = append(s.rows, []any{k.Key, k.Version.String(), k.Cause})
	}
	return s
}

func upstreamSection(b balancer.Dump) section {
	s := section{
		title: "upstreams owned",
		header: []string{
			"name", "service", "phase", "cause", "limit", "open", "busy", "records", "pointers", "complete", "held",
			"released-to", "owned-for",
		},
	}
	for _, u := range b.Upstreams {
		s.rows = append(s.rows, []any{
			u.Name, u.Service, u.Phase, u.Cause, u.Limit, u.Open, u.Busy, u.Records, u.Pointers, u.Complete, u.Held,
			cmp.Or(u.ReleasedTo, "-"), u.OwnedFor,
		})
	}
	return s
}

// serviceClass is the key for aggregating a class over upstreams.
type serviceClass struct{ service, class string }

// classSection aggregates each class over the upstreams that the instance owns.
func classSection(b balancer.Dump) section {
	sums := make(map[serviceClass]balancer.ClassDump)
	for _, u := range b.Upstreams {
		for _, c := range u.Classes {
			key := serviceClass{service: u.Service, class: c.Name}
			sum := sums[key]
			sum.Open += c.Open
			sum.Allowed += c.Allowed
			sum.Met += c.Met
			sum.Missed += c.Missed
			sums[key] = sum
		}
	}
	s := section{title: "classes", header: []string{"name", "service", "open", "allowed", "met", "missed", "attained"}}
	keys := slices.SortedFunc(maps.Keys(sums), func(a, b serviceClass) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.class, b.class))
	})
	for _, key := range keys {
		c := sums[key]
		s.rows = append(s.rows, []any{key.class, key.service, c.Open, c.Allowed, c.Met, c.Missed, attainment(c)})
	}
	return s
}

// attainment returns the fraction of requests that met the target, or "-" if
// there were no requests.
func attainment(c balancer.ClassDump) string {
	total := c.Met + c.Missed
	if total == 0 {
		return "-"
	}
	return fmt.Sprintf("%.4f", float64(c.Met)/float64(total))
}

func handoverSection(b balancer.Dump) section {
	s := section{title: "handovers under way", header: []string{"upstream", "left"}}
	for _, h := range b.Handovers {
		s.rows = append(s.rows, []any{h.Upstream, h.Left})
	}
	return s
}

func counterSection(b balancer.Dump) section {
	c := b.Counters
	s := section{
		title:  "counters",
		header: []string{"name", "count"},
		rows: [][]any{
			{"forwarded", c.Forwarded},
			{"relayed", c.Relayed},
			{"refused", c.Refused},
			{"admitted", c.Admitted},
			{"adopted", c.Adopted},
			{"searched", c.Searched},
			{"moved", c.Moved},
		},
	}
	for _, reason := range slices.Sorted(maps.Keys(b.Dropped)) {
		if n := b.Dropped[reason]; n > 0 {
			s.rows = append(s.rows, []any{"dropped " + reason, n})
		}
	}
	return s
}
