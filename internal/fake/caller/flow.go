package caller

import (
	"net/netip"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/fake/request"
	"github.com/chervilhaven/chervilhaven/internal/fake/segment"
)

const (
	synRetransmitTimeout     = time.Second
	initialRetransmitTimeout = 200 * time.Millisecond
	maxRetransmitTimeout     = 4 * time.Second
	closeTimeout             = 3 * time.Second
	initialSequence          = 5_000
	windowSize               = 1 << 16
)

// state is the state of the caller's end of a TCP connection.
type state uint8

const (
	opening state = iota
	established
	closing
)

// flow is the caller's end of a TCP connection.
type flow struct {
	task        *task
	state       state
	source      netip.AddrPort
	destination netip.AddrPort
	upstream    netip.AddrPort
	// sendNext is the next sequence number to send (SND.NXT in RFC 9293);
	// receiveNext is the next one expected (RCV.NXT).
	sendNext    uint32
	receiveNext uint32
	// unacknowledged is the segment in flight, retransmitted until it is
	// acknowledged. Nil if there is none.
	unacknowledged    *segment.Segment
	retransmitTimeout time.Duration
	retransmitAt      time.Time
	// deadline is when the flow is given up unless it makes progress.
	deadline time.Time
	// requestStartedAt is the start of the response time of the request in
	// flight, zero if there is none. For the first request it is the arrival of
	// the task, so that the handshake and retries count.
	requestStartedAt time.Time
	// nextRequestAt is when the next request is due, zero if none is scheduled.
	nextRequestAt time.Time
	response      response
}

// response is the received part of a response.
type response struct {
	header        []byte
	decodedHeader request.ResponseHeader
	contentBytes  int
	damaged       bool
	// inTime reports whether the first byte arrived within the class's bound on
	// the response time.
	inTime bool
}

func (c *Caller) openFlow(now time.Time, t *task) {
	class := c.config.Classes[t.class]
	f := &flow{
		task: t, source: c.nextSource(), destination: class.Destination,
		sendNext: initialSequence, retransmitTimeout: synRetransmitTimeout, deadline: now.Add(timeoutOf(class)),
	}
	c.flows[f.source] = f
	c.result.Opened++
	c.transmit(now, f, segment.SYN, nil)
}

func timeoutOf(c Class) time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return defaultTimeout
}

// transmit sends a segment and retransmits it until it is acknowledged.
func (c *Caller) transmit(now time.Time, f *flow, flags segment.Flags, payload []byte) {
	s := segment.Segment{
		Source: f.source, Destination: f.destination, Flags: flags,
		Sequence: f.sendNext, Acknowledgement: f.receiveNext, Payload: payload,
	}
	f.sendNext += uint32(len(payload))
	if flags&(segment.SYN|segment.FIN) != 0 {
		f.sendNext++
	}
	f.unacknowledged = &s
	f.retransmitAt = now.Add(f.retransmitTimeout)
	c.send(s)
}

func (c *Caller) acknowledge(f *flow) {
	c.send(segment.Segment{
		Source: f.source, Destination: f.destination, Flags: segment.ACK,
		Sequence: f.sendNext, Acknowledgement: f.receiveNext,
	})
}

func (c *Caller) tickFlow(now time.Time, f *flow) {
	switch {
	case now.After(f.deadline):
		c.endFlow(now, f, false)
	case f.unacknowledged != nil && now.After(f.retransmitAt):
		f.retransmitTimeout = min(2*f.retransmitTimeout, maxRetransmitTimeout)
		f.retransmitAt = now.Add(f.retransmitTimeout)
		f.unacknowledged.Acknowledgement = f.receiveNext
		c.send(*f.unacknowledged)
	case !f.nextRequestAt.IsZero() && now.After(f.nextRequestAt):
		c.sendRequest(now, f)
	}
}

// sendRequest sends the first unanswered request of the flow's task.
func (c *Caller) sendRequest(now time.Time, f *flow) {
	f.nextRequestAt = time.Time{}
	f.requestStartedAt = now
	if f.task.answered == 0 {
		f.requestStartedAt = f.task.arrivedAt
	}
	f.response = response{}
	f.deadline = now.Add(timeoutOf(c.config.Classes[f.task.class]))
	f.task.sent = f.task.answered + 1
	r := f.task.requests[f.task.answered]
	c.transmit(now, f, segment.ACK|segment.PSH, r.Encode())
}

// handleSegment processes a segment received from the address from. c.mutex
// must be held.
func (c *Caller) handleSegment(now time.Time, from netip.AddrPort, s segment.Segment) {
	f, ok := c.flows[s.Destination]
	if !ok || s.Source != f.destination {
		c.handleStray(s)
		return
	}
	if s.Flags.Has(segment.RST) {
		c.handleReset(now, f, s)
		return
	}
	if f.state == opening {
		c.handleSYNACK(now, from, f, s)
		return
	}
	if from != f.upstream {
		c.result.CrossedSegments++
		return
	}
	if s.Flags.Has(segment.ACK) && s.Acknowledgement == f.sendNext {
		f.unacknowledged = nil
		f.retransmitTimeout = initialRetransmitTimeout
	}
	if len(s.Payload) > 0 {
		c.handlePayload(now, f, s)
	}
	if s.Flags.Has(segment.SYN) {
		c.acknowledge(f)
	}
	if s.Flags.Has(segment.FIN) && f.state == closing {
		f.receiveNext++
		c.acknowledge(f)
		c.endFlow(now, f, false)
	}
}

