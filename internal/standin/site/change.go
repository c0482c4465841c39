package site

import (
	"net/netip"
	"slices"

	"github.com/chervilhaven/chervilhaven/internal/standin/fabric"
	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

// Attach makes the fabric hand packets to the instance.
func (s *Site) Attach(a Addresses) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.attached = append(s.attached, fabric.Instance{Address: a.Packets, DataCentre: a.DataCentre})
	s.Fabric.SetInstances(s.attached)
}

// Detach makes the fabric hand no more packets to the instance.
func (s *Site) Detach(a Addresses) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.attached = slices.DeleteFunc(s.attached, func(i fabric.Instance) bool { return i.Address == a.Packets })
	s.Fabric.SetInstances(s.attached)
}

// Leave publishes that the instance leaves.
func (s *Site) Leave(name string) error {
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

// Drain makes an upstream leave: its health endpoint and the inventory say so.
func (s *Site) Drain(name string) error {
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

// TurnCold makes an upstream cold without a word in the inventory.
func (s *Site) TurnCold(name string) error {
	e, err := s.disturbedEndpoint(name)
	if err != nil {
		return err
	}
	e.LoseCaches()
	return nil
}

// TakeOut publishes that a data centre is out.
func (s *Site) TakeOut(dataCentre string) error { return s.setDataCentreOut(dataCentre, true) }

// BringBack publishes that a data centre is back.
func (s *Site) BringBack(dataCentre string) error { return s.setDataCentreOut(dataCentre, false) }

func (s *Site) setDataCentreOut(dataCentre string, out bool) error {
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

// everOut returns whether the data centre of an upstream was taken out.
func (s *Site) everOut(address netip.AddrPort) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	e, ok := s.endpointsByAddress[address]
	return ok && s.dataCentresEverOut[e.DataCentre]
}

func (s *Site) disturbedEndpoint(name string) (*Endpoint, error) {
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
