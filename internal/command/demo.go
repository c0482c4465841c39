package command

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"

	"github.com/chervilhaven/chervilhaven/examples"
	"github.com/chervilhaven/chervilhaven/internal/demo"
)

const demoUsage = `demo [--deployment ocre|vatulele] [--duration 10s] [--event EVENT] [--seed N] [--json]
	Run an example deployment in this process on loopback sockets: instances,
	platform, fabric, upstreams and callers. The report shows the counts taken by
	callers and upstreams. EVENT occurs in the middle of the run: none, drain,
	cold, instance-stop, instance-kill or data-centre-out.

	Examples:
		chervilhaven demo
		chervilhaven demo --deployment vatulele --event data-centre-out --duration 20s --json

	Exit codes: 0 all promises kept, 1 a promise broken or the run failed,
	2 usage error.

`

// demoCommand implements the demo subcommand.
type demoCommand struct {
	output
	deployment string
	duration   time.Duration
	event      string
	seed       uint64
	json       bool
}

func (*demoCommand) Name() string     { return "demo" }
func (*demoCommand) Synopsis() string { return "run an example deployment on this host" }
func (*demoCommand) Usage() string    { return demoUsage }

func (d *demoCommand) SetFlags(f *flag.FlagSet) {
	d.redirectFlagErrors(f)
	f.StringVar(&d.deployment, "deployment", examples.Ocre, "deployment to run: ocre or vatulele")
	f.DurationVar(&d.duration, "duration", demo.DefaultDuration, "how long new flows arrive")
	f.StringVar(&d.event, "event", string(demo.EventNone), "event in the middle of the run")
	f.Uint64Var(&d.seed, "seed", 1, "random seed of the simulated platform, fabric, upstreams and callers")
	f.BoolVar(&d.json, "json", false, "write the report as one JSON object")
}

// Execute runs the demo and writes its report.
func (d *demoCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	event, err := demo.ParseEvent(d.event)
	switch {
	case f.NArg() > 0:
		return d.usageError(f, "expected no arguments")
	case err != nil:
		return d.usageError(f, err.Error())
	case d.duration < demo.MinDuration:
		return d.usageError(f, "expected a duration of at least "+demo.MinDuration.String())
	case d.deployment != examples.Ocre && d.deployment != examples.Vatulele:
		return d.usageError(f, (&examples.UnknownDeploymentError{Name: d.deployment}).Error())
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := demo.Run(ctx, demo.Config{
		Deployment: d.deployment, Duration: d.duration, Event: event, Seed: d.seed, Progress: newProgress(),
	})
	if err != nil {
		return d.reportError(f, err)
	}
	write := report.WriteTable
	if d.json {
		write = report.WriteJSON
	}
	if err := errors.CombineErrors(write(d.out), report.Err()); err != nil {
		return d.reportError(f, err)
	}
	return subcommands.ExitSuccess
}

// newProgress returns a function that draws a progress bar on standard error,
// or nil if standard error is not a terminal.
func newProgress() func(elapsed, total time.Duration) {
	if !term.IsTerminal(int(os.Stderr.Fd())) {
		return nil
	}
	const steps = 1000
	bar := progressbar.NewOptions(steps,
		progressbar.OptionSetDescription("flows arrive"), progressbar.OptionSetWriter(os.Stderr),
		progressbar.OptionSetPredictTime(false), progressbar.OptionClearOnFinish())
	return func(elapsed, total time.Duration) {
		// Failing to draw the progress bar must not abort the run.
		_ = bar.Set(int(steps * elapsed / total))
	}
}
