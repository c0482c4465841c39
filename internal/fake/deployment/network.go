package deployment

import (
	"fmt"
	"net"
	"net/netip"
	"os"
)

// Host octets of the components of a deployment, and their ports. Instances and
// upstreams take consecutive octets.
const (
	// hostLock is the address of the socket that reserves the network.
	hostLock     = 1
	hostPlatform = 2
	hostFabric   = 3
	hostCaller   = 4
	// hostProxy is the address of the proxies in front of the platform, one
	// port for each data centre.
	hostProxy     = 5
	hostInstances = 10
	hostUpstreams = 100
	maxInstances  = hostUpstreams - hostInstances
	maxUpstreams  = 255 - hostUpstreams

	portLock    = 7999
	portPackets = 6081
	portPeers   = 7400
	portInspect = 7401
	// portPeersBehindProxy is the peer port of an instance whose published peer
	// address is a proxy.
	portPeersBehindProxy = 7402
	portPlatform         = 8400
	portStatus           = 8080
)

const (
	// Deployments use the networks from 127.64.0.0/24 to 127.191.255.0/24.
	loopback           = 127
	firstSecondOctet   = 64
	networks           = 128 * 256
	maxNetworkAttempts = 256
)

// NetworkError reports that no free loopback network was found.
type NetworkError struct{ Tried int }

// Error returns the number of networks that were tried.
func (e *NetworkError) Error() string {
	return fmt.Sprintf("no free loopback network found in %d attempts", e.Tried)
}

// network is a range of 256 loopback addresses that no other deployment on
// this host uses.
type network struct {
	lock        net.Listener
	secondOctet byte
	thirdOctet  byte
}

// newNetwork reserves a free range. A listening socket in the range holds the
// reservation until close.
func newNetwork() (*network, error) {
	// Processes start at different networks, so that they rarely compete for the
	// same one.
	start := os.Getpid() * 17
	for attempt := range maxNetworkAttempts {
		index := (start + attempt) % networks
		n := &network{secondOctet: byte(firstSecondOctet + index/256), thirdOctet: byte(index % 256)}
		lock, err := net.Listen("tcp", n.address(hostLock, portLock).String())
		if err == nil {
			n.lock = lock
			return n, nil
		}
	}
	return nil, &NetworkError{Tried: maxNetworkAttempts}
}

func (n *network) address(host int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{loopback, n.secondOctet, n.thirdOctet, byte(host)}), port)
}

func (n *network) close() error { return n.lock.Close() }
