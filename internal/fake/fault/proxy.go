// Package fault provides a TCP proxy that injects faults into the links between
// processes. It delays, throttles, blocks and closes them.
package fault

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	bufferBytes = 4096
	dialTimeout = 5 * time.Second
)

// Config configures a proxy.
type Config struct {
	// Address is the TCP address to listen on; port 0 selects a free port.
	Address netip.AddrPort
	// Target is the TCP address that connections are forwarded to.
	Target netip.AddrPort
	// Seed is the seed of the random delays and closures.
	Seed uint64
}

// Faults are the faults that a proxy injects into its links. The zero value
// injects none. A chunk is the bytes of one read, at most 4096.
type Faults struct {
	// Delay precedes each chunk, with a random extra delay of up to Jitter.
	Delay  time.Duration
	Jitter time.Duration
	// BytesPerSecond limits the rate of each direction of a link. Zero means no
	// limit.
	BytesPerSecond int
	// CloseProbability is the probability, for each chunk, that the link is
	// closed and the chunk lost.
	CloseProbability float64
	// Partition blocks all bytes without closing links. New connections are
	// accepted but not forwarded until it ends.
	Partition bool
}

// Proxy is a TCP proxy that injects faults. Its methods are safe for concurrent
// use.
type Proxy struct {
	config    Config
	listener  net.Listener
	done      chan struct{}
	closeOnce sync.Once

	mutex  sync.Mutex
	random *rand.Rand
	faults Faults
	// faultsChanged is closed and replaced by SetFaults.
	faultsChanged chan struct{}
	links         map[net.Conn]struct{}
}

// New returns a proxy that listens on its address and injects no faults. Run
// starts to accept connections.
func New(c Config) (*Proxy, error) {
	listener, err := net.Listen("tcp", c.Address.String())
	if err != nil {
		return nil, errors.Wrap(err, "proxy listen")
	}
	return &Proxy{
		config: c, listener: listener, done: make(chan struct{}),
		random:        rand.New(rand.NewPCG(c.Seed, c.Seed)),
		faultsChanged: make(chan struct{}), links: make(map[net.Conn]struct{}),
	}, nil
}

// Address returns the TCP address of the listener.
func (p *Proxy) Address() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

// Run forwards connections until the context is done or Close is called, and
// waits until all links are closed.
func (p *Proxy) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = p.Close() })
	defer stop()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return nil
		}
		running.Go(func() { p.serveLink(client) })
	}
}

// Close closes the listener and all links.
func (p *Proxy) Close() error {
	var err error
	p.closeOnce.Do(func() {
		close(p.done)
		err = p.listener.Close()
		p.CloseLinks()
	})
	return err
}

// SetFaults replaces the faults, also for open links.
func (p *Proxy) SetFaults(f Faults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.faults = f
	close(p.faultsChanged)
	p.faultsChanged = make(chan struct{})
}

// CloseLinks closes all open links. The proxy continues to accept connections.
func (p *Proxy) CloseLinks() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for c := range p.links {
		_ = c.Close()
	}
}

func (p *Proxy) serveLink(client net.Conn) {
	defer p.closeAndUntrack(client)
	if !p.track(client) || !p.applyFaults(0) {
		return
	}
	server, err := net.DialTimeout("tcp", p.config.Target.String(), dialTimeout)
	if err != nil {
		return
	}
	defer p.closeAndUntrack(server)
	if !p.track(server) {
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { p.copy(server, client) })
	directions.Go(func() { p.copy(client, server) })
	directions.Wait()
}

func (p *Proxy) copy(destination, from net.Conn) {
	// When one direction ends, close both sides of the link.
	defer func() { _ = destination.Close() }()
	defer func() { _ = from.Close() }()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.applyFaults(n) {
			return
		}
		if _, writeErr := destination.Write(buffer[:n]); writeErr != nil {
			return
		}
		if err != nil {
			return
		}
	}
}

// applyFaults blocks for as long as the faults require for a chunk of the given
// size. It returns false if the link must be closed.
func (p *Proxy) applyFaults(size int) bool {
	for {
		p.mutex.Lock()
		f, faultsChanged := p.faults, p.faultsChanged
		wait := f.Delay
		if f.Jitter > 0 {
			wait += time.Duration(p.random.Int64N(int64(f.Jitter)))
		}
		closeLink := f.CloseProbability > 0 && p.random.Float64() < f.CloseProbability
		p.mutex.Unlock()
		if closeLink {
			return false
		}
		if f.Partition {
			select {
			case <-faultsChanged:
				continue
			case <-p.done:
				return false
			}
		}
		if f.BytesPerSecond > 0 {
			wait += time.Duration(size) * time.Second / time.Duration(f.BytesPerSecond)
		}
		select {
		case <-time.After(wait):
			return true
		case <-p.done:
			return false
		}
	}
}

// track registers a connection, so that CloseLinks closes it. It returns false
// if the proxy is closed.
func (p *Proxy) track(c net.Conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	select {
	case <-p.done:
		return false
	default:
		p.links[c] = struct{}{}
		return true
	}
}

func (p *Proxy) closeAndUntrack(c net.Conn) {
	_ = c.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.links, c)
}
