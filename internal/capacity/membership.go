package capacity

import (
	"encoding/json"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/member"
	"github.com/chervilhaven/chervilhaven/internal/view"
)

// simulatedSeconds is the simulated time over which the cost of an idle fleet
// is averaged.
const simulatedSeconds = 60

func idOf(name string) view.ID { return view.IDFromName(name) }

// membership measures the membership protocol of one instance in fleets of
// growing size.
func membership() ([]Slope, error) {
	var memory, work, bytes, change, dump []Point
	for _, instances := range []int{10, 50, 120, instancesPerDataCentre} {
		p := fleetSize{dataCentres: maxDataCentres, services: 1, instances: instances, upstreams: 1}
		store := &view.Store{}
		store.Put(p.values()...)
		v := store.View()
		before := heapInUse()
		m, now := startMember(p, v)
		members := float64(p.dataCentres * instances)
		memory = append(memory, Point{members, heapInUse() - before})
		spent, sent := idleCost(m, now)
		work = append(work, Point{members, spent})
		bytes = append(bytes, Point{members, sent})
		change = append(change, Point{members, memberChangeCost(m, now.Add(time.Hour), p)})
		state, err := json.Marshal(m.Dump(now))
		if err != nil {
			return nil, err
		}
		dump = append(dump, Point{members, float64(len(state))})
	}
	return []Slope{
		fit("membership held", "bytes", "member", memory),
		fit("membership work when idle", "us/s", "member", work),
		fit("digests sent by probes, with answers", "bytes/s", "member", bytes),
		fit("membership work for one change of a member", "us", "member", change),
		fit("members in a dump", "bytes", "member", dump),
	}, nil
}

func startMember(p fleetSize, v *view.View) (*member.Membership, time.Time) {
	now := time.Unix(1_800_000_000, 0)
	first := p.instanceList(0)[0]
	m := member.New(member.Config{
		Name: first.Name, DataCentre: dataCentreName(0), Packets: first.Packets, Peers: first.Peers,
		Incarnation: 1, Seed: 1,
	})
	m.Apply(now, &member.ViewChanged{View: v})
	return m, now
}

// idleCost returns the microseconds of work and the bytes of digests per
// simulated second in which every probe is answered.
func idleCost(m *member.Membership, now time.Time) (work, bytes float64) {
	total := 0
	start := time.Now()
	for range simulatedSeconds * int(time.Second/balancer.TickInterval) {
		now = now.Add(balancer.TickInterval)
		for _, e := range append([]member.Effect{}, m.Apply(now, &member.Tick{})...) {
			if e.Kind != member.Probe {
				continue
			}
			total += digestBytes(e.Digest)
			answer := member.Digest{Members: []member.State{{ID: e.Peer, Incarnation: 1, Status: member.Alive}}}
			m.Apply(now, &member.ProbeAcknowledged{From: e.Peer, Digest: answer})
			for _, r := range m.Apply(now, &member.ProbeReceived{From: e.Peer, Digest: answer}) {
				if r.Kind == member.ProbeReply {
					total += digestBytes(r.Digest)
				}
			}
		}
	}
	spent := time.Since(start)
	return float64(spent.Microseconds()) / simulatedSeconds, float64(total) / simulatedSeconds
}

// memberChangeCost returns the microseconds that an instance takes to process
// one change of a member, as the mean of a death and a return.
func memberChangeCost(m *member.Membership, now time.Time, p fleetSize) float64 {
	list := p.instanceList(0)
	id, from := idOf(list[len(list)-1].Name), idOf(list[1].Name)
	incarnation := uint64(1)
	spent := fastest(timedRuns, func() {
		incarnation++
		for _, s := range []member.Status{member.Dead, member.Alive} {
			d := member.Digest{Members: []member.State{{ID: id, Incarnation: incarnation, Status: s}}}
			if s == member.Alive {
				d.Members[0].Incarnation++
			}
			m.Apply(now, &member.ProbeAcknowledged{From: from, Digest: d})
		}
		incarnation++
	})
	return float64(spent.Microseconds()) / 2
}

// Sizes of the parts of a digest in protobuf.
const (
	wireDigestBytes = 30
	wireStateBytes  = 24
)

func digestBytes(d member.Digest) int {
	return wireDigestBytes + wireStateBytes*len(d.Members)
}
