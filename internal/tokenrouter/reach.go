package tokenrouter

import (
	"slices"
	"strconv"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
)

const (
	// stuckRepeats is how often a caller sends the same request again before its flow
	// counts as stuck: after 200 and 600 ms. Three losses in a row are rare.
	stuckRepeats = 2
	// outOfReachFor is how long an upstream counts as out of reach after its coordinator
	// said so, unless its entry is gone.
	outOfReachFor = 5 * time.Second
	// tellOutOfReach is the time between two messages of a coordinator about one upstream.
	tellOutOfReach = time.Second
	// maxStuckFlows limits the stuck flows that are remembered.
	maxStuckFlows = 4096
)

// stuckFlow is an open flow whose caller has sent its request again without an answer.
type stuckFlow struct {
	id       flowID
	upstream uint64
	// acknowledged is the number of the next byte that the caller expects.
	acknowledged uint32
	since        time.Time
}

// stuckFlows holds what is known of upstreams that open flows do not reach.
type stuckFlows struct {
	flows map[uint64]stuckFlow
	// outOfReach holds the times at which coordinators last said that upstreams are out
	// of reach, told those at which this instance told others so.
	outOfReach map[uint64]time.Time
	told       map[uint64]time.Time
	// progress holds the times of the last answer from each data centre.
	progress map[string]time.Time
	// dials holds the last attempts to connect to upstreams with stuck flows.
	dials map[uint64]dial
}

func newStuckFlows() stuckFlows {
	return stuckFlows{
		flows: make(map[uint64]stuckFlow), outOfReach: make(map[uint64]time.Time), told: make(map[uint64]time.Time),
		progress: make(map[string]time.Time), dials: make(map[uint64]dial),
	}
}

// noteProgress records that an upstream answers an open flow.
func (rt *Router) noteProgress(now time.Time, flow, number uint64) {
	delete(rt.stuck.flows, flow)
	delete(rt.stuck.outOfReach, number)
	delete(rt.stuck.dials, number)
	if u, ok := rt.upstreams.byNumber[number]; ok {
		rt.stuck.progress[u.info.DataCentre] = now
	}
}

// noteRepeat handles a request on an open flow that the caller has sent before. Only flows
// whose requests may run twice are ever reset.
func (rt *Router) noteRepeat(now time.Time, flow, number uint64, p *Packet) {
	u, known := rt.upstreams.byNumber[number]
	if r, ok := rt.routes[p.Destination]; !known || !ok || r.Work != catalog.Idempotent {
		return
	}
	since, repeats := rt.work.flows.Waiting(flow)
	f := stuckFlow{flowID{p.Source, p.Destination}, number, p.Head.Acknowledgement, since}
	if len(rt.stuck.flows) < maxStuckFlows {
		rt.stuck.flows[flow] = f
	}
	if !rt.resetIfUnreachable(now, u, flow, f) && repeats >= stuckRepeats {
		rt.reportStuck(now, u, flow)
	}
}

// cutOffFrom reports whether the path to a data centre is cut, by the word of its
// instances' silence and that of callers: a request that was sent again gets no answer since
// a time, nor does any other request there, and one was sent twice again or another flow is
// stuck, too.
func (rt *Router) cutOffFrom(dataCentre string, since time.Time, repeats int) bool {
	if !slices.Contains(rt.cutOff, dataCentre) || rt.stuck.progress[dataCentre].After(since) {
		return false
	}
	if repeats >= stuckRepeats {
		return true
	}
	stuck := 0
	for _, f := range rt.stuck.flows {
		if u, ok := rt.upstreams.byNumber[f.upstream]; ok && u.info.DataCentre == dataCentre {
			stuck++
		}
	}
	return stuck >= stuckRepeats
}

// reportStuck tells the coordinator of an upstream about a stuck flow there.
func (rt *Router) reportStuck(now time.Time, u *upstream, flow uint64) {
	number, service := u.info.Number, u.info.Service
	if rt.coordinator(now, service, rt.scheduler.GroupOf(service, number)) == nil {
		rt.recordStuck(now, number, flow, nil)
		return
	}
	rt.report(now, service, Report{Upstream: number, Stuck: []uint64{flow}})
}

