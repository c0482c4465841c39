package main

import (
	"hash/fnv"
	"net"
	"net/netip"
	"time"
)

// clientDelay is the one-way time between clients and machines.
const clientDelay = 3 * time.Millisecond

// router stands in for the routers of the platform. They hash by mod.
type router struct {
	bed    *bed
	socket *net.UDPConn
}

// forward sends a client's packet to an instance in the client's zone, clientDelay later.
func (r *router) forward(zone string, p *packet) {
	b := p.encode()
	src, dst := p.src, p.dst
	time.AfterFunc(clientDelay, func() {
		nodes := r.candidates(zone)
		if len(nodes) == 0 {
			return
		}
		i := nodes[hashOf(src, dst)%uint32(len(nodes))]
		_, _ = r.socket.WriteToUDPAddrPort(b, netip.AddrPortFrom(i.ip, r.bed.packetsPort))
	})
}

func hashOf(src, dst netip.AddrPort) uint32 {
	h := fnv.New32a()
	for _, a := range []netip.AddrPort{src, dst} {
		b, _ := a.MarshalBinary()
		_, _ = h.Write(b)
	}
	// Spread the low bits.
	x := h.Sum32()
	x ^= x >> 15
	x *= 0x2c1b3c6d
	return x ^ x>>12
}

// candidates returns the instances that packets from a zone go to: those of the zone that are
// in rotation; all of the zone if these are fewer than half; those of other zones if there
// are none.
func (r *router) candidates(zone string) []*instance {
	var all, in, others []*instance
	for _, i := range r.bed.instances {
		rotating := i.rotating()
		switch {
		case i.zone != zone && rotating:
			others = append(others, i)
		case i.zone != zone:
		default:
			all = append(all, i)
			if rotating {
				in = append(in, i)
			}
		}
	}
	switch {
	case len(in) == 0:
		return others
	case 2*len(in) < len(all):
		return all
	default:
		return in
	}
}
