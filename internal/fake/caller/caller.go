// Package caller simulates the callers of services. It opens TCP flows through
// the fabric, sends requests in them, verifies the responses and counts the
// outcome of each flow.
package caller

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chervilhaven/chervilhaven/internal/fake/segment"
	"github.com/chervilhaven/chervilhaven/pkg/declaration"
)

const (
	tickInterval      = 5 * time.Millisecond
	socketBufferBytes = 8 << 20
	maxDatagram       = 2048
	firstPort         = 1024
	// sourceAddresses is the number of source addresses in use, from SourceBase
	// on.
	sourceAddresses = 250
	defaultTimeout  = 15 * time.Second
)

// Config configures the simulated callers.
type Config struct {
	// Address is the UDP address that receives packets from upstreams; port 0
	// selects a free port.
	Address netip.AddrPort
	// Fabric is the UDP address that packets are sent to.
	Fabric netip.AddrPort
	// SourceBase is the lowest source address of the simulated flows. The zero
	// value means 198.18.0.1.
	SourceBase netip.Addr
	// Seed is the seed of the arrival times and the service times. It is also
	// part of the request IDs.
	Seed uint64
	// Ramp is the time over which the arrival rate grows linearly to its full
	// value.
	Ramp    time.Duration
	Classes []Class
	// RunCount returns how often a request was run. It is used to detect
	// refused flows whose request was run anyway. May be nil.
	RunCount func(id uint64) int
	// DataCentreOut reports whether the upstream's data centre was taken out of
	// service, which excuses a lost flow. May be nil.
	DataCentreOut func(upstream netip.AddrPort) bool
}

// Class describes the flows of one traffic class.
type Class struct {
	Name        string
	Destination netip.AddrPort
	Target      declaration.Target
	// Rate is the mean number of new flows per second.
	Rate float64
	// Requests is the number of requests in a flow, sent one at a time with
	// Pause between a response and the next request.
	Requests int
	Pause    time.Duration
	// Work is the mean time for which a request occupies a slot of the
	// upstream.
	Work time.Duration
	// Size is the size of a response in bytes, without its header.
	Size int
	// Deadline bounds the time that a request waits in the upstream's queue. It
	// is sent with each request. Zero means no bound.
	Deadline time.Duration
	// Timeout bounds the wait for the handshake and for each segment of a
	// response. Zero means 15 s.
	Timeout time.Duration
}

// Caller simulates many callers behind one UDP socket. Its methods are safe for
// concurrent use.
type Caller struct {
	config Config
	conn   *net.UDPConn
	done   chan struct{}
	close  sync.Once

	mutex          sync.Mutex
	startedAt      time.Time
	stopped        bool
	random         *rand.Rand
	arrivals       []arrivals
	flows          map[netip.AddrPort]*flow
	pendingRetries []*task
	sourcesUsed    int
	requests       uint64
	result         Result
}

// arrivals generates the arrival times of a class. They do not depend on the
// progress of earlier flows (open loop).
type arrivals struct {
	random *rand.Rand
	nextAt time.Time
	// expectedArrivals is the expected number of arrivals between the start and
	// nextAt.
	expectedArrivals float64
}

// New returns a caller that listens on its address. It opens no flows before
// Start.
func New(c Config) (*Caller, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(c.Address))
	if err != nil {
		return nil, errors.Wrap(err, "caller listen")
	}
	// Best effort: a smaller receive buffer only means that packets are dropped
	// earlier.
	_ = conn.SetReadBuffer(socketBufferBytes)
	if !c.SourceBase.IsValid() {
		c.SourceBase = netip.AddrFrom4([4]byte{198, 18, 0, 1})
	}
	caller := &Caller{
		config: c, conn: conn, done: make(chan struct{}),
		random: rand.New(rand.NewPCG(c.Seed, 0)), flows: make(map[netip.AddrPort]*flow),
	}
	for i, class := range c.Classes {
		caller.arrivals = append(caller.arrivals, arrivals{random: rand.New(rand.NewPCG(c.Seed, uint64(i+1)))})
		caller.result.Classes = append(caller.result.Classes, ClassResult{Name: class.Name, Target: class.Target})
	}
	return caller, nil
}

