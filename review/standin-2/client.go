package main

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	requestBytes = 200
	// openTimeout is the time after which a client gives up an attempt to open a flow.
	openTimeout = 1400 * time.Millisecond
)

// client stands in for a client. Each of its flows has a port of its own.
type client struct {
	bed    *bed
	zone   string
	ip     netip.Addr
	socket *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[uint16]*flow
}

// flow is a flow at its client.
type flow struct {
	client  *client
	src     netip.AddrPort
	dst     netip.AddrPort
	echo    uint32
	isn     uint32
	seq     uint32 // of the endpoint
	open    bool
	done    bool
	think   []time.Duration
	request uint64
	// sent and received are bytes of whole requests and responses.
	sent     uint32
	received uint32
	waiting  bool
	acked    bool
	closing  bool
}

func newClient(b *bed, zone string, ip netip.Addr) (*client, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, b.packetsPort)))
	if err != nil {
		return nil, err
	}
	_ = socket.SetReadBuffer(1 << 20)
	c := &client{bed: b, zone: zone, ip: ip, socket: socket, port: 20000, flows: make(map[uint16]*flow)}
	go c.serve()
	return c, nil
}

// openFlow opens a flow with one request at once and one more after each pause.
func (c *client) openFlow(think ...time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	f := &flow{client: c, src: netip.AddrPortFrom(c.ip, c.port), dst: c.bed.route, isn: rand.Uint32(), think: think}
	c.flows[c.port] = f
	c.bed.judge.sent(f.src, c.zone)
	for n, after := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		time.AfterFunc(after, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if !f.open && !f.done {
				f.send(flagSyn, f.isn, uint32(n), nil)
			}
		})
	}
	time.AfterFunc(openTimeout, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !f.open && !f.done {
			f.finish()
			c.bed.judge.notOpened(f.src)
		}
	})
}

func (f *flow) send(flag byte, seq, ack uint32, data []byte) {
	f.client.bed.router.forward(f.client.zone, &packet{echo: f.echo, src: f.src, dst: f.dst, flag: flag, seq: seq, ack: ack, data: data})
}

func (f *flow) finish() {
	f.done = true
	delete(f.client.flows, f.src.Port())
}

// startRequest sends the next request of the flow.
func (f *flow) startRequest() {
	f.request = f.client.bed.judge.newRequest(f.src)
	f.waiting, f.acked = true, false
	f.sendRequest(f.request, firstRepeat)
	id := f.request
	time.AfterFunc(f.client.bed.deadline, func() {
		f.client.mu.Lock()
		defer f.client.mu.Unlock()
		if !f.done && f.waiting && f.request == id {
			f.client.bed.judge.unanswered(id)
			f.send(flagReset|flagAck, f.isn+1+f.sent, f.seq+1+f.received, nil)
			f.client.bed.judge.closing(f.src)
			f.finish()
		}
	})
}

// sendRequest sends the request until the endpoint has it.
func (f *flow) sendRequest(id uint64, pause time.Duration) {
	data := make([]byte, requestBytes)
	binary.BigEndian.PutUint64(data, id)
	f.send(flagAck, f.isn+1+f.sent, f.seq+1+f.received, data)
	time.AfterFunc(pause, func() {
		f.client.mu.Lock()
		defer f.client.mu.Unlock()
		if !f.done && f.waiting && !f.acked && f.request == id {
			f.sendRequest(id, min(2*pause, maxRepeat))
		}
	})
}

func (c *client) serve() {
	b := make([]byte, datagramBytes)
	for {
		n, from, err := c.socket.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if p, ok := decode(b[:n]); ok {
			c.handle(&p, from)
		}
	}
}

func (c *client) handle(p *packet, from netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flows[p.dst.Port()]
	if f == nil || p.src != f.dst {
		return
	}
	if p.flag&flagReset != 0 {
		c.bed.judge.reset(f.src, from, p)
		if f.waiting {
			c.bed.judge.unanswered(f.request)
		}
		f.finish()
		return
	}
	if p.forged {
		c.bed.judge.violation("MIXED", "%s got a packet that no endpoint wrote", f.src)
		return
	}
	f.echo = p.echo
	if p.flag&flagSyn != 0 {
		if !f.open {
			f.open, f.seq = true, p.seq
			f.startRequest()
		}
		return
	}
	if !f.open {
		return
	}
	if p.ack == f.isn+1+f.sent+requestBytes {
		f.acked = true
	}
	if len(p.data) > 0 {
		f.handleResponse(p)
	}
	if p.flag&flagFin != 0 && f.closing {
		f.finish()
	}
}

func (f *flow) handleResponse(p *packet) {
	switch {
	case p.seq != f.seq+1+f.received || !f.waiting:
		// A copy.
	case binary.BigEndian.Uint64(p.data) != f.request:
		f.client.bed.judge.violation("MIXED", "%s got the response to another request", f.src)
	default:
		f.waiting = false
		f.sent += requestBytes
		f.received += uint32(len(p.data))
		f.client.bed.judge.answered(f.request)
		f.next()
	}
	f.send(flagAck, f.isn+1+f.sent, f.seq+1+f.received, nil)
}

// next waits for the next request, or closes the flow.
func (f *flow) next() {
	if len(f.think) == 0 {
		f.close(0)
		return
	}
	pause := f.think[0]
	f.think = f.think[1:]
	time.AfterFunc(pause, func() {
		f.client.mu.Lock()
		defer f.client.mu.Unlock()
		if !f.done {
			f.startRequest()
		}
	})
}

func (f *flow) close(n int) {
	if f.done {
		return
	}
	if n == 4 {
		f.finish()
		return
	}
	f.closing = true
	f.client.bed.judge.closing(f.src)
	f.send(flagFin|flagAck, f.isn+1+f.sent, f.seq+1+f.received, nil)
	time.AfterFunc(firstRepeat<<n, func() {
		f.client.mu.Lock()
		defer f.client.mu.Unlock()
		f.close(n + 1)
	})
}
