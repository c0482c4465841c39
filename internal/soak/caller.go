package soak

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	requestBytes  = 64
	responseBytes = 10
	// flowTimeout is the time after which a caller abandons a flow that has not
	// completed.
	flowTimeout = 1400 * time.Millisecond
	// callerDelay is the one-way delay between callers and instances.
	callerDelay = 3 * time.Millisecond
	// Flows on streamRoute stay open after their response and send a second request after
	// a pause.
	minPause      = time.Second
	pauseRange    = 2 * time.Second
	pausedTimeout = 4 * time.Second
	// retransmitInterval is the time after which an unanswered request is
	// retransmitted, and the initial backoff of an upstream's SYN-ACK.
	retransmitInterval = 200 * time.Millisecond
)

// caller simulates a client. It has one address and opens every flow from a new
// source port. All packets to the address arrive on one UDP socket.
type caller struct {
	testbed *Testbed
	address netip.Addr
	socket  *net.UDPConn

	mu       sync.Mutex
	flows    map[uint16]*flow
	lastPort uint16
}

// flow carries one request, or two with a pause between them. It is guarded by the
// lock of its caller.
type flow struct {
	caller      *caller
	source      netip.AddrPort
	destination netip.AddrPort
	request     uint64
	startedAt   time.Time
	token       uint32
	// upstreamNumber is the low 32 bits of the number of the upstream that sent
	// the SYN-ACK.
	upstreamNumber uint32
	// sent and received are the numbers of bytes of earlier requests and responses.
	sent          uint32
	received      uint32
	establishedAt time.Time
	done          bool
	// answered is true once the first request was answered, pausing until the second
	// one is sent.
	answered  bool
	pausing   bool
	onOutcome func(outcome)
	// misroutedPackets counts the packets that reached other upstreams since the last
	// one that reached its own, misroutedSince is when the first of them did.
	// reported is true once they were recorded as a violation.
	misroutedPackets int
	misroutedSince   time.Time
	reported         bool
}

// outcome is the result of a flow: answered, reset or timed out.
type outcome int

const (
	outcomeAnswered outcome = iota
	outcomeRefused
	outcomeTimedOut
)

func newCaller(s *Testbed, index int) (*caller, error) {
	address := netip.AddrFrom4([4]byte{127, 64, 0, byte(index + 1)})
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, callerPort)))
	if err != nil {
		return nil, errors.Wrap(err, "listen for caller")
	}
	return &caller{testbed: s, address: address, socket: socket, flows: make(map[uint16]*flow), lastPort: 20000}, nil
}

// openFlow opens a flow, which sends one request once it is established. It
// sends a SYN at once and retransmits it after 200 ms and 600 ms. onOutcome is
// called once, with the lock of the caller held.
func (c *caller) openFlow(destination netip.AddrPort, request uint64, onOutcome func(outcome)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastPort++; c.lastPort < 20000 {
		c.lastPort = 20000
	}
	f := &flow{
		caller: c, source: netip.AddrPortFrom(c.address, c.lastPort), destination: destination, request: request, startedAt: time.Now(), onOutcome: onOutcome,
	}
	c.flows[c.lastPort] = f
	for attempt, delay := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		time.AfterFunc(delay, func() { f.sendSyn(uint32(attempt)) })
	}
	time.AfterFunc(flowTimeout, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !f.answered {
			f.finishLocked(outcomeTimedOut)
		}
	})
}

// sendSyn sends a SYN unless the flow is established or has ended.
func (f *flow) sendSyn(attempt uint32) {
	f.caller.mu.Lock()
	defer f.caller.mu.Unlock()
	if f.establishedAt.IsZero() && !f.done {
		f.send(&packet{flags: flagSyn, ack: attempt})
	}
}

func (f *flow) send(p *packet) {
	p.source, p.destination = f.source, f.destination
	time.AfterFunc(callerDelay, func() { f.caller.testbed.fabric.forward(p) })
}

func (f *flow) sendRequest() {
	data := make([]byte, requestBytes)
	binary.BigEndian.PutUint64(data, f.request)
	f.send(&packet{flags: flagAck, token: f.token, sequence: f.sent, ack: f.upstreamNumber + f.received, data: data})
}

// retransmit sends the request again and reschedules itself until the flow ends.
func (f *flow) retransmit() {
	f.caller.mu.Lock()
	defer f.caller.mu.Unlock()
	if !f.done && !f.pausing {
		f.sendRequest()
		time.AfterFunc(retransmitInterval, f.retransmit)
	}
}

