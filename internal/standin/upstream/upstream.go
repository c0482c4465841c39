// Package upstream is a stand-in for one endpoint of a service: it takes the
// packets that instances forward, answers callers directly, and can drain,
// start cold, turn cold, shed load and mislead about its state.
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

	"github.com/chervilhaven/chervilhaven/internal/standin/segment"
)

const (
	// DefaultWarmupInterval is the healthy time after which a cold upstream bears
	// twice as many flows.
	DefaultWarmupInterval = time.Second
	// PropagationGrace is how long an order to drain, or a data centre taken out, may
	// take to reach all instances.
	PropagationGrace = 5 * time.Second

	tickInterval      = 10 * time.Millisecond
	idleTimeout       = time.Minute
	closedFlowLinger  = 2 * time.Second
	socketBufferBytes = 4 << 20
	maxDatagram       = 2048
)

// Config holds the settings of an upstream.
type Config struct {
	Name string
	// Service is the VNI that the upstream takes.
	Service uint32
	// Addresses are the service's addresses that the upstream answers for.
	Addresses []netip.Addr
	// Packets and Status are the addresses to listen on; port 0 takes a free one.
	Packets netip.AddrPort
	Status  netip.AddrPort
	// ReturnAddress takes the packets that go back to callers.
	ReturnAddress netip.AddrPort
	// Slots is the number of requests worked on at once.
	Slots int
	// Connections is the number of open flows that a warm upstream bears.
	Connections int
	// Warm skips the cold start.
	Warm bool
	// WarmupInterval is the length of a healthy window, zero for DefaultWindow.
	WarmupInterval time.Duration
	// ColdGrace is the time after a sudden cold in which admissions count as
	// unannounced instead of over the limit.
	ColdGrace time.Duration
	// RunCounter is shared by the upstreams of a deployment; nil makes an own one.
	RunCounter *RunCounter
}

// Counts are what the upstream has seen.
type Counts struct {
	// Admitted is the number of flows opened.
	Admitted int
	// OverLimit is the number of flows opened beyond what the upstream bore.
	OverLimit int
	// Unannounced is the number of flows opened beyond what it bore within
	// the notice time of a sudden cold.
	Unannounced int
	// Misrouted is the number of packets of another service.
	Misrouted int
	// Duplicated is the number of requests run that must run once and had run.
	Duplicated int
	// Late is the number of flows opened later than NoticeTime after the
	// upstream began to drain.
	Late int
	// Out is the number of packets that came later than NoticeTime after the
	// data centre was taken out.
	Out int
	// ShedFlows is the number of opening packets refused.
	ShedFlows int
	// UnknownFlow is the number of segments of flows that were not open.
	UnknownFlow int
	// Requests is the number of requests run.
	Requests int
	// Expired is the number of requests not run because of their deadline.
	Expired int
	// Peak is the largest number of open flows.
	Peak int
	// HealthReads is the number of readings of the health endpoint.
	HealthReads int
}

// Add returns the sum of the counts; Peak is the larger one.
func (c Counts) Add(o Counts) Counts {
	return Counts{
		Admitted:    c.Admitted + o.Admitted,
		OverLimit:   c.OverLimit + o.OverLimit,
		Unannounced: c.Unannounced + o.Unannounced,
		Misrouted:   c.Misrouted + o.Misrouted,
		Duplicated:  c.Duplicated + o.Duplicated,
		Late:        c.Late + o.Late,
		Out:         c.Out + o.Out,
		ShedFlows:   c.ShedFlows + o.ShedFlows,
		UnknownFlow: c.UnknownFlow + o.UnknownFlow,
		Requests:    c.Requests + o.Requests,
		Expired:     c.Expired + o.Expired,
		Peak:        max(c.Peak, o.Peak),
		HealthReads: c.HealthReads + o.HealthReads,
	}
}

// MisroutedError tells that packets of another service arrived.
type MisroutedError struct {
	Upstream string
	Packets  int
}

// Error returns the upstream and the number of packets.
func (e *MisroutedError) Error() string {
	return fmt.Sprintf("upstream %s received %d packets of another service", e.Upstream, e.Packets)
}

// Upstream is a running stand-in.
type Upstream struct {
	config    Config
	packets   *net.UDPConn
	listener  net.Listener
	server    *http.Server
	done      chan struct{}
	closeOnce sync.Once

	mutex          sync.Mutex
	flows          map[flowKey]*flow
	openFlows      int
	flowLimit      int
	healthySince   time.Time
	startedAt      time.Time
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

// New returns an upstream that listens.
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
	// A smaller buffer than asked for only loses packets earlier.
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

// Packets returns the address that takes packets.
func (u *Upstream) Packets() netip.AddrPort {
	return netip.MustParseAddrPort(u.packets.LocalAddr().String())
}

// Status returns the address of the health and load endpoints.
func (u *Upstream) Status() netip.AddrPort {
	return netip.MustParseAddrPort(u.listener.Addr().String())
}

// Run works until the context ends or Close is called. It returns a
// MisroutedError if packets of another service came.
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

// Close ends the upstream without a word to its callers.
func (u *Upstream) Close() error {
	var err error
	u.closeOnce.Do(func() {
		close(u.done)
		err = errors.CombineErrors(u.packets.Close(), u.server.Close())
		_ = u.listener.Close()
	})
	return err
}

// Counts returns what the upstream has seen so far.
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

// Drain makes the health endpoint report that the upstream leaves.
func (u *Upstream) Drain() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.drainingSince = time.Now()
}

// LoseCaches makes the upstream bear as little as after a start, as if its
// caches were lost; its process and its open flows stay.
func (u *Upstream) LoseCaches() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	now := time.Now()
	u.flowLimit, u.healthySince, u.coldSince = u.config.Slots, now, now
}

// Restart makes the upstream forget its flows and start cold.
func (u *Upstream) Restart() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	now := time.Now()
	u.flowLimit, u.healthySince, u.coldSince, u.startedAt = u.config.Slots, now, now, now
	u.queue, u.openFlows = nil, 0
	clear(u.flows)
}

// SetShedding makes the upstream refuse all new flows, or stop to do so.
func (u *Upstream) SetShedding(on bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.shedding = on
}

// SetDataCentreOut tells that the upstream's data centre is out from now on, or back.
func (u *Upstream) SetDataCentreOut(out bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.outSince = time.Time{}
	if out {
		u.outSince = time.Now()
	}
}

// BlockSources loses all packets from the given instances, as a partition does.
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

// runTimers resends what callers have not acknowledged and warms the upstream up.
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
	// A lost packet is resent by the flow.
	_, _ = u.packets.WriteToUDPAddrPort(datagram, u.config.ReturnAddress)
}
