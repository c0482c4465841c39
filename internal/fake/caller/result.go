package caller

import (
	"slices"

	"github.com/chervilhaven/chervilhaven/pkg/declaration"
)

// Result counts the outcomes of flows and requests. Each opened flow ends in
// exactly one of Finished, Broken, Refused, Unopened and GivenUp.
type Result struct {
	// Opened is the number of flows started, retries included.
	Opened int
	// Established is the number of flows whose handshake completed.
	Established int
	// Finished is the number of flows that received all responses.
	Finished int
	// Broken is the number of established flows that ended before all responses
	// arrived although the upstream's data centre was in service.
	Broken int
	// Refused is the number of flows whose SYN was answered with a reset.
	Refused int
	// Unopened is the number of flows whose SYN was not answered before the
	// timeout.
	Unopened int
	// GivenUp is the number of established flows that ended before all
	// responses arrived, after the upstream's data centre was taken out of
	// service.
	GivenUp int
	// Retried is the number of flows that retry a task.
	Retried int
	// Abandoned is the number of tasks given up: after the last retry, after an
	// unanswered SYN, or because a lost run-once request must not be repeated.
	Abandoned int
	// UntrueRefusals is the number of refused flows with a request that had run
	// although the caller never sent it.
	UntrueRefusals int
	// CrossedSegments is the number of segments that came from another upstream than
	// the flow's, or carried data that no request asked for.
	CrossedSegments int
	// DamagedResponses is the number of responses with wrong content.
	DamagedResponses int
	// IgnoredResets is the number of resets outside the receive window, or that
	// do not acknowledge the SYN.
	IgnoredResets int
	// StraySegments is the number of segments that belong to no open flow.
	StraySegments int
	Classes       []ClassResult
}

// ClassResult counts the requests of one class. Expired ones got a response
// that their deadline had passed.
type ClassResult struct {
	Name     string
	Target   declaration.Target
	Requests int
	Answered int
	Expired  int
	// MetTarget is the number of requests that met the bounds of the class's
	// target. The time spent on retries counts.
	MetTarget int
}

// TargetShare returns the fraction of requests that met the target, 1 if there
// were none.
func (r ClassResult) TargetShare() float64 {
	if r.Requests == 0 {
		return 1
	}
	return float64(r.MetTarget) / float64(r.Requests)
}

// Result returns a copy of the counts so far.
func (c *Caller) Result() Result {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r := c.result
	r.Classes = slices.Clone(r.Classes)
	return r
}
