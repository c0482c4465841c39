package soak

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeebo/xxh3"
)

const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	missesToLeave = 2
)

// fabric spreads the packets of callers over the instances in rotation.
type fabric struct {
	socket *net.UDPConn
	client *http.Client

	mu      sync.Mutex
	targets []*target
	// loss is the share of packets that are lost, delay what others wait.
	loss  float64
	delay time.Duration
}

// target is one instance as the fabric sees it.
type target struct {
	packets   netip.AddrPort
	readiness netip.AddrPort
	misses    int
}

func newFabric() (*fabric, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		return nil, errors.Wrap(err, "fabric listen")
	}
	return &fabric{socket: socket, client: &http.Client{Timeout: probeTimeout}}, nil
}

// forward sends a packet to the instance that the hash of its ends names.
func (f *fabric) forward(p *packet) {
	var key [12]byte
	source, destination := p.source.Addr().As4(), p.destination.Addr().As4()
	copy(key[:], source[:])
	copy(key[4:], destination[:])
	binary.BigEndian.PutUint16(key[8:], p.source.Port())
	binary.BigEndian.PutUint16(key[10:], p.destination.Port())
	f.mu.Lock()
	defer f.mu.Unlock()
	var ready []*target
	for _, t := range f.targets {
		if t.misses < missesToLeave {
			ready = append(ready, t)
		}
	}
	if 2*len(ready) < len(f.targets) {
		ready = f.targets
	}
	if len(ready) == 0 || rand.Float64() < f.loss {
		return
	}
	to := ready[xxh3.Hash(key[:])%uint64(len(ready))].packets
	b := p.encode()
	// A closed socket means that the run is over.
	send := func() { _, _ = f.socket.WriteToUDPAddrPort(b, to) }
	if f.delay > 0 {
		time.AfterFunc(f.delay, send)
	} else {
		send()
	}
}

// disturb loses a share of the packets and delays the others.
func (f *fabric) disturb(loss float64, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loss, f.delay = loss, delay
}

// probe asks an instance whether it is ready, until done.
func (f *fabric) probe(t *target, done <-chan struct{}) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		answer, err := f.client.Get("http://" + t.readiness.String() + "/api/readiness")
		ok := err == nil && answer.StatusCode == http.StatusOK
		if err == nil {
			_ = answer.Body.Close() // Nothing is read of it.
		}
		f.mu.Lock()
		if ok {
			t.misses = 0
		} else {
			t.misses++
		}
		f.mu.Unlock()
		select {
		case <-ticker.C:
		case <-done:
			return
		}
	}
}
