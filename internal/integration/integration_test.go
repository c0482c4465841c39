// Package integration tests whole deployments: real processes behind a
// fault-injecting fabric and proxies.
package integration_test

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/chervilhaven/chervilhaven/examples"
	"github.com/chervilhaven/chervilhaven/internal/fake/caller"
	"github.com/chervilhaven/chervilhaven/internal/fake/deployment"
	"github.com/chervilhaven/chervilhaven/internal/fake/fabric"
	"github.com/chervilhaven/chervilhaven/internal/fake/fault"
)

const (
	seed      = 4711
	waitLimit = 90 * time.Second
)

// testDeployment is a deployment with its instances as processes.
type testDeployment struct {
	*deployment.Deployment
	processes []*process
	ctx       context.Context
}

// deploy starts eight processes in four data centres behind faulty links.
func deploy(t *testing.T) *testDeployment {
	t.Helper()
	example, err := examples.Load(examples.Ocre)
	if err != nil {
		t.Fatal(err)
	}
	s, err := deployment.New(deployment.Config{
		Inventory: example.Inventory, Declarations: example.Declarations, Moves: example.Moves,
		Seed: seed, ProxyLinks: true, Ramp: 2 * time.Second,
		Flows: []caller.Class{
			{Name: "lot-grades", Rate: 250, Requests: 1, Work: 2 * time.Millisecond, Size: 400},
			{Name: "lot-grades", Rate: 30, Requests: 8, Pause: 400 * time.Millisecond, Work: 2 * time.Millisecond, Size: 400},
			{Name: "truck-tickets", Rate: 120, Requests: 1, Work: 3 * time.Millisecond, Size: 100},
			{Name: "certificates", Rate: 15, Requests: 1, Work: 20 * time.Millisecond, Size: 20_000},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	t.Cleanup(cancel)
	s.Run(ctx)
	t.Cleanup(func() { _ = s.Close() })
	d := &testDeployment{Deployment: s, ctx: ctx}
	s.Fabric.SetFaults(fabric.Faults{Loss: 0.002, Duplicate: 0.01, Delay: 0.05, MaxDelay: 5 * time.Millisecond})
	for _, a := range s.Instances() {
		d.slow(t, a)
		d.processes = append(d.processes, startProcess(t, a))
		s.AddToFabric(a)
	}
	if err := s.WaitUntilMonitored(ctx); err != nil {
		t.Fatal(err)
	}
	return d
}

// slow delays the links of an instance and cuts some of them.
func (d *testDeployment) slow(t *testing.T, a deployment.InstanceAddresses) {
	t.Helper()
	faults := fault.Faults{Delay: time.Millisecond, Jitter: 2 * time.Millisecond, CloseProbability: 0.002}
	if err := d.SetPeerFaults(a.Name, faults); err != nil {
		t.Fatal(err)
	}
	if err := d.SetPlatformFaults(a.DataCentre, faults); err != nil {
		t.Fatal(err)
	}
}

// opened waits until callers have opened the given number of flows.
func (d *testDeployment) opened(t *testing.T, flows int) {
	t.Helper()
	d.wait(t, "flows opened", func() bool { return d.Caller.Result().Opened >= flows })
}

// wait returns when the condition holds; the test fails when its time is up.
func (d *testDeployment) wait(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for !condition() {
		if d.ctx.Err() != nil {
			t.Fatalf("%s did not come true: %+v", what, d.Result())
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// outcome is what has to be zero at the end of a run.
type outcome struct {
	Broken, Unsettled, Untrue, Crossed, Damaged    int
	Misrouted, Duplicated, OverLimit, Late, Missed int
}

// finish ends the arrivals, waits for all flows and checks the promises.
func (d *testDeployment) finish(t *testing.T) deployment.Result {
	t.Helper()
	d.Caller.Stop()
	d.Caller.WaitForFlows(d.ctx)
	r := d.Result()
	c, u := r.Caller, r.Upstreams
	got := outcome{
		Broken: c.Broken, Unsettled: r.Open, Untrue: c.Untrue, Crossed: c.Crossed, Damaged: c.Damaged,
		Misrouted: u.Misrouted, Duplicated: u.Duplicated, OverLimit: u.OverLimit, Late: u.Late,
		Missed: c.Opened - c.Finished - c.Refused,
	}
	if diff := cmp.Diff(outcome{}, got); diff != "" {
		t.Errorf("promises (-kept +broken):\n%s\n%+v", diff, r)
	}
	return r
}

func TestFlowsSurviveFaultyLinks(t *testing.T) {
	d := deploy(t)
	d.Caller.Start()
	d.opened(t, 3000)
	r := d.finish(t)
	if r.Fabric.Lost == 0 || r.Fabric.Duplicated == 0 || r.Fabric.Delayed == 0 {
		t.Errorf("the fabric had no faults: %+v", r.Fabric)
	}
}

func TestFlowsSurviveKilledInstance(t *testing.T) {
	d := deploy(t)
	d.Caller.Start()
	d.opened(t, 1500)
	killed := d.processes[2]
	killed.signal(t, syscall.SIGKILL)
	<-killed.ended
	// The fabric learns of the death later than callers feel it.
	d.opened(t, 1800)
	d.RemoveFromFabric(killed.InstanceAddresses)
	d.opened(t, 3000)
	d.finish(t)
}

func TestFlowsSurviveStopWhileUpstreamDrains(t *testing.T) {
	d := deploy(t)
	d.Caller.Start()
	d.opened(t, 1500)
	if err := d.Drain(d.Endpoints[0].Name); err != nil {
		t.Fatal(err)
	}
	stopped := d.processes[1]
	if err := d.MarkInstanceLeaving(stopped.Name); err != nil {
		t.Fatal(err)
	}
	stopped.signal(t, syscall.SIGTERM)
	d.opened(t, 1800)
	d.RemoveFromFabric(stopped.InstanceAddresses)
	select {
	case <-stopped.ended:
		if stopped.err != nil {
			t.Errorf("the stopped process ended with %v", stopped.err)
		}
	case <-d.ctx.Done():
		t.Fatal("the stopped process did not end")
	}
	d.opened(t, 4500)
	d.wait(t, "the upstream drained", func() bool { return d.Endpoints[0].Open() == 0 })
	d.finish(t)
}
