package measure

import (
	"fmt"
	"time"
)

// Bounds that the balancer must meet.
const (
	maxImbalance    = 1.10
	maxHops         = 1.05
	maxControlBytes = 4096
	minInTarget     = 0.99
	minInTargetMove = 0.95
	// moveTime is the time after a data centre leaves or returns during which
	// minInTargetMove applies instead of minInTarget.
	moveTime = 3 * time.Second
)

// Violations returns a description of each bound that the result violates.
func (r Row) Violations(result *Result) []string {
	var violations []string
	check := func(violated bool, format string, values ...any) {
		if violated {
			violations = append(violations, fmt.Sprintf(format, values...))
		}
	}
	check(r.Planned && result.Broken > 0, "broken flows %d, bound 0", result.Broken)
	check(result.OverLimit > 0, "over-limit admissions %d, bound 0", result.OverLimit)
	check(result.Misrouted > 0, "misrouted %d, bound 0", result.Misrouted)
	check(result.OpenedTwice > 0, "doubled %d, bound 0", result.OpenedTwice)
	check(result.FalseRefusals > 0, "untrue refusals %d, bound 0", result.FalseRefusals)
	check(result.LatePackets > 0, "late packets %d, bound 0", result.LatePackets)
	check(result.ControlPeak > maxControlBytes, "control %d bytes in a second, bound %d", result.ControlPeak, maxControlBytes)
	if r.Steady {
		check(result.Imbalance() > maxImbalance, "greatest load over mean %.3f, bound %.2f", result.Imbalance(), maxImbalance)
		check(result.HopsPerPacket() > maxHops, "hops per packet %.3f, bound %.2f", result.HopsPerPacket(), maxHops)
	}
	if r.Moves != nil {
		inside, outside := r.sharesAroundMoves(result)
		check(outside < minInTarget, "answers inside target away from the move %.4f, bound %.2f", outside, minInTarget)
		check(inside < minInTargetMove, "answers inside target right after the move %.4f, bound %.2f", inside, minInTargetMove)
	}
	return violations
}

// sharesAroundMoves returns the shares of live queries answered within their
// target, once for the moveTime after each of the row's moves and once for the
// rest of its window.
func (r Row) sharesAroundMoves(result *Result) (afterMove, otherwise float64) {
	var during, rest Second
	for n := result.From / time.Second; n < result.To/time.Second && int(n) < len(result.Seconds); n++ {
		sum := &rest
		for _, m := range r.Moves {
			if at := n*time.Second - result.From; at >= m && at < m+moveTime {
				sum = &during
			}
		}
		sum.Queries += result.Seconds[n].Queries
		sum.InTarget += result.Seconds[n].InTarget
	}
	return during.inTargetShare(), rest.inTargetShare()
}
