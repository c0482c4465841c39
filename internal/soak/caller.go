package soak

import (
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	requestBytes = 64
	answerBytes  = 10
	// giveUp is the time after which a caller gives a flow up.
	giveUp = 1400 * time.Millisecond
	// repeatAfter is the time after which a request that is not answered is
	// sent again.
	repeatAfter = 200 * time.Millisecond
)

// caller is one address that opens flows from changing ports.
type caller struct {
	site    *Site
	address netip.Addr
	socket  *net.UDPConn

	mu    sync.Mutex
	flows map[uint16]*flow
	port  uint16
}

// flow is one request of a caller on a flow of its own.
type flow struct {
	caller      *caller
	source      netip.AddrPort
	destination netip.AddrPort
	request     uint64
	begun       time.Time
	echo        uint32
	// upstream is the low bytes of the number of the upstream that it opened at.
	upstream uint32
	opened   time.Time
	done     bool
	result   func(outcome)
	strays   int
}

// outcome is how a flow ended.
type outcome int

const (
	answered outcome = iota
	refused
	silent
)

func newCaller(s *Site, index int) (*caller, error) {
	address := netip.AddrFrom4([4]byte{127, 64, 0, byte(index + 1)})
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, callerPort)))
	if err != nil {
		return nil, errors.Wrap(err, "caller listen")
	}
	return &caller{site: s, address: address, socket: socket, flows: make(map[uint16]*flow), port: 20000}, nil
}

// call opens a flow and sends one request.
func (c *caller) call(destination netip.AddrPort, request uint64, result func(outcome)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.port++; c.port < 20000 {
		c.port = 20000
	}
	f := &flow{
		caller: c, source: netip.AddrPortFrom(c.address, c.port), destination: destination, request: request, begun: time.Now(), result: result,
	}
	c.flows[c.port] = f
	for number, d := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		time.AfterFunc(d, func() { f.open(uint32(number)) })
	}
	time.AfterFunc(giveUp, func() { f.end(silent) })
}

func (f *flow) open(number uint32) {
	f.caller.mu.Lock()
	defer f.caller.mu.Unlock()
	if f.opened.IsZero() && !f.done {
		f.send(&packet{flags: flagSyn, ack: number})
	}
}

func (f *flow) send(p *packet) {
	p.source, p.destination = f.source, f.destination
	f.caller.site.fabric.forward(p)
}

// ask sends the request.
func (f *flow) ask() {
	data := make([]byte, requestBytes)
	binary.BigEndian.PutUint64(data, f.request)
	f.send(&packet{flags: flagAck, echo: f.echo, ack: f.upstream, data: data})
}

// repeat sends the request again until it is answered.
func (f *flow) repeat() {
	f.caller.mu.Lock()
	defer f.caller.mu.Unlock()
	if !f.done {
		f.ask()
		time.AfterFunc(repeatAfter, f.repeat)
	}
}

// end ends a flow once.
func (f *flow) end(o outcome) {
	f.caller.mu.Lock()
	defer f.caller.mu.Unlock()
	f.endLocked(o)
}

func (f *flow) endLocked(o outcome) {
	if f.done {
		return
	}
	f.done = true
	if !f.opened.IsZero() {
		f.send(&packet{flags: flagFin | flagAck, echo: f.echo, ack: f.upstream})
	}
	delete(f.caller.flows, f.source.Port())
	f.result(o)
}

// serve reads the packets for the caller until the socket closes.
func (c *caller) serve() {
	buffer := make([]byte, datagramBytes)
	for {
		n, from, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if p, genuine, ok := decode(buffer[:n]); ok {
			p.data = append([]byte(nil), p.data...)
			c.handle(&p, genuine, from)
		}
	}
}

func (c *caller) handle(p *packet, genuine bool, from netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flows[p.destination.Port()]
	if f == nil {
		return
	}
	j := c.site.journal
	switch {
	case p.flags&flagReset != 0:
		f.reset(p, genuine, from)
	case !genuine:
		j.broke(promiseMixed, "%s got a packet from %s that no upstream wrote", f.source, from)
	case p.flags&flagSyn != 0:
		f.echo = p.echo
		if f.opened.IsZero() {
			f.opened, f.upstream = time.Now(), p.ack
			f.ask()
			time.AfterFunc(repeatAfter, f.repeat)
		}
	case len(p.data) == 0:
		f.echo = p.echo
	case len(p.data) == answerBytes:
		if p.ack != f.upstream || binary.BigEndian.Uint64(p.data) != f.request {
			j.broke(promiseMixed, "%s got the answer of another request", f.source)
		}
		f.echo = p.echo
		f.endLocked(answered)
	}
}

// reset ends a flow. Only its upstream may reset an open one: another one does
// so when packets go astray, and the system may not at all.
func (f *flow) reset(p *packet, genuine bool, from netip.AddrPort) {
	s := f.caller.site
	foreign := !genuine || p.ack != f.upstream
	if foreign && !f.opened.IsZero() && s.alive(f.upstream) && s.journal.settled(0) {
		s.journal.broke(promiseFlow, "%s was reset by %s, not by its upstream, after it opened", f.source, from)
	}
	f.endLocked(refused)
}
