// Package view compiles the values published by the platform (the control plane)
// into an immutable view of services, data centres, instances, upstreams and
// classes. Its Store keeps the newest version of each value.
package view

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/chervilhaven/chervilhaven/pkg/declaration"
	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

// ID is a 64-bit hash of the name of an upstream or an instance. It replaces the
// name on the wire and in rendezvous hashing. Zero means none.
type ID uint64

// IDFromName returns the ID for the name of an upstream or an instance.
func IDFromName(name string) ID {
	return ID(xxh3.HashString(name))
}

// View is a consistent snapshot of the configuration. It is immutable and safe
// for concurrent use.
type View struct {
	// Version is the newest version among the values that the view was compiled
	// from.
	Version     Version
	Services    []*Service
	DataCentres []*DataCentre

	byAddress  map[netip.Addr]*Service
	byUpstream map[ID]*Upstream
	byInstance map[ID]*Instance
}

// Service is a load-balanced service. Number is its Geneve VNI.
type Service struct {
	Name      string
	Number    uint32
	Addresses []netip.Addr
	// Upstreams are the upstreams in data centres that are not out of service,
	// ordered by ID.
	Upstreams []*Upstream
	// Classes are ordered by name.
	Classes []*Class
}

// Class is a traffic class of a service as declared by operators. The destination
// port of a flow selects it.
type Class struct {
	Name   string
	Port   uint16
	Target declaration.Target
}

// DataCentre is a data centre with its listed instances and its upstreams.
type DataCentre struct {
	Name   string
	Region string
	// OutOfService is true while operators have taken the data centre out of service.
	OutOfService bool
	Instances    []*Instance
	Upstreams    []*Upstream
}

// Instance is a load balancer instance on the platform's list. Packets is the UDP
// address of its Geneve endpoint and Peers its TCP address for RPCs from other
// instances.
type Instance struct {
	ID         ID
	Name       string
	DataCentre *DataCentre
	Rack       string
	Packets    netip.AddrPort
	Peers      netip.AddrPort
	Leaving    bool
}

// Upstream is a back end of a service. Packets is the UDP address of its Geneve
// endpoint and Status the TCP address of its health and load endpoints. Slots is
// the number of requests that it processes concurrently and Connections the
// number of open flows that it supports once warmed up.
type Upstream struct {
	ID          ID
	Name        string
	Service     *Service
	DataCentre  *DataCentre
	Packets     netip.AddrPort
	Status      netip.AddrPort
	Slots       int
	Connections int
	Draining    bool
}

// Sources are the decoded values that a view is compiled from.
type Sources struct {
	Version      Version
	Declarations declaration.Declarations
	Services     []inventory.Service
	DataCentres  []inventory.DataCentre
	Moves        inventory.Moves
}

// Compile builds a view from the sources. The result depends on the content of
// the sources only, not on their order. Upstreams and classes of an unknown
// service are omitted. If several data centres have an upstream or an instance of
// the same name, only the one in the alphabetically first data centre is kept.
func Compile(s Sources) *View {
	instances, upstreams := 0, 0
	for _, d := range s.DataCentres {
		instances += len(d.Instances)
		upstreams += len(d.Upstreams)
	}
	v := &View{
		Version:    s.Version,
		byAddress:  make(map[netip.Addr]*Service),
		byUpstream: make(map[ID]*Upstream, upstreams),
		byInstance: make(map[ID]*Instance, instances),
	}
	services := v.addServices(s.Services)
	sorted := slices.Clone(s.DataCentres)
	slices.SortFunc(sorted, func(a, b inventory.DataCentre) int { return strings.Compare(a.Name, b.Name) })
	for _, d := range sorted {
		v.addDataCentre(d, slices.Contains(s.Moves.Out, d.Name), services)
	}
	for _, c := range s.Declarations.Classes {
		service, ok := services[c.Service]
		if !ok {
			continue
		}
		service.Classes = append(service.Classes, &Class{Name: c.Name, Port: c.Port, Target: c.Target})
	}
	v.sortServices()
	return v
}

