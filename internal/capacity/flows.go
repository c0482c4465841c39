package capacity

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/node"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// upstreamsOfFlows bear the flows that are measured.
const upstreamsOfFlows = 400

// FlowsNotOpenError tells that flows meant to be measured were not admitted.
type FlowsNotOpenError struct{ Open, Wanted int }

func (e *FlowsNotOpenError) Error() string {
	return fmt.Sprintf("only %d of %d flows are open", e.Open, e.Wanted)
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

// openFlows opens flows and sends one packet on each. It returns milliseconds
// for both and the bytes held.
func openFlows(count int) (open, packets, held float64, err error) {
	p := plan{dataCentres: 1, services: 1, instances: 1, upstreams: upstreamsOfFlows}
	n, now := startNode(p, settingsOfFlows(count))
	now = warm(n, now, p)
	before := heap()
	event := &balancer.FabricPacket{}
	start := time.Now()
	for i := range count {
		event.Packet = packetOf(i, flow.Open)
		n.Apply(now, event)
	}
	open = milliseconds(time.Since(start))
	start = time.Now()
	for i := range count {
		event.Packet = packetOf(i, flow.Data)
		n.Apply(now, event)
	}
	packets = milliseconds(time.Since(start))
	held = heap() - before
	if kept := n.Dump().Balancer.Flows; kept < count {
		return 0, 0, 0, &FlowsNotOpenError{Open: kept, Wanted: count}
	}
	return open, packets, held, nil
}

// settingsOfFlows lets flows open without waiting for answers.
func settingsOfFlows(count int) balancer.Settings {
	return balancer.Settings{MaxFlows: 2 * count, IgnoreSlots: true}
}

// warm reports all upstreams as healthy until slow start is over.
func warm(n *node.Node, now time.Time, p plan) time.Time {
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

func packetOf(i int, role flow.Role) flow.Packet {
	k := flow.Key{
		Source:      netip.AddrPortFrom(address(100, 64+i>>24, i>>8), uint16(1024+i&0xff)),
		Destination: netip.AddrPortFrom(address(198, 0, 0), servicePort), Protocol: flow.ProtocolTCP,
	}
	p := flow.Packet{Key: k, ID: k.ID(), Role: role}
	if role == flow.Data {
		p.Payload = 100
	}
	return p
}
