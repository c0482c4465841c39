//go:build review

package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"
)

const (
	clientDelay = 3 * time.Millisecond
	// queueLength is the number of requests that an endpoint queues beside those it
	// works on.
	queueLength = 8
	// An end sends missing packets again after firstRetransmit, twice that and so on, up
	// to maxRetransmit. An endpoint gives up after retransmissions of them.
	firstRetransmit = 200 * time.Millisecond
	maxRetransmit   = 1600 * time.Millisecond
	retransmissions = 8
)

// endpoint is a server of one service. All fields but the first ones are guarded by
// the lock of the bed.
type endpoint struct {
	bed     *bed
	id      string
	number  uint64
	service string
	zone    string
	address netip.AddrPort
	socket  *net.UDPConn

	up       bool
	since    time.Time
	coldFor  time.Duration
	born     int64
	beats    int
	lastBeat time.Time
	work     time.Duration
	flows    map[netip.AddrPort]*held
	busy     int
	queue    []func()
	// disturbed is when a disruption of it last began or ended.
	disturbed time.Time
	// coldOpenings are the times at which the opening packets were sent that it got while
	// it was cold.
	coldOpenings []time.Time
	worstCold    int
}

// held is a flow at an endpoint.
type held struct {
	seq, peerSeq uint32
	open         bool
	echo         uint32
	run          map[uint64][]byte
	done         map[uint64]bool
	// opening is the client's SYN.
	opening packet
}

const slots = 2

func (b *bed) addEndpoint(service, zone string) (*endpoint, error) {
	n := len(b.endpoints) + 1
	number := b.random.Uint64() >> 24
	e := &endpoint{
		bed: b, id: fmt.Sprintf("i-%010x", number), number: number, service: service, zone: zone,
		address: netip.AddrPortFrom(b.ip(2, byte(n)), b.port+5), up: true, since: time.Now(), born: time.Now().UnixMilli(), work: b.workTime,
		flows: map[netip.AddrPort]*held{},
	}
	var err error
	if e.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(e.address)); err != nil {
		return nil, err
	}
	b.mu.Lock()
	b.endpoints = append(b.endpoints, e)
	b.mu.Unlock()
	go e.serve()
	go e.heartbeats()
	return e, nil
}

