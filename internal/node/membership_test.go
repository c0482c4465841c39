package node

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

func (h *host) id() view.ID { return view.IDFromName(h.config.Name) }

// expectLive fails unless all running hosts that keep wants hold the member as
// live or not.
func expectLive(f *fleet, who *host, want bool) {
	f.t.Helper()
	for _, h := range f.hosts {
		if !h.up || h == who {
			continue
		}
		if _, got := h.has(who.id()); got != want {
			f.t.Errorf("%s holds %s as live: %v, want %v", h.config.Name, who.config.Name, got, want)
		}
	}
}

func TestDeadInstanceLeavesEveryListWithinSeconds(t *testing.T) {
	f := newFleet(t, 31, 2, 2, 2, 2)
	f.run(5 * time.Second)
	f.hosts[3].up = false
	f.run(7 * time.Second)
	expectLive(f, f.hosts[3], false)
	f.replace(f.hosts[3])
	f.run(7 * time.Second)
	expectLive(f, f.hosts[3], true)
}

func TestDeadInstanceOfALargeDataCentreLeavesEveryListWithinSeconds(t *testing.T) {
	for seed := range uint64(10) {
		f := newFleet(t, seed, 60)
		f.run(5 * time.Second)
		f.hosts[17].up = false
		f.run(15 * time.Second)
		expectLive(f, f.hosts[17], false)
	}
}

func TestInstanceWhoseProcessIsGoneLeavesEveryListSooner(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(t, seed, 2, 2, 2, 2)
		f.run(5 * time.Second)
		f.hosts[3].up, f.hosts[3].refusing = false, true
		f.run(4 * time.Second)
		expectLive(f, f.hosts[3], false)
		f.replace(f.hosts[3])
		f.run(4 * time.Second)
		expectLive(f, f.hosts[3], true)
	}
}

func TestInstanceThatStartsASecondLateIsNotTakenForDead(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(t, seed, 2, 2, 2, 2)
		late := f.hosts[3]
		late.up, late.refusing = false, true
		f.run(time.Second)
		f.replace(late)
		for range 100 {
			f.run(testStep)
			for _, h := range f.hosts {
				if _, ok := h.has(late.id()); h != late && h.view != nil && !ok {
					t.Fatalf("seed %d: %s holds the late instance as dead", seed, h.config.Name)
				}
			}
		}
	}
}

func TestFalseSuspicionIsRefuted(t *testing.T) {
	f := newFleet(t, 33, 5)
	f.run(5 * time.Second)
	victim := f.hosts[2]
	f.cut = func(a, b *host) bool { return a == victim || b == victim }
	f.run(2 * time.Second)
	f.cut = func(*host, *host) bool { return false }
	f.run(15 * time.Second)
	expectLive(f, victim, true)
	for _, h := range f.hosts {
		for _, m := range h.live {
			if m.Unreachable {
				t.Errorf("%s holds %v as unreachable", h.config.Name, m.ID)
			}
		}
	}
}

func TestInstanceDeclaredDeadByMistakeComesBack(t *testing.T) {
	f := newFleet(t, 34, 5)
	f.run(5 * time.Second)
	victim := f.hosts[2]
	f.cut = func(a, b *host) bool { return a == victim || b == victim }
	f.run(15 * time.Second)
	expectLive(f, victim, false)
	if d := cmp.Diff(5, len(victim.live)); d != "" {
		t.Errorf("members kept by the instance that is cut off (-want +got):\n%s", d)
	}
	f.cut = func(*host, *host) bool { return false }
	f.run(15 * time.Second)
	expectLive(f, victim, true)
}

func TestCutOffDataCentreIsUnreachableNotDead(t *testing.T) {
	f := newFleet(t, 35, 3, 3, 3)
	f.run(5 * time.Second)
	f.cut = func(a, b *host) bool {
		return (a.config.DataCentre == "dc2") != (b.config.DataCentre == "dc2")
	}
	f.run(12 * time.Second)
	for _, h := range f.hosts {
		inside := h.config.DataCentre == "dc2"
		for _, o := range f.hosts {
			m, ok := h.has(o.id())
			want := inside != (o.config.DataCentre == "dc2")
			if d := cmp.Diff([]bool{true, want}, []bool{ok, m.Unreachable}); d != "" {
				t.Errorf("%s about %s, live and unreachable (-want +got):\n%s", h.config.Name, o.config.Name, d)
			}
		}
	}
	want := f.publishUpstreams(14)
	f.run(8 * time.Second)
	expectVersion(f, want)
	f.cut = func(*host, *host) bool { return false }
	f.run(12 * time.Second)
	for _, h := range f.hosts {
		for _, m := range h.live {
			if m.Unreachable {
				t.Errorf("%s still holds %v as unreachable", h.config.Name, m.ID)
			}
		}
	}
}

