// Package fabric is a stand-in for the fabric between callers and instances:
// it hands each packet of a caller to an instance chosen at random, and takes
// the packets that instances send back to callers.
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

	"github.com/chervilhaven/chervilhaven/internal/standin/segment"
)

const (
	socketBufferBytes = 4 << 20
	maxDatagram       = 2048
)

// Config holds the settings of a fabric.
type Config struct {
	// Address is the UDP address of the fabric; port 0 takes a free one.
	Address netip.AddrPort
	// Seed fixes all random choices.
	Seed uint64
}

// Instance is a destination of the fabric.
type Instance struct {
	Address    netip.AddrPort
	DataCentre string
}

// Faults are the chances, from 0 to 1, of what happens to each packet.
type Faults struct {
	Lose      float64
	Duplicate float64
	// Delay is the chance of being held for up to MaxDelay, which also puts
	// packets out of order.
	Delay    float64
	MaxDelay time.Duration
}

// Counts are what the fabric has seen.
type Counts struct {
	// SentToInstances is the number of packets handed to instances.
	SentToInstances int
	// SentToCallers is the number of packets handed back to callers.
	SentToCallers int
	// Lost is the number of packets lost by faults and partitions.
	Lost       int
	Duplicated int
	Delayed    int
	// UnknownCaller is the number of packets of instances for unknown callers.
	UnknownCaller int
}

// Fabric is a running stand-in.
type Fabric struct {
	conn *net.UDPConn

	mutex     sync.Mutex
	random    *rand.Rand
	instances []Instance
	// knownInstances holds all addresses that were ever listed, so that a late packet
	// of an instance is not taken for one of a caller.
	knownInstances map[netip.AddrPort]bool
	callerSockets  map[netip.Addr]netip.AddrPort
	partitioned    []string
	faults         Faults
	counts         Counts
}

// New returns a fabric that listens and has no instances.
func New(c Config) (*Fabric, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(c.Address))
	if err != nil {
		return nil, errors.Wrap(err, "fabric listen")
	}
	// A smaller buffer than asked for only loses packets earlier.
	_ = conn.SetReadBuffer(socketBufferBytes)
	return &Fabric{
		conn: conn, random: rand.New(rand.NewPCG(c.Seed, c.Seed)),
		knownInstances: make(map[netip.AddrPort]bool), callerSockets: make(map[netip.Addr]netip.AddrPort),
	}, nil
}

// Address returns the address that takes packets of callers and instances.
func (f *Fabric) Address() netip.AddrPort {
	return netip.MustParseAddrPort(f.conn.LocalAddr().String())
}

// Run hands packets on until the context ends or Close is called.
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

// Close ends the fabric.
func (f *Fabric) Close() error {
	return f.conn.Close()
}

// SetInstances replaces the instances that packets are handed to.
func (f *Fabric) SetInstances(list []Instance) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.instances = slices.Clone(list)
	for _, i := range list {
		f.knownInstances[i.Address] = true
	}
}

// SetFaults replaces the chances of faults.
func (f *Fabric) SetFaults(faults Faults) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.faults = faults
}

// Partition loses all packets to and from the instances of the data centres, which
// the fabric goes on to choose.
func (f *Fabric) Partition(dataCentres ...string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.partitioned = slices.Clone(dataCentres)
}

// Counts returns what the fabric has seen so far.
func (f *Fabric) Counts() Counts {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.counts
}

// delivery is a packet with the fate that the faults drew for it.
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
		// A datagram that cannot be sent is lost like any other.
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

// applyFaults decides the fate of a packet to or from a data centre.
func (f *Fabric) applyFaults(dataCentre string) (delivery, bool) {
	d := delivery{copies: 1}
	if slices.Contains(f.partitioned, dataCentre) || f.happens(f.faults.Lose) {
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
