package fault

import (
	"math/rand/v2"
	"net"
)

// NewWithoutListener returns a proxy without a listener.
func NewWithoutListener(seed uint64) *Proxy {
	return &Proxy{
		done: make(chan struct{}), faultsChanged: make(chan struct{}),
		random: rand.New(rand.NewPCG(seed, seed)), links: make(map[net.Conn]struct{}),
	}
}

// ApplyFaults waits as the faults demand for a chunk of the given size.
func (p *Proxy) ApplyFaults(size int) bool { return p.applyFaults(size) }
