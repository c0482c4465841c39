package balancer_test

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

func TestFlowsAreEvenOverWarmUpstreamsWithOneRelayPerPacket(t *testing.T) {
	const (
		flows            = 1400
		maxRatio         = 1.10
		maxHopsPerPacket = 1.05
	)
	synctest.Test(t, func(t *testing.T) {
		f := warmFleet(t)
		held := f.establishGradually(flows, portQueries)
		counts := map[string]int{}
		hops := 0
		for k, upstream := range held {
			counts[upstream]++
			hops += f.send(k, flow.RoleData, 100, 3).hops
		}
		for upstream, count := range counts {
			if ratio := float64(count) * 14 / flows; ratio > maxRatio {
				t.Errorf("%s holds %.3f times the mean", upstream, ratio)
			}
		}
		if perPacket := float64(hops) / flows; perPacket > maxHopsPerPacket {
			t.Errorf("%.3f relays per packet", perPacket)
		}
	})
}

func TestFlowsSurviveInstanceKillDuringUpstreamJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for victim := range 8 {
			f := warmFleet(t)
			held := f.establishMany(400, portQueries)
			f.addUpstream("lot-new", victim%4)
			f.publish()
			f.kill(f.order[victim])
			f.wait(time.Second)
			f.gossip()
			if n := f.countBroken(held); n > 0 {
				t.Errorf("%d flows broken, instance %d killed", n, victim)
			}
		}
	})
}

func TestFlowsSurviveReplacementOfTwoInstancesDuringDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := warmFleet(t)
		held := f.establishMany(400, portQueries)
		f.sources.DataCentres[0].Upstreams[0].State = inventory.UpstreamDraining
		f.publish()
		for i, victim := range []view.ID{f.order[0], f.order[3]} {
			dataCentre := f.dataCentre[victim]
			id := f.start(fmt.Sprintf("entry-new-%d", i), dataCentre)
			f.apply(id, &balancer.ViewChanged{View: view.Compile(f.sources)})
			f.gossip()
			f.wait(4 * time.Second)
			f.stop(victim, held)
		}
		if n := f.countBroken(held); n > 0 {
			t.Errorf("%d flows broken", n)
		}
	})
}

func TestFlowsSurviveDelayedViewOnHalfOfInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := warmFleet(t)
		held := f.establishMany(400, portQueries)
		for i, id := range f.order {
			f.lagging[id] = i%2 == 0
		}
		f.addUpstream("lot-new", 2)
		f.publish()
		lost := 0
		for range 5 {
			for k, want := range held {
				// A packet may be lost while views differ, but must not reach
				// another upstream.
				got := f.send(k, flow.RoleData, 100, 2)
				if len(got.upstreams) == 0 {
					lost++
					continue
				}
				if got.upstream() != want {
					t.Fatalf("flow of %s went to %s", want, got.upstream())
				}
			}
			f.wait(time.Second)
		}
		if perPacket := float64(lost) / float64(5*len(held)); perPacket > 0.10 {
			t.Errorf("%.3f of packets were lost while views differ", perPacket)
		}
		clear(f.lagging)
		f.publish()
		if n := f.countBroken(held); n > 0 {
			t.Errorf("%d flows broken once views agree", n)
		}
	})
}

func TestInstanceDoesNotForwardByStaleViewAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := warmFleet(t)
		held := f.establishMany(400, portQueries)
		paused := f.order[2]
		f.paused[paused] = true
		others := f.order
		f.order = append(append([]view.ID{}, others[:2]...), others[3:]...)
		f.wait(2 * time.Second)
		f.gossip()
		f.wait(8 * time.Second)
		if n := f.countBroken(held); n > 0 {
			t.Errorf("%d flows broken while an instance is paused", n)
		}
		// Remove the upstreams of its data centre. Their addresses may belong
		// to another service from now on.
		dataCentre := &f.sources.DataCentres[1]
		reassigned := dataCentre.Upstreams
		dataCentre.Upstreams = nil
		f.publish()
		f.order = others
		delete(f.paused, paused)
		f.apply(paused, &balancer.Resumed{Pause: 10 * time.Second})
		for k := range held {
			if o := f.sendAt(paused, k, flow.RoleData, 100, 2); len(o.upstreams) > 0 {
				t.Fatalf("forwarded to %v by the view from before the pause", o.upstreams)
			}
		}
		f.apply(paused, &balancer.ViewChanged{View: view.Compile(f.sources)})
		f.gossip()
		f.apply(paused, &balancer.ViewConfirmed{})
		gone := map[string]bool{}
		for _, u := range reassigned {
			gone[u.Name] = true
		}
		for k := range held {
			if o := f.sendAt(paused, k, flow.RoleData, 100, 2); gone[o.upstream()] {
				t.Fatalf("forwarded to %s, which was removed from the service", o.upstream())
			}
		}
	})
}

func TestNewOwnerAdmitsNothingWithinViewSkew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := warmFleet(t)
		held := f.establishMany(1000, portQueries)
		victim := f.order[5]
		before := map[string]int{}
		for _, u := range f.balancers[victim].Dump().Upstreams {
			before[u.Name] = len(f.open[u.Name])
		}
		if len(before) == 0 {
			t.Fatal("the instance to kill owns nothing: nothing was tested")
		}
		f.kill(victim)
		f.gossip()
		// The killed instance might only be paused, so no flow may be admitted
		// to its upstreams until the view skew has passed.
		for range 20 {
			f.establishMany(30, portQueries)
			f.wait(100 * time.Millisecond)
		}
		for name, open := range before {
			if got := len(f.open[name]); got > open {
				t.Errorf("%d flows admitted to %s within the view skew", got-open, name)
			}
		}
		if n := f.countBroken(held); n > 0 {
			t.Errorf("%d flows broken", n)
		}
	})
}

