// Package caller is a stand-in for the callers of services: it opens TCP flows
// over the fabric, sends requests in them, checks the answers and counts what
// became of each flow.
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

	"github.com/chervilhaven/chervilhaven/internal/standin/segment"
	"github.com/chervilhaven/chervilhaven/pkg/declaration"
)

const (
	tickInterval      = 5 * time.Millisecond
	socketBufferBytes = 8 << 20
	maxDatagram       = 2048
	firstPort         = 1024
	sourceAddresses   = 250
	defaultTimeout    = 15 * time.Second
)

// Config holds the settings of a caller stand-in.
type Config struct {
	// Address is the UDP address that takes answers; port 0 takes a free one.
	Address netip.AddrPort
	// Fabric takes the packets of callers.
	Fabric netip.AddrPort
	// SourceBase is the first inner source address, 198.18.0.1 where zero.
	SourceBase netip.Addr
	// Seed fixes arrivals and the size of work.
	Seed uint64
	// Ramp is the time in which arrivals grow to their full rate.
	Ramp    time.Duration
	Classes []Class
	// RunCount returns how often a request was run, to check refusals; may be nil.
	RunCount func(id uint64) int
	// DataCentreOut returns whether the upstream's data centre is out; may be nil.
	DataCentreOut func(upstream netip.AddrPort) bool
}

// Class describes the flows of one class of work.
type Class struct {
	Name        string
	Destination netip.AddrPort
	Target      declaration.Target
	// Rate is the mean number of arrivals a second.
	Rate float64
	// Requests are sent one after the other with Pause between them.
	Requests int
	Pause    time.Duration
	// Work is the mean time that a request takes a slot.
	Work time.Duration
	// Size is the number of bytes in an answer.
	Size int
	// Deadline is passed to the upstream with each request.
	Deadline time.Duration
	// Timeout bounds the wait for an opening or an answer.
	Timeout time.Duration
}

// Caller is a running stand-in for many callers.
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

// arrivals is the open-loop source of one class.
type arrivals struct {
	random *rand.Rand
	nextAt time.Time
	// expectedArrivals is the mean number of arrivals until next.
	expectedArrivals float64
}

// New returns a caller that listens and is quiet until Start.
func New(c Config) (*Caller, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(c.Address))
	if err != nil {
		return nil, errors.Wrap(err, "caller listen")
	}
	// A smaller buffer than asked for only loses packets earlier.
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

// Address returns the address that takes answers: the return network.
func (c *Caller) Address() netip.AddrPort {
	return netip.MustParseAddrPort(c.conn.LocalAddr().String())
}

// Run takes answers until the context ends or Close is called.
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

// Close ends the caller; flows that are open stay counted as open.
func (c *Caller) Close() error {
	var err error
	c.close.Do(func() {
		close(c.done)
		err = c.conn.Close()
	})
	return err
}

// Start lets flows arrive.
func (c *Caller) Start() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.startedAt = time.Now()
	for i := range c.arrivals {
		c.scheduleArrival(i)
	}
}

// Stop lets no further flows arrive; open flows go on.
func (c *Caller) Stop() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stopped = true
}

// Open returns the number of flows that are open or will be retried.
func (c *Caller) Open() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.flows) + len(c.pendingRetries)
}

// Settle waits until no flow is open or the context ends.
func (c *Caller) Settle(ctx context.Context) {
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

// startArrivals starts the tasks that are due.
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

// scheduleArrival draws the next arrival of a class: a Poisson process whose rate
// grows linearly during the ramp, by inversion of its expected count.
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

// nextSource returns an address and port that no earlier flow had, until
// all are used up.
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
	// A lost packet is resent by the flow.
	_, _ = c.conn.WriteToUDPAddrPort(datagram, c.config.Fabric)
}
