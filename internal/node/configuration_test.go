package node

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/chervilhaven/chervilhaven/internal/view"
)

func TestConfigurationNeverRevertsWhenThePlatformIsStale(t *testing.T) {
	f := newFleet(t, 3, 2, 2, 2, 2)
	old := f.platform.copy()
	want := f.publishUpstreams(14)
	f.run(3 * time.Second)
	for _, h := range f.hosts {
		f.platform.stale[h.config.Name] = old
	}
	reads := f.platform.reads
	f.run(time.Minute)
	expectVersion(f, want)
	// A platform that answers at once with old values must not be hammered.
	if got, limit := f.platform.reads-reads, 8*20; got > limit {
		t.Errorf("%d reads in a minute, at most %d expected", got, limit)
	}
}

func TestFreshInstanceOnStalePlatformTakesWhatPeersKnow(t *testing.T) {
	f := newFleet(t, 4, 3, 3)
	old := f.platform.copy()
	want := f.publishUpstreams(14)
	f.run(5 * time.Second)
	h := f.hosts[1]
	f.platform.stale[h.config.Name] = old
	f.replace(h)
	f.run(5 * time.Second)
	expectVersion(f, want)
}

func TestFreshInstanceServesNothingOlderThanItsPeersKnow(t *testing.T) {
	f := newFleet(t, 5, 3, 3)
	old := f.platform.copy()
	want := f.publishUpstreams(14)
	f.run(5 * time.Second)
	h := f.hosts[4]
	f.platform.stale[h.config.Name] = old
	f.replace(h)
	for h.view == nil {
		f.run(testStep)
	}
	if d := cmp.Diff(want, h.view.Version); d != "" {
		t.Errorf("first view served (-want +got):\n%s", d)
	}
}

func TestFreshInstanceStartsFromPeersWhileThePlatformIsDown(t *testing.T) {
	f := newFleet(t, 6, 2, 2)
	want := f.publishUpstreams(14)
	f.run(5 * time.Second)
	for _, h := range f.hosts {
		f.platform.down[h.config.Name] = true
	}
	h := f.hosts[0]
	h.config.Bootstrap = append(h.config.Bootstrap, f.hosts[3].config.Peers)
	f.replace(h)
	f.run(5 * time.Second)
	expectVersion(f, want)
}

func TestRestoredBackupReplacesAllKeys(t *testing.T) {
	f := newFleet(t, 7, 3, 3)
	f.run(3 * time.Second)
	backup := f.platform.copy()
	f.publishUpstreams(14)
	f.run(3 * time.Second)
	// The backup has no upstreams; its revisions start over.
	f.platform.values, f.platform.newest = backup, view.Version{Generation: 2}
	for _, key := range []string{view.KeyServices, view.PrefixInstances + "dc0", view.PrefixInstances + "dc1"} {
		f.platform.put(key, string(backup[key].Content))
	}
	// Only one instance reads the platform, so that the rest hear from peers.
	for _, h := range f.hosts[1:] {
		f.platform.down[h.config.Name] = true
	}
	f.run(30 * time.Second)
	expectVersion(f, f.platform.newest)
	for _, h := range f.hosts {
		if _, ok := h.view.Upstream(view.IDFromName("u1")); ok {
			t.Errorf("%s still holds an upstream that the backup does not have", h.config.Name)
		}
	}
}

func TestConfigurationSpreadsWithThePlatformDownForAllButOne(t *testing.T) {
	for last := range 12 {
		f := newFleet(t, uint64(8+last), 4, 4, 4)
		f.run(5 * time.Second)
		for i, h := range f.hosts {
			f.platform.down[h.config.Name] = i != last
		}
		// Past the bound after which others than representatives read.
		f.run(40 * time.Second)
		want := f.publishUpstreams(14)
		f.run(8 * time.Second)
		expectVersion(f, want)
	}
}

func TestRefusedValueKeepsThePreviousOneEverywhere(t *testing.T) {
	f := newFleet(t, 21, 3, 3)
	want := f.publishUpstreams(14)
	f.run(3 * time.Second)
	reads := f.platform.reads
	f.platform.put(view.PrefixUpstreams+"dc0", `{"upstreams":[{"name":"u0","weight":3}]}`)
	f.run(20 * time.Second)
	expectVersion(f, want)
	if got, limit := f.platform.reads-reads, 6*10; got > limit {
		t.Errorf("%d reads after a refused value, at most %d expected", got, limit)
	}
	refused := 0
	for _, h := range f.hosts {
		refused += len(h.store.Refused())
	}
	if refused == 0 {
		t.Error("no instance shows the refused value")
	}
	f.run(time.Second)
	expectVersion(f, want)
	next := f.publishUpstreams(15)
	f.run(8 * time.Second)
	expectVersion(f, next)
}

func TestRepresentativesThatDieAreReplacedAsReaders(t *testing.T) {
	f := newFleet(t, 22, 8)
	f.run(5 * time.Second)
	for _, h := range f.hosts {
		if h.members.Representative() {
			h.up = false
		}
	}
	f.run(20 * time.Second)
	want := f.publishUpstreams(14)
	f.run(5 * time.Second)
	expectVersion(f, want)
}

func TestFewInstancesReadThePlatform(t *testing.T) {
	f := newFleet(t, 23, 20, 20)
	f.run(10 * time.Second)
	reads := f.platform.reads
	f.run(time.Minute)
	// Three representatives in each data centre, one read in watchWait each.
	if got, limit := f.platform.reads-reads, 2*3*13+10; got > limit {
		t.Errorf("%d reads in a minute, at most %d expected", got, limit)
	}
}

func TestFleetStartedBeforeThePlatformServesSoonAfterIt(t *testing.T) {
	f := newFleet(t, 24, 2, 2)
	for _, h := range f.hosts {
		f.platform.down[h.config.Name] = true
	}
	f.run(time.Minute)
	clear(f.platform.down)
	f.run(emptyBackoff + emptyBackoff/4 + startWait)
	expectVersion(f, f.platform.newest)
}

// 4,900 nodes in 20 data centres are 245 in each.
func TestConfigurationSpreadsOverADataCentreOfTheLargeFleetWithinSeconds(t *testing.T) {
	f := newFleet(t, 25, 245)
	f.run(5 * time.Second)
	want := f.publishUpstreams(14)
	f.run(4 * time.Second)
	expectVersion(f, want)
}
