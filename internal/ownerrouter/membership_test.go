package ownerrouter

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

func (h *host) id() view.ID { return view.IDFromName(h.config.Name) }

// expectLive fails the test unless every other running host considers the
// member live (want true) or not live (want false).
func expectLive(f *fleet, subject *host, want bool) {
	f.t.Helper()
	for _, h := range f.hosts {
		if !h.up || h == subject {
			continue
		}
		if _, got := h.liveMember(subject.id()); got != want {
			f.t.Errorf("%s considers %s live: %v, want %v", h.config.Name, subject.config.Name, got, want)
		}
	}
}

func TestDeadInstanceIsRemovedEverywhereWithinSeconds(t *testing.T) {
	f := newFleet(t, 31, 2, 2, 2, 2)
	f.run(5 * time.Second)
	f.hosts[3].up = false
	f.run(7 * time.Second)
	expectLive(f, f.hosts[3], false)
	f.restart(f.hosts[3])
	f.run(7 * time.Second)
	expectLive(f, f.hosts[3], true)
}

func TestDeadInstanceOfLargeDataCentreIsRemovedEverywhereWithinSeconds(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(t, seed, 60)
		f.run(5 * time.Second)
		f.hosts[17].up = false
		f.run(15 * time.Second)
		expectLive(f, f.hosts[17], false)
	}
}

func TestInstanceThatRefusesConnectionsIsRemovedSooner(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(t, seed, 2, 2, 2, 2)
		f.run(5 * time.Second)
		f.hosts[3].up, f.hosts[3].refusesConnections = false, true
		f.run(4 * time.Second)
		expectLive(f, f.hosts[3], false)
		f.restart(f.hosts[3])
		f.run(4 * time.Second)
		expectLive(f, f.hosts[3], true)
	}
}

func TestInstanceThatStartsOneSecondLateIsNotDeclaredDead(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(t, seed, 2, 2, 2, 2)
		late := f.hosts[3]
		late.up, late.refusesConnections = false, true
		f.run(time.Second)
		f.restart(late)
		for range 100 {
			f.run(testStep)
			for _, h := range f.hosts {
				if _, ok := h.liveMember(late.id()); h != late && h.view != nil && !ok {
					t.Fatalf("seed %d: %s considers the late instance dead", seed, h.config.Name)
				}
			}
		}
	}
}

func TestFalseSuspicionIsRefuted(t *testing.T) {
	f := newFleet(t, 33, 5)
	f.run(5 * time.Second)
	victim := f.hosts[2]
	f.partitioned = func(a, b *host) bool { return a == victim || b == victim }
	f.run(2 * time.Second)
	f.partitioned = func(*host, *host) bool { return false }
	f.run(15 * time.Second)
	expectLive(f, victim, true)
	for _, h := range f.hosts {
		for _, m := range h.live {
			if m.Unreachable {
				t.Errorf("%s considers %v unreachable", h.config.Name, m.ID)
			}
		}
	}
}

func TestInstanceWronglyDeclaredDeadRejoins(t *testing.T) {
	f := newFleet(t, 34, 5)
	f.run(5 * time.Second)
	victim := f.hosts[2]
	f.partitioned = func(a, b *host) bool { return a == victim || b == victim }
	f.run(15 * time.Second)
	expectLive(f, victim, false)
	if d := cmp.Diff(5, len(victim.live)); d != "" {
		t.Errorf("live members of the partitioned instance (-want +got):\n%s", d)
	}
	f.partitioned = func(*host, *host) bool { return false }
	f.run(15 * time.Second)
	expectLive(f, victim, true)
}

func TestPartitionedDataCentreIsUnreachableNotDead(t *testing.T) {
	f := newFleet(t, 35, 3, 3, 3)
	f.run(5 * time.Second)
	f.partitioned = func(a, b *host) bool {
		return (a.config.DataCentre == "dc2") != (b.config.DataCentre == "dc2")
	}
	f.run(12 * time.Second)
	for _, h := range f.hosts {
		inside := h.config.DataCentre == "dc2"
		for _, o := range f.hosts {
			m, ok := h.liveMember(o.id())
			want := inside != (o.config.DataCentre == "dc2")
			if d := cmp.Diff([]bool{true, want}, []bool{ok, m.Unreachable}); d != "" {
				t.Errorf("%s: live and unreachable state of %s (-want +got):\n%s", h.config.Name, o.config.Name, d)
			}
		}
	}
	want := f.publishUpstreams(14)
	f.run(8 * time.Second)
	expectVersion(f, want)
	f.partitioned = func(*host, *host) bool { return false }
	f.run(12 * time.Second)
	for _, h := range f.hosts {
		for _, m := range h.live {
			if m.Unreachable {
				t.Errorf("%s still considers %v unreachable", h.config.Name, m.ID)
			}
		}
	}
}

