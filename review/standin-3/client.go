package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Times of a client's opening packets, from the first one.
const (
	secondCopy = 600 * time.Millisecond
	openTime   = 1400 * time.Millisecond
	deadline   = 2 * time.Second
)

// client is a stand-in of the clients of a zone behind one address.
type client struct {
	zone   string
	ip     netip.Addr
	route  netip.AddrPort
	record *record
	router *router
	conn   *net.UDPConn
	// sent is told when the client sends the first opening packet of a flow.
	sent func(k flowKey)

	mu       sync.Mutex
	waiting  map[uint16]chan packet
	nextPort uint16
	answered atomic.Int64
	failed   atomic.Int64
}

func (c *client) start(port uint16) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.ip, port)))
	if err != nil {
		return err
	}
	c.conn, c.waiting, c.nextPort = conn, make(map[uint16]chan packet), 20000
	go c.read()
	return nil
}

func (c *client) read() {
	b := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, ok := parsePacket(append([]byte(nil), b[:n]...))
		if !ok {
			continue
		}
		c.mu.Lock()
		flow := c.waiting[p.destination.Port()]
		c.mu.Unlock()
		select {
		case flow <- p:
		default:
		}
	}
}

// open returns a port that no flow had before and the packets that arrive there.
func (c *client) open() (uint16, chan packet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextPort++
	packets := make(chan packet, 64)
	c.waiting[c.nextPort] = packets
	return c.nextPort, packets
}

func (c *client) close(port uint16) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, port)
}

// load sends requests at a rate until the time is over.
func (c *client) load(perSecond float64, until time.Time) {
	var flows sync.WaitGroup
	for time.Now().Before(until) {
		flows.Go(c.request)
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
	}
	flows.Wait()
}

// request sends one request on a flow of its own.
func (c *client) request() {
	port, packets := c.open()
	defer c.close(port)
	k := flowKey{netip.AddrPortFrom(c.ip, port), c.route}
	sequence := rand.Uint32()
	start := time.Now()
	c.record.line("client sends the opening packet of %s", k.client)
	if c.sent != nil {
		c.sent(k)
	}
	first, ok := c.handshake(k, packets, sequence, start)
	if !ok {
		c.failed.Add(1)
		c.record.line("client gives up %s: not opened", k.client)
		return
	}
	id := fmt.Sprintf("request %s", k.client)
	p := packet{source: k.client, destination: k.service, flags: flagAck, sequence: sequence + 1, acknowledge: first.sequence + 1, echo: first.echo, data: []byte(id)}
	wait := firstRetransmit
	for time.Since(start) < deadline {
		c.router.send(k, p.append(nil))
		timer := time.After(wait)
		for waiting := true; waiting; {
			select {
			case in := <-packets:
				p.echo = in.echo
				if in.flags&flagReset != 0 {
					c.failed.Add(1)
					c.record.line("client gets a reset of %s", k.client)
					return
				}
				if len(in.data) > 0 {
					c.answered.Add(1)
					c.record.line("client gets %q for %s", in.data, k.client)
					end := packet{source: k.client, destination: k.service, flags: flagAck | flagFin, sequence: p.sequence + uint32(len(p.data)), acknowledge: in.sequence + uint32(len(in.data)), echo: in.echo}
					c.router.send(k, end.append(nil))
					return
				}
			case <-timer:
				waiting = false
			}
		}
		wait = min(2*wait, longestRetransmit)
	}
	c.failed.Add(1)
	c.record.line("client gives up %s: no answer", k.client)
}

// handshake sends opening packets until one is answered.
func (c *client) handshake(k flowKey, packets chan packet, sequence uint32, start time.Time) (packet, bool) {
	for copies, at := range []time.Duration{firstRetransmit, secondCopy, openTime} {
		p := packet{source: k.client, destination: k.service, flags: flagSyn, sequence: sequence, acknowledge: uint32(copies)}
		c.router.send(k, p.append(nil))
		timer := time.After(time.Until(start.Add(at)))
		for waiting := true; waiting; {
			select {
			case in := <-packets:
				if in.flags&flagReset != 0 {
					return packet{}, false
				}
				if in.flags&flagSyn != 0 {
					return in, true
				}
			case <-timer:
				waiting = false
			}
		}
	}
	return packet{}, false
}
