package deployment

import (
	"net/netip"
	"slices"

	"github.com/chervilhaven/chervilhaven/internal/fake/fabric"
	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

// AddToFabric adds the instance to those that the fabric forwards packets to.
func (s *Deployment) AddToFabric(a InstanceAddresses) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.attached = append(s.attached, fabric.Instance{Address: a.Packets, DataCentre: a.DataCentre})
	s.Fabric.SetInstances(s.attached)
}

// RemoveFromFabric removes the instance from those that the fabric forwards
// packets to. The published inventory does not change.
func (s *Deployment) RemoveFromFabric(a InstanceAddresses) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.attached = slices.DeleteFunc(s.attached, func(i fabric.Instance) bool { return i.Address == a.Packets })
	s.Fabric.SetInstances(s.attached)
}

// MarkInstanceLeaving publishes the state "leaving" for the instance.
func (s *Deployment) MarkInstanceLeaving(name string) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, d := range s.inventory.DataCentres {
		for i := range d.Instances {
			if d.Instances[i].Name == name {
				d.Instances[i].State = inventory.InstanceLeaving
				return s.Platform.PublishInstances(d)
			}
		}
	}
	return &UnknownError{Kind: "instance", Name: name}
}

// Drain starts to drain an upstream. Both its health endpoint and the published
// inventory report it.
func (s *Deployment) Drain(name string) error {
	e, err := s.disturbedEndpoint(name)
	if err != nil {
		return err
	}
	e.Drain()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, d := range s.inventory.DataCentres {
		for i := range d.Upstreams {
			if d.Upstreams[i].Name == name {
				d.Upstreams[i].State = inventory.UpstreamDraining
				return s.Platform.PublishUpstreams(d)
			}
		}
	}
	return &UnknownError{Kind: "upstream", Name: name}
}

// LoseUpstreamCaches resets the flow limit of an upstream to its value after a
// cold start, as if its caches were lost. The published inventory does not
// change.
func (s *Deployment) LoseUpstreamCaches(name string) error {
	e, err := s.disturbedEndpoint(name)
	if err != nil {
		return err
	}
	e.LoseCaches()
	return nil
}

// TakeOut publishes that operators have taken a data centre out of service.
func (s *Deployment) TakeOut(dataCentre string) error { return s.setDataCentreOut(dataCentre, true) }

// BringBack publishes that a data centre is back in service.
func (s *Deployment) BringBack(dataCentre string) error { return s.setDataCentreOut(dataCentre, false) }

func (s *Deployment) setDataCentreOut(dataCentre string, out bool) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	list := slices.DeleteFunc(slices.Clone(s.moves.Out), func(name string) bool { return name == dataCentre })
	if out {
		list = append(list, dataCentre)
		s.dataCentresEverOut[dataCentre] = true
	}
	s.moves.Out = list
	for _, e := range s.Endpoints {
		if e.DataCentre == dataCentre {
			e.ExcludedFromImbalance = true
			e.SetDataCentreOut(out)
		}
	}
	return s.Platform.PublishMoves(s.moves)
}

// everOut reports whether the data centre of the upstream at the address was
// ever taken out of service.
func (s *Deployment) everOut(address netip.AddrPort) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	e, ok := s.endpointsByAddress[address]
	return ok && s.dataCentresEverOut[e.DataCentre]
}

// disturbedEndpoint returns an upstream and excludes it from the imbalance.
func (s *Deployment) disturbedEndpoint(name string) (*Endpoint, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, e := range s.Endpoints {
		if e.Name == name {
			e.ExcludedFromImbalance = true
			return e, nil
		}
	}
	return nil, &UnknownError{Kind: "upstream", Name: name}
}
