package capacity

import (
	"runtime"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/member"
	"github.com/chervilhaven/chervilhaven/internal/ownerrouter"
	"github.com/chervilhaven/chervilhaven/internal/view"
)

// Sizes of the measured configurations. The largest one is the greatest fleet
// that the requirements name.
const (
	maxDataCentres         = 20
	upstreamsPerDataCentre = 2300
	instancesPerDataCentre = 245
	fleetServices          = 8000
	timedRuns              = 5
)

// configuration measures the configuration store and the view compiled from it.
func configuration() ([]Slope, error) {
	var compile, memory, patch, change, memberChange, held []Point
	for _, dataCentres := range []int{1, 3, 7, 13, maxDataCentres} {
		p := fleetSize{dataCentres: dataCentres, services: fleetServices, instances: instancesPerDataCentre, upstreams: upstreamsPerDataCentre}
		upstreams := float64(dataCentres * p.upstreams)
		before := heapInUse()
		store := &view.Store{}
		store.Put(p.values()...)
		memory = append(memory, Point{upstreams, heapInUse() - before})
		revision := 1000
		next := func() view.Value {
			revision++
			return p.upstreamsValue(0, revision, revision)
		}
		compile = append(compile, Point{upstreams, changeCost(store, next)})
		have := store.Versions()
		store.Put(next())
		patch = append(patch, Point{upstreams, wireSize(store.ChangesSince(have))})
		runtime.KeepAlive(store)
		w := measureRouterCost(p)
		change = append(change, Point{upstreams, w.valueChange})
		memberChange = append(memberChange, Point{upstreams, w.memberChange})
		held = append(held, Point{upstreams, w.memory})
	}
	return []Slope{
		fit("configuration change in the store, one data centre of 2,300 upstreams", "ms", "upstream held", compile),
		fit("configuration change in the whole node", "ms", "upstream held", change),
		fit("change of a member in the whole node", "ms", "upstream held", memberChange),
		fit("view and values held", "bytes", "upstream held", memory),
		fit("whole node without flows", "bytes", "upstream held", held),
		fit("answer to a peer that lacks one change", "bytes", "upstream held", patch),
	}, nil
}

// changeCost returns the milliseconds that a store takes to apply one changed
// value, as the shortest of timedRuns changes.
func changeCost(store *view.Store, next func() view.Value) float64 {
	best := time.Hour
	for range timedRuns {
		v := next()
		start := time.Now()
		store.Put(v)
		best = min(best, time.Since(start))
	}
	return milliseconds(best)
}

// routerCost is what a router without sockets needs for its configuration store,
// balancer and membership together. The printed table calls it the whole node.
type routerCost struct {
	// valueChange is the time in milliseconds to apply one changed value of
	// 2,300 upstreams, memberChange the time for one member that dies or comes
	// back.
	valueChange  float64
	memberChange float64
	// memory is the heap in bytes, without flows.
	memory float64
}

func measureRouterCost(p fleetSize) routerCost {
	before := heapInUse()
	n, now := startRouter(p, balancer.Settings{})
	c := routerCost{memory: heapInUse() - before, valueChange: time.Hour.Seconds(), memberChange: time.Hour.Seconds()}
	list := p.instanceList(0)
	id, from := idOf(list[len(list)-1].Name), idOf(list[1].Name)
	for i := range timedRuns {
		v := p.upstreamsValue(0, 2000+i, 2000+i)
		now = now.Add(time.Second)
		start := time.Now()
		n.Apply(now, &ownerrouter.ValuesReceived{Source: ownerrouter.FromPlatform, Values: []view.Value{v}})
		c.valueChange = min(c.valueChange, milliseconds(time.Since(start)))
		for step, status := range []member.Status{member.Dead, member.Alive} {
			s := member.State{ID: id, Incarnation: uint64(i + step + 1), Status: status}
			start = time.Now()
			n.Apply(now, &ownerrouter.ProbeAcknowledged{From: from, Digest: member.Digest{Members: []member.State{s}}})
			c.memberChange = min(c.memberChange, milliseconds(time.Since(start)))
		}
	}
	return c
}

// keys measures what each published key costs when a peer compares its versions
// with another.
func keys() ([]Slope, error) {
	var bytes, work []Point
	for _, dataCentres := range []int{5, 20, 80, 200} {
		p := fleetSize{dataCentres: dataCentres, services: 10, instances: 1, upstreams: 1}
		store := &view.Store{}
		store.Put(p.values()...)
		have := store.Versions()
		total := 0
		for _, k := range have {
			total += wireKeyBytes + len(k.Key)
		}
		bytes = append(bytes, Point{float64(len(have)), float64(total)})
		spent := fastest(timedRuns, func() { store.ChangesSince(store.Versions()) })
		work = append(work, Point{float64(len(have)), float64(spent.Nanoseconds()) / 1000})
	}
	return []Slope{
		fit("comparison of all keys with a peer, request", "bytes", "key", bytes),
		fit("comparison of all keys with a peer, both sides", "us", "key", work),
	}, nil
}

// wireKeyBytes is the size of a key's version and framing in protobuf.
const wireKeyBytes = 14

func wireSize(values []view.Value) float64 {
	total := 0
	for _, v := range values {
		total += len(v.Key) + wireKeyBytes + len(v.Content)
	}
	return float64(total)
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
