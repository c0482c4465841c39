package tokenrouter

import (
	"net/netip"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
	"github.com/chervilhaven/chervilhaven/internal/work"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// idleTimeout is the time for which flows may stay open in the tests' configurations
// that let them.
const idleTimeout = 15 * time.Second

// Sizes of the requests and responses of sessions, in bytes.
const (
	requestBytes  = 200
	responseBytes = 1000
	shedBytes     = 100
)

// urgentRoute and patientRoute lead to the service "desk". Callers of patientRoute keep
// their flows open.
var urgentRoute, patientRoute = deskRoute, ledgerRoute

// configureSessions publishes a configuration with an urgent and a patient class of one
// service. Flows stay open for the given time without packets.
func (w *world) configureSessions(idle time.Duration) {
	w.put(catalog.Item{Key: catalog.KeyConfiguration, Configuration: &catalog.Configuration{
		Version: 2, IdleTimeout: idle,
		Routes: []catalog.Route{
			{Address: urgentRoute, Service: "desk", Work: catalog.Once, Target: 400 * time.Millisecond, Deadline: 5 * time.Second, Priority: 1},
			{Address: patientRoute, Service: "desk", Work: catalog.Idempotent, Target: 300 * time.Millisecond, Deadline: 4 * time.Second, Priority: 2},
		},
		Services: []catalog.Service{{Name: "desk", ColdFor: 2 * time.Second}},
	}})
}

// session is what a caller does that sends several requests on its flow.
type session struct {
	w           *world
	caller      *caller
	destination netip.AddrPort
	// asked and answered are the numbers of bytes of requests and responses.
	asked    uint32
	answered uint32
	busy     bool
	requests []request
	// resets are the times at which the flow was reset while it was open.
	resets []time.Time
}

// request is one request of a session, unanswered while took is zero.
type request struct {
	at   time.Time
	took time.Duration
	shed bool
}

// startSession opens a flow that sends its next request about each pause, unless the one
// before is not answered.
func (w *world) startSession(destination netip.AddrPort, pause time.Duration) *session {
	s := &session{w: w, destination: destination}
	s.open()
	var next func()
	next = func() {
		if s.caller.openedUpstream != 0 && !s.busy {
			s.sendRequest()
		}
		w.after(pause/2+time.Duration(w.random.Int64N(int64(pause))), next)
	}
	w.after(time.Duration(w.random.Int64N(int64(pause))), next)
	return s
}

func (s *session) open() {
	s.caller = s.w.call(s.destination, nil)
	s.caller.session = s
	s.asked, s.answered = 0, 0
}

// handleOpened sends the first request of the flow: the one that was reset with the flow
// before, if there is one.
func (s *session) handleOpened() {
	if s.busy {
		s.transmit()
		return
	}
	s.sendRequest()
}

// sendRequest sends the next request.
func (s *session) sendRequest() {
	s.busy, s.requests = true, append(s.requests, request{at: s.w.now})
	s.transmit()
}

// transmit sends the request, and the same again while it is not answered.
func (s *session) transmit() {
	c, n, head := s.caller, len(s.requests), work.Head{Sequence: s.asked, Length: requestBytes, Acknowledgement: s.answered}
	s.asked += requestBytes
	var send func(pause time.Duration)
	send = func(pause time.Duration) {
		if s.caller != c || len(s.requests) != n || !s.busy {
			return
		}
		c.send(&Packet{Role: flow.RoleData, Head: head, Retransmission: uint32(pause / firstRetransmit)})
		s.w.after(pause, func() { send(2 * pause) })
	}
	send(firstRetransmit)
}

// handleAnswer handles the response to the request, and acknowledges it.
func (s *session) handleAnswer(shed bool) {
	if !s.busy {
		return
	}
	s.busy = false
	last := &s.requests[len(s.requests)-1]
	last.took, last.shed = s.w.now.Sub(last.at), shed
	s.answered += responseBytes
	if shed {
		s.answered -= responseBytes - shedBytes
	}
	s.caller.send(&Packet{Role: flow.RoleData, Head: work.Head{Sequence: s.asked, Acknowledgement: s.answered}})
}

// handleReset opens a new flow.
func (s *session) handleReset() {
	s.resets = append(s.resets, s.w.now)
	s.w.after(callerDelay, s.open)
}

// shareOfRequestsInTime returns the share of the sessions' requests of an interval that
// were answered within the target, and the share that upstreams shed.
func shareOfRequestsInTime(list []*session, from, to time.Time, target time.Duration) (inTime, shed float64) {
	all, good, bad := 0, 0, 0
	for _, s := range list {
		for _, r := range s.requests {
			if r.at.Before(from) || !r.at.Before(to) {
				continue
			}
			all++
			if r.shed {
				bad++
			} else if r.took > 0 && r.took <= target {
				good++
			}
		}
	}
	return float64(good) / float64(max(all, 1)), float64(bad) / float64(max(all, 1))
}

// linesOf returns the log lines of an event at all instances.
func (w *world) linesOf(event string) (list []Line) {
	for _, n := range w.nodes {
		for _, l := range n.lines {
			if l.Event == event {
				list = append(list, l)
			}
		}
	}
	return list
}