// heartbeats writes the entry of the endpoint into the store, at its start and every
// 1,200 ms. A write that the store does not accept is tried again after 100 ms.
func (e *endpoint) heartbeats() {
	for !e.bed.over() {
		e.bed.mu.Lock()
		up, due := e.up, time.Since(e.lastBeat) >= 1200*time.Millisecond
		cold := max(0, e.coldFor-time.Since(e.since))
		entry := map[string]any{
			"service": e.service, "address": e.address.String(), "zone": e.zone, "version": "v1", "slots": slots, "state": "ready",
			"cold-remaining-ms": cold.Milliseconds(), "sequence": e.beats, "born": e.born,
		}
		e.bed.mu.Unlock()
		if up && due && e.bed.store.put("servers/"+e.id, entry) {
			e.bed.mu.Lock()
			e.beats, e.lastBeat = e.beats+1, time.Now()
			e.bed.mu.Unlock()
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// crash ends the endpoint: it holds nothing any more and answers nothing.
func (e *endpoint) crash() {
	e.bed.mu.Lock()
	defer e.bed.mu.Unlock()
	e.up, e.disturbed = false, time.Now()
	e.flows, e.queue, e.busy = map[netip.AddrPort]*held{}, nil, 0
	e.bed.recordLocked("%s crashes", e.id)
}

// restart starts the endpoint again under its id. It is cold from now on.
func (e *endpoint) restart(cold time.Duration) {
	e.bed.mu.Lock()
	defer e.bed.mu.Unlock()
	e.up, e.since, e.born, e.beats, e.lastBeat, e.coldFor = true, time.Now(), time.Now().UnixMilli(), 0, time.Time{}, cold
	e.disturbed = time.Now()
	e.bed.recordLocked("%s starts again under its id, cold for %s", e.id, cold)
}

func (e *endpoint) serve() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := e.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n < numberBytes+headBytes {
			continue
		}
		number := binary.BigEndian.Uint64(buffer)
		p, valid, ok := decode(buffer[numberBytes:n])
		if !ok || number != 0 && number != e.number {
			continue
		}
		e.bed.mu.Lock()
		if e.up {
			if !valid {
				e.bed.brokenLocked("UNASKED: %s got a packet that its sender did not write so", e.id)
			} else {
				e.handle(&p, from)
			}
		}
		e.bed.mu.Unlock()
	}
}

func (e *endpoint) handle(p *packet, from netip.AddrPort) {
	f := e.flows[p.src]
	if p.flags&flagSyn == 0 {
		e.bed.arrived(e, p, from)
	}
	switch {
	case p.flags&flagSyn != 0:
		e.handleOpening(p, f)
	case f == nil:
		if p.flags&flagReset == 0 {
			e.bed.count.unknown++
			e.reply(p, &held{echo: p.echo}, flagReset, nil)
		}
	case p.flags&flagReset != 0:
		if p.ack == f.seq+1 || !f.open {
			delete(e.flows, p.src)
		}
	case p.ack != f.seq+1:
		// The client acknowledges another endpoint's seq: the flow does not open here.
	default:
		f.echo = p.echo
		if !f.open {
			f.open = true
			e.bed.opened(e, p)
		}
		if p.flags&flagFin != 0 {
			e.reply(p, f, flagAck|flagFin, nil)
			delete(e.flows, p.src)
			return
		}
		if len(p.data) >= 8 {
			e.request(p, f)
		}
	}
}

func (e *endpoint) handleOpening(p *packet, f *held) {
	if service, ok := e.bed.services[p.dst]; !ok || service != e.service {
		e.bed.recordLocked("%s of service %s got the opening packet of %s for %s, the address of service %q", e.id, e.service, p.src, p.dst, service)
	}
	now := time.Now()
	if now.Sub(e.since) < e.coldFor {
		// Counted are those that were sent and arrived inside the second that ends now.
		sent := now
		if c := e.bed.flows[p.src]; c != nil {
			sent = c.started
		}
		e.coldOpenings = append(e.coldOpenings, sent)
		n := 0
		for _, t := range e.coldOpenings {
			if now.Sub(t) < time.Second {
				n++
			}
		}
		e.worstCold = max(e.worstCold, n)
	}
	if f == nil {
		f = &held{seq: rand.Uint32(), run: map[uint64][]byte{}, done: map[uint64]bool{}, opening: *p, peerSeq: p.seq}
		e.flows[p.src] = f
		f.echo = p.echo
		e.acceptFlow(p.src, f, firstRetransmit, 0)
		return
	}
	f.echo = p.echo
	if !f.open {
		e.reply(&f.opening, f, flagSyn|flagAck, nil)
	}
}

// acceptFlow sends the SYN+ACK of a flow, again and again until the flow is open.
func (e *endpoint) acceptFlow(src netip.AddrPort, f *held, pause time.Duration, sent int) {
	e.reply(&f.opening, f, flagSyn|flagAck, nil)
	time.AfterFunc(pause, func() {
		e.bed.mu.Lock()
		defer e.bed.mu.Unlock()
		if !e.up || f.open || e.flows[src] != f {
			return
		}
		if sent >= retransmissions {
			delete(e.flows, src)
			return
		}
		e.acceptFlow(src, f, min(2*pause, maxRetransmit), sent+1)
	})
}

// request runs a request once and answers it, again if the client asks again.
func (e *endpoint) request(p *packet, f *held) {
	id := binary.BigEndian.Uint64(p.data)
	if f.done[id] {
		if response, ok := f.run[id]; ok {
			e.reply(p, f, flagAck, response)
		}
		return
	}
	if e.busy >= slots && len(e.queue) >= queueLength {
		return
	}
	f.done[id] = true
	e.bed.ran(e, p, id)
	request, start := *p, e.since
	work := func() {
		e.busy++
		time.AfterFunc(e.work, func() {
			e.bed.mu.Lock()
			defer e.bed.mu.Unlock()
			if !e.up || e.since != start {
				return
			}
			e.busy--
			f.run[id] = append(binary.BigEndian.AppendUint64(nil, id), make([]byte, 592)...)
			e.reply(&request, f, flagAck, f.run[id])
			if len(e.queue) > 0 {
				next := e.queue[0]
				e.queue = e.queue[1:]
				next()
			}
		})
	}
	if e.busy < slots {
		work()
	} else {
		e.queue = append(e.queue, work)
	}
}

// reply sends a packet of a flow to its client, without the system.
func (e *endpoint) reply(p *packet, f *held, flags byte, data []byte) {
	seq := f.seq
	if flags&flagSyn == 0 {
		seq++
	}
	r := packet{echo: f.echo, src: p.dst, dst: p.src, flags: flags, seq: seq, ack: p.seq + 1, data: data}
	b, to := r.encode(), netip.AddrPortFrom(p.src.Addr(), e.bed.port)
	time.AfterFunc(clientDelay, func() { _, _ = e.socket.WriteToUDPAddrPort(b, to) })
}
