package main

import (
	"encoding/binary"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	probeInterval = 500 * time.Millisecond
	maxMisses     = 2
	// clientDelay is the time that a packet takes from or to a client.
	clientDelay = 3 * time.Millisecond
)

// router is a stand-in of the platform's routers of one zone.
type router struct {
	conn      *net.UDPConn
	instances []*instance
	mu        sync.Mutex
	ready     []*instance
}

func newRouter(instances []*instance) (*router, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		return nil, err
	}
	r := &router{conn: conn, instances: instances}
	for _, i := range instances {
		go r.probe(i)
	}
	return r, nil
}

// probe asks an instance twice a second whether it is ready.
func (r *router) probe(i *instance) {
	c := http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := maxMisses
	for ; ; time.Sleep(probeInterval) {
		response, err := c.Get("http://" + i.readiness.String() + "/api/readiness")
		misses++
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				misses = 0
			}
		}
		r.set(i, misses < maxMisses)
	}
}

func (r *router) set(i *instance, ready bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*instance
	for _, other := range r.instances {
		in := ready
		if other != i {
			in = contains(r.ready, other)
		}
		if in {
			list = append(list, other)
		}
	}
	r.ready = list
}

func contains(list []*instance, i *instance) bool {
	for _, other := range list {
		if other == i {
			return true
		}
	}
	return false
}

// pick returns the instance for a flow: all of the zone count if fewer than half are ready.
func (r *router) pick(k flowKey) *instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.ready
	if 2*len(list) < len(r.instances) {
		list = r.instances
	}
	h := fnv.New32a()
	for _, a := range []netip.AddrPort{k.client, k.service} {
		ip := a.Addr().As4()
		_, _ = h.Write(ip[:])
		_, _ = h.Write(binary.BigEndian.AppendUint16(nil, a.Port()))
	}
	return list[h.Sum32()%uint32(len(list))]
}

func (r *router) send(k flowKey, b []byte) {
	time.AfterFunc(clientDelay, func() { _, _ = r.conn.WriteToUDPAddrPort(b, r.pick(k).packets) })
}

// readyCount returns the number of instances in rotation.
func (r *router) readyCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ready)
}
