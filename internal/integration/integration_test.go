// Package integration tests complete deployments. The instances run as separate
// processes, and a simulated fabric and proxies inject faults into their links.
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
	seed        = 4711
	testTimeout = 90 * time.Second
)

// testDeployment is a fake deployment whose instances run as separate processes. ctx
// ends after testTimeout.
type testDeployment struct {
	*deployment.Deployment
	processes []*process
	ctx       context.Context
}

// deploy starts eight instance processes in four data centres, with delay, loss and
// duplication on their links, and waits until they are ready.
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
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	s.Run(ctx)
	t.Cleanup(func() { _ = s.Close() })
	d := &testDeployment{Deployment: s, ctx: ctx}
	s.Fabric.SetFaults(fabric.Faults{Loss: 0.002, Duplicate: 0.01, Delay: 0.05, MaxDelay: 5 * time.Millisecond})
	for _, a := range s.Instances() {
		d.injectLinkFaults(t, a)
		d.processes = append(d.processes, startProcess(t, a))
		s.AddToFabric(a)
	}
	if err := s.WaitUntilMonitored(ctx); err != nil {
		t.Fatal(err)
	}
	return d
}

// injectLinkFaults delays the links from an instance to its peers and to the
// platform, and cuts some connections.
func (d *testDeployment) injectLinkFaults(t *testing.T, a deployment.InstanceAddresses) {
	t.Helper()
	faults := fault.Faults{Delay: time.Millisecond, Jitter: 2 * time.Millisecond, CloseProbability: 0.002}
	if err := d.SetPeerFaults(a.Name, faults); err != nil {
		t.Fatal(err)
	}
	if err := d.SetPlatformFaults(a.DataCentre, faults); err != nil {
		t.Fatal(err)
	}
}

// waitForFlows waits until callers have opened the given number of flows.
func (d *testDeployment) waitForFlows(t *testing.T, flows int) {
	t.Helper()
	d.waitFor(t, "flows opened", func() bool { return d.Caller.Result().Opened >= flows })
}

// waitFor waits until a condition is met. The test fails if that takes longer than
// testTimeout.
func (d *testDeployment) waitFor(t *testing.T, condition string, isMet func() bool) {
	t.Helper()
	for !isMet() {
		if d.ctx.Err() != nil {
			t.Fatalf("timed out waiting for condition %q: %+v", condition, d.Result())
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// violations counts the violated guarantees of a run, which must all be zero.
type violations struct {
	Broken, Unsettled, UntrueRefusals, CrossedSegments, DamagedResponses int
	Misrouted, Duplicated, OverLimit, LateFlows, Missed                  int
}

// finishAndCheck stops new flows, waits until all flows have ended and checks the
// guarantees.
func (d *testDeployment) finishAndCheck(t *testing.T) deployment.Result {
	t.Helper()
	d.Caller.Stop()
	d.Caller.WaitForFlows(d.ctx)
	r := d.Result()
	c, u := r.Caller, r.Upstreams
	got := violations{
		Broken: c.Broken, Unsettled: r.Open, UntrueRefusals: c.UntrueRefusals, CrossedSegments: c.CrossedSegments, DamagedResponses: c.DamagedResponses,
		Misrouted: u.Misrouted, Duplicated: u.Duplicated, OverLimit: u.OverLimit, LateFlows: u.LateFlows,
		Missed: c.Opened - c.Finished - c.Refused,
	}
	if diff := cmp.Diff(violations{}, got); diff != "" {
		t.Errorf("violations (-want +got):\n%s\n%+v", diff, r)
	}
	return r
}

// Flows must complete although the fabric loses, duplicates and delays packets.
func TestFlowsSurviveFaultyLinks(t *testing.T) {
	d := deploy(t)
	d.Caller.Start()
	d.waitForFlows(t, 3000)
	r := d.finishAndCheck(t)
	if r.Fabric.Lost == 0 || r.Fabric.Duplicated == 0 || r.Fabric.Delayed == 0 {
		t.Errorf("fabric injected no faults of some kind: %+v", r.Fabric)
	}
}

// Established flows must survive an instance that dies without a handover while the
// fabric still sends packets to it.
func TestFlowsSurviveKilledInstance(t *testing.T) {
	d := deploy(t)
	d.Caller.Start()
	d.waitForFlows(t, 1500)
	killed := d.processes[2]
	killed.signal(t, syscall.SIGKILL)
	<-killed.exited
	// The fabric keeps sending packets to a failed instance until it detects the
	// failure.
	d.waitForFlows(t, 1800)
	d.RemoveFromFabric(killed.InstanceAddresses)
	d.waitForFlows(t, 3000)
	d.finishAndCheck(t)
}

// Established flows must survive the planned stop of an instance while one upstream
// drains. The process must exit cleanly and the upstream must drain fully.
func TestFlowsSurviveStopWhileUpstreamDrains(t *testing.T) {
	d := deploy(t)
	d.Caller.Start()
	d.waitForFlows(t, 1500)
	if err := d.Drain(d.Endpoints[0].Name); err != nil {
		t.Fatal(err)
	}
	stopped := d.processes[1]
	if err := d.MarkInstanceLeaving(stopped.Name); err != nil {
		t.Fatal(err)
	}
	stopped.signal(t, syscall.SIGTERM)
	d.waitForFlows(t, 1800)
	d.RemoveFromFabric(stopped.InstanceAddresses)
	select {
	case <-stopped.exited:
		if stopped.err != nil {
			t.Errorf("the stopped process exited with error %v", stopped.err)
		}
	case <-d.ctx.Done():
		t.Fatal("the stopped process did not exit")
	}
	d.waitForFlows(t, 4500)
	d.waitFor(t, "upstream drained", func() bool { return d.Endpoints[0].Open() == 0 })
	d.finishAndCheck(t)
}
