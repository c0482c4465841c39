package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	heartbeat         = 1200 * time.Millisecond
	missedHeartbeats  = 3
	firstRetransmit   = 200 * time.Millisecond
	longestRetransmit = 1600 * time.Millisecond
	maxRetransmits    = 8
	retransmitTick    = 20 * time.Millisecond
	coldFactor        = 1.6
)

// endpointFlow is a flow that an endpoint holds.
type endpointFlow struct {
	key            flowKey
	echo           uint32
	sequence       uint32
	expected       uint32
	open, answered bool
	pending        *packet
	sentAt         time.Time
	wait           time.Duration
	repeats        int
}

// endpoint is a stand-in of an endpoint: one process after another under one id.
type endpoint struct {
	id      string
	number  uint64
	service string
	zone    string
	address netip.AddrPort
	slots   int
	work    time.Duration
	coldFor time.Duration
	port    uint16
	record  *record
	store   *store
	// write hands an entry to the store, nil for at once.
	write func(e *endpoint, value []byte)
	// taken is told each opening packet of a new flow that the endpoint took.
	taken func(e *endpoint, k flowKey, cold bool)
	// opened is told each flow that opens at the endpoint, reset each flow that it resets.
	opened func(e *endpoint, k flowKey)
	reset  func(e *endpoint, k flowKey)
	// loses tells whether a packet to a client gets lost.
	loses func() bool

	mu        sync.Mutex
	conn      *net.UDPConn
	listener  net.Listener
	born      time.Time
	coldUntil time.Time
	draining  bool
	sequence  int
	flows     map[flowKey]*endpointFlow
	room      chan struct{}
	stop      chan struct{}
	lastWrite time.Time
}

// start starts a process of the endpoint.
func (e *endpoint) start(cold bool) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(e.address))
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", e.address.String())
	if err != nil {
		return err
	}
	now := time.Now()
	e.mu.Lock()
	e.conn, e.listener, e.born, e.sequence, e.draining = conn, listener, now, 0, false
	e.coldUntil = time.Time{}
	if cold {
		e.coldUntil = now.Add(e.coldFor)
	}
	e.flows, e.room, e.stop = make(map[flowKey]*endpointFlow), make(chan struct{}, e.slots), make(chan struct{})
	stop := e.stop
	e.mu.Unlock()
	e.record.line("endpoint %s starts, cold %t", e.id, cold)
	go acceptAll(listener)
	go e.read(conn)
	go e.retransmit(stop)
	go e.beat(stop)
	return nil
}

// acceptAll accepts connections and closes them when their other end does.
func acceptAll(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			_, _ = c.Read(make([]byte, 1))
			_ = c.Close()
		}()
	}
}

// crash ends the process of the endpoint: it sends nothing and discards its flows.
func (e *endpoint) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.stop)
	_ = e.conn.Close()
	_ = e.listener.Close()
	e.flows = nil
	e.record.line("endpoint %s crashes", e.id)
}

// beat writes the endpoint's entry when it starts and then with every heartbeat.
func (e *endpoint) beat(stop chan struct{}) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		e.announce()
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
	}
}

// announce writes the endpoint's entry once.
func (e *endpoint) announce() {
	value := e.entry()
	e.mu.Lock()
	write := e.write
	e.mu.Unlock()
	if write != nil {
		write(e, value)
		return
	}
	e.put(value)
}

// put lets the store do a write of the endpoint.
func (e *endpoint) put(value []byte) {
	e.store.put("servers/"+e.id, value)
	e.mu.Lock()
	e.lastWrite = time.Now()
	e.mu.Unlock()
}

// entry returns the entry of the running process. The sequence changes no revision here, so
// that it is left at its first value.
func (e *endpoint) entry() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := "ready"
	if e.draining {
		state = "draining"
	}
	value, _ := json.Marshal(map[string]any{
		"service": e.service, "address": e.address.String(), "zone": e.zone, "version": "v1", "slots": e.slots, "state": state,
		"cold-remaining-ms": max(time.Until(e.coldUntil).Milliseconds(), 0), "sequence": e.sequence, "born": e.born.UnixMilli(),
	})
	return value
}

func (e *endpoint) read(conn *net.UDPConn) {
	b := make([]byte, 2048)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		if number := binary.BigEndian.Uint64(b); number != 0 && number != e.number {
			continue
		}
		if p, ok := parsePacket(b[8:n]); ok {
			p.data = append([]byte(nil), p.data...)
			e.handle(&p)
		}
	}
}

