package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	firstRepeat = 200 * time.Millisecond
	maxRepeat   = 1600 * time.Millisecond
	// maxRepeats is the number of retransmissions after which an endpoint gives up.
	maxRepeats    = 8
	slots         = 2
	responseBytes = 300
)

// endpoint stands in for a server of the service.
type endpoint struct {
	bed     *bed
	id      string
	number  uint64
	zone    string
	address netip.AddrPort
	socket  *net.UDPConn

	mu    sync.Mutex
	conns map[connKey]*conn
	// ended holds flows that have ended here.
	ended map[connKey]bool
	// drains is when the store has accepted that the endpoint is draining, zero before.
	drains time.Time
	busy   int
	queue  []func()
}

type connKey struct{ src, dst netip.AddrPort }

// conn is a flow at an endpoint, half open until its handshake is acknowledged.
type conn struct {
	echo  uint32
	isn   uint32
	seq   uint32
	open  bool
	repli int
	// received is the number of bytes of requests, sent that of responses.
	received uint32
	sent     uint32
	acked    uint32
}

func newEndpoint(b *bed, n int, zone string, address netip.AddrPort) (*endpoint, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	_ = socket.SetReadBuffer(1 << 20)
	number := uint64(0x1f00000000) + uint64(rand.Uint32N(1<<24))<<8 + uint64(n)
	e := &endpoint{
		bed: b, id: fmt.Sprintf("i-%010x", number), number: number, zone: zone, address: address, socket: socket,
		conns: make(map[connKey]*conn), ended: make(map[connKey]bool),
	}
	go e.serve()
	return e, nil
}

func (e *endpoint) entry(state string) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold-remaining-ms":0,"sequence":1,"born":%d}`,
		e.bed.service, e.address, e.zone, slots, state, e.bed.record.started.UnixMilli())
}

// drain reports to the store that the endpoint is draining, and at each heartbeat again if its
// entry says anything else. The endpoint serves on.
func (e *endpoint) drain(heartbeat time.Duration) {
	key := "servers/" + e.id
	e.bed.store.put(key, e.entry("draining"))
	e.mu.Lock()
	e.drains = time.Now()
	e.mu.Unlock()
	e.bed.record.event("%s is draining, the store has accepted it", e.id)
	go func() {
		for range time.Tick(heartbeat) {
			if e.bed.store.differs(key, e.entry("draining")) {
				e.bed.record.event("%s writes its entry again: draining", e.id)
				e.bed.store.put(key, e.entry("draining"))
			}
		}
	}()
}

func (e *endpoint) serve() {
	b := make([]byte, datagramBytes)
	for {
		n, from, err := e.socket.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if n < idBytes {
			continue
		}
		if id := binary.BigEndian.Uint64(b); id != 0 && id != e.number {
			continue
		}
		if p, ok := decode(b[idBytes:n]); ok {
			e.handle(&p, e.bed.instanceAt(from))
		}
	}
}

// handle handles a packet that an instance sent on.
func (e *endpoint) handle(p *packet, via *instance) {
	e.mu.Lock()
	defer e.mu.Unlock()
	k := connKey{p.src, p.dst}
	c := e.conns[k]
	if p.forged || p.flag&flagSyn != 0 && p.flag&flagAck != 0 {
		e.bed.judge.violation("UNASKED", "%s got a packet of %s that no client wrote", e.id, p.src)
		return
	}
	switch {
	case p.flag&flagSyn != 0:
		e.handleSyn(k, c, p, via)
	case p.flag&flagReset != 0:
		if c != nil {
			delete(e.conns, k)
			e.ended[k] = true
		}
	case c == nil && e.ended[k] && len(p.data) == 0:
		if p.flag&flagFin != 0 {
			e.send(k, &conn{echo: p.echo}, flagAck, p.ack, p.seq+1, nil)
		}
	case c == nil:
		// A flow that this endpoint does not hold.
		e.bed.judge.reached(p.src, e, via)
		e.bed.judge.willReset(p.src, via)
		e.send(k, &conn{echo: p.echo}, flagReset, p.ack, p.seq, nil)
	case p.ack-c.seq-1 > c.sent:
		// It acknowledges the answer of another endpoint: the flow did not open here.
		e.bed.judge.reached(p.src, e, via)
	default:
		e.handleOwn(k, c, p, via)
	}
}