// handleStray answers a segment of a flow that is not open with a reset, as TCP
// does. It ignores FIN and RST segments, which end a flow anyway.
func (c *Caller) handleStray(s segment.Segment) {
	c.result.StraySegments++
	if s.Flags&(segment.RST|segment.FIN) != 0 {
		return
	}
	c.send(segment.Segment{
		Source: s.Destination, Destination: s.Source,
		Flags: segment.RST, Sequence: s.Acknowledgement,
	})
}

func (c *Caller) handleSYNACK(now time.Time, from netip.AddrPort, f *flow, s segment.Segment) {
	if !s.Flags.Has(segment.SYN|segment.ACK) || s.Acknowledgement != f.sendNext {
		return
	}
	c.result.Established++
	f.state = established
	f.upstream = from
	f.receiveNext = s.Sequence + 1
	f.unacknowledged = nil
	f.retransmitTimeout = initialRetransmitTimeout
	c.acknowledge(f)
	c.sendRequest(now, f)
}

func (c *Caller) handleReset(now time.Time, f *flow, s segment.Segment) {
	valid := s.Sequence-f.receiveNext < windowSize
	if f.state == opening {
		valid = s.Flags.Has(segment.ACK) && s.Acknowledgement == f.sendNext
	}
	if !valid {
		c.result.IgnoredResets++
		return
	}
	c.endFlow(now, f, true)
}

func (c *Caller) handlePayload(now time.Time, f *flow, s segment.Segment) {
	if s.Sequence != f.receiveNext {
		c.acknowledge(f)
		return
	}
	f.receiveNext += uint32(len(s.Payload))
	c.acknowledge(f)
	if f.requestStartedAt.IsZero() {
		c.result.CrossedSegments++
		return
	}
	if f.response.header == nil {
		bound := c.config.Classes[f.task.class].Target.AnswerWithin
		f.response.inTime = bound == 0 || now.Sub(f.requestStartedAt) <= bound
	}
	f.deadline = now.Add(timeoutOf(c.config.Classes[f.task.class]))
	if f.response.appendBytes(f.task.requests[f.task.answered], s.Payload) {
		c.handleResponse(now, f)
	}
}

// appendBytes appends received bytes to the response to req, verifies them and
// reports whether the response is complete.
func (r *response) appendBytes(req request.Request, b []byte) bool {
	missing := request.ResponseHeaderBytes - len(r.header)
	if missing > 0 {
		missing = min(missing, len(b))
		r.header = append(r.header, b[:missing]...)
		b = b[missing:]
		decoded, err := request.DecodeResponseHeader(r.header)
		if err != nil {
			return false
		}
		r.decodedHeader = decoded
		r.damaged = decoded.ID != req.ID
	}
	for i, content := range b {
		if content != request.ContentByte(req.ID, r.contentBytes+i) {
			r.damaged = true
		}
	}
	r.contentBytes += len(b)
	return r.contentBytes >= r.decodedHeader.ContentSize
}

// handleResponse counts a complete response, then schedules the next request or
// closes the flow.
func (c *Caller) handleResponse(now time.Time, f *flow) {
	t, class := f.task, &c.result.Classes[f.task.class]
	switch {
	case f.response.damaged || f.response.contentBytes != f.response.decodedHeader.ContentSize:
		c.result.DamagedResponses++
	case f.response.decodedHeader.Status == request.Expired:
		class.Expired++
	default:
		class.Answered++
		if f.response.inTime {
			t.inTime++
		}
	}
	f.requestStartedAt = time.Time{}
	t.answered++
	if t.answered < len(t.requests) {
		f.nextRequestAt = now.Add(c.config.Classes[t.class].Pause)
		f.deadline = f.nextRequestAt.Add(timeoutOf(c.config.Classes[t.class]))
		return
	}
	c.countCompleted(now, t)
	f.state = closing
	f.retransmitTimeout = initialRetransmitTimeout
	f.deadline = now.Add(closeTimeout)
	c.transmit(now, f, segment.FIN|segment.ACK, nil)
}

// endFlow removes a flow, counts its outcome and retries or abandons its task.
// An unanswered run-once request is not retried, because it may have run.
func (c *Caller) endFlow(now time.Time, f *flow, reset bool) {
	delete(c.flows, f.source)
	t := f.task
	switch {
	case f.state == closing:
		c.result.Finished++
	case f.state == opening && reset:
		c.result.Refused++
		if c.ranWithoutBeingSent(t) {
			c.result.UntrueRefusals++
		}
		c.scheduleRetry(now, t)
	case f.state == opening:
		c.result.Unopened++
		c.abandon(t)
	default:
		c.countLostFlow(f, reset)
		if t.requests[t.answered].Once {
			c.abandon(t)
			return
		}
		c.scheduleRetry(now, t)
	}
}

// countLostFlow counts an established flow that ended before all its responses
// arrived, and resets it if the upstream did not.
func (c *Caller) countLostFlow(f *flow, reset bool) {
	if c.config.DataCentreOut != nil && c.config.DataCentreOut(f.upstream) {
		c.result.GivenUp++
	} else {
		c.result.Broken++
	}
	if !reset {
		c.send(segment.Segment{
			Source: f.source, Destination: f.destination,
			Flags: segment.RST, Sequence: f.sendNext,
		})
	}
}

// ranWithoutBeingSent reports whether the first unanswered request of a refused
// flow was run although the caller never sent it.
func (c *Caller) ranWithoutBeingSent(t *task) bool {
	return c.config.RunCount != nil && t.sent <= t.answered && c.config.RunCount(t.requests[t.answered].ID) > 0
}
