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
	probeInterval    = 500 * time.Millisecond
	probeTimeout     = 400 * time.Millisecond
	failureThreshold = 2
)

// fabric simulates an ECMP router in front of the instances. It hashes the packets
// of callers over all instances that pass their readiness probes.
type fabric struct {
	socket *net.UDPConn
	client *http.Client

	mu      sync.Mutex
	targets []*target
	// lossRate is the fraction of packets that are dropped. The others are
	// delayed by delay.
	lossRate float64
	delay    time.Duration
}

// target is the health state of one instance at the fabric. It is guarded by the
// lock of the fabric.
type target struct {
	packets             netip.AddrPort
	readiness           netip.AddrPort
	consecutiveFailures int
}

func newFabric() (*fabric, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		return nil, errors.Wrap(err, "open fabric socket")
	}
	return &fabric{socket: socket, client: &http.Client{Timeout: probeTimeout}}, nil
}

// forward sends a packet to the instance selected by the hash of its source and
// destination. If fewer than half of the instances pass their probes, it ignores
// the probes and uses all of them.
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
		if t.consecutiveFailures < failureThreshold {
			ready = append(ready, t)
		}
	}
	if 2*len(ready) < len(f.targets) {
		ready = f.targets
	}
	if len(ready) == 0 || rand.Float64() < f.lossRate {
		return
	}
	to := ready[xxh3.Hash(key[:])%uint64(len(ready))].packets
	b := p.encode()
	// A write fails only after the run has ended and closed the socket.
	send := func() { _, _ = f.socket.WriteToUDPAddrPort(b, to) }
	if f.delay > 0 {
		time.AfterFunc(f.delay, send)
	} else {
		send()
	}
}

// setFaults drops a fraction of the packets and delays the others. Zero values
// restore normal delivery.
func (f *fabric) setFaults(lossRate float64, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lossRate, f.delay = lossRate, delay
}

// probe polls the readiness endpoint of an instance until done is closed.
func (f *fabric) probe(t *target, done <-chan struct{}) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		response, err := f.client.Get("http://" + t.readiness.String() + "/api/readiness")
		ok := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close() // Only the status matters.
		}
		f.mu.Lock()
		if ok {
			t.consecutiveFailures = 0
		} else {
			t.consecutiveFailures++
		}
		f.mu.Unlock()
		select {
		case <-ticker.C:
		case <-done:
			return
		}
	}
}
