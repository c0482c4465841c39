// Package demo runs an example deployment in one process on loopback sockets, with
// real instances and a simulated platform, fabric, upstreams and callers. It applies
// a change during the run and reports the counts of callers and upstreams.
package demo

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chervilhaven/chervilhaven/examples"
	"github.com/chervilhaven/chervilhaven/internal/fake/deployment"
	"github.com/chervilhaven/chervilhaven/internal/fake/upstream"
	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

const (
	// DefaultDuration is the default time during which callers open new flows.
	DefaultDuration = 10 * time.Second
	// MinDuration is the shortest duration in which the event still has an
	// effect.
	MinDuration = time.Second
	// rampUpTime is the time over which the rate of new flows rises to its target.
	rampUpTime = 2 * time.Second
	// drainTimeout limits the wait for open flows at the end of a run.
	drainTimeout = 40 * time.Second
	// readyTimeout limits the wait until the deployment is ready.
	readyTimeout = 15 * time.Second
	// peerWaitTime is how long instances that start together wait for each other
	// before they admit flows.
	peerWaitTime = 4 * time.Second
	// progressInterval is the time between calls to Config.Progress.
	progressInterval = 100 * time.Millisecond
	// detachDelay is how long the fabric takes to detect the loss of an instance
	// or a data centre.
	detachDelay = time.Second
)

// Start of the event and of the recovery from it, in tenths of the duration.
const (
	eventTenths    = 4
	recoveryTenths = 8
)

// Config describes a run. The zero value runs examples.Ocre without an event.
type Config struct {
	// Deployment is the name of an example deployment. Defaults to examples.Ocre.
	Deployment string
	// Duration is the time during which callers open new flows. Defaults to
	// DefaultDuration.
	Duration time.Duration
	// Event is the change during the run. Defaults to EventNone.
	Event Event
	// Seed initializes the random numbers of the simulation. Defaults to 1.
	Seed uint64
	// Progress, if not nil, is called regularly with the elapsed time.
	Progress func(elapsed, total time.Duration)
}

// run is the state of one run of the demo.
type run struct {
	config     Config
	deployment *deployment.Deployment
	inventory  inventory.Inventory
	fleet      *fleet
}

// Run runs the demo and returns its report. Violated guarantees are not an error of
// Run. Report.Err returns them.
func Run(ctx context.Context, c Config) (*Report, error) {
	c = c.withDefaults()
	example, err := examples.Load(c.Deployment)
	if err != nil {
		return nil, err
	}
	s, err := deployment.New(deployment.Config{
		Inventory: example.Inventory, Declarations: example.Declarations, Moves: example.Moves,
		Flows: profiles(example.Declarations), Ramp: rampUpTime, Seed: c.Seed,
	})
	if err != nil {
		return nil, errors.Wrap(err, "start simulated deployment")
	}
	s.Run(ctx)
	r := &run{config: c, deployment: s, inventory: example.Inventory, fleet: newFleet()}
	report, err := r.run(ctx)
	r.fleet.closeAll()
	var misrouted *upstream.MisroutedError
	if closeErr := s.Close(); closeErr != nil && !errors.As(closeErr, &misrouted) {
		err = errors.CombineErrors(err, errors.Wrap(closeErr, "stop simulated deployment"))
	}
	return report, err
}

func (c Config) withDefaults() Config {
	if c.Deployment == "" {
		c.Deployment = examples.Ocre
	}
	if c.Duration == 0 {
		c.Duration = DefaultDuration
	}
	if c.Event == "" {
		c.Event = EventNone
	}
	if c.Seed == 0 {
		c.Seed = 1
	}
	return c
}

func (r *run) run(ctx context.Context) (*Report, error) {
	for _, a := range r.deployment.Instances() {
		if err := r.fleet.start(ctx, a); err != nil {
			return nil, errors.Wrapf(err, "start instance %s", a.Name)
		}
	}
	for _, a := range r.deployment.Instances() {
		r.deployment.AddToFabric(a)
	}
	if err := r.waitUntilReady(ctx); err != nil {
		return nil, err
	}
	start := time.Now()
	r.deployment.Caller.Start()
	for _, step := range r.plan() {
		if err := r.waitUntil(ctx, start, step.at); err != nil {
			return nil, err
		}
		if err := step.apply(); err != nil {
			return nil, errors.Wrapf(err, "event %s", r.config.Event)
		}
	}
	if err := r.waitUntil(ctx, start, r.config.Duration); err != nil {
		return nil, err
	}
	r.deployment.Caller.Stop()
	drainCtx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	r.deployment.Caller.WaitForFlows(drainCtx)
	report := newReport(r.config, r.deployment.Result(), time.Since(start))
	report.Instances, report.Upstreams = len(r.deployment.Instances()), len(r.deployment.Endpoints)
	return report, ctx.Err()
}

// waitUntilReady waits until the instances have taken over the upstreams and admit
// flows.
func (r *run) waitUntilReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := r.deployment.WaitUntilMonitored(ctx); err != nil {
		return err
	}
	select {
	case <-time.After(peerWaitTime):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// waitUntil waits until the given offset from start and reports progress meanwhile.
func (r *run) waitUntil(ctx context.Context, start time.Time, offset time.Duration) error {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		elapsed := time.Since(start)
		if r.config.Progress != nil {
			r.config.Progress(min(elapsed, r.config.Duration), r.config.Duration)
		}
		if elapsed >= offset {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}