// handleResponse ends the flow, or leaves it open for a second request.
func (f *flow) handleResponse() {
	f.sent, f.received = f.sent+requestBytes, f.received+responseBytes
	f.send(&packet{flags: flagAck, token: f.token, sequence: f.sent, ack: f.upstreamNumber + f.received})
	if f.answered || f.destination != streamRoute() {
		f.finishLocked(outcomeAnswered)
		return
	}
	f.answered, f.pausing = true, true
	f.onOutcome(outcomeAnswered)
	time.AfterFunc(minPause+rand.N(pauseRange), func() {
		request := f.caller.testbed.nextRequest()
		f.caller.mu.Lock()
		f.request, f.pausing = request, false
		f.caller.mu.Unlock()
		f.checkReach()
		f.retransmit()
	})
	time.AfterFunc(minPause+pauseRange+pausedTimeout, func() { f.finish(outcomeTimedOut) })
}

// checkReach checks that a flow whose upstream fell silent before its second request is
// reset or answered soon after that.
func (f *flow) checkReach() {
	s := f.caller.testbed
	if s.upstreamAlive(f.upstreamNumber) {
		return
	}
	s.schedule(reachBound+schedulingTolerance, func() {
		f.caller.mu.Lock()
		defer f.caller.mu.Unlock()
		if !f.done && s.journal.undisturbedFor(reachBound) {
			s.journal.recordViolation(guaranteeReach, "%s is still open %s after a request to a dead upstream", f.source, reachBound)
		}
	})
}

// isMisrouted counts a packet that reached the upstream with the given number and
// reports whether packets of the flow keep reaching others than its own.
func (f *flow) isMisrouted(number uint64) bool {
	if f.establishedAt.IsZero() || f.upstreamNumber == uint32(number) || !f.caller.testbed.upstreamAlive(f.upstreamNumber) {
		return false
	}
	if f.misroutedPackets++; f.misroutedPackets == 1 {
		f.misroutedSince = time.Now()
	}
	justOpened, lasting := time.Since(f.establishedAt) <= misroutedWindow, time.Since(f.misroutedSince) >= misroutedWindow
	return f.misroutedPackets >= misroutedThreshold && (justOpened || lasting)
}

// finish ends the flow and reports its outcome. Later calls have no effect.
func (f *flow) finish(o outcome) {
	f.caller.mu.Lock()
	defer f.caller.mu.Unlock()
	f.finishLocked(o)
}

func (f *flow) finishLocked(o outcome) {
	if f.done {
		return
	}
	f.done = true
	if !f.establishedAt.IsZero() {
		f.send(&packet{flags: flagFin | flagAck, token: f.token, sequence: f.sent, ack: f.upstreamNumber + f.received})
	}
	delete(f.caller.flows, f.source.Port())
	if !f.answered {
		f.onOutcome(o)
	}
}

// serve reads and handles packets for the caller until the socket is closed.
func (c *caller) serve() {
	buffer := make([]byte, datagramBytes)
	for {
		n, from, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if p, validChecksum, ok := decode(buffer[:n]); ok {
			p.data = append([]byte(nil), p.data...)
			c.handle(&p, validChecksum, from)
		}
	}
}

func (c *caller) handle(p *packet, validChecksum bool, from netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flows[p.destination.Port()]
	if f == nil {
		return
	}
	j := c.testbed.journal
	switch {
	case p.flags&flagReset != 0:
		f.handleReset(p, validChecksum, from)
	case !validChecksum:
		j.recordViolation(guaranteeMixed, "%s received a packet from %s that no upstream wrote", f.source, from)
	case p.flags&flagSyn != 0:
		f.token = p.token
		if f.establishedAt.IsZero() {
			f.establishedAt, f.upstreamNumber = time.Now(), p.ack
			f.sendRequest()
			time.AfterFunc(retransmitInterval, f.retransmit)
		}
	case len(p.data) == 0:
		f.token = p.token
	case len(p.data) == responseBytes:
		if p.ack != f.upstreamNumber || binary.BigEndian.Uint64(p.data) != f.request {
			j.recordViolation(guaranteeMixed, "%s received the response to another request", f.source)
		}
		f.token = p.token
		if !f.pausing {
			f.handleResponse()
		}
	}
}

// handleReset ends the flow. Only its own upstream may reset an established flow.
// A reset from another upstream means that packets were misrouted, and the system
// under test must never send one.
func (f *flow) handleReset(p *packet, validChecksum bool, from netip.AddrPort) {
	s := f.caller.testbed
	unexpected := !validChecksum || p.ack != f.upstreamNumber
	if unexpected && !f.establishedAt.IsZero() && s.upstreamAlive(f.upstreamNumber) && s.journal.undisturbedFor(0) {
		s.journal.recordViolation(guaranteeFlow, "%s was reset by %s instead of its own upstream after it was established", f.source, from)
	}
	f.finishLocked(outcomeRefused)
}
