package member

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

func testView(sizes ...int) *view.View {
	var s view.Sources
	for dc, size := range sizes {
		d := inventory.DataCentre{Name: fmt.Sprintf("dc%d", dc)}
		for i := range size {
			a := netip.AddrFrom4([4]byte{127, 0, byte(dc), byte(i + 1)})
			d.Instances = append(d.Instances, inventory.Instance{
				Name: fmt.Sprintf("dc%d-%d", dc, i), Packets: netip.AddrPortFrom(a, 1), Peers: netip.AddrPortFrom(a, 2),
			})
		}
		s.DataCentres = append(s.DataCentres, d)
	}
	return view.Compile(s)
}

func testMember(sizes ...int) (*Membership, time.Time) {
	now := time.Unix(1_800_000_000, 0)
	m := New(Config{Name: "dc0-0", DataCentre: "dc0", Incarnation: 5, Seed: 1})
	m.Apply(now, &ViewChanged{View: testView(sizes...)})
	return m, now
}

func id(dataCentre, i int) view.ID { return view.IDFromName(fmt.Sprintf("dc%d-%d", dataCentre, i)) }

func TestStatusPrecedenceWithinIncarnation(t *testing.T) {
	order := []Status{Alive, Suspect, Leaving, Dead}
	for i, a := range order {
		for j, b := range order {
			got := State{ID: 1, Incarnation: 3, Status: a}.supersedes(State{ID: 1, Incarnation: 3, Status: b})
			if d := cmp.Diff(i > j, got); d != "" {
				t.Errorf("%v supersedes %v (-want +got):\n%s", a, b, d)
			}
			if !(State{ID: 1, Incarnation: 4, Status: a}).supersedes(State{ID: 1, Incarnation: 3, Status: b}) {
				t.Errorf("%v of a later incarnation does not supersede %v", a, b)
			}
		}
	}
}

func TestRefutesOwnSuspicionInReply(t *testing.T) {
	m, now := testMember(3)
	for _, s := range []Status{Suspect, Dead} {
		claim := State{ID: id(0, 0), Incarnation: m.Self().Incarnation, Status: s}
		effects := m.Apply(now, &ProbeReceived{From: id(0, 1), Digest: Digest{Members: []State{claim}}})
		want := State{ID: id(0, 0), Incarnation: claim.Incarnation + 1, Status: Alive}
		if d := cmp.Diff(want, effects[0].Digest.Members[0]); d != "" {
			t.Errorf("own state after %v (-want +got):\n%s", s, d)
		}
	}
}

func TestDigestsAreBoundedAndRotateNonAliveMembers(t *testing.T) {
	m, now := testMember(40)
	var dead []State
	for i := 1; i < 30; i++ {
		dead = append(dead, State{ID: id(0, i), Incarnation: 1, Status: Dead})
	}
	m.Apply(now, &ProbeAcknowledged{From: id(0, 35), Digest: Digest{Members: dead}})
	sent := make(map[view.ID]bool)
	// Pending updates are sent first. Once they are exhausted, which takes fewer
	// than 400 rounds, digests list the dead members in rotation.
	for round := range 400 + len(dead) {
		for _, e := range m.Apply(now, &ProbeReceived{From: id(0, 36)}) {
			if got := len(e.Digest.Members); got > MaxDigestMembers {
				t.Fatalf("%d states in a digest, at most %d expected", got, MaxDigestMembers)
			}
			for _, s := range e.Digest.Members {
				sent[s.ID] = sent[s.ID] || round >= 400
			}
		}
	}
	for _, s := range dead {
		if !sent[s.ID] {
			t.Errorf("dead member %v is missing from the digests", s.ID)
		}
	}
}

func TestProbeRateIsIndependentOfMemberCount(t *testing.T) {
	for _, sizes := range [][]int{{2, 2}, {50, 50, 50}, {245, 245, 245, 245}} {
		m, now := testMember(sizes...)
		probes := 0
		for range 600 {
			now = now.Add(100 * time.Millisecond)
			for _, e := range append([]Effect{}, m.Apply(now, &Tick{})...) {
				if e.Kind == Probe {
					probes++
					m.Apply(now, &ProbeAcknowledged{From: e.Peer})
				}
			}
		}
		// One probe per second inside the data centre, and one per second to
		// other data centres for representatives.
		if limit := 2*60 + 2; probes > limit {
			t.Errorf("%v members: %d probes in a minute, at most %d expected", sizes, probes, limit)
		}
	}
}

func TestDeadRepresentativesAreReplaced(t *testing.T) {
	m, now := testMember(8, 8)
	before := m.Representatives()
	var dead []State
	for _, r := range before {
		if r != id(0, 0) {
			dead = append(dead, State{ID: r, Incarnation: 1, Status: Dead})
		}
	}
	m.Apply(now, &ProbeAcknowledged{From: id(0, 1), Digest: Digest{Members: dead}})
	after := m.Representatives()
	if d := cmp.Diff(len(before), len(after)); d != "" {
		t.Errorf("number of representatives (-want +got):\n%s", d)
	}
	for _, r := range after {
		for _, s := range dead {
			if r == s.ID {
				t.Errorf("%v is dead and still a representative", r)
			}
		}
	}
}

func TestOnlyLocalDataCentreDeclaresDeath(t *testing.T) {
	m, now := testMember(2, 2)
	suspicion := Digest{Members: []State{{ID: id(1, 0), Incarnation: 1, Status: Suspect}}}
	m.Apply(now, &ProbeAcknowledged{From: id(1, 1), Digest: suspicion})
	m.Apply(now.Add(time.Minute), &Tick{})
	for _, l := range m.Live() {
		if l.ID == id(1, 0) {
			return
		}
	}
	t.Error("an instance of another data centre was declared dead because of a gossiped suspicion")
}