func (e *endpoint) handle(p *packet) {
	k := flowKey{p.source, p.destination}
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.flows[k]
	switch {
	case e.flows == nil:
	case p.flags&flagReset != 0:
		delete(e.flows, k)
	case p.flags&flagSyn != 0 && f == nil:
		f = &endpointFlow{key: k, echo: p.echo, sequence: rand.Uint32(), expected: p.sequence + 1}
		e.flows[k] = f
		cold := time.Now().Before(e.coldUntil)
		e.record.line("endpoint %s takes the opening packet of %s, cold %t", e.id, k.client, cold)
		if e.taken != nil {
			e.taken(e, k, cold)
		}
		e.transmit(f, &packet{flags: flagSyn | flagAck, sequence: f.sequence, acknowledge: f.expected})
	case p.flags&flagSyn != 0:
		f.echo = p.echo
		if !f.open && f.pending != nil {
			e.send(f, f.pending)
		}
	case f == nil && p.flags&flagFin != 0:
		e.send(&endpointFlow{key: k, echo: p.echo}, &packet{flags: flagAck, sequence: p.acknowledge, acknowledge: p.sequence + 1})
	case f == nil:
		e.refuse(k, p)
	default:
		e.handleOpen(f, p)
	}
}

// refuse resets a flow that the endpoint does not hold. The caller holds mu.
func (e *endpoint) refuse(k flowKey, p *packet) {
	if e.reset != nil {
		e.reset(e, k)
	}
	e.record.line("endpoint %s resets %s", e.id, k.client)
	e.send(&endpointFlow{key: k, echo: p.echo}, &packet{flags: flagReset, sequence: p.acknowledge})
}

// handleOpen handles a packet of a flow that the endpoint holds. The caller holds mu.
func (e *endpoint) handleOpen(f *endpointFlow, p *packet) {
	f.echo = p.echo
	if !f.open {
		if p.acknowledge != f.sequence+1 {
			e.refuse(f.key, p)
			return
		}
		f.open, f.pending = true, nil
		f.sequence++
		if e.opened != nil {
			e.opened(e, f.key)
		}
	}
	if f.pending != nil && p.acknowledge == f.sequence {
		f.pending = nil
	}
	if len(p.data) > 0 && p.sequence == f.expected {
		f.expected += uint32(len(p.data))
		go e.run(f, string(p.data))
	}
	if p.flags&flagFin != 0 {
		e.send(f, &packet{flags: flagAck | flagFin, sequence: f.sequence, acknowledge: p.sequence + uint32(len(p.data)) + 1})
		delete(e.flows, f.key)
	}
}

// run works on a request and answers it.
func (e *endpoint) run(f *endpointFlow, request string) {
	e.mu.Lock()
	room, stop, work := e.room, e.stop, e.work
	if time.Now().Before(e.coldUntil) {
		work = time.Duration(coldFactor * float64(work))
	}
	e.mu.Unlock()
	select {
	case room <- struct{}{}:
	case <-stop:
		return
	}
	e.record.line("endpoint %s runs %s", e.id, request)
	time.Sleep(work)
	<-room
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.flows[f.key] != f || e.stop != stop {
		return
	}
	answer := fmt.Appendf(nil, "answer of %s to %s", e.id, request)
	e.transmit(f, &packet{flags: flagAck, sequence: f.sequence, acknowledge: f.expected, data: answer})
	f.sequence += uint32(len(answer))
}

// transmit sends a packet until it is acknowledged. The caller holds mu.
func (e *endpoint) transmit(f *endpointFlow, p *packet) {
	f.pending, f.sentAt, f.wait, f.repeats = p, time.Now(), firstRetransmit, 0
	e.send(f, p)
}

func (e *endpoint) send(f *endpointFlow, p *packet) {
	p.source, p.destination, p.echo = f.key.service, f.key.client, f.echo
	if e.loses != nil && e.loses() {
		return
	}
	conn, b, to := e.conn, p.append(nil), netip.AddrPortFrom(f.key.client.Addr(), e.port)
	time.AfterFunc(clientDelay, func() { _, _ = conn.WriteToUDPAddrPort(b, to) })
}

func (e *endpoint) retransmit(stop chan struct{}) {
	ticker := time.NewTicker(retransmitTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
		e.mu.Lock()
		for k, f := range e.flows {
			if f.pending == nil || time.Since(f.sentAt) < f.wait {
				continue
			}
			if f.repeats++; f.repeats > maxRetransmits {
				delete(e.flows, k)
				continue
			}
			f.sentAt, f.wait = time.Now(), min(2*f.wait, longestRetransmit)
			e.send(f, f.pending)
		}
		e.mu.Unlock()
	}
}
