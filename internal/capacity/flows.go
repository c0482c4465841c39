package capacity

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/ownerrouter"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// upstreamsForFlows is the number of upstreams that hold the measured flows.
const upstreamsForFlows = 400

// FlowsNotOpenError reports that the instance did not admit all flows of a
// measurement.
type FlowsNotOpenError struct{ Open, Wanted int }

func (e *FlowsNotOpenError) Error() string {
	return fmt.Sprintf("instance admitted only %d of %d flows", e.Open, e.Wanted)
}

// flows measures an instance that owns all upstreams of one service.
func flows() ([]Slope, error) {
	var opening, packet, memory []Point
	for _, count := range []int{25_000, 100_000, 200_000, 300_000} {
		open, next, held, err := openFlows(count)
		if err != nil {
			return nil, err
		}
		opening = append(opening, Point{float64(count), open})
		packet = append(packet, Point{float64(count), next})
		memory = append(memory, Point{float64(count), held})
	}
	return []Slope{
		fit("opening packet, all flows open in turn", "ms", "new flow", opening),
		fit("packet of an established flow, one for each flow", "ms", "packet", packet),
		fit("flow table", "bytes", "open flow", memory),
	}, nil
}

// openFlows opens flows and sends one packet on each. It returns the
// milliseconds that each of the two took and the bytes that the flows occupy.
func openFlows(count int) (open, packets, held float64, err error) {
	p := fleetSize{dataCentres: 1, services: 1, instances: 1, upstreams: upstreamsForFlows}
	n, now := startRouter(p, settingsForFlows(count))
	now = warmUp(n, now, p)
	before := heapInUse()
	event := &balancer.FabricPacket{}
	start := time.Now()
	for i := range count {
		event.Packet = flowPacket(i, flow.RoleOpen)
		n.Apply(now, event)
	}
	open = milliseconds(time.Since(start))
	start = time.Now()
	for i := range count {
		event.Packet = flowPacket(i, flow.RoleData)
		n.Apply(now, event)
	}
	packets = milliseconds(time.Since(start))
	held = heapInUse() - before
	if kept := n.Dump().Balancer.Flows; kept < count {
		return 0, 0, 0, &FlowsNotOpenError{Open: kept, Wanted: count}
	}
	return open, packets, held, nil
}

// settingsForFlows returns settings that admit the flows even though no
// upstream responds.
func settingsForFlows(count int) balancer.Settings {
	return balancer.Settings{MaxFlows: 2 * count, IgnoreSlots: true}
}

// warmUp reports all upstreams as healthy for one simulated minute, until their
// slow start is over. It returns the time reached.
func warmUp(n *ownerrouter.Router, now time.Time, p fleetSize) time.Time {
	list := p.upstreamList(0, 0)
	started := now.Add(-time.Hour)
	for range int(time.Minute / balancer.TickInterval) {
		now = now.Add(balancer.TickInterval)
		n.Apply(now, &balancer.Tick{})
		if now.Nanosecond() != 0 {
			continue
		}
		for _, u := range list {
			n.Apply(now, &balancer.StatusReported{Upstream: idOf(u.Name), Ready: true, Started: started})
		}
	}
	return now
}

func flowPacket(i int, role flow.Role) flow.Packet {
	k := flow.Key{
		Source:      netip.AddrPortFrom(address(100, 64+i>>24, i>>8), uint16(1024+i&0xff)),
		Destination: netip.AddrPortFrom(address(198, 0, 0), servicePort), Protocol: flow.ProtocolTCP,
	}
	p := flow.Packet{Key: k, ID: k.ID(), Role: role}
	if role == flow.RoleData {
		p.PayloadBytes = 100
	}
	return p
}
