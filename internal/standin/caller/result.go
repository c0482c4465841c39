package caller

import (
	"slices"

	"github.com/chervilhaven/chervilhaven/pkg/declaration"
)

// Result counts what became of flows and requests. Each opened flow ends in
// exactly one of Finished, Broken, Refused, Unopened and GivenUp.
type Result struct {
	// Opened is the number of flows whose opening packet was sent.
	Opened int
	// Established is the number of flows that an upstream accepted.
	Established int
	// Finished is the number of flows with all answers.
	Finished int
	// Broken is the number of established flows that ended without their
	// answers although their data centre was not out.
	Broken int
	// Refused is the number of flows whose opening was answered by a reset.
	Refused int
	// Unopened is the number of flows whose opening was never answered.
	Unopened int
	// GivenUp is the number of established flows that ended without their
	// answers after their data centre was taken out.
	GivenUp int
	// Retried is the number of flows that repeat the requests of another.
	Retried int
	// Abandoned is the number of tasks given up after the last retry.
	Abandoned int
	// Untrue is the number of refused flows with a request that was run.
	Untrue int
	// Crossed is the number of segments and answers that belong elsewhere.
	Crossed int
	// Damaged is the number of answers with wrong content.
	Damaged int
	// IgnoredResets is the number of resets outside the window.
	IgnoredResets int
	// StraySegments is the number of segments of flows that were not open any more.
	StraySegments int
	Classes       []ClassResult
}

// ClassResult counts the requests of one class.
type ClassResult struct {
	Name     string
	Target   declaration.Target
	Requests int
	Answered int
	Expired  int
	// InTarget is the number of requests answered within the class's bounds,
	// retries included.
	InTarget int
}

// TargetShare returns the share of requests answered inside the target, 1 if
// there were none.
func (r ClassResult) TargetShare() float64 {
	if r.Requests == 0 {
		return 1
	}
	return float64(r.InTarget) / float64(r.Requests)
}

// Result returns the counts so far.
func (c *Caller) Result() Result {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	r := c.result
	r.Classes = slices.Clone(r.Classes)
	return r
}