func TestStoppingInstanceIsMarkedLeaving(t *testing.T) {
	f := newFleet(t, 36, 4, 4)
	f.run(5 * time.Second)
	f.apply(f.hosts[1], &balancer.StopRequested{})
	f.run(4 * time.Second)
	for _, h := range f.hosts {
		m, ok := h.liveMember(f.hosts[1].id())
		if d := cmp.Diff([]bool{true, true}, []bool{ok, m.Leaving}); d != "" {
			t.Errorf("%s: live and leaving state of the stopped instance (-want +got):\n%s", h.config.Name, d)
		}
	}
}

func TestUnlistedInstanceBecomesLiveOnceProbed(t *testing.T) {
	f := newFleet(t, 37, 4, 4)
	late := f.hosts[1]
	var list []inventory.Instance
	for _, h := range f.hosts[:4] {
		if h != late {
			list = append(list, inventory.Instance{
				Name: h.config.Name, Packets: h.config.Packets, Peers: h.config.Peers,
			})
		}
	}
	f.publishDataCentre("dc0", list)
	f.run(10 * time.Second)
	expectLive(f, late, true)
}

func TestListedButUnreachableInstanceIsNotLive(t *testing.T) {
	f := newFleet(t, 38, 4)
	f.run(5 * time.Second)
	unreachable := f.newHost(0, 9, 38)
	unreachable.up = false
	f.hosts = append(f.hosts, unreachable)
	f.publishInstances()
	for range 40 {
		f.run(time.Second)
		expectLive(f, unreachable, false)
	}
}

func TestPausedInstanceResumesWithNewestView(t *testing.T) {
	f := newFleet(t, 39, 2, 2, 2, 2)
	f.run(5 * time.Second)
	paused := f.hosts[2]
	f.pause(paused)
	want := f.publishUpstreams(14)
	f.run(10 * time.Second)
	f.resume(paused)
	if paused.confirmations != 0 {
		t.Error("view confirmed before any peer was queried")
	}
	for range 40 {
		if paused.confirmations > 0 {
			break
		}
		f.run(testStep)
	}
	if d := cmp.Diff([]int{1, 1}, []int{paused.recorder.resumed, paused.confirmations}); d != "" {
		t.Errorf("resumptions and confirmations (-want +got):\n%s", d)
	}
	expectVersion(f, want)
	f.run(10 * time.Second)
	expectLive(f, paused, true)
}

func TestPausedInstanceInPartitionConfirmsViewAfterTimeout(t *testing.T) {
	f := newFleet(t, 40, 2, 2)
	f.run(5 * time.Second)
	paused := f.hosts[2]
	f.pause(paused)
	f.platform.down[paused.config.Name] = true
	f.partitioned = func(a, b *host) bool { return a == paused || b == paused }
	f.run(10 * time.Second)
	f.resume(paused)
	f.run(confirmTimeout / 2)
	if paused.confirmations != 0 {
		t.Error("view confirmed without any response")
	}
	f.run(confirmTimeout)
	if d := cmp.Diff(1, paused.confirmations); d != "" {
		t.Errorf("confirmations (-want +got):\n%s", d)
	}
}

func TestResponseQueuedDuringPauseDoesNotConfirmView(t *testing.T) {
	f := newFleet(t, 41, 2, 2)
	f.run(5 * time.Second)
	paused, peer := f.hosts[2], f.hosts[3]
	requestedAt := f.now
	response := &ProbeAcknowledged{From: peer.id(), Digest: peer.membership.Apply(f.now, &ProbeReceived{})[0].Digest, SentAt: requestedAt}
	f.pause(paused)
	f.deliverAfter(testLatency, paused, response)
	f.deliverAfter(testLatency, paused, &ValuesReceived{Source: FromPeer, From: peer.id(), RequestedAt: requestedAt})
	f.run(10 * time.Second)
	f.resume(paused)
	if paused.confirmations != 0 {
		t.Error("view confirmed by a response to a request sent before the pause")
	}
	f.run(confirmTimeout)
	if d := cmp.Diff(1, paused.confirmations); d != "" {
		t.Errorf("confirmations (-want +got):\n%s", d)
	}
}
