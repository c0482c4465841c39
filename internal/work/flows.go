// Package work measures the requests that are under way in flows which stay open between
// requests. An instance that forwards the packets of a flow in one direction only sees the
// bytes that the caller sends and acknowledges: new bytes begin a request, an
// acknowledgement of new bytes shows that its answer has begun. Flows follows the flows of
// one instance, Ledger adds up what the instances say of one upstream.
package work

import (
	"net/netip"
	"time"
)

const (
	// maxFlows limits the open flows that an instance follows. The requests of others
	// are not counted.
	maxFlows = 16384
	// usualFactor times the usual length of a request is the age at which a request
	// without an answer is no longer counted: its caller has given up, or the answer
	// is acknowledged through another instance.
	usualFactor = 4
	// minAbandon and maxAbandon limit that age.
	minAbandon = 200 * time.Millisecond
	maxAbandon = 4 * time.Second
	// initialUsual is the assumed length of a request until one has been measured.
	initialUsual = 50 * time.Millisecond
	// minRepeat is the shortest time after which a caller sends the same again. Packets of
	// a long request that arrive out of order follow each other sooner.
	minRepeat = 150 * time.Millisecond
	// usualGain is the weight of a new measurement, as in RFC 6298.
	usualGain = 1.0 / 8
)

// Head is what the head of a caller's packet says of the two byte streams of its flow.
type Head struct {
	// Sequence is the number of the first byte, Length the number of bytes.
	Sequence uint32
	Length   int
	// Acknowledgement is the number after the last byte received from the upstream.
	Acknowledgement uint32
}

// Change is what a packet shows of the requests of its flow.
type Change uint8

// Changes.
const (
	// Nothing means that no request began or was answered.
	Nothing Change = iota
	// Began means that the flow's first request began.
	Began
	// BeganNext means that a request other than the first began.
	BeganNext
	// Answered means that the answer to a request has begun.
	Answered
	// Repeated means that the caller sent bytes again that it had sent before, while its
	// request is not answered.
	Repeated
)

// openFlow is an open flow.
type openFlow struct {
	upstream uint64
	// end is the number after the last byte that the caller sent, acknowledged the
	// number after the last byte that it received.
	end          uint32
	acknowledged uint32
	lastSeen     time.Time
	// began is the time at which the request under way began, zero if there is none. It
	// is counted as work unless its answer has taken too long.
	began   time.Time
	counted bool
	// sentAt is when the caller last sent data, repeats how often it sent the same again
	// since the request began.
	sentAt  time.Time
	repeats int
	// answeredAt is the time of the answer to the first request, zero before it and if
	// that request passed through another instance.
	answeredAt time.Time
	// requests counts the requests. The first one counts even if it has passed through
	// another instance.
	requests int
	// answers counts the answers that passed this instance.
	answers int
	// reported is true once the coordinator knows that the flow is idle.
	reported bool
	// kept is true once the flow has stayed open after its first request.
	kept bool
	// route is the address that the flow leads to. answer is the answer whose bytes are
	// still arriving, if there is one.
	route  netip.AddrPort
	answer pendingAnswer
}

// meter adds up the requests that followed the first one of their flow at one upstream.
type meter struct {
	total   Total
	since   time.Time
	changed bool
	toldAt  time.Time
	// earlyAt is the time of the last answer that came too soon.
	earlyAt time.Time
}

// Total sums up the requests at one upstream that followed the first one of their flow.
// Ended, Took and Busy count from the start of the process that says it, so that a lost
// message does no harm.
type Total struct {
	Upstream uint64
	// Open is the number of flows that have stayed open after their first request,
	// UnderWay that of their requests without an answer.
	Open     int
	UnderWay int
	// Ended is the number of requests that were answered, Took the time that they took
	// in all.
	Ended uint64
	Took  time.Duration
	// Busy is the time for which requests were under way, added up.
	Busy time.Duration
	// Answers is the number of answers to requests since the last report, first ones
	// included, Early that of those that came too soon: upstreams that fail requests at once
	// look fast. Answers are counted while there are some that come too soon.
	Answers uint64
	Early   uint64
}