// Address returns the UDP address that upstreams send their packets to.
func (c *Caller) Address() netip.AddrPort {
	return netip.MustParseAddrPort(c.conn.LocalAddr().String())
}

// Run processes received packets until the context is done or Close is called.
func (c *Caller) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	go c.runTimers()
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue
		}
		_, s, err := segment.Decode(buffer[:n])
		if err != nil {
			continue
		}
		c.mutex.Lock()
		c.handleSegment(time.Now(), from, s)
		c.mutex.Unlock()
	}
}

// Close stops the caller. Open flows are not closed and remain in the count of
// Open.
func (c *Caller) Close() error {
	var err error
	c.close.Do(func() {
		close(c.done)
		err = c.conn.Close()
	})
	return err
}

// Start begins to open flows.
func (c *Caller) Start() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.startedAt = time.Now()
	for i := range c.arrivals {
		c.scheduleArrival(i)
	}
}

// Stop ends the arrival of new tasks. Open flows continue, and failed tasks are
// still retried.
func (c *Caller) Stop() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stopped = true
}

// Open returns the number of flows that are open or waiting for a retry.
func (c *Caller) Open() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.flows) + len(c.pendingRetries)
}

// WaitForFlows waits until Open returns 0 or the context is done.
func (c *Caller) WaitForFlows(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for c.Open() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *Caller) runTimers() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.done:
			return
		case now := <-ticker.C:
			c.mutex.Lock()
			c.startArrivals(now)
			c.startDueRetries(now)
			for _, f := range c.flows {
				c.tickFlow(now, f)
			}
			c.mutex.Unlock()
		}
	}
}

// startArrivals opens flows for the arrivals that are due.
func (c *Caller) startArrivals(now time.Time) {
	if c.startedAt.IsZero() || c.stopped {
		return
	}
	for i := range c.arrivals {
		for c.config.Classes[i].Rate > 0 && !c.arrivals[i].nextAt.After(now) {
			c.openFlow(now, c.newTask(now, i))
			c.scheduleArrival(i)
		}
	}
}

// scheduleArrival draws the next arrival of a class. Arrivals form a Poisson
// process whose rate grows linearly during the ramp; the time is computed by
// inverting the expected number of arrivals.
func (c *Caller) scheduleArrival(class int) {
	a := &c.arrivals[class]
	rate := c.config.Classes[class].Rate
	if rate <= 0 {
		return
	}
	a.expectedArrivals += a.random.ExpFloat64()
	ramp := c.config.Ramp.Seconds()
	offset := a.expectedArrivals/rate + ramp/2
	if offset < ramp {
		offset = math.Sqrt(2 * ramp * a.expectedArrivals / rate)
	}
	a.nextAt = c.startedAt.Add(time.Duration(offset * float64(time.Second)))
}

// nextSource returns a source address and port that no earlier flow has used,
// until all combinations are used up.
func (c *Caller) nextSource() netip.AddrPort {
	n := c.sourcesUsed
	c.sourcesUsed++
	b := c.config.SourceBase.AsSlice()
	for index, carry := len(b)-1, n%sourceAddresses; carry > 0 && index >= 0; index-- {
		carry += int(b[index])
		b[index] = byte(carry)
		carry >>= 8
	}
	address, _ := netip.AddrFromSlice(b)
	port := firstPort + (n/sourceAddresses)%(1<<16-firstPort)
	return netip.AddrPortFrom(address, uint16(port))
}

func (c *Caller) send(s segment.Segment) {
	datagram, err := s.Encode(0)
	if err != nil {
		return
	}
	// A write error counts as packet loss; the flow retransmits.
	_, _ = c.conn.WriteToUDPAddrPort(datagram, c.config.Fabric)
}
