package measure

import (
	"time"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
)

// Second holds what was counted in one second of a run.
type Second struct {
	// Queries counts live queries by the second in which they were sent,
	// InTarget those of them answered within their target.
	Queries, InTarget int
	// Broken counts established flows that failed in this second.
	Broken int
}

// Result holds what callers, upstreams and instances counted in a run from its
// event on.
type Result struct {
	From, To time.Duration
	Seconds  []Second

	// Opened counts the flows that callers started, Established those that an
	// upstream accepted.
	// Unopened counts flows whose opening packets got no response, Refused flows
	// that the balancer reset while they were opening.
	Opened, Established, Unopened, Refused int
	// GivenUp counts flows that failed in a data centre that is out, Broken all
	// other established flows that failed.
	Broken, GivenUp int
	// OverLimit counts opening packets that upstreams shed, Collapses restarts
	// of overloaded upstreams.
	OverLimit, Collapses int
	// Misrouted counts packets for another service's address than the
	// upstream's, Rejected packets with another service number. OpenedTwice
	// counts flows that opened at two upstreams although their class must open
	// once, FalseRefusals flows refused after an upstream had accepted them.
	Misrouted, Rejected, OpenedTwice, FalseRefusals int
	// LatePackets counts packets that still arrive when withdrawalLimit has
	// passed: opening packets at draining upstreams and any packets at
	// upstreams of a data centre that is out.
	LatePackets int
	// StaleInstances counts instances that do not hold the newest view at the
	// end of the run.
	StaleInstances int
	// Packets counts the packets of callers other than opening packets, Hops
	// the times that an instance relayed one of them.
	Packets, Hops int
	// LateAnswers counts live queries answered outside their target, LateWait
	// is the sum of their response times.
	LateAnswers int
	LateWait    time.Duration
	Drops       [balancer.ReasonCount]int
	// ControlPeak is the greatest number of control bytes that one instance
	// sent in one second, Control the number of all control bytes.
	ControlPeak, Control int
	// FirstBroken, FirstOverLimit and FirstOpenedTwice are the numbers of the
	// first flow that broke, was shed by its upstream, or opened at two
	// upstreams. Zero means that there was none.
	FirstBroken, FirstOverLimit, FirstOpenedTwice uint64

	imbalanceSum float64
	samples      int
}

// resetCounters discards what was counted during the warm-up. Flows that are
// open now count as established.
func (r *Result) resetCounters(open int) {
	*r = Result{From: r.From, To: r.To, Seconds: r.Seconds, Established: open}
}

// second returns the entry of the second that the time falls in.
func (r *Result) second(at time.Duration) *Second {
	for len(r.Seconds) <= int(at/time.Second) {
		r.Seconds = append(r.Seconds, Second{})
	}
	return &r.Seconds[at/time.Second]
}

// countControl counts control bytes. The argument second is what the sender has
// sent in the current second.
func (r *Result) countControl(size, second int) {
	r.Control += size
	r.ControlPeak = max(r.ControlPeak, second)
}

// sampleImbalance records once a second the greatest number of open flows of a
// desk upstream, divided by the mean. Draining upstreams and those of a data
// centre that is out do not count.
func (w *World) sampleImbalance() {
	greatest, sum, count := 0, 0, 0
	for _, u := range w.upstreams {
		if u.service != deskNumber || u.drainingSince > 0 || w.outFor(u.dataCentre, 0) {
			continue
		}
		count++
		sum += len(u.connections)
		greatest = max(greatest, len(u.connections))
	}
	if sum > 0 {
		w.result.imbalanceSum += float64(greatest) * float64(count) / float64(sum)
		w.result.samples++
	}
	w.queue.after(time.Second, w.sampleImbalance)
}

// add merges the result of a run of the same row with another seed.
func (r *Result) add(other *Result) {
	for n, s := range other.Seconds {
		sum := r.second(time.Duration(n) * time.Second)
		sum.Queries += s.Queries
		sum.InTarget += s.InTarget
		sum.Broken += s.Broken
	}
	for n, count := range other.Drops {
		r.Drops[n] += count
	}
	mine, others := r.counts(), other.counts()
	for n := range mine {
		*mine[n] += *others[n]
	}
	r.ControlPeak = max(r.ControlPeak, other.ControlPeak)
	r.LateWait += other.LateWait
	r.imbalanceSum += other.imbalanceSum
	r.samples += other.samples
}

// counts returns the counters that add merges by summing.
func (r *Result) counts() []*int {
	return []*int{
		&r.Opened, &r.Established, &r.Unopened, &r.Refused, &r.Broken, &r.GivenUp, &r.OverLimit, &r.Collapses,
		&r.Misrouted, &r.Rejected, &r.OpenedTwice, &r.FalseRefusals, &r.LatePackets, &r.StaleInstances, &r.Packets, &r.Hops, &r.Control, &r.LateAnswers,
	}
}

// BrokenPer10000 returns the number of broken flows per 10,000 established
// ones.
func (r *Result) BrokenPer10000() float64 {
	if r.Established == 0 {
		return 0
	}
	return float64(r.Broken) * 10000 / float64(r.Established)
}

// MeanLateAnswer returns the mean response time of queries answered outside
// their target.
func (r *Result) MeanLateAnswer() time.Duration {
	if r.LateAnswers == 0 {
		return 0
	}
	return (r.LateWait / time.Duration(r.LateAnswers)).Round(time.Millisecond)
}

// Imbalance returns the greatest load divided by the mean load, averaged over
// time.
func (r *Result) Imbalance() float64 {
	if r.samples == 0 {
		return 0
	}
	return r.imbalanceSum / float64(r.samples)
}

// HopsPerPacket returns the mean number of relays per packet of established
// flows.
func (r *Result) HopsPerPacket() float64 {
	if r.Packets == 0 {
		return 0
	}
	return float64(r.Hops) / float64(r.Packets)
}

// InTargetShare returns the share of the live queries of the window that were
// answered within their target.
func (r *Result) InTargetShare() float64 {
	var sum Second
	for n := r.From / time.Second; n < r.To/time.Second && int(n) < len(r.Seconds); n++ {
		sum.Queries += r.Seconds[n].Queries
		sum.InTarget += r.Seconds[n].InTarget
	}
	return sum.inTargetShare()
}

// inTargetShare returns the share of the live queries sent in this second that
// were answered within their target, 1 if there were none.
func (s Second) inTargetShare() float64 {
	if s.Queries == 0 {
		return 1
	}
	return float64(s.InTarget) / float64(s.Queries)
}
