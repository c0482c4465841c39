package tokenrouter

import (
	"fmt"
	"testing"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// serviceWithCoordinatorOf returns the name of another service that the same instance
// coordinates as the given one.
func (w *world) serviceWithCoordinatorOf(service string) string {
	for n := 0; ; n++ {
		name := fmt.Sprintf("ledger-%d", n)
		if w.coordinatorOf(name) == w.coordinatorOf(service) {
			return name
		}
	}
}

// coordinatorOf returns the highest ranked instance for the first group of a service.
func (w *world) coordinatorOf(service string) *node {
	best := w.nodes[0]
	for _, n := range w.nodes {
		if rankOf(n.address, service, 0) > rankOf(best.address, service, 0) {
			best = n
		}
	}
	return best
}

// An instance restarts while the coordinator still queues a flow for it. The grant for that
// flow must not place the first flow of the new process, which is for another service.
func TestGrantForPreviousProcessDoesNotPlaceAnotherFlow(t *testing.T) {
	w := newWorld(t, 71)
	w.addNodes("a", 3)
	ledger := w.serviceWithCoordinatorOf("desk")
	w.configure(1, catalog.Route{Address: ledgerRoute, Service: ledger, Target: targetLatency, Deadline: time.Second})
	desks := w.addServers("a", 1, 120*time.Millisecond)
	ledgers := w.addServers("a", 1, time.Second)
	ledgers[0].info.Service = ledger
	w.publish(ledgers[0])
	w.startAll()
	w.advance(2 * time.Second)
	coordinator, victim := w.coordinatorOf("desk"), w.nodes[0]
	if victim == coordinator {
		victim = w.nodes[1]
	}
	for range 5 {
		w.call(deskRoute, coordinator)
		w.call(ledgerRoute, coordinator)
	}
	w.advance(20 * time.Millisecond)
	w.call(deskRoute, victim)
	w.advance(20 * time.Millisecond)
	victim.kill()
	w.advance(10 * time.Millisecond)
	victim.start()
	w.advance(50 * time.Millisecond)
	w.call(ledgerRoute, victim)
	w.advance(20 * time.Millisecond)
	if n := coordinator.router.coordination.queue.Len(); n != 2 {
		t.Fatalf("%d flows are queued at the coordinator, want 2: one of each process", n)
	}
	w.advance(time.Second)
	for _, u := range append(desks, ledgers...) {
		if u.misplaced > 0 {
			t.Errorf("%d flows for another service were opened at an upstream of %q, want none", u.misplaced, u.info.Service)
		}
	}
}

// The route of a flow gets another service while the flow waits for its upstream. An
// upstream that was assigned to it before must not get its opening packet.
func TestAssignmentOfFormerServiceIsNotUsed(t *testing.T) {
	w := newSmallFleet(t, 72)
	ledger := w.serviceWithCoordinatorOf("desk")
	u := w.addServers("a", 1, 20*time.Millisecond)[0]
	u.info.Service = ledger
	w.publish(u)
	w.advance(time.Second)
	coordinator := w.coordinatorOf("desk")
	other := w.nodes[0]
	if other == coordinator {
		other = w.nodes[1]
	}
	c := w.call(deskRoute, coordinator)
	c.dropPackets = true
	w.advance(callerDelay + 2*peerDelay)
	if len(coordinator.router.coordination.assignment) == 0 {
		t.Fatal("no upstream was assigned to the flow")
	}
	for _, n := range w.nodes {
		n.router.routes[deskRoute] = catalog.Route{Address: deskRoute, Service: ledger, Target: targetLatency, Deadline: time.Second}
	}
	before := len(u.openTimes)
	other.apply(&Packet{Source: c.source, Destination: deskRoute, Role: flow.RoleOpen, Retransmission: 1, Raw: packetOf(0, flow.RoleOpen, 0)})
	w.advance(10 * time.Millisecond)
	if len(u.openTimes) == before {
		t.Errorf("the flow was not opened at an upstream of %q", ledger)
	}
	for _, s := range w.servers() {
		if s.misplaced > 0 {
			t.Errorf("%d flows for %q were opened at an upstream of %q, want none", s.misplaced, ledger, s.info.Service)
		}
	}
}
