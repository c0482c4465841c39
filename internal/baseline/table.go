package baseline

import (
	"time"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// DefaultIdleLimit is the time after which a table forgets a silent flow.
const DefaultIdleLimit = 5 * time.Minute

// sweepInterval is the time between two searches for silent flows.
const sweepInterval = 10 * time.Second

// Table keeps the flows that its own instance has seen on their upstream, as
// long as the view lists it, and places the others by rendezvous hash. The
// zero value is ready for use.
type Table struct {
	// IdleLimit defaults to DefaultIdleLimit.
	IdleLimit time.Duration

	view    *view.View
	entries map[flow.ID]entry
	swept   time.Time
	effects [1]balancer.Effect
}

// entry is one flow of a Table.
type entry struct {
	upstream *view.Upstream
	seen     time.Time
}

// Apply implements balancer.Policy.
func (t *Table) Apply(now time.Time, event balancer.Event) []balancer.Effect {
	switch e := event.(type) {
	case *balancer.ViewChanged:
		t.change(e.View)
	case *balancer.FabricPacket:
		t.effects[0] = t.decide(now, &e.Packet)
		return t.effects[:]
	case *balancer.Tick:
		t.sweep(now)
	}
	return nil
}

// change moves the entries to the upstreams of the new view.
func (t *Table) change(v *view.View) {
	t.view = v
	for id, e := range t.entries {
		upstream, ok := v.Upstream(e.upstream.ID)
		if !ok || upstream.DataCentre.OutOfService {
			delete(t.entries, id)
			continue
		}
		t.entries[id] = entry{upstream: upstream, seen: e.seen}
	}
}

func (t *Table) decide(now time.Time, packet *flow.Packet) balancer.Effect {
	service, reason := lookup(t.view, packet)
	if service == nil {
		return drop(reason)
	}
	known, ok := t.entries[packet.ID]
	if !ok {
		known.upstream = first(service, packet.ID)
	}
	if known.upstream == nil {
		return drop(balancer.ReasonNoRoom)
	}
	if packet.Role == flow.Reset {
		delete(t.entries, packet.ID)
		return forward(service, known.upstream)
	}
	if t.entries == nil {
		t.entries = make(map[flow.ID]entry)
	}
	t.entries[packet.ID] = entry{upstream: known.upstream, seen: now}
	return forward(service, known.upstream)
}

func (t *Table) sweep(now time.Time) {
	if now.Sub(t.swept) < sweepInterval {
		return
	}
	t.swept = now
	limit := t.IdleLimit
	if limit == 0 {
		limit = DefaultIdleLimit
	}
	for id, e := range t.entries {
		if now.Sub(e.seen) > limit {
			delete(t.entries, id)
		}
	}
}
