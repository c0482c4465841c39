package capacity

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

// Parameters of a generated fleet.
const (
	addressesPerService = 2
	regions             = 6
	slots               = 2
	connections         = 2000
	packetsPort         = 6081
	peersPort           = 7400
	servicePort         = 7001
)

// fleetSize is the size of a generated fleet.
type fleetSize struct {
	dataCentres int
	services    int
	// instances and upstreams are counts per data centre.
	instances int
	upstreams int
}

func dataCentreName(dataCentre int) string { return fmt.Sprintf("dc-%02d", dataCentre) }

// address returns the IPv4 address with the given first two octets and the number
// in the other two.
func address(first, second, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{byte(first), byte(second), byte(number >> 8), byte(number)})
}

func (p fleetSize) serviceList() []inventory.Service {
	list := make([]inventory.Service, p.services)
	for i := range list {
		list[i] = inventory.Service{Name: fmt.Sprintf("service-%04d", i), Number: uint32(i + 1)}
		for a := range addressesPerService {
			list[i].Addresses = append(list[i].Addresses, address(198, a, i))
		}
	}
	return list
}

func (p fleetSize) instanceList(dataCentre int) []inventory.Instance {
	list := make([]inventory.Instance, p.instances)
	for i := range list {
		a := address(10, dataCentre, i)
		list[i] = inventory.Instance{
			Name: fmt.Sprintf("%s-i%04d", dataCentreName(dataCentre), i), Rack: fmt.Sprintf("rack-%02d", i/16),
			Packets: netip.AddrPortFrom(a, packetsPort), Peers: netip.AddrPortFrom(a, peersPort),
		}
	}
	return list
}

func (p fleetSize) upstreamList(dataCentre, changed int) []inventory.Upstream {
	list := make([]inventory.Upstream, p.upstreams)
	for i := range list {
		a := address(11, dataCentre, i)
		list[i] = inventory.Upstream{
			Name: fmt.Sprintf("%s-u%05d", dataCentreName(dataCentre), i), Service: fmt.Sprintf("service-%04d", i%p.services),
			Packets: netip.AddrPortFrom(a, packetsPort), Status: netip.AddrPortFrom(a, peersPort),
			Slots: slots, Connections: connections,
		}
	}
	if changed > 0 {
		list[changed%p.upstreams].State = inventory.UpstreamDraining
	}
	return list
}

// values returns the values that the platform publishes for the fleet.
func (p fleetSize) values() []view.Value {
	list := []view.Value{
		value(view.KeyServices, 1, map[string]any{"services": p.serviceList()}),
		{Key: view.KeyDeclarations, Version: version(2), Content: []byte(p.declarations())},
	}
	for dataCentre := range p.dataCentres {
		list = append(list,
			value(view.PrefixInstances+dataCentreName(dataCentre), len(list)+1, map[string]any{
				"region": fmt.Sprintf("region-%d", dataCentre%regions), "instances": p.instanceList(dataCentre),
			}),
			p.upstreamsValue(dataCentre, len(list)+2, 0))
	}
	return list
}

// upstreamsValue returns the value that lists one data centre's upstreams. If
// changed is positive, one of them is draining.
func (p fleetSize) upstreamsValue(dataCentre, revision, changed int) view.Value {
	return value(view.PrefixUpstreams+dataCentreName(dataCentre), revision,
		map[string]any{"upstreams": p.upstreamList(dataCentre, changed)})
}

func (p fleetSize) declarations() string {
	text := "classes:\n"
	for i := range p.services {
		text += fmt.Sprintf("  - {name: class-%04d, service: service-%04d, port: %d, "+
			"target: {answer-within: 200ms, share: 0.99}}\n", i, i, servicePort)
	}
	return text
}

func version(revision int) view.Version {
	return view.Version{Generation: 1, Revision: uint64(revision)}
}

func value(key string, revision int, content any) view.Value {
	b, err := json.Marshal(content)
	if err != nil {
		// Encoding cannot fail, as only the types above are encoded.
		panic(err)
	}
	return view.Value{Key: key, Version: version(revision), Content: b}
}
