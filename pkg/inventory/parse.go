package inventory

import (
	"net/netip"
	"slices"

	"github.com/chervilhaven/chervilhaven/internal/yamlfile"
)

// Limits on inventories.
const (
	// MaxBytes is the maximum size of an inventory file. It holds the whole fleet,
	// which the platform publishes as values of at most one megabyte each.
	MaxBytes = 16 << 20
	// MaxNumber is the largest service number, a 24-bit Geneve VNI.
	MaxNumber = 1<<24 - 1
	// MaxSlots is the maximum number of slots of an upstream.
	MaxSlots = 1 << 16
	// MaxConnections is the maximum number of connections of an upstream.
	MaxConnections = 1 << 24
)

// reference is the use of a service name that is resolved after all services have
// been parsed.
type reference struct {
	value yamlfile.Value
	name  string
}

// parser holds the state of parsing one file: the values that must be unique and
// the references to resolve at the end.
type parser struct {
	services    yamlfile.UniqueChecker[string]
	numbers     yamlfile.UniqueChecker[uint32]
	addresses   yamlfile.UniqueChecker[netip.Addr]
	dataCentres yamlfile.UniqueChecker[string]
	instances   yamlfile.UniqueChecker[string]
	upstreams   yamlfile.UniqueChecker[string]
	// udpAddresses holds the packet addresses of instances and upstreams: no two
	// processes can receive Geneve at the same address.
	udpAddresses yamlfile.UniqueChecker[netip.AddrPort]
	// tcpAddresses holds the peer addresses of instances and the status addresses
	// of upstreams.
	tcpAddresses yamlfile.UniqueChecker[netip.AddrPort]
	references   []reference
}

// Parse parses an inventory file. If the error is not nil, it is a
// yamlfile.Faults with the faults of the file. The result depends only on the
// arguments, so all instances accept or reject the same content.
func Parse(name string, content []byte) (Inventory, error) {
	r := &parser{}
	return yamlfile.Read(name, content, MaxBytes, func(m *yamlfile.Map) Inventory {
		services, dataCentres := m.Get("services"), m.Get("data-centres")
		i := Inventory{
			Services:    yamlfile.List(services, r.service),
			DataCentres: yamlfile.List(dataCentres, r.dataCentre),
		}
		requireNonEmpty(services, i.Services, "one service or more")
		requireNonEmpty(dataCentres, i.DataCentres, "one data centre or more")
		r.resolveReferences()
		return i
	})
}

// ParseMoves parses a moves file. If the error is not nil, it is a
// yamlfile.Faults.
func ParseMoves(name string, content []byte) (Moves, error) {
	return parseMoves(name, content, nil)
}

// ParseMovesWithDataCentres is like ParseMoves but also rejects data centres that are not in
// the given list of names.
func ParseMovesWithDataCentres(name string, content []byte, dataCentres []string) (Moves, error) {
	if dataCentres == nil {
		dataCentres = []string{}
	}
	return parseMoves(name, content, dataCentres)
}

func parseMoves(name string, content []byte, dataCentres []string) (Moves, error) {
	var names yamlfile.UniqueChecker[string]
	return yamlfile.Read(name, content, yamlfile.MaxBytes, func(m *yamlfile.Map) Moves {
		return Moves{Out: yamlfile.List(m.Get("out"), func(v yamlfile.Value) string {
			name := v.Name()
			names.Add(v, name)
			if dataCentres != nil && !slices.Contains(dataCentres, name) {
				v.AddUnresolved(name, "a data centre of the inventory")
			}
			return name
		})}
	})
}

// ServiceNames returns the names of the services in inventory order.
func (i Inventory) ServiceNames() []string {
	names := make([]string, len(i.Services))
	for n, s := range i.Services {
		names[n] = s.Name
	}
	return names
}

// DataCentreNames returns the names of the data centres in inventory order.
func (i Inventory) DataCentreNames() []string {
	names := make([]string, len(i.DataCentres))
	for n, d := range i.DataCentres {
		names[n] = d.Name
	}
	return names
}

func requireNonEmpty[T any](v yamlfile.Value, items []T, expected string) {
	if items != nil && len(items) == 0 {
		v.AddFault(yamlfile.OutOfRange, "found an empty list", expected)
	}
}

func (r *parser) service(v yamlfile.Value) Service {
	m := v.Map()
	name, number, addresses := m.Get("name"), m.Get("number"), m.Get("addresses")
	s := Service{
		Name:      name.Name(),
		Number:    uint32(number.Int(1, MaxNumber)),
		Addresses: yamlfile.List(addresses, r.address),
	}
	r.services.Add(name, s.Name)
	r.numbers.Add(number, s.Number)
	requireNonEmpty(addresses, s.Addresses, "one address or more")
	return s
}

func (r *parser) address(v yamlfile.Value) netip.Addr {
	a := v.Addr()
	r.addresses.Add(v, a)
	return a
}

func (r *parser) dataCentre(v yamlfile.Value) DataCentre {
	m := v.Map()
	name := m.Get("name")
	d := DataCentre{
		Name:      name.Name(),
		Region:    m.Get("region").Name(),
		Instances: yamlfile.List(m.Get("instances"), r.instance),
		Upstreams: yamlfile.List(m.Get("upstreams"), r.upstream),
	}
	r.dataCentres.Add(name, d.Name)
	return d
}

func (r *parser) instance(v yamlfile.Value) Instance {
	m := v.Map()
	name, packets, peers := m.Get("name"), m.Get("packets"), m.Get("peers")
	i := Instance{
		Name:    name.Name(),
		Packets: packets.AddrPort(),
		Peers:   peers.AddrPort(),
		Rack:    yamlfile.Optional(m, "rack", yamlfile.Value.Name),
		State:   yamlfile.Optional(m, "state", instanceState),
	}
	r.instances.Add(name, i.Name)
	r.udpAddresses.Add(packets, i.Packets)
	r.tcpAddresses.Add(peers, i.Peers)
	return i
}

func (r *parser) upstream(v yamlfile.Value) Upstream {
	m := v.Map()
	name, service, packets, status := m.Get("name"), m.Get("service"), m.Get("packets"), m.Get("status")
	u := Upstream{
		Name:        name.Name(),
		Service:     service.Name(),
		Packets:     packets.AddrPort(),
		Status:      status.AddrPort(),
		Slots:       m.Get("slots").Int(1, MaxSlots),
		Connections: m.Get("connections").Int(1, MaxConnections),
		State:       yamlfile.Optional(m, "state", upstreamState),
	}
	r.upstreams.Add(name, u.Name)
	r.udpAddresses.Add(packets, u.Packets)
	r.tcpAddresses.Add(status, u.Status)
	r.references = append(r.references, reference{value: service, name: u.Service})
	return u
}

func instanceState(v yamlfile.Value) InstanceState {
	return InstanceState(v.OneOf(string(InstanceLive), string(InstanceLeaving)))
}

func upstreamState(v yamlfile.Value) UpstreamState {
	return UpstreamState(v.OneOf(string(UpstreamActive), string(UpstreamDraining)))
}

// resolveReferences reports upstreams of unknown services. It runs last, so that the
// order of services and data centres in the file does not matter.
func (r *parser) resolveReferences() {
	for _, ref := range r.references {
		if !r.services.Has(ref.name) {
			ref.value.AddUnresolved(ref.name, "a service of this file")
		}
	}
}
