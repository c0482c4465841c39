package soak

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	datagramBytes = 2048
	upstreamSlots = 2
	upstreamQueue = 8
	meanWorkTime  = 15 * time.Millisecond
)

// upstream simulates a server of one service in one data centre. It runs up to
// upstreamSlots requests at a time and queues up to upstreamQueue.
type upstream struct {
	testbed    *Testbed
	id         string
	number     uint64
	service    string
	dataCentre string
	address    netip.AddrPort
	socket     *net.UDPConn

	mu        sync.Mutex
	flows     map[netip.AddrPort]*connection
	executed  map[uint64]bool
	busySlots int
	queue     []func()
	// coldOpenings holds the arrival times of SYNs while the upstream is cold.
	coldOpenings []time.Time
	coldUntil    time.Time
	// drainingSince is the time at which the store acknowledged the drain. Zero
	// means that the upstream is not draining.
	drainingSince time.Time
	// start counts the starts. bornMS is the Unix time of the last one in milliseconds.
	start  int
	bornMS atomic.Int64
	// crashed is atomic because it is read without the lock.
	crashed atomic.Bool
}

// connection is the state of a flow at the upstream. It is established once a
// request has arrived.
type connection struct {
	token       uint32
	established bool
}

func newUpstream(s *Testbed, index int, service, dataCentre string) (*upstream, error) {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d %d %s", s.config.Seed, index, service)
	number := h.Sum64() >> 24
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 128, byte(index >> 8), byte(index + 1)}), upstreamPort)
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrap(err, "listen for upstream")
	}
	u := &upstream{
		testbed: s, id: fmt.Sprintf("i-%010x", number), number: number, service: service, dataCentre: dataCentre, address: address,
		socket: socket, flows: make(map[netip.AddrPort]*connection), executed: make(map[uint64]bool),
	}
	u.bornMS.Store(s.journal.startedAt.UnixMilli())
	return u, nil
}

// entry returns the JSON registration of the upstream in the store.
func (u *upstream) entry(state string, cold time.Duration) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold-remaining-ms":%d,"sequence":1,"born":%d}`,
		u.service, u.address, u.dataCentre, upstreamSlots, state, cold.Milliseconds(), u.bornMS.Load())
}

// restart starts a crashed upstream again under its id. It knows none of its flows.
func (u *upstream) restart(cold time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.start++
	u.bornMS.Store(time.Now().UnixMilli())
	u.coldUntil, u.coldOpenings = time.Now().Add(cold), nil
	u.flows, u.busySlots, u.queue = make(map[netip.AddrPort]*connection), 0, nil
	u.crashed.Store(false)
}

// serve reads and handles datagrams until the socket is closed. Each datagram starts
// with the number of the upstream that it is addressed to. Datagrams for other
// upstreams are ignored.
func (u *upstream) serve() {
	buffer := make([]byte, datagramBytes)
	for {
		n, _, err := u.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if u.crashed.Load() || n < upstreamNumberBytes+headerBytes || binary.BigEndian.Uint64(buffer) != u.number {
			continue
		}
		p, validChecksum, _ := decode(buffer[upstreamNumberBytes:n])
		if !validChecksum {
			u.testbed.journal.recordViolation(guaranteeUnasked, "%s received a packet with an invalid checksum, which no caller wrote", u.id)
			continue
		}
		p.data = append([]byte(nil), p.data...)
		u.handle(&p)
	}
}

func (u *upstream) handle(p *packet) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f := u.flows[p.source]
	switch {
	case p.flags&flagSyn != 0:
		u.checkOpening(p)
		if f == nil {
			f = &connection{}
			u.flows[p.source] = f
		}
		f.token = p.token
		request := *p
		u.sendSynAck(&request, f, retransmitInterval)
	case f == nil:
		if p.flags&flagReset == 0 {
			u.testbed.recordMisrouted(u, p)
			u.reply(p, &connection{}, flagReset, nil)
		}
	case p.ack-uint32(u.number) > 2*responseBytes:
		// The caller established the flow with another upstream.
		u.testbed.recordMisrouted(u, p)
	case p.flags&(flagFin|flagReset) != 0:
		delete(u.flows, p.source)
	case len(p.data) == requestBytes:
		u.testbed.recordRouted(p)
		f.token, f.established = p.token, true
		u.reply(p, f, flagAck, nil)
		u.request(p, f)
	}
}

