// Package upstream simulates an endpoint of a service. It receives the packets
// that instances forward and answers callers directly. It can drain, start
// cold, lose its caches, shed load and report false status.
package upstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chervilhaven/chervilhaven/internal/fake/segment"
)

const (
	// DefaultWarmupInterval is the time without overload after which a cold
	// upstream doubles its flow limit.
	DefaultWarmupInterval = time.Second
	// PropagationGrace is the time that instances have to learn of a draining
	// upstream or of a data centre taken out of service. Flows and packets
	// within it do not count as errors.
	PropagationGrace = 5 * time.Second

	tickInterval      = 10 * time.Millisecond
	idleTimeout       = time.Minute
	closedFlowLinger  = 2 * time.Second
	socketBufferBytes = 4 << 20
	maxDatagram       = 2048
)

// Config configures an upstream.
type Config struct {
	Name string
	// Service is the VNI of the service; packets with any other VNI are
	// misrouted.
	Service uint32
	// Addresses are the public addresses of the service.
	Addresses []netip.Addr
	// Packets and Status are the UDP and TCP addresses to listen on; port 0
	// selects a free port.
	Packets netip.AddrPort
	Status  netip.AddrPort
	// ReturnAddress is the UDP address that packets to callers are sent to.
	ReturnAddress netip.AddrPort
	// Slots is the number of requests processed concurrently, and the initial
	// flow limit of a cold upstream.
	Slots int
	// Connections is the flow limit of a warm upstream.
	Connections int
	// Warm starts the upstream at its full flow limit and as if it had run for
	// an hour.
	Warm bool
	// WarmupInterval is the time without overload after which the flow limit
	// doubles. Zero means DefaultWarmupInterval.
	WarmupInterval time.Duration
	// ColdGrace is the time after a restart or a loss of caches in which flows
	// above the limit count as OverLimitUnannounced instead of OverLimit.
	ColdGrace time.Duration
	// RunCounter is shared by the upstreams of a deployment. If nil, the
	// upstream creates its own.
	RunCounter *RunCounter
}

// Counts holds the counters of an upstream.
type Counts struct {
	// Admitted is the number of flows opened.
	Admitted int
	// OverLimit is the number of flows admitted above the flow limit.
	OverLimit int
	// OverLimitUnannounced is the number of flows admitted above the flow limit within
	// Config.ColdGrace of a restart or a loss of caches.
	OverLimitUnannounced int
	// Misrouted is the number of packets for another service or address.
	Misrouted int
	// Duplicated is the number of repeated runs of requests that may run only
	// once.
	Duplicated int
	// LateFlows is the number of flows admitted more than PropagationGrace after the
	// upstream began to drain.
	LateFlows int
	// PacketsWhileOut is the number of packets received more than PropagationGrace after
	// the data centre was taken out of service.
	PacketsWhileOut int
	// ShedFlows is the number of SYN segments refused while shedding load.
	ShedFlows int
	// UnknownFlow is the number of segments, other than SYN and RST, that
	// belong to no known flow.
	UnknownFlow int
	// Requests is the number of requests started.
	Requests int
	// Expired is the number of requests whose deadline passed in the queue.
	Expired int
	// PeakOpen is the largest number of flows open at the same time.
	PeakOpen int
	// HealthReads is the number of requests to the health endpoint.
	HealthReads int
}

// Add returns the sum of two sets of counters, except for PeakOpen, which is the
// maximum of the two.
func (c Counts) Add(o Counts) Counts {
	return Counts{
		Admitted:             c.Admitted + o.Admitted,
		OverLimit:            c.OverLimit + o.OverLimit,
		OverLimitUnannounced: c.OverLimitUnannounced + o.OverLimitUnannounced,
		Misrouted:            c.Misrouted + o.Misrouted,
		Duplicated:           c.Duplicated + o.Duplicated,
		LateFlows:            c.LateFlows + o.LateFlows,
		PacketsWhileOut:      c.PacketsWhileOut + o.PacketsWhileOut,
		ShedFlows:            c.ShedFlows + o.ShedFlows,
		UnknownFlow:          c.UnknownFlow + o.UnknownFlow,
		Requests:             c.Requests + o.Requests,
		Expired:              c.Expired + o.Expired,
		PeakOpen:             max(c.PeakOpen, o.PeakOpen),
		HealthReads:          c.HealthReads + o.HealthReads,
	}
}

// MisroutedError reports that the upstream received packets for another service
// or address.
type MisroutedError struct {
	Upstream string
	Packets  int
}

// Error returns the name of the upstream and the number of misrouted packets.
func (e *MisroutedError) Error() string {
	return fmt.Sprintf("upstream %s received %d misrouted packets, for another service or address", e.Upstream, e.Packets)
}

// Upstream is a simulated upstream. Its methods are safe for concurrent use.
type Upstream struct {
	config    Config
	packets   *net.UDPConn
	listener  net.Listener
	server    *http.Server
	done      chan struct{}
	closeOnce sync.Once

	mutex     sync.Mutex
	flows     map[flowKey]*flow
	openFlows int
	// flowLimit is the number of open flows that the upstream currently
	// supports without overload.
	flowLimit int
	// healthySince is the start of the current warm-up interval.
	healthySince time.Time
	startedAt    time.Time
	// coldSince, drainingSince and outSince are zero if the event never
	// occurred.
	coldSince      time.Time
	drainingSince  time.Time
	outSince       time.Time
	shedding       bool
	blockedSources []netip.AddrPort
	busySlots      int
	queue          []*job
	status         statusFaults
	counts         Counts
}