// recordStuck handles a stuck flow that an instance reports, nil for this one.
func (rt *Router) recordStuck(now time.Time, number, flow uint64, from *peer) {
	quiet := rt.scheduler.RecordStuck(now, number, flow)
	if u, ok := rt.upstreams.byNumber[number]; ok && quiet {
		// The answer is there when the silence has lasted long enough.
		rt.dialAnswer(now, u)
	}
	if rt.checkReach(now, number) && from != nil {
		rt.tellReach(from, number)
	}
}

// checkReach reports whether an upstream is out of reach. If so, all instances with open
// flows there are told. Requests without an answer are not enough: a dial has to fail, too.
func (rt *Router) checkReach(now time.Time, number uint64) bool {
	u, ok := rt.upstreams.byNumber[number]
	if !ok {
		return false
	}
	outOfReach, onlySilent := rt.scheduler.OutOfReach(now, number, !u.goneAt.IsZero())
	if !outOfReach || onlySilent && rt.dialAnswer(now, u) != Silent {
		return false
	}
	if told, ok := rt.stuck.told[number]; ok && now.Sub(told) < tellOutOfReach {
		return true
	}
	rt.stuck.told[number] = now
	rt.log("upstream-out-of-reach", "upstream", u.key, "suspect", strconv.FormatBool(rt.scheduler.IsSuspect(now, number)), "gone", strconv.FormatBool(!u.goneAt.IsZero()))
	rt.handleOutOfReach(now, number)
	for _, a := range rt.scheduler.WorkSources(number) {
		if p := rt.roster.peers[a]; p != nil {
			rt.tellReach(p, number)
		}
	}
	return true
}

func (rt *Router) tellReach(to *peer, number uint64) {
	if m := rt.messageTo(to); !slices.Contains(m.OutOfReach, number) {
		m.OutOfReach = append(m.OutOfReach, number)
	}
}

// handleOutOfReach resets the stuck flows of an upstream that its coordinator has found out
// of reach, if this instance does not reach it either.
func (rt *Router) handleOutOfReach(now time.Time, number uint64) {
	if _, ok := rt.upstreams.byNumber[number]; !ok {
		return
	}
	rt.stuck.outOfReach[number] = now
	rt.resetUnreachable(now, number)
}

// resetStuck resets an open flow whose upstream is out of reach, so that its caller tries
// its request again in time.
func (rt *Router) resetStuck(now time.Time, flow uint64, f stuckFlow, reason string) {
	rt.counts.Reset++
	delete(rt.stuck.flows, flow)
	rt.flowLog("flow-reset", f.id, "upstream", rt.keysOf([]uint64{f.upstream}), "reason", reason, "after", now.Sub(f.since).String())
	rt.emit(Effect{Kind: Refuse, Source: f.id.source, Destination: f.id.destination, Sequence: f.acknowledged})
	rt.work.flows.Close(now, flow)
	rt.scheduler.FlowMoved(f.upstream, flow)
	if u, ok := rt.upstreams.byNumber[f.upstream]; ok {
		rt.report(now, u.info.Service, Report{Upstream: f.upstream, Moved: []uint64{flow}})
	}
}

// expireStuck forgets what callers have given up, and verdicts that are no longer valid.
func (rt *Router) expireStuck(now time.Time) {
	for flow, f := range rt.stuck.flows {
		if since, _ := rt.work.flows.Waiting(flow); !since.Equal(f.since) {
			delete(rt.stuck.flows, flow)
		}
	}
	rt.expireDials(now)
	for number, at := range rt.stuck.outOfReach {
		u, known := rt.upstreams.byNumber[number]
		if !known || now.Sub(at) >= outOfReachFor && u.goneAt.IsZero() {
			delete(rt.stuck.outOfReach, number)
			delete(rt.stuck.told, number)
		}
	}
}