// sendSynAck answers a SYN. It retransmits with exponential backoff until the flow
// is established or the delay reaches flowTimeout.
func (u *upstream) sendSynAck(p *packet, f *connection, delay time.Duration) {
	u.reply(p, f, flagSyn|flagAck, nil)
	time.AfterFunc(delay, func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		if !f.established && u.flows[p.source] == f && delay < flowTimeout {
			u.sendSynAck(p, f, 2*delay)
		}
	})
}

// checkOpening checks that the upstream may receive a new flow: its service matches
// the route, and neither it nor its data centre has been out of service for longer
// than the bound.
func (u *upstream) checkOpening(p *packet) {
	now := time.Now()
	j := u.testbed.journal
	if service, ok := u.testbed.everRoutedService(p.destination); !ok || service != u.service {
		j.recordViolation(guaranteeRoute, "%s of service %s received a SYN for %s", u.id, u.service, p.destination)
	}
	if !u.drainingSince.IsZero() && now.Sub(u.drainingSince) > drainBound+schedulingTolerance && j.undisturbedFor(drainBound) {
		j.recordViolation(guaranteeDrain, "%s received a SYN %s after it started to drain", u.id, now.Sub(u.drainingSince))
	}
	if outSince := u.testbed.dataCentreOutSince(u.dataCentre); !outSince.IsZero() && now.Sub(outSince) > dataCentreOutBound+schedulingTolerance && j.undisturbedFor(dataCentreOutBound) {
		j.recordViolation(guaranteeDataCentreOut, "%s received a SYN %s after data centre %s was taken out of service", u.id, now.Sub(outSince), u.dataCentre)
	}
	if now.Before(u.coldUntil) {
		u.checkColdRate(now)
	}
}

// checkColdRate checks the rate of SYNs in the last second while the upstream is
// cold.
func (u *upstream) checkColdRate(now time.Time) {
	u.coldOpenings = append(u.coldOpenings, now)
	n := 0
	for _, o := range u.coldOpenings {
		if now.Sub(o) < time.Second {
			n++
		}
	}
	if bound := coldPerSecond*coldRateTolerance + coldBurst; float64(n) > bound {
		u.testbed.journal.recordViolation(guaranteeCold, "%s received %d SYNs in one second while cold, limit %.0f", u.id, n, bound)
	}
}

// request runs a request as soon as a slot is free. Duplicates are ignored, and so
// are requests that arrive when the queue is full.
func (u *upstream) request(p *packet, f *connection) {
	id := binary.BigEndian.Uint64(p.data)
	if u.executed[id] {
		return
	}
	if u.busySlots >= upstreamSlots && len(u.queue) >= upstreamQueue {
		return
	}
	u.executed[id] = true
	u.testbed.checkRequestSent(u, id)
	request, start := *p, u.start
	run := func() {
		u.busySlots++
		time.AfterFunc(meanWorkTime/2+time.Duration(rand.Int64N(int64(meanWorkTime))), func() {
			u.mu.Lock()
			defer u.mu.Unlock()
			if u.start != start {
				return
			}
			u.busySlots--
			u.reply(&request, f, flagAck, append(request.data[:8:8], byte(u.number), byte(u.number>>8)))
			if len(u.queue) > 0 {
				next := u.queue[0]
				u.queue = u.queue[1:]
				next()
			}
		})
	}
	if u.busySlots < upstreamSlots {
		run()
	} else {
		u.queue = append(u.queue, run)
	}
}

// reply sends a packet directly to the caller (direct server return). A crashed
// upstream sends nothing.
func (u *upstream) reply(p *packet, f *connection, flags byte, data []byte) {
	if u.crashed.Load() {
		return
	}
	response := packet{token: f.token, source: p.destination, destination: p.source, flags: flags, ack: uint32(u.number), data: data}
	// A write fails only after the socket was closed, by a crash or at the end of
	// the run.
	_, _ = u.socket.WriteToUDPAddrPort(response.encode(), netip.AddrPortFrom(p.source.Addr(), callerPort))
}