// New returns an upstream whose sockets are open. Run starts to serve.
func New(c Config) (*Upstream, error) {
	if c.WarmupInterval == 0 {
		c.WarmupInterval = DefaultWarmupInterval
	}
	if c.RunCounter == nil {
		c.RunCounter = &RunCounter{}
	}
	packets, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(c.Packets))
	if err != nil {
		return nil, errors.Wrap(err, "upstream listen")
	}
	listener, err := net.Listen("tcp", c.Status.String())
	if err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "upstream listen"), packets.Close())
	}
	// Best effort: a smaller receive buffer only means that packets are dropped
	// earlier.
	_ = packets.SetReadBuffer(socketBufferBytes)
	now := time.Now()
	u := &Upstream{
		config: c, packets: packets, listener: listener, done: make(chan struct{}),
		flows: make(map[flowKey]*flow), flowLimit: c.Slots, healthySince: now, startedAt: now,
	}
	if c.Warm {
		u.flowLimit = c.Connections
		u.startedAt = now.Add(-time.Hour)
	}
	u.server = u.newServer()
	return u, nil
}

// Packets returns the UDP address that receives Geneve datagrams.
func (u *Upstream) Packets() netip.AddrPort {
	return netip.MustParseAddrPort(u.packets.LocalAddr().String())
}

// Status returns the TCP address of the health and load endpoints.
func (u *Upstream) Status() netip.AddrPort {
	return netip.MustParseAddrPort(u.listener.Addr().String())
}

// Run serves until the context is done or Close is called. It returns a
// *MisroutedError if misrouted packets were received.
func (u *Upstream) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = u.Close() })
	defer stop()
	go u.runTimers()
	go func() { _ = u.server.Serve(u.listener) }()
	u.receive()
	if c := u.Counts(); c.Misrouted > 0 {
		return &MisroutedError{Upstream: u.config.Name, Packets: c.Misrouted}
	}
	return nil
}

// Close stops the upstream without closing its flows, as a crash does.
func (u *Upstream) Close() error {
	var err error
	u.closeOnce.Do(func() {
		close(u.done)
		err = errors.CombineErrors(u.packets.Close(), u.server.Close())
		_ = u.listener.Close()
	})
	return err
}

// Counts returns a copy of the counters.
func (u *Upstream) Counts() Counts {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.counts
}

// Open returns the number of open flows.
func (u *Upstream) Open() int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.openFlows
}

// Drain makes the health endpoint report that the upstream is draining. New
// flows are still admitted.
func (u *Upstream) Drain() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.drainingSince = time.Now()
}

// LoseCaches resets the flow limit to its value after a cold start, as if the
// caches were lost. The start time that the health endpoint reports and the
// open flows do not change.
func (u *Upstream) LoseCaches() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	now := time.Now()
	u.flowLimit, u.healthySince, u.coldSince = u.config.Slots, now, now
}

// Restart drops all flows and queued requests and starts the upstream cold.
func (u *Upstream) Restart() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	now := time.Now()
	u.flowLimit, u.healthySince, u.coldSince, u.startedAt = u.config.Slots, now, now, now
	u.queue, u.openFlows = nil, 0
	clear(u.flows)
}

// SetShedding sets whether the upstream refuses all new flows with a reset.
func (u *Upstream) SetShedding(on bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.shedding = on
}

// SetDataCentreOut records that the upstream's data centre was taken out of
// service now, or that it is back. Packets that arrive more than
// PropagationGrace later are counted.
func (u *Upstream) SetDataCentreOut(out bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.outSince = time.Time{}
	if out {
		u.outSince = time.Now()
	}
}

// BlockSources drops all packets from the given instances, as a network
// partition does. It replaces the previous list.
func (u *Upstream) BlockSources(sources []netip.AddrPort) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.blockedSources = slices.Clone(sources)
}

func (u *Upstream) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, source, err := u.packets.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		vni, s, err := segment.Decode(buffer[:n])
		if err != nil {
			continue
		}
		u.mutex.Lock()
		if !slices.Contains(u.blockedSources, source) {
			u.handleSegment(vni, s)
		}
		u.mutex.Unlock()
	}
}

// runTimers periodically warms up the upstream, expires queued requests,
// retransmits unacknowledged bytes and records the status history.
func (u *Upstream) runTimers() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-u.done:
			return
		case now := <-ticker.C:
			u.mutex.Lock()
			u.warmUp(now)
			u.expireJobs(now)
			for k, f := range u.flows {
				u.tickFlow(now, k, f)
			}
			u.status.record(now, u.health(), u.load())
			u.mutex.Unlock()
		}
	}
}

func (u *Upstream) warmUp(now time.Time) {
	if now.Sub(u.healthySince) < u.config.WarmupInterval || u.flowLimit >= u.config.Connections {
		return
	}
	u.flowLimit = min(2*u.flowLimit, u.config.Connections)
	u.healthySince = now
}

func (u *Upstream) send(s segment.Segment) {
	datagram, err := s.Encode(0)
	if err != nil {
		return
	}
	// A write error counts as packet loss; the flow retransmits.
	_, _ = u.packets.WriteToUDPAddrPort(datagram, u.config.ReturnAddress)
}
