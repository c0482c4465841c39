// Package fabric simulates the network fabric between callers and instances. It
// forwards each packet of a caller to an instance chosen at random, and the
// packets of instances to their callers.
package fabric

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chervilhaven/chervilhaven/internal/fake/segment"
)

const (
	socketBufferBytes = 4 << 20
	maxDatagram       = 2048
)

// Config configures a fabric.
type Config struct {
	// Address is the UDP address to listen on; port 0 selects a free port.
	Address netip.AddrPort
	// Seed is the seed of the choice of instances and of the faults.
	Seed uint64
}

// Instance is an instance that the fabric forwards packets to.
type Instance struct {
	Address    netip.AddrPort
	DataCentre string
}

// Faults are the probabilities, from 0 to 1, of the faults of each packet.
type Faults struct {
	Loss      float64
	Duplicate float64
	// Delay is the probability that a packet is delayed by a random time of up
	// to MaxDelay. Delays also reorder packets.
	Delay    float64
	MaxDelay time.Duration
}

// Counts holds the counters of a fabric.
type Counts struct {
	// SentToInstances is the number of packets forwarded to instances. A
	// duplicated packet counts once.
	SentToInstances int
	// SentToCallers is the number of packets forwarded to callers. A duplicated
	// packet counts once.
	SentToCallers int
	// Lost is the number of packets dropped because of faults, partitions or
	// the lack of an instance.
	Lost       int
	Duplicated int
	Delayed    int
	// UnknownCaller is the number of packets from instances to an address that
	// no caller has used.
	UnknownCaller int
}

// Fabric is a simulated network fabric. Its methods are safe for concurrent
// use.
type Fabric struct {
	conn *net.UDPConn

	mutex     sync.Mutex
	random    *rand.Rand
	instances []Instance
	// knownInstances holds the addresses of all present and past instances, so
	// that a late packet of a removed instance is not mistaken for one of a
	// caller.
	knownInstances map[netip.AddrPort]bool
	// callerSockets maps the inner source address of a caller to the socket
	// that its last packet came from.
	callerSockets map[netip.Addr]netip.AddrPort
	partitioned   []string
	faults        Faults
	counts        Counts
}

// New returns a fabric that listens on its address and has no instances. Run
// starts to forward.
func New(c Config) (*Fabric, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(c.Address))
	if err != nil {
		return nil, errors.Wrap(err, "fabric listen")
	}
	// Best effort: a smaller receive buffer only means that packets are dropped
	// earlier.
	_ = conn.SetReadBuffer(socketBufferBytes)
	return &Fabric{
		conn: conn, random: rand.New(rand.NewPCG(c.Seed, c.Seed)),
		knownInstances: make(map[netip.AddrPort]bool), callerSockets: make(map[netip.Addr]netip.AddrPort),
	}, nil
}

// Address returns the UDP address that receives the packets of callers and
// instances.
func (f *Fabric) Address() netip.AddrPort {
	return netip.MustParseAddrPort(f.conn.LocalAddr().String())
}

// Run forwards packets until the context is done or Close is called.
func (f *Fabric) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = f.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		n, source, err := f.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue
		}
		f.handlePacket(source, buffer[:n])
	}
}

// Close closes the socket; delayed packets are lost.
func (f *Fabric) Close() error {
	return f.conn.Close()
}

// SetInstances replaces the instances that packets are forwarded to.
func (f *Fabric) SetInstances(list []Instance) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.instances = slices.Clone(list)
	for _, i := range list {
		f.knownInstances[i.Address] = true
	}
}

// SetFaults replaces the fault probabilities.
func (f *Fabric) SetFaults(faults Faults) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.faults = faults
}

// Partition drops all packets to and from the instances of the given data
// centres. The fabric still chooses these instances. It replaces the previous
// partition; without arguments it ends it.
func (f *Fabric) Partition(dataCentres ...string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.partitioned = slices.Clone(dataCentres)
}

// Counts returns a copy of the counters.
func (f *Fabric) Counts() Counts {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.counts
}

// delivery is the destination of a packet and the faults drawn for it.
type delivery struct {
	to     netip.AddrPort
	copies int
	delay  time.Duration
}

func (f *Fabric) handlePacket(source netip.AddrPort, datagram []byte) {
	_, s, err := segment.Decode(datagram)
	if err != nil {
		return
	}
	f.mutex.Lock()
	d, ok := f.route(source, s)
	f.mutex.Unlock()
	if !ok {
		return
	}
	if d.delay > 0 {
		delayed := slices.Clone(datagram)
		time.AfterFunc(d.delay, func() { f.deliver(d, delayed) })
		return
	}
	f.deliver(d, datagram)
}

func (f *Fabric) deliver(d delivery, datagram []byte) {
	for range d.copies {
		// A write error counts as packet loss.
		_, _ = f.conn.WriteToUDPAddrPort(datagram, d.to)
	}
}

func (f *Fabric) route(source netip.AddrPort, s segment.Segment) (delivery, bool) {
	if f.knownInstances[source] {
		return f.routeToCaller(source, s)
	}
	f.callerSockets[s.Source.Addr()] = source
	if len(f.instances) == 0 {
		f.counts.Lost++
		return delivery{}, false
	}
	i := f.instances[f.random.IntN(len(f.instances))]
	d, ok := f.applyFaults(i.DataCentre)
	if ok {
		f.counts.SentToInstances++
	}
	d.to = i.Address
	return d, ok
}

func (f *Fabric) routeToCaller(source netip.AddrPort, s segment.Segment) (delivery, bool) {
	to, ok := f.callerSockets[s.Destination.Addr()]
	if !ok {
		f.counts.UnknownCaller++
		return delivery{}, false
	}
	d, ok := f.applyFaults(f.dataCentreOf(source))
	if ok {
		f.counts.SentToCallers++
	}
	d.to = to
	return d, ok
}

func (f *Fabric) dataCentreOf(address netip.AddrPort) string {
	for _, i := range f.instances {
		if i.Address == address {
			return i.DataCentre
		}
	}
	return ""
}

// applyFaults draws the faults of a packet to or from a data centre. It returns
// false if the packet is dropped.
func (f *Fabric) applyFaults(dataCentre string) (delivery, bool) {
	d := delivery{copies: 1}
	if slices.Contains(f.partitioned, dataCentre) || f.happens(f.faults.Loss) {
		f.counts.Lost++
		return d, false
	}
	if f.happens(f.faults.Duplicate) {
		f.counts.Duplicated++
		d.copies = 2
	}
	if f.happens(f.faults.Delay) && f.faults.MaxDelay > 0 {
		f.counts.Delayed++
		d.delay = time.Duration(1 + f.random.Int64N(int64(f.faults.MaxDelay)))
	}
	return d, true
}

func (f *Fabric) happens(probability float64) bool {
	return probability > 0 && f.random.Float64() < probability
}
