package balancer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

func TestOpeningsSucceedWithTinyControlBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, 2, 14, balancer.Settings{ControlBytesPerSecond: 400})
		// With such a small budget status polls are rare.
		f.wait(5 * time.Minute)
		held := map[flow.Key]string{}
		for i := range 600 {
			k := f.newKey(portBulk)
			if o := f.send(k, flow.RoleOpen, 0, 0); o.upstream() != "" {
				held[k] = f.send(k, flow.RoleData, 0, 1).upstream()
			}
			if i%40 == 0 {
				// The slots become free, but the budget does not recover.
				f.wait(300 * time.Millisecond)
			}
		}
		for _, id := range f.order {
			if dropped := f.balancers[id].Dump().Dropped["hops"]; dropped > 0 {
				t.Errorf("%d openings were dropped at the limit on relays", dropped)
			}
		}
		if len(held) < 600 {
			t.Errorf("%d of 600 openings were admitted", len(held))
		}
		if n := f.countBroken(held); n > 0 {
			t.Errorf("%d flows broken", n)
		}
	})
}

func TestFlowsSurviveStopDuringUpstreamJoinAndDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for victim := range 8 {
			f := warmFleet(t)
			held := f.establishMany(400, portQueries)
			id := f.order[victim]
			f.apply(id, &balancer.StopRequested{})
			f.addUpstream("lot-new", victim/2)
			f.started["lot-new"] = time.Now()
			f.sources.DataCentres[(victim/2+1)%4].Upstreams[0].State = inventory.UpstreamDraining
			f.publish()
			f.stop(id, held)
			if open := len(f.open["lot-new"]); open > 0 {
				t.Errorf("%d flows at the new upstream although the test opened none there", open)
			}
			if n := f.countBroken(held); n > 0 {
				t.Errorf("%d flows broken, instance %d stopped", n, victim)
			}
		}
	})
}

func TestFlowsOfInterimOwnerSurviveReturnOfPausedInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := warmFleet(t)
		held := f.establishMany(400, portQueries)
		paused := f.order[2]
		others := f.order
		f.paused[paused] = true
		f.order = append(append([]view.ID{}, others[:2]...), others[3:]...)
		f.wait(2 * time.Second)
		f.gossip()
		f.wait(8 * time.Second)
		for k, upstream := range f.establishMany(400, portQueries) {
			held[k] = upstream
		}
		f.order = others
		delete(f.paused, paused)
		f.apply(paused, &balancer.Resumed{Pause: 10 * time.Second})
		f.apply(paused, &balancer.ViewConfirmed{})
		// The others take a second to detect that it is alive again.
		f.wait(time.Second)
		f.gossip()
		for range 5 {
			f.wait(time.Second)
			if n := f.countBroken(held); n > 0 {
				t.Fatalf("%d of %d flows broken", n, len(held))
			}
		}
	})
}

func TestRetransmittedPostingIsNotAdmittedTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := warmFleet(t)
		first := map[flow.Key]string{}
		for range 200 {
			// Bulk flows keep the slots busy, so that openings are passed on.
			f.send(f.newKey(portBulk), flow.RoleOpen, 0, 0)
		}
		for range 300 {
			k := f.newKey(portPostings)
			if o := f.send(k, flow.RoleOpen, 0, 0); o.upstream() != "" {
				first[k] = o.upstream()
			}
		}
		f.wait(time.Second)
		for k, upstream := range first {
			for _, again := range f.send(k, flow.RoleOpen, 0, 0).upstreams {
				if again != upstream {
					t.Errorf("posting opened at %s, then at %s", upstream, again)
				}
			}
		}
	})
}

func TestPacketsLostInPartitionDoNotMakeUpstreamCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := warmFleet(t)
		f.isolated["pit-3"] = true
		f.gossip()
		for range 10 {
			for range 100 {
				// The acknowledgement is lost like every packet that crosses
				// the partition.
				f.send(f.newKey(portQueries), flow.RoleOpen, 0, 0)
			}
			f.wait(time.Second)
		}
		for _, id := range f.order {
			for _, u := range f.balancers[id].Dump().Upstreams {
				if u.Phase != "warm" {
					t.Errorf("%s is %s, %s", u.Name, u.Phase, u.Cause)
				}
			}
		}
	})
}