func TestFlowsSurvivePartitionOfDataCentres(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := warmFleet(t)
		held := f.establishMany(400, portQueries)
		f.isolated["pit-3"] = true
		f.gossip()
		for range 60 {
			for k, want := range held {
				at := f.any()
				got := f.sendAt(at, k, flow.RoleData, 100, 2)
				if len(got.upstreams) > 0 && got.upstream() != want {
					t.Fatalf("flow of %s went to %v during the partition", want, got.upstreams)
				}
				reachable := !f.separated(f.dataCentre[at], f.dataCentreOf(want))
				if reachable && len(got.upstreams) == 0 {
					t.Fatalf("packet at %s for a flow of %s was lost (%v)", f.dataCentre[at], want, got.reason)
				}
			}
			f.wait(time.Second)
		}
		opened := 0
		for range 200 {
			if f.send(f.newKey(portQueries), flow.RoleOpen, 0, 0).upstream() != "" {
				opened++
			}
		}
		if opened < 150 {
			t.Errorf("%d of 200 flows opened during the partition", opened)
		}
		clear(f.isolated)
		f.gossip()
		if n := f.countBroken(held); n > 0 {
			t.Errorf("%d flows broken after the partition", n)
		}
	})
}

func TestSheddingUpstreamAdmitsNoFlowsDuringPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := warmFleet(t)
		held := f.establishMany(400, portQueries)
		f.isolated["pit-3"] = true
		f.gossip()
		upstream := f.sources.DataCentres[3].Upstreams[0].Name
		f.shedding[upstream] = true
		f.wait(1500 * time.Millisecond)
		before := len(f.open[upstream])
		for range 20 {
			f.establishMany(20, portQueries)
			f.wait(100 * time.Millisecond)
		}
		if got := len(f.open[upstream]); got > before {
			t.Errorf("%d flows admitted to an upstream that sheds load", got-before)
		}
		clear(f.isolated)
		f.gossip()
		if n := f.countBroken(held); n > 0 {
			t.Errorf("%d flows broken", n)
		}
	})
}

func TestRestartedUpstreamRepeatsSlowStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := warmFleet(t)
		f.establishMany(400, portQueries)
		restarted := f.sources.DataCentres[0].Upstreams[0].Name
		f.started[restarted] = time.Now()
		clear(f.open[restarted])
		start := time.Now()
		f.wait(1500 * time.Millisecond)
		clear(f.open[restarted])
		for range 20 {
			f.establishMany(20, portQueries)
			maxOpen := 2 << int(time.Since(start)/time.Second)
			if open := len(f.open[restarted]); open > maxOpen {
				t.Fatalf("%d flows open after %v, want at most %d", open, time.Since(start), maxOpen)
			}
			f.wait(100 * time.Millisecond)
		}
	})
}

func TestPacketsNeverReachAnotherService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, 2, 14, balancer.Settings{})
		for d := range 4 {
			name := fmt.Sprintf("assay-%d", d)
			f.addUpstream(name, d)
			upstreams := f.sources.DataCentres[d].Upstreams
			upstreams[len(upstreams)-1].Service = "assay-desk"
		}
		f.publish()
		f.wait(warmUp)
		for range 2000 {
			k := f.newKey(portQueries)
			want := "lot"
			if f.random.IntN(2) == 0 {
				k.Destination = netip.AddrPortFrom(netip.MustParseAddr("203.0.113.2"), portQueries)
				want = "assay"
			}
			for _, role := range []flow.Role{flow.RoleOpen, flow.RoleData, flow.RoleClose} {
				for _, upstream := range f.send(k, role, 10, 1).upstreams {
					if upstream[:len(want)] != want {
						t.Fatalf("packet for %s went to %s", want, upstream)
					}
				}
			}
		}
	})
}

func TestControlTrafficStaysWithinBudgetDuringPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := warmFleet(t)
		held := f.establishMany(3000, portQueries)
		clear(f.control)
		id := f.order[0]
		f.apply(id, &balancer.StopRequested{})
		f.leaving[id] = true
		f.gossip()
		for second := 1; second <= 10; second++ {
			f.wait(time.Second)
			// One part of a handover may overdraw the budget of the first
			// second.
			if budget := 4096*second + 1024; f.control[id] > budget {
				t.Fatalf("%d bytes of control traffic in %d s", f.control[id], second)
			}
		}
		if n := f.countBroken(held); n > 0 {
			t.Errorf("%d flows broken", n)
		}
	})
}

func TestFloodOfOpeningsBreaksNoEstablishedFlows(t *testing.T) {
	const maxFlows = 2000
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 1, 4, balancer.Settings{MaxFlows: maxFlows})
		f.wait(warmUp)
		held := f.establishMany(400, portQueries)
		for range 30000 {
			f.send(f.newKey(portQueries), flow.RoleOpen, 0, 0)
		}
		for _, id := range f.order {
			if got := f.balancers[id].Dump().Flows; got > maxFlows {
				t.Errorf("%d flows kept, limit %d", got, maxFlows)
			}
		}
		if n := f.countBroken(held); n > 0 {
			t.Errorf("%d established flows broken by the flood", n)
		}
		f.wait(15 * time.Second)
		if o := f.send(f.newKey(portQueries), flow.RoleOpen, 0, 0); o.upstream() == "" {
			t.Errorf("no flow opens after the flood: %v", o.reason)
		}
	})
}
