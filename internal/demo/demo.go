// Package demo runs an example deployment on loopback sockets in one process:
// instances, platform, fabric, upstreams and callers, with a change in the
// middle, and reports what callers and upstreams counted.
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
	// DefaultDuration is the time in which flows arrive.
	DefaultDuration = 10 * time.Second
	// ShortestDuration is the shortest time that leaves the event an effect.
	ShortestDuration = time.Second
	// rampTime is the time in which arrivals grow to their full rate.
	rampTime = 2 * time.Second
	// settleTime bounds the wait for the last flows.
	settleTime = 40 * time.Second
	// readyTime bounds the wait for the instances.
	readyTime = 15 * time.Second
	// warmTime is how long instances that start together wait for each other
	// before they admit.
	warmTime = 4 * time.Second
	// progressInterval is the time between two calls of Progress.
	progressInterval = 100 * time.Millisecond
	// detachTime is how long the fabric takes to notice that an instance or a
	// data centre is gone.
	detachTime = time.Second
)

// When an event and its end come, in tenths of the duration.
const (
	eventTenths  = 4
	returnTenths = 8
)

// Config describes a run. The zero value runs the first deployment.
type Config struct {
	// Deployment is the name of an example, examples.Ocre where empty.
	Deployment string
	// Duration is the time in which flows arrive, DefaultDuration where zero.
	Duration time.Duration
	// Event is the change during the run, EventNone where empty.
	Event Event
	Seed  uint64
	// Progress is told how much of the duration has passed; may be nil.
	Progress func(spent, total time.Duration)
}

// run is a run in progress.
type run struct {
	config     Config
	deployment *deployment.Deployment
	inventory  inventory.Inventory
	fleet      *fleet
}

// Run runs the demo and returns its report. A broken promise is no error of
// Run but of the report.
func Run(ctx context.Context, c Config) (*Report, error) {
	c = c.withDefaults()
	example, err := examples.Load(c.Deployment)
	if err != nil {
		return nil, err
	}
	s, err := deployment.New(deployment.Config{
		Inventory: example.Inventory, Declarations: example.Declarations, Moves: example.Moves,
		Flows: profiles(example.Declarations), Ramp: rampTime, Seed: c.Seed,
	})
	if err != nil {
		return nil, errors.Wrap(err, "start the stand-ins")
	}
	s.Run(ctx)
	r := &run{config: c, deployment: s, inventory: example.Inventory, fleet: newFleet()}
	report, err := r.run(ctx)
	r.fleet.stop()
	var misrouted *upstream.MisroutedError
	if closing := s.Close(); closing != nil && !errors.As(closing, &misrouted) {
		err = errors.CombineErrors(err, errors.Wrap(closing, "stop the stand-ins"))
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
	if err := r.ready(ctx); err != nil {
		return nil, err
	}
	start := time.Now()
	r.deployment.Caller.Start()
	for _, step := range r.plan() {
		if err := r.wait(ctx, start, step.at); err != nil {
			return nil, err
		}
		if err := step.do(); err != nil {
			return nil, errors.Wrapf(err, "event %s", r.config.Event)
		}
	}
	if err := r.wait(ctx, start, r.config.Duration); err != nil {
		return nil, err
	}
	r.deployment.Caller.Stop()
	settle, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	r.deployment.Caller.WaitForFlows(settle)
	report := newReport(r.config, r.deployment.Result(), time.Since(start))
	report.Instances, report.Upstreams = len(r.deployment.Instances()), len(r.deployment.Endpoints)
	return report, ctx.Err()
}

// ready waits until instances have taken the upstreams over.
func (r *run) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	if err := r.deployment.WaitUntilMonitored(ctx); err != nil {
		return err
	}
	select {
	case <-time.After(warmTime):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// wait returns when the time since the start has come.
func (r *run) wait(ctx context.Context, start time.Time, until time.Duration) error {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		spent := time.Since(start)
		if r.config.Progress != nil {
			r.config.Progress(min(spent, r.config.Duration), r.config.Duration)
		}
		if spent >= until {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}