// Flows follows the open flows whose packets pass one instance. The zero value is empty
// and ready for use. It is not safe for concurrent use.
type Flows struct {
	// RoundTrip is the time from a packet of a caller to the acknowledgement of what an
	// upstream sends back at once.
	RoundTrip time.Duration

	flows  map[uint64]openFlow
	meters map[uint64]*meter
	// usual is the usual length of a request.
	usual time.Duration
	// usualAnswers holds what is usual for the answers of each route.
	usualAnswers map[netip.AddrPort]*usualAnswer
	// idle holds the flows whose first request was answered, oldest first.
	idle []uint64
}

// Observe learns from the head of a packet that belongs to a flow at an upstream. The
// first packet of a flow that this instance did not see open counts as one after the
// first request.
func (s *Flows) Observe(now time.Time, id, upstream uint64, route netip.AddrPort, opening bool, h Head) Change {
	f, known := s.flows[id]
	if known && f.upstream != upstream {
		s.Close(now, id)
		known = false
	}
	if !known {
		if len(s.flows) >= maxFlows {
			return Nothing
		}
		f = openFlow{upstream: upstream, route: route, end: h.Sequence, acknowledged: h.Acknowledgement}
		if !opening {
			f.requests, f.reported = 1, true
		}
		s.add(id, f)
	}
	f.lastSeen = now
	change := Nothing
	if int32(h.Acknowledgement-f.acknowledged) > 0 {
		f.acknowledged = h.Acknowledgement
		if !f.began.IsZero() {
			change = Answered
			s.answer(now, id, &f)
		}
	}
	if h.Length > 0 {
		if sent := s.observeData(now, &f, h); sent != Nothing {
			change = sent
		}
	}
	s.flows[id] = f
	return change
}

// observeData learns from a packet with data.
func (s *Flows) observeData(now time.Time, f *openFlow, h Head) Change {
	end, last := h.Sequence+uint32(h.Length), f.sentAt
	f.sentAt = now
	switch {
	case int32(end-f.end) > 0:
		f.end = end
		if f.began.IsZero() {
			return s.begin(now, f)
		}
	case !f.began.IsZero() && now.Sub(last) >= minRepeat:
		f.repeats++
		return Repeated
	}
	return Nothing
}

func (s *Flows) add(id uint64, f openFlow) {
	if s.flows == nil {
		s.flows, s.meters = make(map[uint64]openFlow), make(map[uint64]*meter)
	}
	s.flows[id] = f
}

// keep counts a flow that stays open after its first request.
func (s *Flows) keep(now time.Time, f *openFlow) {
	if !f.kept {
		f.kept = true
		m := s.meter(now, f.upstream)
		m.total.Open++
		m.changed = true
	}
}

func (s *Flows) meter(now time.Time, upstream uint64) *meter {
	m := s.meters[upstream]
	if m == nil {
		m = &meter{total: Total{Upstream: upstream}, since: now}
		s.meters[upstream] = m
	}
	return m
}

// begin counts the beginning of a request.
func (s *Flows) begin(now time.Time, f *openFlow) Change {
	s.settle(now, f)
	f.began, f.repeats, f.answer.from = now, 0, f.acknowledged
	if f.requests++; f.requests == 1 {
		return Began
	}
	if f.answers > 0 {
		s.keep(now, f)
	}
	f.counted = true
	s.meter(now, f.upstream).add(now, 1)
	return BeganNext
}

// answer counts the answer to the request under way.
func (s *Flows) answer(now time.Time, id uint64, f *openFlow) {
	took := now.Sub(f.began)
	if s.usual == 0 {
		s.usual = took
	}
	s.usual += time.Duration(usualGain * float64(took-s.usual))
	f.began = time.Time{}
	f.answers++
	f.answer.took, f.answer.pending = took, true
	if f.requests == 1 {
		f.answeredAt = now
		s.idle = append(s.idle, id)
		return
	}
	m := s.meter(now, f.upstream)
	m.release(now, f)
	m.total.Ended++
	m.total.Took += took
}

// add brings the busy time up to date and changes the number of requests under way.
func (m *meter) add(now time.Time, change int) {
	m.total.Busy += time.Duration(m.total.UnderWay) * now.Sub(m.since)
	m.since, m.total.UnderWay, m.changed = now, m.total.UnderWay+change, true
}

// release no longer counts the request of a flow as under way.
func (m *meter) release(now time.Time, f *openFlow) {
	if f.counted {
		f.counted = false
		m.add(now, -1)
	}
}

