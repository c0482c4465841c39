//go:build review

package main

import (
	"encoding/binary"
	"net"
	"net/netip"
	"time"
)

// client has one address and opens each flow from a new port.
type client struct {
	bed    *bed
	zone   string
	ip     netip.Addr
	socket *net.UDPConn
	port   uint16
	flows  map[uint16]*clientFlow
}

// clientFlow is a flow as its client sees it. It is guarded by the lock of the bed.
type clientFlow struct {
	client   *client
	src, dst netip.AddrPort
	seq      uint32
	echo     uint32
	started  time.Time
	open     bool
	endSeq   uint32
	ended    bool
	// requests are those still to be sent, current the one that waits for its answer.
	requests int
	pause    time.Duration
	// linger is how long the client keeps the flow open after the last answer.
	linger   time.Duration
	deadline time.Duration
	current  uint64
	from     []string

	// What the endpoints saw: the endpoint at which the flow opened, and the packets
	// that reached others since one reached it.
	endpoint     *endpoint
	openedAt     time.Time
	lastOwn      time.Time
	firstForeign time.Time
	foreign      int
	judged       bool
}

func (b *bed) addClient(zone string) error {
	c := &client{bed: b, zone: zone, ip: b.ip(3, byte(len(b.clients)+1)), port: 20000, flows: map[uint16]*clientFlow{}}
	var err error
	if c.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.ip, b.port))); err != nil {
		return err
	}
	b.clients = append(b.clients, c)
	go c.serve()
	return nil
}

// start opens a flow for a number of requests with a pause between them. The caller
// holds the lock of the bed.
func (c *client) start(dst netip.AddrPort, requests int, pause, deadline time.Duration) *clientFlow {
	c.port++
	f := &clientFlow{
		client: c, src: netip.AddrPortFrom(c.ip, c.port), dst: dst, seq: c.bed.random.Uint32(), started: time.Now(),
		requests: requests, pause: pause, deadline: deadline,
	}
	c.flows[c.port] = f
	c.bed.flows[f.src] = f
	c.bed.count.flows++
	for copy, after := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		time.AfterFunc(after, func() {
			c.bed.mu.Lock()
			defer c.bed.mu.Unlock()
			if !f.open && !f.ended {
				f.send(&packet{flags: flagSyn, seq: f.seq, ack: uint32(copy)})
			}
		})
	}
	time.AfterFunc(1400*time.Millisecond, func() {
		c.bed.mu.Lock()
		defer c.bed.mu.Unlock()
		if !f.open && !f.ended {
			c.bed.count.unopened++
			f.end()
		}
	})
	return f
}

// send hands a packet to the platform's router.
func (f *clientFlow) send(p *packet) {
	p.src, p.dst = f.src, f.dst
	if p.flags&flagSyn == 0 {
		p.echo = f.echo
	}
	c, q := f.client, *p
	time.AfterFunc(clientDelay, func() { c.bed.router.forward(c.zone, &q) })
}

func (f *clientFlow) end() {
	f.ended = true
	delete(f.client.flows, f.src.Port())
	time.AfterFunc(12*time.Second, func() {
		f.client.bed.mu.Lock()
		delete(f.client.bed.flows, f.src)
		f.client.bed.mu.Unlock()
	})
}

// ask sends the next request of the flow, again and again until its answer.
func (f *clientFlow) ask() {
	b := f.client.bed
	b.lastRequest++
	id, asked := b.lastRequest, time.Now()
	f.current = id
	f.requests--
	b.count.sent++
	b.requests[id] = f
	f.repeat(id, firstRetransmit)
	time.AfterFunc(f.deadline, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if f.ended || f.current != id {
			return
		}
		b.count.unanswered++
		b.recordLocked("request %d of %s, sent %s ago on an open flow, was never answered", id, f.src, time.Since(asked).Round(time.Millisecond))
		f.send(&packet{flags: flagReset | flagAck, seq: f.seq + 1, ack: f.endSeq + 1})
		f.end()
	})
}

func (f *clientFlow) repeat(id uint64, pause time.Duration) {
	if f.ended || f.current != id {
		return
	}
	f.send(&packet{flags: flagAck, seq: f.seq + 1, ack: f.endSeq + 1, data: append(binary.BigEndian.AppendUint64(nil, id), make([]byte, 892)...)})
	time.AfterFunc(pause, func() {
		f.client.bed.mu.Lock()
		defer f.client.bed.mu.Unlock()
		f.repeat(id, min(2*pause, maxRetransmit))
	})
}

func (c *client) serve() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if p, valid, ok := decode(buffer[:n]); ok {
			c.bed.mu.Lock()
			c.handle(&p, valid, from)
			c.bed.mu.Unlock()
		}
	}
}

func (c *client) handle(p *packet, valid bool, from netip.AddrPort) {
	f := c.flows[p.dst.Port()]
	if f == nil || f.ended || p.src != f.dst {
		return
	}
	b := c.bed
	if p.flags&flagReset != 0 {
		f.handleReset(valid, from)
		return
	}
	if !valid {
		b.brokenLocked("MIXED: %s got a packet from %s that no endpoint wrote", f.src, from)
		return
	}
	// PROTOCOL.md: each end places in its own packets the last echo that it received on
	// the flow.
	f.echo = p.echo
	switch {
	case p.flags&flagSyn != 0:
		if f.open {
			return
		}
		f.open, f.endSeq = true, p.seq
		f.send(&packet{flags: flagAck, seq: f.seq + 1, ack: f.endSeq + 1})
		f.ask()
	case len(p.data) >= 8 && binary.BigEndian.Uint64(p.data) == f.current:
		b.count.answered++
		f.current = 0
		if f.requests == 0 {
			f.send(&packet{flags: flagAck, seq: f.seq + 1, ack: f.endSeq + 1})
			time.AfterFunc(f.linger, func() {
				b.mu.Lock()
				defer b.mu.Unlock()
				if !f.ended {
					f.send(&packet{flags: flagAck | flagFin, seq: f.seq + 1, ack: f.endSeq + 1})
					f.end()
				}
			})
			return
		}
		f.send(&packet{flags: flagAck, seq: f.seq + 1, ack: f.endSeq + 1})
		time.AfterFunc(f.pause, func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			if !f.ended {
				f.ask()
			}
		})
	}
}

// handleReset ends a flow that was reset. On an open flow only its own endpoint may
// reset it.
func (f *clientFlow) handleReset(valid bool, from netip.AddrPort) {
	b := f.client.bed
	switch {
	case f.endpoint == nil:
		b.count.refused++
	case from == f.endpoint.address && valid:
		b.count.reset++
	case b.owes(f):
		b.brokenLocked("FLOW (a): %s, open at %s, got a reset from %s, which is not its endpoint", f.src, f.endpoint.id, from)
	}
	f.end()
}
