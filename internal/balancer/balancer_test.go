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

// warmUp is the time after which the limit of a fresh upstream has reached its
// number of connections.
const warmUp = 20 * time.Second

// warmFleet returns a fleet of 4 data centres, 8 instances and 14 warm
// upstreams.
func warmFleet(t testing.TB) *fleet {
	f := newFleet(t, 4, 2, 14, balancer.Settings{})
	f.wait(warmUp)
	return f
}

func TestEstablishedFlowsReachTheirUpstreamFromAnyInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := warmFleet(t)
		held := f.establishMany(500, portQueries)
		for range 3 {
			if n := f.countBroken(held); n > 0 {
				t.Fatalf("%d of %d flows broken", n, len(held))
			}
			f.wait(time.Second)
		}
	})
}

func TestFlowsSurviveUpstreamJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := warmFleet(t)
		held := f.establishMany(500, portQueries)
		f.addUpstream("lot-new", 1)
		f.started["lot-new"] = time.Now()
		f.publish()
		if n := f.countBroken(held); n > 0 {
			t.Fatalf("%d flows broken right after the join", n)
		}
		f.wait(5 * time.Second)
		if n := f.countBroken(held); n > 0 {
			t.Fatalf("%d flows broken after the join", n)
		}
	})
}

func TestFlowsSurviveDoublingOfUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := warmFleet(t)
		held := f.establishMany(500, portQueries)
		for i := range 14 {
			f.addUpstream("lot-extra-"+string(rune('a'+i)), i%4)
		}
		f.publish()
		f.wait(time.Second)
		if n := f.countBroken(held); n > 0 {
			t.Fatalf("%d flows broken by doubling the upstreams", n)
		}
	})
}

func TestFlowsSurviveInstanceKill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for victim := range 8 {
			f := warmFleet(t)
			held := f.establishMany(400, portQueries)
			f.kill(f.order[victim])
			f.wait(time.Second)
			f.gossip()
			if n := f.countBroken(held); n > 0 {
				t.Errorf("%d flows broken by killing instance %d", n, victim)
			}
		}
	})
}

func TestFlowsSurvivePlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for victim := range 8 {
			f := warmFleet(t)
			held := f.establishMany(400, portQueries)
			id := f.order[victim]
			f.stop(id, held)
			if n := f.countBroken(held); n > 0 {
				t.Errorf("%d flows broken by the stop of instance %d", n, victim)
			}
		}
	})
}

// stop runs a planned stop to completion and checks that the established flows
// keep working throughout.
func (f *fleet) stop(id view.ID, held map[flow.Key]string) {
	f.t.Helper()
	f.apply(id, &balancer.StopRequested{})
	f.leaving[id] = true
	f.wait(500 * time.Millisecond)
	f.gossip()
	for range 60 {
		if f.stopped[id] {
			break
		}
		if n := f.countBroken(held); n > 0 {
			f.t.Errorf("%d flows broken during the stop", n)
		}
		f.wait(time.Second)
	}
	if !f.stopped[id] {
		f.t.Fatalf("the planned stop did not finish within 60 s")
	}
	f.kill(id)
	delete(f.leaving, id)
	f.gossip()
}

func TestFlowsSurviveInstanceJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := warmFleet(t)
		held := f.establishMany(400, portQueries)
		f.sources.DataCentres[1].Instances = append(f.sources.DataCentres[1].Instances, instanceNamed("entry-new"))
		id := f.start("entry-new", "pit-1")
		f.apply(id, &balancer.ViewChanged{View: view.Compile(f.sources)})
		// The new instance learns of the members first, the others a second
		// later.
		f.apply(id, &balancer.MembersChanged{Live: f.members("pit-1")})
		for range 10 {
			if n := f.countBroken(held); n > 0 {
				t.Fatalf("%d flows broken while an instance joins", n)
			}
			f.wait(time.Second)
			f.gossip()
		}
	})
}

func TestDrainingUpstreamKeepsFlowsButAdmitsNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := warmFleet(t)
		held := f.establishMany(500, portQueries)
		f.sources.DataCentres[0].Upstreams[0].State = inventory.UpstreamDraining
		drained := f.sources.DataCentres[0].Upstreams[0].Name
		f.publish()
		for k, upstream := range f.establishMany(500, portQueries) {
			if upstream == drained {
				t.Errorf("flow %v opened at the draining upstream", k)
			}
		}
		if n := f.countBroken(held); n > 0 {
			t.Fatalf("%d flows broken by the drain", n)
		}
	})
}

func TestNewUpstreamStaysWithinSlowStartLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := warmFleet(t)
		f.addUpstream("lot-new", 1)
		f.started["lot-new"] = time.Now()
		f.publish()
		joinedAt := time.Now()
		for range 40 {
			f.establishMany(40, portQueries)
			maxOpen := 2 << int(time.Since(joinedAt)/time.Second)
			if open := len(f.open["lot-new"]); open > maxOpen {
				t.Fatalf("%d flows open after %v, want at most %d", open, time.Since(joinedAt), maxOpen)
			}
			f.wait(100 * time.Millisecond)
		}
		if len(f.open["lot-new"]) == 0 {
			t.Fatal("the new upstream got no flows")
		}
	})
}

func TestDataCentreOutOfServiceGetsNoPackets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := warmFleet(t)
		held := f.establishMany(500, portQueries)
		f.sources.Moves.Out = []string{"pit-2"}
		f.publish()
		out := map[string]bool{}
		for _, u := range f.sources.DataCentres[2].Upstreams {
			out[u.Name] = true
		}
		for k, upstream := range held {
			o := f.send(k, flow.RoleData, 100, 2)
			switch {
			case len(o.upstreams) > 0 && out[o.upstream()]:
				t.Errorf("packet went to %v, whose data centre is out of service", o.upstreams)
			case out[upstream] && !o.refused && !o.reset:
				t.Errorf("flow of a data centre out of service was not reset, reason %v", o.reason)
			case !out[upstream] && o.upstream() != upstream:
				t.Errorf("flow of %s went to %v (%v)", upstream, o.upstreams, o.reason)
			}
		}
		for _, upstream := range f.establishMany(200, portQueries) {
			if out[upstream] {
				t.Errorf("flow opened at %s, whose data centre is out of service", upstream)
			}
		}
	})
}

func TestDataCentreReturnsColdUnderFullLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := warmFleet(t)
		f.sources.Moves.Out = []string{"pit-2"}
		f.publish()
		held := f.establishMany(1000, portQueries)
		f.wait(time.Minute)
		for _, u := range f.sources.DataCentres[2].Upstreams {
			f.started[u.Name] = time.Now()
			clear(f.open[u.Name])
		}
		f.sources.Moves.Out = nil
		f.publish()
		start := time.Now()
		for range 30 {
			f.establishMany(50, portQueries)
			maxOpen := 2 << int(time.Since(start)/time.Second)
			for _, u := range f.sources.DataCentres[2].Upstreams {
				if open := len(f.open[u.Name]); open > maxOpen {
					t.Fatalf("%s has %d open flows after %v, want at most %d", u.Name, open, time.Since(start), maxOpen)
				}
			}
			f.wait(100 * time.Millisecond)
		}
		if n := f.countBroken(held); n > 0 {
			t.Fatalf("%d flows broken by the return", n)
		}
	})
}

func TestForwardedOpeningIsNeverRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4, 2, 14, balancer.Settings{})
		f.wait(4 * time.Second)
		refused := 0
		for range 2000 {
			o := f.send(f.newKey(portPostings), flow.RoleOpen, 0, 0)
			if o.refused {
				refused++
			}
			if o.refused && len(o.upstreams) > 0 {
				t.Fatalf("refused although forwarded to %v", o.upstreams)
			}
		}
		if refused == 0 {
			t.Fatal("cold upstreams refused nothing under a burst: nothing was tested")
		}
	})
}

func TestRetransmittedOpeningGoesToSameUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := warmFleet(t)
		first := map[flow.Key]string{}
		for range 300 {
			k := f.newKey(portPostings)
			first[k] = f.send(k, flow.RoleOpen, 0, 0).upstream()
		}
		f.addUpstream("lot-new", 1)
		f.publish()
		f.kill(f.order[3])
		f.wait(time.Second)
		f.gossip()
		for k, upstream := range first {
			o := f.send(k, flow.RoleOpen, 0, 0)
			for _, again := range o.upstreams {
				if again != upstream {
					t.Errorf("posting opened at %s, then at %s", upstream, again)
				}
			}
		}
	})
}
