package tokenrouter

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
	"github.com/chervilhaven/chervilhaven/internal/token"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// server is one simulated upstream. misrouted counts data packets of flows that
// were not opened here, misplaced opening packets for other services.
type server struct {
	w               *world
	info            catalog.Upstream
	key             string
	alive           bool
	meanServiceTime time.Duration
	// shedShare is the share of requests that are shed at once.
	shedShare float64
	busy      int
	queue     []func()
	flows     map[string]bool
	// halfOpen holds the tokens of flows whose opening packets were answered. An answer
	// carries the token of the last one.
	halfOpen map[string]token.Token
	// opened holds the flows that were ever open here.
	opened map[string]bool
	// asked holds the numbers of bytes of requests of each session.
	asked     map[string]uint32
	openTimes []time.Time
	// muted loses the answers to opening packets.
	muted bool
	// refuses makes the host refuse connections when the server is dead.
	refuses   bool
	misrouted int
	misplaced int
}

// caller is one flow with a single request. openedUpstream is the number of the
// upstream whose answer it accepted, 0 before.
type caller struct {
	w              *world
	source         netip.AddrPort
	destination    netip.AddrPort
	token          token.Token
	openedUpstream uint64
	startedAt      time.Time
	answeredAt     time.Time
	refused        bool
	// keepsOpen leaves the flow open after the response.
	keepsOpen bool
	// dropPackets loses all packets of the flow after its opening packets.
	dropPackets bool
	// session is set if the caller sends several requests on its flow.
	session *session
	// via is the instance that gets all packets, nil to let the network fabric
	// choose.
	via *node
}

// packetBytes is the size of a packet without data.
const packetBytes = 5

// packetOf encodes a caller's packet: the index of the caller, the role and the data.
func packetOf(index int, role flow.Role, data int) []byte {
	return append(append(binary.BigEndian.AppendUint32(nil, uint32(index)), byte(role)), make([]byte, data)...)
}

// deliver handles a packet that arrives at an upstream.
func (w *world) deliver(n *node, number uint64, t token.Token, raw []byte) {
	u, c := w.upstreams[number], w.callers[binary.BigEndian.Uint32(raw)]
	if u == nil || !u.alive || w.unreachable != nil && w.unreachable(n, u) {
		return
	}
	key := c.source.String()
	switch flow.Role(raw[4]) {
	case flow.RoleOpen:
		u.openTimes = append(u.openTimes, w.now)
		if r, ok := n.router.routes[c.destination]; ok && r.Service != u.info.Service {
			u.misplaced++
		}
		_, copied := u.halfOpen[key]
		u.halfOpen[key] = t
		if copied {
			u.sendOpenAnswer(c)
			return
		}
		u.answerOpening(c, firstRetransmit, 0)
	case flow.RoleData:
		if c.openedUpstream != number {
			u.misrouted++
			return
		}
		first := !u.opened[key]
		if c.session != nil && len(raw) > packetBytes {
			// The same bytes again are not another request.
			first = c.session.asked > u.asked[key]
			u.asked[key] = c.session.asked
		} else if c.session != nil {
			first = false
		}
		if first {
			u.flows[key], u.opened[key] = true, true
			u.serve(c, t)
		}
	case flow.RoleClose, flow.RoleReset:
		delete(u.flows, key)
	}
}

// answerOpening answers an opening packet, and again until the flow opens here or the
// server gives up.
func (u *server) answerOpening(c *caller, pause time.Duration, repetitions int) {
	const maxPause, maxRepetitions = 1600 * time.Millisecond, 8
	u.sendOpenAnswer(c)
	if repetitions == maxRepetitions {
		return
	}
	u.w.after(pause, func() {
		if u.alive && !u.opened[c.source.String()] {
			u.answerOpening(c, min(2*pause, maxPause), repetitions+1)
		}
	})
}

// sendOpenAnswer answers an opening packet once, with the last token of the flow.
func (u *server) sendOpenAnswer(c *caller) {
	t := u.halfOpen[c.source.String()]
	if u.muted || u.w.lostOpenAnswers > 0 && u.w.random.Float64() < u.w.lostOpenAnswers {
		return
	}
	u.w.after(callerDelay, func() { c.handleOpenAnswer(u, t) })
}

