package fault

import (
	"math/rand/v2"
	"net"
)

// NewWithoutListener returns a proxy without a listener, for tests with a fake
// clock.
func NewWithoutListener(seed uint64) *Proxy {
	return &Proxy{
		done: make(chan struct{}), faultsChanged: make(chan struct{}),
		random: rand.New(rand.NewPCG(seed, seed)), links: make(map[net.Conn]struct{}),
	}
}

// ApplyFaults exports applyFaults.
func (p *Proxy) ApplyFaults(size int) bool { return p.applyFaults(size) }