func TestLimitIsCutWhenSingleUpstreamStopsAnswering(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := warmFleet(t)
		silent := f.sources.DataCentres[0].Upstreams[0].Name
		for range 200 {
			k := f.newKey(portQueries)
			if f.send(k, flow.RoleOpen, 0, 0).upstream() != silent {
				f.send(k, flow.RoleData, 0, 1)
			}
		}
		before := len(f.open[silent])
		if before < 4 {
			t.Fatal("too few openings: nothing was tested")
		}
		f.wait(500 * time.Millisecond)
		for range 200 {
			f.send(f.newKey(portQueries), flow.RoleOpen, 0, 0)
		}
		if got := len(f.open[silent]); got > before {
			t.Errorf("%d more flows opened at an upstream that does not respond", got-before)
		}
	})
}

func TestOpeningsSucceedWhenReleaseRequestsAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := warmFleet(t)
		held := f.establishMany(400, portQueries)
		f.dropReleaseRequests = true
		f.sources.DataCentres[1].Instances = append(f.sources.DataCentres[1].Instances, instanceNamed("entry-new"))
		id := f.start("entry-new", "pit-1")
		f.apply(id, &balancer.ViewChanged{View: view.Compile(f.sources)})
		f.gossip()
		if owned := len(f.balancers[id].Dump().Upstreams); owned == 0 {
			t.Fatal("the new instance owns nothing: nothing was tested")
		}
		f.wait(warmUp)
		for range 300 {
			if o := f.send(f.newKey(portQueries), flow.RoleOpen, 0, 0); o.upstream() == "" {
				t.Fatalf("opening packet dropped: %v", o.reason)
			}
		}
		if n := f.countBroken(held); n > 0 {
			t.Errorf("%d flows broken", n)
		}
	})
}

func TestDuplicateOfOpeningInFlightIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := warmFleet(t)
		for range 200 {
			f.send(f.newKey(portBulk), flow.RoleOpen, 0, 0)
		}
		relayed := 0
		for range 300 {
			k := f.newKey(portBulk)
			home := f.balancers[f.order[0]].Explain(k).Places[0].Owner
			instance := f.balancers[view.IDFromName(home)]
			packet := balancer.FabricPacket{Packet: flow.Packet{Key: k, ID: k.ID(), Role: flow.RoleOpen}}
			first := instance.Apply(time.Now(), &packet)
			if len(first) != 1 || first[0].Kind != balancer.Relay {
				continue
			}
			relayed++
			for _, e := range instance.Apply(time.Now(), &packet) {
				if e.Kind != balancer.Drop {
					t.Errorf("a duplicate caused effect kind %d while the first packet is in flight", e.Kind)
				}
			}
		}
		if relayed == 0 {
			t.Fatal("no opening was passed on: nothing was tested")
		}
	})
}

func TestPointerAndRecordAreKeptInDifferentRacks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, 2, 14, balancer.Settings{})
		f.oneRackEach()
		drained := &f.sources.DataCentres[0].Upstreams[0]
		drained.State = inventory.UpstreamDraining
		f.publish()
		f.wait(warmUp)
		moved := 0
		for range 400 {
			k := f.newKey(portQueries)
			if f.balancers[f.order[0]].Explain(k).Places[0].Upstream != drained.Name {
				continue
			}
			moved++
			if holder := f.send(k, flow.RoleOpen, 0, 0).upstream(); f.dataCentreOf(holder) == "pit-0" {
				t.Errorf("flow moved to %s, whose owner shares a rack with the owner of the first choice", holder)
			}
		}
		if moved == 0 {
			t.Fatal("no flow has the draining upstream as its first choice: nothing was tested")
		}
	})
}

// oneRackEach puts all instances of a data centre into one rack.
func (f *fleet) oneRackEach() {
	for d := range f.sources.DataCentres {
		for i := range f.sources.DataCentres[d].Instances {
			f.sources.DataCentres[d].Instances[i].Rack = "only-rack"
		}
	}
}

func TestBackupPointersAreKeptInAnotherRack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, 2, 14, balancer.Settings{})
		f.oneRackEach()
		f.publish()
		f.wait(warmUp)
		f.establishMany(400, portQueries)
		f.messages = nil
		f.addUpstream("lot-new", 0)
		f.publish()
		backups := 0
		for _, m := range f.messages {
			e, ok := m.event.(*balancer.HandoverReceived)
			if !ok || !e.Handover.Backup {
				continue
			}
			backups += len(e.Handover.Pointers)
			if f.dataCentre[m.to] == f.dataCentre[e.From] {
				t.Errorf("%d backup pointers sent to the rack of their sender", len(e.Handover.Pointers))
			}
		}
		if backups == 0 {
			t.Fatal("the join caused no backup pointers: nothing was tested")
		}
	})
}
