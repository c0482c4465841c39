// Package deployment runs all parts of a deployment except the instances on
// loopback addresses: platform, fabric, upstreams and callers. It can change the
// deployment and inject faults.
package deployment

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chervilhaven/chervilhaven/internal/fake/caller"
	"github.com/chervilhaven/chervilhaven/internal/fake/fabric"
	"github.com/chervilhaven/chervilhaven/internal/fake/platform"
	"github.com/chervilhaven/chervilhaven/internal/fake/upstream"
	"github.com/chervilhaven/chervilhaven/pkg/declaration"
	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

// coldGrace is the time in which no instance can know that an upstream has lost
// its caches: one status poll interval plus a margin.
const coldGrace = 1500 * time.Millisecond

// Config describes a deployment.
type Config struct {
	// Inventory lists the services, instances and upstreams. The addresses of
	// instances and upstreams are replaced by loopback addresses.
	Inventory    inventory.Inventory
	Declarations declaration.Declarations
	Moves        inventory.Moves
	// Flows describes the flows of callers. Destination and Target are filled
	// in from the declared class of the same name.
	Flows []caller.Class
	Ramp  time.Duration
	Seed  uint64
	// ProxyLinks puts a fault-injecting proxy on each TCP link between instances
	// and from instances to the platform.
	ProxyLinks bool
}

// Endpoint is a running upstream with its entry in the inventory.
type Endpoint struct {
	*upstream.Upstream
	Name       string
	Service    string
	DataCentre string
	// ExcludedFromImbalance is set when an event has affected the upstream, so
	// that its share of flows no longer shows how well load is balanced.
	ExcludedFromImbalance bool
}

// Deployment is a running deployment without its instances.
type Deployment struct {
	Platform  *platform.Platform
	Fabric    *fabric.Fabric
	Caller    *caller.Caller
	Endpoints []*Endpoint

	config      Config
	network     *network
	linkProxies linkProxies
	runCounter  upstream.RunCounter
	goroutines  sync.WaitGroup
	stop        context.CancelFunc

	mutex     sync.Mutex
	inventory inventory.Inventory
	moves     inventory.Moves
	// dataCentresEverOut holds the data centres that were ever taken out of
	// service.
	dataCentresEverOut map[string]bool
	endpointsByAddress map[netip.AddrPort]*Endpoint
	// attached holds the instances that the fabric forwards packets to.
	attached        []fabric.Instance
	openFlowSamples openFlowSamples
	runErr          error
}

// InstanceAddresses holds what an instance needs to run in the deployment.
type InstanceAddresses struct {
	Name       string
	DataCentre string
	Packets    netip.AddrPort
	Peers      netip.AddrPort
	Inspect    netip.AddrPort
	Platform   netip.AddrPort
	Fabric     netip.AddrPort
}

// UnknownError reports a name that the deployment does not have.
type UnknownError struct{ Kind, Name string }

// Error returns the kind and the name of what was not found.
func (e *UnknownError) Error() string { return fmt.Sprintf("deployment has no %s %q", e.Kind, e.Name) }

// SizeError reports a deployment that does not fit into a loopback network of
// 256 addresses.
type SizeError struct{ Instances, Upstreams int }

// Error returns the numbers of instances and upstreams.
func (e *SizeError) Error() string {
	return fmt.Sprintf("%d instances and %d upstreams do not fit into a loopback network", e.Instances, e.Upstreams)
}

// New returns a deployment whose sockets are open and whose inventory is
// published. Run starts to serve.
func New(c Config) (*Deployment, error) {
	n, err := newNetwork()
	if err != nil {
		return nil, err
	}
	s := &Deployment{
		config: c, network: n, stop: func() {}, moves: c.Moves,
		dataCentresEverOut: make(map[string]bool), endpointsByAddress: make(map[netip.AddrPort]*Endpoint),
	}
	s.openFlowSamples.openFlows = make(map[string]int)
	if err := s.build(); err != nil {
		return nil, errors.CombineErrors(err, s.Close())
	}
	return s, nil
}

func (s *Deployment) build() error {
	var err error
	if s.inventory, err = s.withLoopbackAddresses(s.config.Inventory); err != nil {
		return err
	}
	if s.Platform, err = platform.New(platform.Config{Address: s.network.address(hostPlatform, portPlatform)}); err != nil {
		return err
	}
	s.Fabric, err = fabric.New(fabric.Config{Address: s.network.address(hostFabric, portPackets), Seed: s.config.Seed})
	if err != nil {
		return err
	}
	s.Caller, err = caller.New(caller.Config{
		Address: s.network.address(hostCaller, portPackets), Fabric: s.Fabric.Address(),
		Seed: s.config.Seed, Ramp: s.config.Ramp, Classes: s.flowClasses(),
		RunCount: s.runCounter.RunCount, DataCentreOut: s.everOut,
	})
	if err != nil {
		return err
	}
	if err := s.buildEndpoints(); err != nil {
		return err
	}
	if err := s.buildLinks(); err != nil {
		return err
	}
	err = s.Platform.PublishInventory(s.inventory)
	err = errors.CombineErrors(err, s.Platform.PublishDeclarations(s.config.Declarations))
	return errors.CombineErrors(err, s.Platform.PublishMoves(s.moves))
}

