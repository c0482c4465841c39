package work

import (
	"math"
	"net/netip"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/speed"
)

const (
	// An answer comes too soon if it takes less than earlyDuration of the usual time and
	// has less than earlyBytes of the usual bytes.
	earlyDuration = 0.25
	earlyBytes    = 0.5
	// delayedAck is how long a caller waits for a second packet before it acknowledges the
	// only one of an answer. delayedBytes is the share of the usual bytes below which an
	// answer that was acknowledged after this time may have come at once.
	delayedAck          = 40 * time.Millisecond
	delayedAckTolerance = 3 * time.Millisecond
	delayedBytes        = 0.25
	// answerPause is the time without a packet after which an answer has ended.
	answerPause = 100 * time.Millisecond
	// minUsual is the number of answers from which on their usual duration and size are
	// known.
	minUsual = 10
	// earlyReports is how long an upstream's answers are reported after one came too soon.
	earlyReports = 10 * time.Second
	// maxRoutes limits the routes whose answers are known.
	maxRoutes = 1024
)

// usualAnswer is what is usual for the answers of a route.
type usualAnswer struct {
	duration speed.Reference[time.Duration]
	bytes    speed.Reference[int64]
}

// pendingAnswer is an answer that has begun.
type pendingAnswer struct {
	pending bool
	took    time.Duration
	// from is the number of its first byte.
	from uint32
}

// settle judges an answer once all its bytes have arrived.
func (s *Flows) settle(now time.Time, f *openFlow) {
	if !f.answer.pending {
		return
	}
	f.answer.pending = false
	usual := s.usualAnswer(f.route)
	if usual == nil {
		return
	}
	bytes := int64(f.acknowledged - f.answer.from)
	// The network takes its time also for a failure at once.
	took := max(f.answer.took-s.RoundTrip, 0)
	early := usual.early(took, bytes)
	usual.duration.Add(took)
	usual.bytes.Add(bytes)
	m := s.meter(now, f.upstream)
	if early {
		m.total.Early++
		m.earlyAt = now
	}
	if !m.earlyAt.IsZero() && now.Sub(m.earlyAt) < earlyReports {
		m.total.Answers++
		m.changed = true
	}
}

// early reports whether an answer came too soon. If its only packet is far shorter than
// usual, its acknowledgement may have waited for a second one.
func (u *usualAnswer) early(took time.Duration, bytes int64) bool {
	if u.duration.Count() < minUsual {
		return false
	}
	soon, size := earlyDuration*float64(u.duration.Usual()), u.bytes.Ratio(bytes)
	waited := float64(took - delayedAck)
	return float64(took) < soon && size < earlyBytes || math.Abs(waited) < float64(delayedAckTolerance) && size < delayedBytes
}

func (s *Flows) usualAnswer(route netip.AddrPort) *usualAnswer {
	u := s.usualAnswers[route]
	if u == nil && len(s.usualAnswers) < maxRoutes {
		if s.usualAnswers == nil {
			s.usualAnswers = make(map[netip.AddrPort]*usualAnswer)
		}
		u = &usualAnswer{}
		s.usualAnswers[route] = u
	}
	return u
}
