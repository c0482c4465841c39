// Package fault is a TCP proxy that delays, throttles and cuts links between
// processes.
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

// Config holds the settings of a proxy.
type Config struct {
	// Address is the TCP address to listen on; port 0 takes a free one.
	Address netip.AddrPort
	// Target is the address that connections are passed to.
	Target netip.AddrPort
	// Seed fixes all random choices.
	Seed uint64
}

// Faults are what the proxy does to links.
type Faults struct {
	// Delay and up to Jitter more is waited before each chunk of bytes.
	Delay  time.Duration
	Jitter time.Duration
	// BytesPerSecond throttles each direction of a link, zero for no bound.
	BytesPerSecond int
	// Cut is the chance, for each chunk, that the link is closed.
	Cut float64
	// Partition holds all bytes back without closing links, and takes new
	// connections without passing them on.
	Partition bool
}

// Proxy is a running TCP proxy.
type Proxy struct {
	config    Config
	listener  net.Listener
	done      chan struct{}
	closeOnce sync.Once

	mutex         sync.Mutex
	random        *rand.Rand
	faults        Faults
	faultsChanged chan struct{}
	links         map[net.Conn]struct{}
}

// New returns a proxy that listens.
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

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

// Run passes connections until the context ends or Close is called.
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

// Close closes the proxy and all its links.
func (p *Proxy) Close() error {
	var err error
	p.closeOnce.Do(func() {
		close(p.done)
		err = p.listener.Close()
		p.CloseLinks()
	})
	return err
}

// SetFaults replaces the faults.
func (p *Proxy) SetFaults(f Faults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.faults = f
	close(p.faultsChanged)
	p.faultsChanged = make(chan struct{})
}

// CloseLinks closes all links at once.
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
	// Either direction that ends takes the whole link with it.
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

// applyFaults waits as the faults demand and returns false to close the link.
func (p *Proxy) applyFaults(size int) bool {
	for {
		p.mutex.Lock()
		f, faultsChanged := p.faults, p.faultsChanged
		wait := f.Delay
		if f.Jitter > 0 {
			wait += time.Duration(p.random.Int64N(int64(f.Jitter)))
		}
		cut := f.Cut > 0 && p.random.Float64() < f.Cut
		p.mutex.Unlock()
		if cut {
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
