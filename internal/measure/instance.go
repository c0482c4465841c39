package measure

import (
	"fmt"
	"slices"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/relay"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// Behaviour of the simulated runtime around a policy.
const (
	// statusDelay is the time between a poll of an upstream's status and the
	// response.
	statusDelay = 2 * time.Millisecond
	// fetchDelay is the time that it takes to fetch a newer view from a peer.
	fetchDelay = 5 * time.Millisecond
	// fabricDelay is the time until the fabric stops sending packets to an
	// instance that died.
	fabricDelay = time.Second
	// inboxLimit is the number of events that are queued for a paused process.
	// Further ones are lost.
	inboxLimit = 1000
)

// Sizes of control messages and their parts in bytes.
const (
	messageBytes = 64
	idBytes      = 8
	recordBytes  = 16
	pointerBytes = 24
	statusBytes  = 400
)

// instance runs a policy in a simulated runtime.
type instance struct {
	world  *World
	policy balancer.Policy
	self   balancer.Member
	name   string
	view   *view.View
	known  map[view.ID]balancer.Member
	alive  bool
	paused bool
	// stopped is set once a planned stop is complete.
	stopped bool
	inbox   []func()
	// controlBytes is the number of control bytes sent in the second that
	// begins at controlSecond.
	controlBytes  int
	controlSecond time.Duration
}

func newInstance(w *World, listed *view.Instance, policy NewPolicy) *instance {
	return &instance{
		world: w, name: listed.Name, alive: true, policy: policy(listed.ID, listed.DataCentre.Name),
		self:  balancer.Member{ID: listed.ID, DataCentre: listed.DataCentre.Name, Packets: listed.Packets},
		known: make(map[view.ID]balancer.Member),
	}
}

// start brings the instance up with all others as known members.
func (i *instance) start() {
	for _, other := range i.world.instances {
		i.known[other.self.ID] = other.self
	}
	i.applyView(i.world.latest)
	i.applyMembers()
	i.tick()
}

func (i *instance) tick() {
	if !i.alive {
		return
	}
	if !i.paused {
		i.apply(&balancer.Tick{}, segment{})
	}
	i.world.queue.after(balancer.TickInterval, i.tick)
}

// applyView passes a view to the policy if it is newer than the current one.
func (i *instance) applyView(v *view.View) {
	if i.view != nil && !i.isNewer(v) {
		return
	}
	i.view = v
	i.apply(&balancer.ViewChanged{View: v}, segment{})
}

// isNewer reports whether a view replaces the current one.
func (i *instance) isNewer(v *view.View) bool {
	switch i.world.comparison {
	case CompareRevisionOnly:
		return v.Version.Revision > i.view.Version.Revision
	case CompareNothing:
		return v != i.view
	default:
		return v.Version.Compare(i.view.Version) > 0
	}
}

// updateMember records the state of another instance, or removes it if it is
// dead.
func (i *instance) updateMember(m balancer.Member, dead bool) {
	if dead {
		delete(i.known, m.ID)
	} else {
		i.known[m.ID] = m
	}
	i.applyMembers()
}

func (i *instance) applyMembers() {
	live := make([]balancer.Member, 0, len(i.known))
	for _, m := range i.known {
		live = append(live, m)
	}
	slices.SortFunc(live, func(a, b balancer.Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	i.apply(&balancer.MembersChanged{Live: live}, segment{})
}

// apply passes an event to the policy and executes the effects. While the
// process is paused, it queues the event.
func (i *instance) apply(event balancer.Event, s segment) {
	if !i.alive {
		return
	}
	if i.paused {
		if len(i.inbox) < inboxLimit {
			i.inbox = append(i.inbox, func() { i.apply(event, s) })
		}
		return
	}
	effects := i.policy.Apply(epoch.Add(i.world.queue.now), event)
	i.world.trace(s, i, event, effects)
	for n := range effects {
		i.execute(&effects[n], s)
	}
}

func (i *instance) execute(e *balancer.Effect, s segment) {
	w := i.world
	switch e.Kind {
	case balancer.Forward:
		i.forward(e, s)
	case balancer.Relay:
		i.relay(e, s)
	case balancer.Refuse:
		w.queue.after(callerDelay, s.caller.refused)
	case balancer.Drop:
		w.result.Drops[e.Reason]++
	case balancer.SendHandover:
		i.sendHandover(e.Peer, *e.Handover)
	case balancer.RequestRelease:
		upstreams := slices.Clone(e.Upstreams)
		i.send(e.Peer, messageBytes+idBytes*len(upstreams), &balancer.ReleaseRequested{From: i.self.ID, Upstreams: upstreams})
	case balancer.PollStatus:
		i.pollStatus(e.Upstream)
	case balancer.FetchView:
		i.fetchView(e.Header.Version)
	case balancer.Stopped:
		w.endInstance(i)
	}
}

func (i *instance) forward(e *balancer.Effect, s segment) {
	w := i.world
	u, ok := w.upstreams[e.Address]
	if !ok || w.partitioned(i.self.DataCentre, u.dataCentre) {
		return
	}
	number := e.Service
	w.queue.after(w.delay(i.self.DataCentre, u.dataCentre), func() { u.receive(number, s) })
}

func (i *instance) relay(e *balancer.Effect, s segment) {
	switch {
	case e.Header.Flags.Has(relay.PlacementReport):
		i.countControl(messageBytes)
	case s.packet.Role != flow.RoleOpen:
		i.world.result.Hops++
	}
	to, header := i.world.instance(e.Peer), e.Header
	if to == nil || i.world.partitioned(i.self.DataCentre, to.self.DataCentre) {
		return
	}
	i.world.queue.after(i.world.delay(i.self.DataCentre, to.self.DataCentre), func() {
		to.apply(&balancer.RelayedPacket{From: i.self.ID, Header: header, Packet: s.packet}, s)
	})
}

func (i *instance) sendHandover(peer view.ID, h balancer.Handover) {
	h.Records, h.Pointers = slices.Clone(h.Records), slices.Clone(h.Pointers)
	size := messageBytes + recordBytes*len(h.Records) + pointerBytes*len(h.Pointers)
	i.send(peer, size, &balancer.HandoverReceived{From: i.self.ID, Handover: h})
}

// send delivers a control message to a peer.
func (i *instance) send(peer view.ID, size int, event balancer.Event) {
	i.countControl(size)
	to := i.world.instance(peer)
	if to == nil || i.world.partitioned(i.self.DataCentre, to.self.DataCentre) {
		return
	}
	i.world.queue.after(i.world.delay(i.self.DataCentre, to.self.DataCentre), func() { to.apply(event, segment{}) })
}

// countControl adds to the control bytes that the instance has sent.
func (i *instance) countControl(size int) {
	w := i.world
	if second := w.queue.now.Truncate(time.Second); second != i.controlSecond {
		i.controlSecond, i.controlBytes = second, 0
	}
	i.controlBytes += size
	w.result.countControl(size, i.controlBytes)
}

func (i *instance) pollStatus(id view.ID) {
	i.countControl(statusBytes)
	u, ok := i.world.byID[id]
	i.world.queue.after(statusDelay, func() {
		report := &balancer.StatusReported{Upstream: id, Err: &unreachableError{peer: id}}
		if ok && !u.down && !i.world.partitioned(i.self.DataCentre, u.dataCentre) {
			report = u.status()
		}
		i.apply(report, segment{})
	})
}

// fetchView applies the newest view that any reachable instance holds, if it is
// at least as new as the wanted version.
func (i *instance) fetchView(wanted view.Version) {
	i.countControl(messageBytes)
	best := i.view
	for _, other := range i.world.instances {
		if other.alive && !i.world.partitioned(i.self.DataCentre, other.self.DataCentre) && other.view.Version.Compare(best.Version) > 0 {
			best = other.view
		}
	}
	if best.Version.Compare(wanted) >= 0 {
		i.world.queue.after(fetchDelay, func() { i.applyView(best) })
	}
}

// pause suspends the process for a time. Packets are queued at its socket
// meanwhile.
func (i *instance) pause(d time.Duration) {
	i.paused = true
	i.world.queue.after(d, func() {
		inbox := i.inbox
		i.paused, i.inbox = false, nil
		i.apply(&balancer.Resumed{Pause: d}, segment{})
		for _, run := range inbox {
			run()
		}
		i.world.queue.after(fetchDelay, func() {
			i.applyView(i.world.latest)
			i.apply(&balancer.ViewConfirmed{}, segment{})
		})
	})
}

// unreachableError reports that an upstream's status could not be read.
type unreachableError struct{ peer view.ID }

// Error implements error.
func (e *unreachableError) Error() string { return fmt.Sprintf("upstream %x unreachable", e.peer) }