func (e *endpoint) handleSyn(k connKey, c *conn, p *packet, via *instance) {
	if c != nil && c.isn == p.seq {
		c.echo = p.echo
		e.send(k, c, flagSyn|flagAck, c.seq, c.isn+1, nil)
		return
	}
	if late := time.Since(e.drains); !e.drains.IsZero() && late > drainTime && via != nil && via.inTouch(time.Now()) {
		e.bed.judge.violation("DRAIN", "%s took the opening packet of %s through %s %s after the store had accepted that it is draining", e.id, p.src, nameOf(via), late.Round(time.Millisecond))
	}
	c = &conn{echo: p.echo, isn: p.seq, seq: rand.Uint32()}
	e.conns[k] = c
	e.bed.record.flowEvent(p.src, "flow %s: copy %d of its opening packet reached %s via %s", p.src, p.ack, e.id, nameOf(via))
	e.sendSynAck(k, c, firstRepeat)
}

// sendSynAck answers an opening packet, again and again until the flow opens.
func (e *endpoint) sendSynAck(k connKey, c *conn, pause time.Duration) {
	e.send(k, c, flagSyn|flagAck, c.seq, c.isn+1, nil)
	time.AfterFunc(pause, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if c.open || e.conns[k] != c {
			return
		}
		if c.repli++; c.repli > maxRepeats {
			delete(e.conns, k)
			return
		}
		e.sendSynAck(k, c, min(2*pause, maxRepeat))
	})
}

// handleOwn handles a packet of a flow that is open here, or opens with it.
func (e *endpoint) handleOwn(k connKey, c *conn, p *packet, via *instance) {
	c.echo = p.echo
	if !c.open {
		c.open = true
		e.bed.judge.opened(p.src, e, via)
	}
	e.bed.judge.reached(p.src, e, via)
	if got := p.ack - c.seq - 1; got > c.acked {
		c.acked = got
	}
	if len(p.data) > 0 {
		if p.seq == c.isn+1+c.received {
			c.received += uint32(len(p.data))
			e.request(k, c, binary.BigEndian.Uint64(p.data))
		}
		if e.bed.long == nil {
			e.send(k, c, flagAck, c.seq+1+c.sent, c.isn+1+c.received, nil)
		}
	}
	if p.flag&flagFin != 0 {
		e.send(k, c, flagFin|flagAck, c.seq+1+c.sent, p.seq+1, nil)
		delete(e.conns, k)
		e.ended[k] = true
	}
}

// request runs a request once a slot is free.
func (e *endpoint) request(k connKey, c *conn, id uint64) {
	var run func()
	next := func() {
		if len(e.queue) > 0 {
			run := e.queue[0]
			e.queue = e.queue[1:]
			run()
		}
	}
	run = func() {
		if e.conns[k] != c {
			// Its client has given up.
			next()
			return
		}
		e.busy++
		e.bed.judge.ran(id, e)
		took := between(15*time.Millisecond, 45*time.Millisecond)
		if e.bed.long != nil && e.bed.long(id) {
			took = between(800*time.Millisecond, 1200*time.Millisecond)
		}
		time.AfterFunc(took, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.busy--
			next()
			if e.conns[k] == c {
				body := make([]byte, responseBytes)
				binary.BigEndian.PutUint64(body, id)
				at := c.sent
				c.sent += responseBytes
				e.respond(k, c, at, body, firstRepeat, 0)
			}
		})
	}
	if e.busy < slots {
		run()
	} else {
		e.queue = append(e.queue, run)
	}
}

// respond sends a response until it is acknowledged.
func (e *endpoint) respond(k connKey, c *conn, at uint32, body []byte, pause time.Duration, repeats int) {
	e.send(k, c, flagAck, c.seq+1+at, c.isn+1+c.received, body)
	time.AfterFunc(pause, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.conns[k] == c && c.acked < at+uint32(len(body)) && repeats < maxRepeats {
			e.respond(k, c, at, body, min(2*pause, maxRepeat), repeats+1)
		}
	})
}

// send sends a packet to the client directly.
func (e *endpoint) send(k connKey, c *conn, flag byte, seq, ack uint32, data []byte) {
	p := packet{echo: c.echo, src: k.dst, dst: k.src, flag: flag, seq: seq, ack: ack, data: data}
	if flag&flagSyn != 0 && c.repli == 0 && e.bed.loses() {
		e.bed.record.flowEvent(k.src, "flow %s: the network lost the answer of %s to its opening packet", k.src, e.id)
		return
	}
	b := p.encode()
	time.AfterFunc(clientDelay, func() {
		_, _ = e.socket.WriteToUDPAddrPort(b, netip.AddrPortFrom(k.src.Addr(), e.bed.packetsPort))
	})
}
