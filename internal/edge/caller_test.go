package edge

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
	"github.com/chervilhaven/chervilhaven/internal/token"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// server is one upstream.
type server struct {
	w         *world
	info      catalog.Upstream
	key       string
	alive     bool
	meanWork  time.Duration
	busy      int
	queue     []func()
	flows     map[string]bool
	openTimes []time.Time
	misrouted int
}

// caller is one flow.
type caller struct {
	w              *world
	source         netip.AddrPort
	destination    netip.AddrPort
	token          token.Token
	openedUpstream uint64
	startedAt      time.Time
	answeredAt     time.Time
	refused        bool
	// dropPackets loses all packets of an open flow.
	dropPackets bool
	// via is the instance for all packets, nil for the fabric's choice.
	via *node
}

// packet of a caller: role and index of the caller, as bytes.
func packetOf(index int, role flow.Role) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(index)), byte(role))
}

// deliver is a packet at an upstream.
func (w *world) deliver(n *node, number uint64, t token.Token, raw []byte) {
	u, c := w.upstreams[number], w.callers[binary.BigEndian.Uint32(raw)]
	if u == nil || !u.alive || w.unreachable != nil && w.unreachable(n, u) {
		return
	}
	key := c.source.String()
	switch flow.Role(raw[4]) {
	case flow.Open:
		u.openTimes = append(u.openTimes, w.now)
		w.after(callerDelay, func() { c.handleOpenAnswer(u, t) })
	case flow.Data:
		if c.openedUpstream != number {
			u.misrouted++
			return
		}
		if !u.flows[key] {
			u.flows[key] = true
			u.serve(c, t)
		}
	case flow.Close, flow.Reset:
		delete(u.flows, key)
	}
}

// serve works on a request once a slot is free; the queue sheds beyond 8, with an
// answer at once.
func (u *server) serve(c *caller, t token.Token) {
	if len(u.queue) >= 8 {
		u.w.after(callerDelay, func() { c.handleShed(t) })
		return
	}
	run := func() {
		u.busy++
		work := time.Duration(float64(u.meanWork) * (0.5 + u.w.random.Float64()))
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

// call opens a flow that sends one request.
func (w *world) call(destination netip.AddrPort, through *node) *caller {
	index := len(w.callers)
	c := &caller{
		w: w, destination: destination, startedAt: w.now, via: through,
		source: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(index >> 16), byte(index >> 8)}), uint16(20000+index&0xff)),
	}
	w.callers = append(w.callers, c)
	if w.retries {
		w.after(openTimeout, func() { c.retry(through) })
	}
	for number, d := range []time.Duration{0, firstRetransmit, secondRetransmit} {
		w.after(d, func() {
			if c.openedUpstream == 0 && !c.refused {
				c.send(&Packet{Role: flow.Open, Copy: uint32(number)})
			}
		})
	}
	return c
}

// retry tries again once on a new flow where the first one did not open.
func (c *caller) retry(through *node) {
	if c.openedUpstream == 0 {
		c.w.retries = false
		c.w.call(c.destination, through)
		c.w.retries = true
	}
}

func (c *caller) send(p *Packet) {
	index := slices.Index(c.w.callers, c)
	p.Source, p.Destination, p.Raw, p.Token = c.source, c.destination, packetOf(index, p.Role), c.token
	if p.Role == flow.Open {
		p.Token = 0
	}
	if c.dropPackets && p.Role != flow.Open {
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

// route is the fabric's choice: a hash over the instances that are up.
func (w *world) route(index int) *node {
	var up []*node
	for _, n := range w.nodes {
		if n.up && n.edge.Ready() {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[(index*2654435761>>7)%len(up)]
}

// handleOpenAnswer is the upstream's answer to an opening.
func (c *caller) handleOpenAnswer(u *server, t token.Token) {
	if c.w.now.Sub(c.startedAt) > openTimeout && c.openedUpstream == 0 {
		return
	}
	c.token = t
	if c.openedUpstream != 0 {
		return
	}
	c.openedUpstream = u.info.Number
	c.send(&Packet{Role: flow.Data})
}

// handleResponse is the end of the upstream's answer.
func (c *caller) handleResponse(t token.Token) {
	if c.answeredAt.IsZero() {
		c.token, c.answeredAt = t, c.w.now
		c.send(&Packet{Role: flow.Close})
	}
}

// handleShed is the answer that the upstream does not work on the request.
func (c *caller) handleShed(t token.Token) {
	c.token = t
	c.send(&Packet{Role: flow.Close})
}

func (c *caller) latency() time.Duration { return c.answeredAt.Sub(c.startedAt) }

// load opens flows at a rate for d, and returns them.
func (w *world) load(rate float64, d time.Duration) *[]*caller {
	list := &[]*caller{}
	gap := time.Duration(float64(time.Second) / rate)
	for at := time.Duration(0); at < d; at += gap {
		w.after(at+time.Duration(w.random.Int64N(int64(gap))), func() { *list = append(*list, w.call(deskRoute, nil)) })
	}
	return list
}

// shareInTime returns the share of the flows that were answered in time.
func shareInTime(list []*caller) float64 {
	n := 0
	for _, c := range list {
		if !c.answeredAt.IsZero() && c.latency() <= targetLatency {
			n++
		}
	}
	return float64(n) / float64(max(len(list), 1))
}
