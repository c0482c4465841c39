package ownerrouter

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/chervilhaven/chervilhaven/internal/view"
)

func TestConfigurationDoesNotRevertWhenPlatformIsStale(t *testing.T) {
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
	// A stale platform responds immediately; reads of it must back off.
	if got, limit := f.platform.reads-reads, 8*20; got > limit {
		t.Errorf("%d platform reads in a minute, want at most %d", got, limit)
	}
}

func TestNewInstanceOnStalePlatformFetchesNewerConfigurationFromPeers(t *testing.T) {
	f := newFleet(t, 4, 3, 3)
	old := f.platform.copy()
	want := f.publishUpstreams(14)
	f.run(5 * time.Second)
	h := f.hosts[1]
	f.platform.stale[h.config.Name] = old
	f.restart(h)
	f.run(5 * time.Second)
	expectVersion(f, want)
}

func TestNewInstanceNeverServesOlderConfigurationThanPeers(t *testing.T) {
	f := newFleet(t, 5, 3, 3)
	old := f.platform.copy()
	want := f.publishUpstreams(14)
	f.run(5 * time.Second)
	h := f.hosts[4]
	f.platform.stale[h.config.Name] = old
	f.restart(h)
	for h.view == nil {
		f.run(testStep)
	}
	if d := cmp.Diff(want, h.view.Version); d != "" {
		t.Errorf("first view served (-want +got):\n%s", d)
	}
}

func TestNewInstanceStartsFromPeersWhilePlatformIsDown(t *testing.T) {
	f := newFleet(t, 6, 2, 2)
	want := f.publishUpstreams(14)
	f.run(5 * time.Second)
	for _, h := range f.hosts {
		f.platform.down[h.config.Name] = true
	}
	h := f.hosts[0]
	h.config.Bootstrap = append(h.config.Bootstrap, f.hosts[3].config.Peers)
	f.restart(h)
	f.run(5 * time.Second)
	expectVersion(f, want)
}

func TestRestoredBackupReplacesAllKeys(t *testing.T) {
	f := newFleet(t, 7, 3, 3)
	f.run(3 * time.Second)
	backup := f.platform.copy()
	f.publishUpstreams(14)
	f.run(3 * time.Second)
	// The backup contains no upstreams, and its revisions restart at 1.
	f.platform.values, f.platform.newest = backup, view.Version{Generation: 2}
	for _, key := range []string{view.KeyServices, view.PrefixInstances + "dc0", view.PrefixInstances + "dc1"} {
		f.platform.put(key, string(backup[key].Content))
	}
	// Only one instance can read the platform; the others rely on peers.
	for _, h := range f.hosts[1:] {
		f.platform.down[h.config.Name] = true
	}
	f.run(30 * time.Second)
	expectVersion(f, f.platform.newest)
	for _, h := range f.hosts {
		if _, ok := h.view.Upstream(view.IDFromName("u1")); ok {
			t.Errorf("%s still has upstream u1, which the backup does not contain", h.config.Name)
		}
	}
}

func TestConfigurationPropagatesWhenOneInstanceReachesPlatform(t *testing.T) {
	for last := range 12 {
		f := newFleet(t, uint64(8+last), 4, 4, 4)
		f.run(5 * time.Second)
		for i, h := range f.hosts {
			f.platform.down[h.config.Name] = i != last
		}
		// Run past contactTimeout, so that fallback readers try the platform.
		f.run(40 * time.Second)
		want := f.publishUpstreams(14)
		f.run(8 * time.Second)
		expectVersion(f, want)
	}
}

func TestInvalidValueKeepsPreviousValueInForce(t *testing.T) {
	f := newFleet(t, 21, 3, 3)
	want := f.publishUpstreams(14)
	f.run(3 * time.Second)
	reads := f.platform.reads
	f.platform.put(view.PrefixUpstreams+"dc0", `{"upstreams":[{"name":"u0","weight":3}]}`)
	f.run(20 * time.Second)
	expectVersion(f, want)
	if got, limit := f.platform.reads-reads, 6*10; got > limit {
		t.Errorf("%d platform reads after a refused value, want at most %d", got, limit)
	}
	refused := 0
	for _, h := range f.hosts {
		refused += len(h.store.Refused())
	}
	if refused == 0 {
		t.Error("no instance reports the refused value")
	}
	f.run(time.Second)
	expectVersion(f, want)
	next := f.publishUpstreams(15)
	f.run(8 * time.Second)
	expectVersion(f, next)
}

func TestDeadRepresentativesAreReplacedAsPlatformReaders(t *testing.T) {
	f := newFleet(t, 22, 8)
	f.run(5 * time.Second)
	for _, h := range f.hosts {
		if h.membership.Representative() {
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
	// Three representatives in each of two data centres, each with one read per
	// watchWait.
	if got, limit := f.platform.reads-reads, 2*3*13+10; got > limit {
		t.Errorf("%d platform reads in a minute, want at most %d", got, limit)
	}
}

func TestFleetStartedBeforePlatformServesSoonAfterPlatform(t *testing.T) {
	f := newFleet(t, 24, 2, 2)
	for _, h := range f.hosts {
		f.platform.down[h.config.Name] = true
	}
	f.run(time.Minute)
	clear(f.platform.down)
	f.run(maxEmptyBackoff + maxEmptyBackoff/4 + startupTimeout)
	expectVersion(f, f.platform.newest)
}

// A fleet of 4,900 instances in 20 data centres has 245 in each.
func TestConfigurationPropagatesInLargeDataCentreWithinSeconds(t *testing.T) {
	f := newFleet(t, 25, 245)
	f.run(5 * time.Second)
	want := f.publishUpstreams(14)
	f.run(4 * time.Second)
	expectVersion(f, want)
}
