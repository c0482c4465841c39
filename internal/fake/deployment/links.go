package deployment

import (
	"github.com/chervilhaven/chervilhaven/internal/fake/fault"
)

// linkProxies are the proxies in front of the platform, keyed by data centre,
// and in front of each instance's peer address, keyed by instance.
type linkProxies struct {
	platform map[string]*fault.Proxy
	peers    map[string]*fault.Proxy
}

// buildLinks creates the proxies if Config.ProxyLinks is set.
func (s *Deployment) buildLinks() error {
	s.linkProxies = linkProxies{platform: make(map[string]*fault.Proxy), peers: make(map[string]*fault.Proxy)}
	if !s.config.ProxyLinks {
		return nil
	}
	for index, d := range s.inventory.DataCentres {
		var err error
		s.linkProxies.platform[d.Name], err = fault.New(fault.Config{
			Address: s.network.address(hostProxy, uint16(portPlatform+index)),
			Target:  s.Platform.Address(), Seed: s.config.Seed + uint64(index),
		})
		if err != nil {
			return err
		}
		for _, i := range d.Instances {
			s.linkProxies.peers[i.Name], err = fault.New(fault.Config{
				Address: i.Peers, Target: s.peerListenAddress(i.Peers), Seed: s.config.Seed + uint64(i.Peers.Addr().As4()[3]),
			})
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// proxies returns the proxies of all links.
func (l linkProxies) proxies() []*fault.Proxy {
	var list []*fault.Proxy
	for _, p := range l.platform {
		list = append(list, p)
	}
	for _, p := range l.peers {
		list = append(list, p)
	}
	return list
}

// SetPlatformFaults sets the faults of the links from a data centre to the
// platform.
func (s *Deployment) SetPlatformFaults(dataCentre string, f fault.Faults) error {
	return setFaults(s.linkProxies.platform, dataCentre, f)
}

// SetPeerFaults sets the faults of the links from all peers to an instance.
func (s *Deployment) SetPeerFaults(instance string, f fault.Faults) error {
	return setFaults(s.linkProxies.peers, instance, f)
}

func setFaults(proxies map[string]*fault.Proxy, name string, f fault.Faults) error {
	p, ok := proxies[name]
	if !ok {
		return &UnknownError{Kind: "link", Name: name}
	}
	p.SetFaults(f)
	return nil
}
