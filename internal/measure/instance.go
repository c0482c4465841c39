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

// How the model runtime behaves.
const (
	// statusDelay passes between a poll of an upstream's status and its answer.
	statusDelay = 2 * time.Millisecond
	// fetchDelay passes until a peer's newer view has arrived.
	fetchDelay = 5 * time.Millisecond
	// fabricDelay passes until the fabric passes over an instance that died.
	fabricDelay = time.Second
	// inboxLimit is the number of packets that wait for a paused process.
	inboxLimit = 1000
)

// Sizes of control messages in bytes.
const (
	messageBytes = 64
	idBytes      = 8
	recordBytes  = 16
	pointerBytes = 24
	statusBytes  = 400
)

// instance is a policy with a model runtime.
type instance struct {
	world  *World
	policy balancer.Policy
	self   balancer.Member
	name   string
	view   *view.View
	known  map[view.ID]balancer.Member
	alive  bool
	paused bool
	// ending is set once a planned stop is complete.
	ending bool
	inbox  []func()
	// control counts the control bytes sent in the second.
	control int
	second  time.Duration
}

func newInstance(w *World, listed *view.Instance, policy NewPolicy) *instance {
	return &instance{
		world: w, name: listed.Name, alive: true, policy: policy(listed.ID, listed.DataCentre.Name),
		self:  balancer.Member{ID: listed.ID, DataCentre: listed.DataCentre.Name, Packets: listed.Packets},
		known: make(map[view.ID]balancer.Member),
	}
}

// start brings the instance up among all others.
func (i *instance) start() {
	for _, other := range i.world.instances {
		i.known[other.self.ID] = other.self
	}
	i.changeView(i.world.latest)
	i.changeMembers()
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

// changeView gives the policy a newer view.
func (i *instance) changeView(v *view.View) {
	if i.view != nil && !i.newer(v) {
		return
	}
	i.view = v
	i.apply(&balancer.ViewChanged{View: v}, segment{})
}

// newer tells whether a view replaces the one in force.
func (i *instance) newer(v *view.View) bool {
	switch i.world.versions {
	case ByRevision:
		return v.Version.Revision > i.view.Version.Revision
	case NotCompared:
		return v != i.view
	default:
		return v.Version.Compare(i.view.Version) > 0
	}
}

// learn corrects what the instance believes of another one.
func (i *instance) learn(m balancer.Member, gone bool) {
	if gone {
		delete(i.known, m.ID)
	} else {
		i.known[m.ID] = m
	}
	i.changeMembers()
}

func (i *instance) changeMembers() {
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

// apply gives the policy an event, or keeps it while the process is paused.
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
		i.carryOut(&effects[n], s)
	}
}

func (i *instance) carryOut(e *balancer.Effect, s segment) {
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
		i.handOver(e.Peer, *e.Handover)
	case balancer.RequestRelease:
		upstreams := slices.Clone(e.Upstreams)
		i.send(e.Peer, messageBytes+idBytes*len(upstreams), &balancer.ReleaseRequested{From: i.self.ID, Upstreams: upstreams})
	case balancer.PollStatus:
		i.poll(e.Upstream)
	case balancer.FetchView:
		i.fetch(e.Header.Version)
	case balancer.Stopped:
		w.remove(i)
	}
}

func (i *instance) forward(e *balancer.Effect, s segment) {
	w := i.world
	u, ok := w.upstreams[e.Address]
	if !ok || w.cut(i.self.DataCentre, u.dataCentre) {
		return
	}
	number := e.Service
	w.queue.after(w.delay(i.self.DataCentre, u.dataCentre), func() { u.receive(number, s) })
}

func (i *instance) relay(e *balancer.Effect, s segment) {
	switch {
	case e.Header.Flags.Has(relay.Settled):
		i.spend(messageBytes)
	case s.packet.Role != flow.Open:
		i.world.result.Hops++
	}
	to, header := i.world.instance(e.Peer), e.Header
	if to == nil || i.world.cut(i.self.DataCentre, to.self.DataCentre) {
		return
	}
	i.world.queue.after(i.world.delay(i.self.DataCentre, to.self.DataCentre), func() {
		to.apply(&balancer.RelayedPacket{From: i.self.ID, Header: header, Packet: s.packet}, s)
	})
}

func (i *instance) handOver(peer view.ID, h balancer.Handover) {
	h.Records, h.Pointers = slices.Clone(h.Records), slices.Clone(h.Pointers)
	size := messageBytes + recordBytes*len(h.Records) + pointerBytes*len(h.Pointers)
	i.send(peer, size, &balancer.HandoverReceived{From: i.self.ID, Handover: h})
}

// send delivers a control message to a peer.
func (i *instance) send(peer view.ID, size int, event balancer.Event) {
	i.spend(size)
	to := i.world.instance(peer)
	if to == nil || i.world.cut(i.self.DataCentre, to.self.DataCentre) {
		return
	}
	i.world.queue.after(i.world.delay(i.self.DataCentre, to.self.DataCentre), func() { to.apply(event, segment{}) })
}

// spend counts control bytes.
func (i *instance) spend(size int) {
	w := i.world
	if second := w.queue.now.Truncate(time.Second); second != i.second {
		i.second, i.control = second, 0
	}
	i.control += size
	w.result.spend(size, i.control)
}

func (i *instance) poll(id view.ID) {
	i.spend(statusBytes)
	u, ok := i.world.byID[id]
	i.world.queue.after(statusDelay, func() {
		report := &balancer.StatusReported{Upstream: id, Err: &unreachableError{peer: id}}
		if ok && !u.down && !i.world.cut(i.self.DataCentre, u.dataCentre) {
			report = u.status()
		}
		i.apply(report, segment{})
	})
}

// fetch brings the newest view that the reachable instances or the platform hold.
func (i *instance) fetch(newer view.Version) {
	i.spend(messageBytes)
	best := i.view
	for _, other := range i.world.instances {
		if other.alive && !i.world.cut(i.self.DataCentre, other.self.DataCentre) && other.view.Version.Compare(best.Version) > 0 {
			best = other.view
		}
	}
	if best.Version.Compare(newer) >= 0 {
		i.world.queue.after(fetchDelay, func() { i.changeView(best) })
	}
}

// pause stops the process for a time; packets wait at its socket.
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
			i.changeView(i.world.latest)
			i.apply(&balancer.ViewConfirmed{}, segment{})
		})
	})
}

// unreachableError says that an upstream's status could not be read.
type unreachableError struct{ peer view.ID }

// Error implements error.
func (e *unreachableError) Error() string { return fmt.Sprintf("upstream %x unreachable", e.peer) }