// serve processes a request as soon as a slot is free. If 8 requests are queued
// already, the server sheds it with an immediate answer.
func (u *server) serve(c *caller, t token.Token) {
	if len(u.queue) >= 8 || u.shedShare > 0 && u.w.random.Float64() < u.shedShare {
		u.w.after(callerDelay, func() { c.handleShed(t) })
		return
	}
	run := func() {
		u.busy++
		work := time.Duration(float64(u.meanServiceTime) * (0.5 + u.w.random.Float64()))
		u.w.after(work, func() {
			u.busy--
			if u.alive {
				u.w.after(callerDelay, func() { c.handleResponse(t) })
			}
			if len(u.queue) > 0 {
				next := u.queue[0]
				u.queue = u.queue[1:]
				next()
			}
		})
	}
	if u.busy < u.info.Slots {
		run()
	} else {
		u.queue = append(u.queue, run)
	}
}

// call opens a flow that sends one request and retransmits its opening packet.
func (w *world) call(destination netip.AddrPort, via *node) *caller {
	index := len(w.callers)
	c := &caller{
		w: w, destination: destination, startedAt: w.now, via: via,
		source: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(index >> 16), byte(index >> 8)}), uint16(20000+index&0xff)),
	}
	w.callers = append(w.callers, c)
	if w.retries {
		w.after(openTimeout, func() { c.retry(via) })
	}
	for number, d := range []time.Duration{0, firstRetransmit, secondRetransmit} {
		w.after(d, func() {
			if c.openedUpstream == 0 && !c.refused {
				c.send(&Packet{Role: flow.RoleOpen, Retransmission: uint32(number)})
			}
		})
	}
	return c
}

// retry calls once more on a new flow if the first flow did not open.
func (c *caller) retry(via *node) {
	if c.openedUpstream == 0 {
		c.w.retries = false
		c.w.call(c.destination, via)
		c.w.retries = true
	}
}

func (c *caller) send(p *Packet) {
	index := slices.Index(c.w.callers, c)
	p.Source, p.Destination, p.Raw, p.Token = c.source, c.destination, packetOf(index, p.Role, p.Head.Length), c.token
	if p.Role == flow.RoleOpen {
		p.Token = 0
	}
	if c.dropPackets && p.Role != flow.RoleOpen {
		return
	}
	c.w.after(callerDelay, func() {
		n := c.via
		if n == nil {
			n = c.w.route(index)
		}
		if n != nil {
			n.apply(p)
		}
	})
}

// route returns the instance that the network fabric chooses: a hash over the
// ready instances.
func (w *world) route(index int) *node {
	var up []*node
	for _, n := range w.nodes {
		if n.up && n.router.Ready() {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[(index*2654435761>>7)%len(up)]
}

// handleOpenAnswer handles an upstream's answer to an opening packet.
func (c *caller) handleOpenAnswer(u *server, t token.Token) {
	if c.w.now.Sub(c.startedAt) > openTimeout && c.openedUpstream == 0 {
		return
	}
	c.token = t
	if c.openedUpstream != 0 {
		return
	}
	c.openedUpstream = u.info.Number
	if c.session != nil {
		c.session.handleOpened()
		return
	}
	c.send(&Packet{Role: flow.RoleData})
}

// handleResponse handles the response to the request.
func (c *caller) handleResponse(t token.Token) {
	if c.session != nil {
		c.session.handleAnswer(false)
		return
	}
	if c.answeredAt.IsZero() {
		c.token, c.answeredAt = t, c.w.now
		if !c.keepsOpen {
			c.send(&Packet{Role: flow.RoleClose})
		}
	}
}

// handleShed handles the answer of an upstream that sheds the request.
func (c *caller) handleShed(t token.Token) {
	c.token = t
	if c.session != nil {
		c.session.handleAnswer(true)
		return
	}
	c.send(&Packet{Role: flow.RoleClose})
}

func (c *caller) latency() time.Duration { return c.answeredAt.Sub(c.startedAt) }

// load opens flows at the given rate per second for d. The returned list fills
// as they start.
func (w *world) load(rate float64, d time.Duration) *[]*caller { return w.loadTo(deskRoute, rate, d) }

// loadTo is load for a route.
func (w *world) loadTo(destination netip.AddrPort, rate float64, d time.Duration) *[]*caller {
	list := &[]*caller{}
	gap := time.Duration(float64(time.Second) / rate)
	for at := time.Duration(0); at < d; at += gap {
		w.after(at+time.Duration(w.random.Int64N(int64(gap))), func() { *list = append(*list, w.call(destination, nil)) })
	}
	return list
}

// shareInTime returns the share of flows that were answered within
// targetLatency.
func shareInTime(list []*caller) float64 { return shareWithin(list, targetLatency) }

// shareWithin returns the share of flows that were answered within a time.
func shareWithin(list []*caller, bound time.Duration) float64 {
	n := 0
	for _, c := range list {
		if !c.answeredAt.IsZero() && c.latency() <= bound {
			n++
		}
	}
	return float64(n) / float64(max(len(list), 1))
}
