package measure

import (
	"cmp"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

// Behaviour of the simulated upstreams.
const (
	// growthPeriod is the time after which a cold upstream doubles its limit of
	// flows, if it shed no more openings than that limit meanwhile.
	growthPeriod = time.Second
	// collapseFactor times its limit is the number of openings that an upstream
	// can shed in one period. One that sheds more restarts.
	collapseFactor = 4
	// restartTime is the time that an overloaded upstream is down for a
	// restart.
	restartTime = time.Second
	// connectionTimeout ends connections whose callers have vanished.
	connectionTimeout = 75 * time.Second
	// withdrawalLimit is the time within which a draining upstream must stop
	// receiving new flows, and a data centre that is out must stop receiving
	// any packets.
	withdrawalLimit = 3 * time.Second
)

// upstream simulates a back end with a limited number of connections and slots.
type upstream struct {
	world      *World
	id         view.ID
	name       string
	service    uint32
	dataCentre string
	limit      int
	slots      int

	connections map[flow.ID]*connection
	started     time.Duration
	// freshLimit is the number of flows opened since the last cold start that
	// the upstream accepts, fresh the number of them that are open.
	freshLimit, fresh int
	// shedInPeriod counts the openings shed in the current growthPeriod.
	shedInPeriod  int
	lastShed      time.Duration
	down          bool
	restarts      int
	busy          int
	backlog       []*connection
	drainingSince time.Duration
}

// connection is the upstream's end of an open flow.
type connection struct {
	caller *caller
	// requested and answered are the numbers of the last step received and the
	// last one answered.
	requested, answered int
	// beforeColdStart marks connections opened before the last cold start. They
	// do not count against freshLimit.
	beforeColdStart bool
	lastPacket      time.Duration
}

func newModelUpstream(w *World, dataCentre string, number uint32, listed inventory.Upstream) *upstream {
	u := &upstream{
		world: w, id: view.IDFromName(listed.Name), name: listed.Name, service: number, dataCentre: dataCentre,
		limit: listed.Connections, slots: listed.Slots, freshLimit: listed.Connections,
		connections: make(map[flow.ID]*connection), started: w.queue.now - time.Hour,
	}
	w.queue.after(growthPeriod, u.endPeriod)
	return u
}

// endPeriod ends a growthPeriod: it adapts the limit and closes idle
// connections.
func (u *upstream) endPeriod() {
	if u.shedInPeriod <= u.freshLimit && !u.down {
		u.freshLimit = min(2*u.freshLimit, u.limit)
	}
	u.shedInPeriod = 0
	for id, c := range u.connections {
		if u.world.queue.now-c.lastPacket > connectionTimeout {
			u.closeConnection(id)
		}
	}
	u.world.queue.after(growthPeriod, u.endPeriod)
}

// turnCold resets the limit of new flows to the number of slots. The process
// keeps running and open flows stay open.
func (u *upstream) turnCold() {
	u.freshLimit, u.fresh = u.slots, 0
	for _, c := range u.connections {
		c.beforeColdStart = true
	}
}

// start simulates the start of a new process, which is cold.
func (u *upstream) start() {
	u.started = u.world.queue.now
	u.turnCold()
}

// restart drops all flows. The upstream comes back cold after restartTime.
func (u *upstream) restart() {
	clear(u.connections)
	u.backlog, u.busy, u.down = nil, 0, true
	u.restarts++
	u.world.queue.after(restartTime, func() {
		u.down = false
		u.start()
	})
}

// receive handles a packet that an instance forwarded in a tunnel with the
// service number.
func (u *upstream) receive(number uint32, s segment) {
	w, packet, c := u.world, &s.packet, s.caller
	w.logf(c, "%s receives %s step %d", u.name, packet.Role, s.step)
	if u.down {
		return
	}
	if number != u.service {
		w.result.Rejected++
		return
	}
	if serviceAddress(u.service) != packet.Key.Destination.Addr() {
		w.result.Misrouted++
		return
	}
	if w.outFor(u.dataCentre, withdrawalLimit) {
		w.result.LatePackets++
	}
	switch packet.Role {
	case flow.RoleOpen:
		u.receiveOpen(packet, c)
	case flow.RoleData:
		u.receiveData(s)
	case flow.RoleClose, flow.RoleReset:
		u.closeConnection(packet.ID)
		w.deliverToCaller(c.closed)
	}
}

func (u *upstream) receiveOpen(packet *flow.Packet, c *caller) {
	w := u.world
	if known, ok := u.connections[packet.ID]; ok {
		known.lastPacket = w.queue.now
		w.deliverToCaller(c.opened)
		return
	}
	if u.drainingSince > 0 && w.queue.now-u.drainingSince > withdrawalLimit {
		w.result.LatePackets++
	}
	if u.fresh >= u.freshLimit {
		u.shed(c)
		return
	}
	u.fresh++
	u.connections[packet.ID] = &connection{caller: c, lastPacket: w.queue.now}
	if c.upstream != nil && c.upstream != u && c.flowKind.once {
		w.result.OpenedTwice++
		w.result.FirstOpenedTwice = cmp.Or(w.result.FirstOpenedTwice, c.number)
	}
	c.upstream = u
	w.deliverToCaller(c.opened)
}

// shed drops an opening packet beyond the upstream's limit.
func (u *upstream) shed(c *caller) {
	w := u.world
	w.result.OverLimit++
	w.result.FirstOverLimit = cmp.Or(w.result.FirstOverLimit, c.number)
	w.logf(c, "%s sheds the opening packet: limit %d flows since its cold start, %d of them open, %d open in all", u.name, u.freshLimit, u.fresh, len(u.connections))
	u.shedInPeriod++
	u.lastShed = w.queue.now
	if u.shedInPeriod > collapseFactor*u.freshLimit {
		w.result.Collapses++
		u.restart()
	}
}

func (u *upstream) receiveData(s segment) {
	c, step := s.caller, s.step
	known, ok := u.connections[s.packet.ID]
	if !ok {
		if step == stepLastAck {
			return
		}
		u.world.deliverToCaller(c.reset)
		return
	}
	known.lastPacket = u.world.queue.now
	switch {
	case step <= stepAckOnly:
	case step <= known.answered:
		u.world.deliverToCaller(func() { c.answered(step) })
	case step > known.requested:
		known.requested = step
		if c.work(step) == 0 {
			u.sendAnswer(known, step)
			return
		}
		u.backlog = append(u.backlog, known)
		u.startRequests()
	}
}

// startRequests moves queued requests into free slots.
func (u *upstream) startRequests() {
	for u.busy < u.slots && len(u.backlog) > 0 {
		next := u.backlog[0]
		u.backlog = u.backlog[1:]
		u.busy++
		restarts, step := u.restarts, next.requested
		u.world.queue.after(next.caller.work(step), func() {
			if u.restarts != restarts {
				return
			}
			u.busy--
			u.sendAnswer(next, step)
			u.startRequests()
		})
	}
}

func (u *upstream) sendAnswer(c *connection, step int) {
	c.answered = step
	u.world.deliverToCaller(func() { c.caller.answered(step) })
}

func (u *upstream) closeConnection(id flow.ID) {
	c, ok := u.connections[id]
	if !ok {
		return
	}
	delete(u.connections, id)
	if !c.beforeColdStart {
		u.fresh--
	}
}

// status returns what the health and load endpoints report.
func (u *upstream) status() *balancer.StatusReported {
	return &balancer.StatusReported{
		Upstream: u.id, Ready: !u.down, Draining: u.drainingSince > 0,
		Started: epoch.Add(u.started), Open: len(u.connections), Busy: u.busy, Shedding: u.lastShed > 0 && u.world.queue.now-u.lastShed < growthPeriod,
	}
}