// Waiting returns the time at which the unanswered request of a flow began and how often
// its caller sent the same again since, zero if there is none.
func (s *Flows) Waiting(id uint64) (since time.Time, repeats int) {
	f := s.flows[id]
	return f.began, f.repeats
}

// Upstream returns the upstream of a flow that is followed.
func (s *Flows) Upstream(id uint64) (number uint64, ok bool) {
	f, ok := s.flows[id]
	return f.upstream, ok
}

// Close forgets a flow that its caller has ended. It returns true if the coordinator
// knows already that the flow was idle.
func (s *Flows) Close(now time.Time, id uint64) bool {
	f, ok := s.flows[id]
	if !ok {
		return false
	}
	delete(s.flows, id)
	s.settle(now, &f)
	if f.counted {
		s.meter(now, f.upstream).release(now, &f)
	}
	if f.kept {
		m := s.meter(now, f.upstream)
		m.total.Open--
		m.changed = true
	}
	return f.reported
}

// Idle is a flow that stays open after its first request was answered. Its upstream no
// longer works for it.
type Idle struct {
	Flow     uint64
	Upstream uint64
	// Age is the time since the answer.
	Age time.Duration
}

// Idle reports flows whose first request was answered at least the given time ago, each
// once.
func (s *Flows) Idle(now time.Time, after time.Duration) []Idle {
	var list []Idle
	n := 0
	for ; n < len(s.idle); n++ {
		id := s.idle[n]
		f, open := s.flows[id]
		if !open || f.reported || f.answeredAt.IsZero() {
			continue
		}
		if now.Sub(f.answeredAt) < after && f.requests == 1 {
			break
		}
		f.reported = true
		s.settle(now, &f)
		s.keep(now, &f)
		s.flows[id] = f
		list = append(list, Idle{id, f.upstream, now.Sub(f.answeredAt)})
	}
	if s.idle = s.idle[n:]; len(s.idle) == 0 {
		s.idle = nil
	}
	return list
}

// NextIdle returns the time at which Idle has to be called next, zero if no flow waits.
func (s *Flows) NextIdle(after time.Duration) time.Time {
	for len(s.idle) > 0 {
		if f, open := s.flows[s.idle[0]]; open && !f.reported && !f.answeredAt.IsZero() {
			return f.answeredAt.Add(after)
		}
		s.idle = s.idle[1:]
	}
	return time.Time{}
}

// Sweep stops counting requests whose answers do not come, judges answers that have ended,
// and forgets flows without packets for the given time and upstreams without flows.
func (s *Flows) Sweep(now time.Time, idleTimeout time.Duration) {
	abandon := min(max(usualFactor*max(s.usual, initialUsual), minAbandon), maxAbandon)
	for id, f := range s.flows {
		if now.Sub(f.lastSeen) >= max(idleTimeout, maxAbandon) {
			s.Close(now, id)
			continue
		}
		if f.counted && now.Sub(f.began) >= abandon {
			s.meter(now, f.upstream).release(now, &f)
		}
		if f.answer.pending && now.Sub(f.lastSeen) >= answerPause {
			s.settle(now, &f)
		}
		s.flows[id] = f
	}
	for number, m := range s.meters {
		if m.total.Open == 0 && m.total.UnderWay == 0 && !m.changed && now.Sub(m.toldAt) > idleTimeout {
			delete(s.meters, number)
		}
	}
}

// Totals returns the totals that changed since they were last returned, and those of
// upstreams with open flows that were last returned before the renewal time. The visit
// function returns false for those that cannot be told now.
func (s *Flows) Totals(now time.Time, renewal time.Duration, visit func(Total) bool) {
	for _, m := range s.meters {
		due := m.changed || m.total.UnderWay > 0 || m.total.Open > 0 && now.Sub(m.toldAt) >= renewal
		if !due {
			continue
		}
		m.add(now, 0)
		if visit(m.total) {
			m.changed, m.toldAt = false, now
			m.total.Answers, m.total.Early = 0, 0
		}
	}
}

// Renew makes Totals return the totals of some upstreams even if they did not change.
func (s *Flows) Renew(concerns func(upstream uint64) bool) {
	for number, m := range s.meters {
		m.changed = m.changed || concerns(number)
	}
}

// Len returns the number of flows that are followed.
func (s *Flows) Len() int { return len(s.flows) }
