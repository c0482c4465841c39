package capacity

import (
	"time"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/ownerrouter"
)

// startRouter returns a serving router of the fleet's first data centre, and the
// simulated time reached. No peer responds: the router starts with the values of
// the platform after all fetches from the instances of its data centre failed.
func startRouter(p fleetSize, settings balancer.Settings) (*ownerrouter.Router, time.Time) {
	now := time.Unix(1_800_000_000, 0)
	first := p.instanceList(0)[0]
	n := ownerrouter.New(ownerrouter.Config{
		Name: first.Name, DataCentre: dataCentreName(0), Packets: first.Packets, Peers: first.Peers,
		Incarnation: 1, Seed: 1, Balancer: settings,
	})
	n.Apply(now, &balancer.Tick{})
	n.Apply(now, &ownerrouter.ValuesReceived{Source: ownerrouter.FromPlatform, Values: p.values()})
	for _, i := range p.instanceList(0) {
		n.Apply(now, &ownerrouter.FetchFailed{Peer: idOf(i.Name)})
	}
	now = now.Add(5 * time.Second)
	n.Apply(now, &balancer.Tick{})
	return n, now
}
