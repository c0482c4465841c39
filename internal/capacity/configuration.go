package capacity

import (
	"runtime"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/member"
	"github.com/chervilhaven/chervilhaven/internal/node"
	"github.com/chervilhaven/chervilhaven/internal/view"
)

// Sizes of the configuration measured. The greatest is that of letter 1.
const (
	sitesOfFleet     = 20
	upstreamsPerSite = 2300
	instancesPerSite = 245
	servicesOfFleet  = 8000
	timedRuns        = 5
)

// configuration measures the store and the compiled view.
func configuration() ([]Slope, error) {
	var compile, memory, patch, change, death, held []Point
	for _, sites := range []int{1, 3, 7, 13, sitesOfFleet} {
		p := plan{dataCentres: sites, services: servicesOfFleet, instances: instancesPerSite, upstreams: upstreamsPerSite}
		upstreams := float64(sites * p.upstreams)
		before := heap()
		store := &view.Store{}
		store.Put(p.values()...)
		memory = append(memory, Point{upstreams, heap() - before})
		revision := 1000
		next := func() view.Value {
			revision++
			return p.upstreamsValue(0, revision, revision)
		}
		compile = append(compile, Point{upstreams, perChange(store, next)})
		have := store.Versions()
		store.Put(next())
		patch = append(patch, Point{upstreams, size(store.ChangesSince(have))})
		runtime.KeepAlive(store)
		w := newNodeCost(p)
		change = append(change, Point{upstreams, w.change})
		death = append(death, Point{upstreams, w.death})
		held = append(held, Point{upstreams, w.memory})
	}
	return []Slope{
		fit("configuration change in the store, one data centre of 2,300 upstreams", "ms", "upstream held", compile),
		fit("configuration change in the whole node", "ms", "upstream held", change),
		fit("change of a member in the whole node", "ms", "upstream held", death),
		fit("view and values held", "bytes", "upstream held", memory),
		fit("whole node without flows", "bytes", "upstream held", held),
		fit("answer to a peer that lacks one change", "bytes", "upstream held", patch),
	}, nil
}

// perChange returns the milliseconds that one changed value costs a store.
func perChange(store *view.Store, next func() view.Value) float64 {
	best := time.Hour
	for range timedRuns {
		v := next()
		start := time.Now()
		store.Put(v)
		best = min(best, time.Since(start))
	}
	return milliseconds(best)
}

// nodeCost is what an instance with its balancer and membership spends.
type nodeCost struct {
	// change is the milliseconds for one changed value of 2,300 upstreams,
	// death those for one member that dies or comes back.
	change float64
	death  float64
	memory float64
}

func newNodeCost(p plan) nodeCost {
	before := heap()
	n, now := startNode(p, balancer.Settings{})
	c := nodeCost{memory: heap() - before, change: time.Hour.Seconds(), death: time.Hour.Seconds()}
	list := p.instanceList(0)
	id, from := idOf(list[len(list)-1].Name), idOf(list[1].Name)
	for i := range timedRuns {
		v := p.upstreamsValue(0, 2000+i, 2000+i)
		now = now.Add(time.Second)
		start := time.Now()
		n.Apply(now, &node.ValuesReceived{Source: node.FromPlatform, Values: []view.Value{v}})
		c.change = min(c.change, milliseconds(time.Since(start)))
		for step, status := range []member.Status{member.Dead, member.Alive} {
			s := member.State{ID: id, Incarnation: uint64(i + step + 1), Status: status}
			start = time.Now()
			n.Apply(now, &node.ProbeAcknowledged{From: from, Digest: member.Digest{Members: []member.State{s}}})
			c.death = min(c.death, milliseconds(time.Since(start)))
		}
	}
	return c
}

// keys measures what each published key costs in comparisons with a peer.
func keys() ([]Slope, error) {
	var bytes, work []Point
	for _, sites := range []int{5, 20, 80, 200} {
		p := plan{dataCentres: sites, services: 10, instances: 1, upstreams: 1}
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

func size(values []view.Value) float64 {
	total := 0
	for _, v := range values {
		total += len(v.Key) + wireKeyBytes + len(v.Content)
	}
	return float64(total)
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