func (v *View) addServices(list []inventory.Service) map[string]*Service {
	services := make(map[string]*Service, len(list))
	for _, s := range list {
		service := &Service{Name: s.Name, Number: s.Number, Addresses: s.Addresses}
		services[s.Name] = service
		v.Services = append(v.Services, service)
		for _, a := range s.Addresses {
			v.byAddress[a] = service
		}
	}
	return services
}

// addDataCentre adds a data centre with its instances and upstreams. It omits those
// whose name is already taken, and upstreams of unknown services.
func (v *View) addDataCentre(d inventory.DataCentre, out bool, services map[string]*Service) {
	dataCentre := &DataCentre{Name: d.Name, Region: d.Region, OutOfService: out}
	v.DataCentres = append(v.DataCentres, dataCentre)
	for _, i := range d.Instances {
		instance := &Instance{
			ID: IDFromName(i.Name), Name: i.Name, DataCentre: dataCentre, Rack: i.Rack,
			Packets: i.Packets, Peers: i.Peers, Leaving: i.State == inventory.InstanceLeaving,
		}
		if _, taken := v.byInstance[instance.ID]; taken {
			continue
		}
		dataCentre.Instances = append(dataCentre.Instances, instance)
		v.byInstance[instance.ID] = instance
	}
	// Allocate all upstreams of the data centre at once.
	upstreams := make([]Upstream, 0, len(d.Upstreams))
	dataCentre.Upstreams = make([]*Upstream, 0, len(d.Upstreams))
	for _, u := range d.Upstreams {
		service, ok := services[u.Service]
		id := IDFromName(u.Name)
		if _, taken := v.byUpstream[id]; taken || !ok {
			continue
		}
		upstreams = append(upstreams, Upstream{
			ID: id, Name: u.Name, Service: service, DataCentre: dataCentre,
			Packets: u.Packets, Status: u.Status, Slots: u.Slots, Connections: u.Connections,
			Draining: u.State == inventory.UpstreamDraining,
		})
		v.addUpstream(&upstreams[len(upstreams)-1])
	}
}

func (v *View) addUpstream(u *Upstream) {
	u.DataCentre.Upstreams = append(u.DataCentre.Upstreams, u)
	v.byUpstream[u.ID] = u
	if !u.DataCentre.OutOfService {
		u.Service.Upstreams = append(u.Service.Upstreams, u)
	}
}

// sortServices sorts the services by number, their upstreams by ID and their
// classes by name.
func (v *View) sortServices() {
	slices.SortFunc(v.Services, func(a, b *Service) int { return cmp.Compare(a.Number, b.Number) })
	for _, s := range v.Services {
		slices.SortFunc(s.Upstreams, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
		slices.SortFunc(s.Classes, func(a, b *Class) int { return strings.Compare(a.Name, b.Name) })
	}
}

// Service returns the service with the given public address.
func (v *View) Service(address netip.Addr) (*Service, bool) {
	s, ok := v.byAddress[address]
	return s, ok
}

// Upstream returns the upstream with the given ID, even if its data centre is out
// of service.
func (v *View) Upstream(id ID) (*Upstream, bool) {
	u, ok := v.byUpstream[id]
	return u, ok
}

// Instance returns the listed instance with the given ID.
func (v *View) Instance(id ID) (*Instance, bool) {
	i, ok := v.byInstance[id]
	return i, ok
}

// Class returns the traffic class with the given destination port.
func (s *Service) Class(port uint16) (*Class, bool) {
	for _, c := range s.Classes {
		if c.Port == port {
			return c, true
		}
	}
	return nil, false
}

// AnswerWithin returns the maximum time from a request to the start of its
// response, or zero if none is declared. The receiver may be nil.
func (c *Class) AnswerWithin() time.Duration {
	if c == nil {
		return 0
	}
	return c.Target.AnswerWithin
}