// withLoopbackAddresses returns a copy of the inventory with loopback addresses
// for instances and upstreams.
func (s *Deployment) withLoopbackAddresses(i inventory.Inventory) (inventory.Inventory, error) {
	local := inventory.Inventory{Services: slices.Clone(i.Services)}
	instances, upstreams := 0, 0
	for _, d := range i.DataCentres {
		d.Instances, d.Upstreams = slices.Clone(d.Instances), slices.Clone(d.Upstreams)
		for j := range d.Instances {
			d.Instances[j].Packets = s.network.address(hostInstances+instances, portPackets)
			d.Instances[j].Peers = s.network.address(hostInstances+instances, portPeers)
			instances++
		}
		for j := range d.Upstreams {
			d.Upstreams[j].Packets = s.network.address(hostUpstreams+upstreams, portPackets)
			d.Upstreams[j].Status = s.network.address(hostUpstreams+upstreams, portStatus)
			upstreams++
		}
		local.DataCentres = append(local.DataCentres, d)
	}
	if instances > maxInstances || upstreams > maxUpstreams {
		return local, &SizeError{Instances: instances, Upstreams: upstreams}
	}
	return local, nil
}

// flowClasses returns the configured flows with the destination and the target
// of their declared class.
func (s *Deployment) flowClasses() []caller.Class {
	flows := slices.Clone(s.config.Flows)
	for i := range flows {
		for _, c := range s.config.Declarations.Classes {
			if c.Name != flows[i].Name {
				continue
			}
			flows[i].Target = c.Target
			for _, service := range s.inventory.Services {
				if service.Name == c.Service {
					flows[i].Destination = netip.AddrPortFrom(service.Addresses[0], c.Port)
				}
			}
		}
	}
	return flows
}

func (s *Deployment) buildEndpoints() error {
	services := make(map[string]inventory.Service)
	for _, service := range s.inventory.Services {
		services[service.Name] = service
	}
	for _, d := range s.inventory.DataCentres {
		for _, u := range d.Upstreams {
			service := services[u.Service]
			endpoint, err := upstream.New(upstream.Config{
				Name: u.Name, Service: service.Number, Addresses: service.Addresses,
				Packets: u.Packets, Status: u.Status, ReturnAddress: s.Caller.Address(),
				Slots: u.Slots, Connections: u.Connections, Warm: true,
				ColdGrace: coldGrace, RunCounter: &s.runCounter,
			})
			if err != nil {
				return err
			}
			e := &Endpoint{Upstream: endpoint, Name: u.Name, Service: u.Service, DataCentre: d.Name}
			s.Endpoints = append(s.Endpoints, e)
			s.endpointsByAddress[u.Packets] = e
		}
	}
	return nil
}

// Run starts all components and returns. They stop when the context is done or
// Close is called.
func (s *Deployment) Run(ctx context.Context) {
	ctx, s.stop = context.WithCancel(ctx)
	s.start(ctx, s.Platform.Run)
	s.start(ctx, s.Fabric.Run)
	s.start(ctx, s.Caller.Run)
	for _, e := range s.Endpoints {
		s.start(ctx, e.Run)
	}
	for _, p := range s.linkProxies.proxies() {
		s.start(ctx, p.Run)
	}
	s.goroutines.Go(func() { s.sampleOpenFlows(ctx) })
}

func (s *Deployment) start(ctx context.Context, serve func(context.Context) error) {
	s.goroutines.Go(func() {
		err := serve(ctx)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.runErr = errors.CombineErrors(s.runErr, err)
	})
}

// Close stops all components, waits for them and returns their errors.
func (s *Deployment) Close() error {
	s.stop()
	s.goroutines.Wait()
	if s.Platform != nil {
		_ = s.Platform.Close()
	}
	if s.Fabric != nil {
		_ = s.Fabric.Close()
	}
	if s.Caller != nil {
		_ = s.Caller.Close()
	}
	for _, e := range s.Endpoints {
		_ = e.Close()
	}
	for _, p := range s.linkProxies.proxies() {
		_ = p.Close()
	}
	return errors.CombineErrors(s.runErr, s.network.close())
}

// Instances returns the addresses for each instance of the inventory. The
// platform address is that of a proxy if Config.ProxyLinks is set.
func (s *Deployment) Instances() []InstanceAddresses {
	var list []InstanceAddresses
	for _, d := range s.inventory.DataCentres {
		platformAddress := s.Platform.Address()
		if p, ok := s.linkProxies.platform[d.Name]; ok {
			platformAddress = p.Address()
		}
		for _, i := range d.Instances {
			list = append(list, InstanceAddresses{
				Name: i.Name, DataCentre: d.Name, Packets: i.Packets, Peers: s.peerListenAddress(i.Peers),
				Inspect:  netip.AddrPortFrom(i.Peers.Addr(), portInspect),
				Platform: platformAddress, Fabric: s.Fabric.Address(),
			})
		}
	}
	return list
}

// peerListenAddress returns the address on which an instance listens for peers,
// given the one in the inventory. They differ if Config.ProxyLinks is set: the
// inventory then has the address of the proxy.
func (s *Deployment) peerListenAddress(listed netip.AddrPort) netip.AddrPort {
	if !s.config.ProxyLinks {
		return listed
	}
	return netip.AddrPortFrom(listed.Addr(), portPeersBehindProxy)
}
