package measure

import (
	"fmt"
	"strings"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/view"
)

// logf writes a line to the log of the traced flow. It does nothing for other
// flows.
func (w *World) logf(c *caller, format string, values ...any) {
	if c == nil || c.number != w.traced || w.log == nil {
		return
	}
	fmt.Fprintf(w.log, "%10.4f %s\n", w.queue.now.Seconds(), fmt.Sprintf(format, values...))
}

// trace logs what an instance decided about a packet of the traced flow.
func (w *World) trace(s segment, i *instance, event balancer.Event, effects []balancer.Effect) {
	if s.caller == nil || s.caller.number != w.traced || w.log == nil {
		return
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s view %s: %T %s step %d", i.name, i.view.Version, event, s.packet.Role, s.step)
	if e, ok := event.(*balancer.RelayedPacket); ok {
		fmt.Fprintf(&b, " from %s %s", w.name(e.From), w.describe(&balancer.Effect{Kind: balancer.Relay, Header: e.Header}))
	}
	b.WriteString(" ->")
	for n := range effects {
		fmt.Fprintf(&b, " %s;", w.describe(&effects[n]))
	}
	w.logf(s.caller, "%s", b.String())
}

// describe returns an effect as text.
func (w *World) describe(e *balancer.Effect) string {
	switch e.Kind {
	case balancer.Forward:
		return "forward to " + w.name(e.Upstream)
	case balancer.Relay:
		h := e.Header
		return fmt.Sprintf("relay to %s (target %s, maybe %s, asked %08b, hops %d, flags %08b, version %s)",
			w.name(e.Peer), w.name(h.Target), w.name(h.Candidate), h.Visited, h.Hops, h.Flags, h.Version)
	case balancer.Refuse:
		return "refuse " + e.Reason.String()
	case balancer.Drop:
		return "drop " + e.Reason.String()
	default:
		return fmt.Sprintf("effect %d", e.Kind)
	}
}

// name returns the name of an upstream or instance, "none" if the ID is
// unknown.
func (w *World) name(id view.ID) string {
	if u, ok := w.byID[id]; ok {
		return u.name
	}
	if i := w.instance(id); i != nil {
		return i.name
	}
	return "none"
}
