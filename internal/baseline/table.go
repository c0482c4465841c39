package baseline

import (
	"time"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// DefaultIdleTimeout is the time after which a table removes a flow without
// packets.
const DefaultIdleTimeout = 5 * time.Minute

// sweepInterval is the time between two searches for idle flows.
const sweepInterval = 10 * time.Second

// Table forwards flows that its own instance has seen to the same upstream as
// before, as long as the view lists that upstream. It places other flows by
// rendezvous hash. The zero value is ready for use.
type Table struct {
	// IdleTimeout is the time after which an idle flow is removed. Zero means
	// DefaultIdleTimeout.
	IdleTimeout time.Duration

	view      *view.View
	entries   map[flow.ID]entry
	lastSweep time.Time
	effects   [1]balancer.Effect
}

// entry records the upstream of one flow.
type entry struct {
	upstream   *view.Upstream
	lastPacket time.Time
}

// Apply implements balancer.Policy. The returned slice is valid until the next
// call.
func (t *Table) Apply(now time.Time, event balancer.Event) []balancer.Effect {
	switch e := event.(type) {
	case *balancer.ViewChanged:
		t.applyView(e.View)
	case *balancer.FabricPacket:
		t.effects[0] = t.decide(now, &e.Packet)
		return t.effects[:]
	case *balancer.Tick:
		t.sweep(now)
	}
	return nil
}

// applyView points the entries to the upstreams of the new view. It removes
// entries whose upstream is no longer listed or whose data centre is out.
func (t *Table) applyView(v *view.View) {
	t.view = v
	for id, e := range t.entries {
		upstream, ok := v.Upstream(e.upstream.ID)
		if !ok || upstream.DataCentre.OutOfService {
			delete(t.entries, id)
			continue
		}
		t.entries[id] = entry{upstream: upstream, lastPacket: e.lastPacket}
	}
}

func (t *Table) decide(now time.Time, packet *flow.Packet) balancer.Effect {
	service, reason := lookup(t.view, packet)
	if service == nil {
		return drop(reason)
	}
	known, ok := t.entries[packet.ID]
	if !ok {
		known.upstream = highestScore(service, packet.ID)
	}
	if known.upstream == nil {
		return drop(balancer.ReasonNoRoom)
	}
	if packet.Role == flow.RoleReset {
		delete(t.entries, packet.ID)
		return forward(service, known.upstream)
	}
	if t.entries == nil {
		t.entries = make(map[flow.ID]entry)
	}
	t.entries[packet.ID] = entry{upstream: known.upstream, lastPacket: now}
	return forward(service, known.upstream)
}

func (t *Table) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < sweepInterval {
		return
	}
	t.lastSweep = now
	limit := t.IdleTimeout
	if limit == 0 {
		limit = DefaultIdleTimeout
	}
	for id, e := range t.entries {
		if now.Sub(e.lastPacket) > limit {
			delete(t.entries, id)
		}
	}
}