func TestPlannedStopIsKnownAsLeaving(t *testing.T) {
	f := newFleet(t, 36, 4, 4)
	f.run(5 * time.Second)
	f.apply(f.hosts[1], &balancer.StopRequested{})
	f.run(4 * time.Second)
	for _, h := range f.hosts {
		m, ok := h.has(f.hosts[1].id())
		if d := cmp.Diff([]bool{true, true}, []bool{ok, m.Leaving}); d != "" {
			t.Errorf("%s, live and leaving (-want +got):\n%s", h.config.Name, d)
		}
	}
}

func TestInstanceTheListLacksCountsOnceItIsProbed(t *testing.T) {
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
	f.publishSite("dc0", list)
	f.run(10 * time.Second)
	expectLive(f, late, true)
}

func TestListedInstanceThatNobodyReachesIsNotLive(t *testing.T) {
	f := newFleet(t, 38, 4)
	f.run(5 * time.Second)
	ghost := f.newHost(0, 9, 38)
	ghost.up = false
	f.hosts = append(f.hosts, ghost)
	f.publishInstances()
	for range 40 {
		f.run(time.Second)
		expectLive(f, ghost, false)
	}
}

func TestPausedInstanceWakesOnTheNewestView(t *testing.T) {
	f := newFleet(t, 39, 2, 2, 2, 2)
	f.run(5 * time.Second)
	sleeper := f.hosts[2]
	f.pause(sleeper)
	want := f.publishUpstreams(14)
	f.run(10 * time.Second)
	f.resume(sleeper)
	if sleeper.confirmed != 0 {
		t.Error("view confirmed before anybody was asked")
	}
	for range 40 {
		if sleeper.confirmed > 0 {
			break
		}
		f.run(testStep)
	}
	if d := cmp.Diff([]int{1, 1}, []int{sleeper.recorder.woke, sleeper.confirmed}); d != "" {
		t.Errorf("woke and confirmed (-want +got):\n%s", d)
	}
	expectVersion(f, want)
	f.run(10 * time.Second)
	expectLive(f, sleeper, true)
}

func TestPausedInstanceInAPartitionServesOnAfterABound(t *testing.T) {
	f := newFleet(t, 40, 2, 2)
	f.run(5 * time.Second)
	sleeper := f.hosts[2]
	f.pause(sleeper)
	f.platform.down[sleeper.config.Name] = true
	f.cut = func(a, b *host) bool { return a == sleeper || b == sleeper }
	f.run(10 * time.Second)
	f.resume(sleeper)
	f.run(confirmWait / 2)
	if sleeper.confirmed != 0 {
		t.Error("view confirmed although nobody answered")
	}
	f.run(confirmWait)
	if d := cmp.Diff(1, sleeper.confirmed); d != "" {
		t.Errorf("confirmed (-want +got):\n%s", d)
	}
}

func TestAnswerThatWaitedThroughAPauseConfirmsNothing(t *testing.T) {
	f := newFleet(t, 41, 2, 2)
	f.run(5 * time.Second)
	sleeper, peer := f.hosts[2], f.hosts[3]
	asked := f.now
	answer := &ProbeAcknowledged{From: peer.id(), Digest: peer.members.Apply(f.now, &ProbeReceived{})[0].Digest, SentAt: asked}
	f.pause(sleeper)
	f.later(testLatency, sleeper, answer)
	f.later(testLatency, sleeper, &ValuesReceived{Source: FromPeer, From: peer.id(), Asked: asked})
	f.run(10 * time.Second)
	f.resume(sleeper)
	if sleeper.confirmed != 0 {
		t.Error("view confirmed by an answer from before the pause")
	}
	f.run(confirmWait)
	if d := cmp.Diff(1, sleeper.confirmed); d != "" {
		t.Errorf("confirmed (-want +got):\n%s", d)
	}
}
