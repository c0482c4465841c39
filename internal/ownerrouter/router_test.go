package ownerrouter

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/chervilhaven/chervilhaven/internal/view"
)

func versionsInForce(f *fleet) map[string]view.Version {
	out := make(map[string]view.Version)
	for _, h := range f.hosts {
		if h.up && h.view != nil {
			out[h.config.Name] = h.view.Version
		}
	}
	return out
}

// expectVersion fails the test unless all running hosts serve the given version
// and none has reverted to an older one.
func expectVersion(f *fleet, want view.Version) {
	f.t.Helper()
	wanted := make(map[string]view.Version)
	for _, h := range f.hosts {
		if h.up {
			wanted[h.config.Name] = want
		}
		if h.regressed {
			f.t.Errorf("%s: configuration reverted to an older version", h.config.Name)
		}
	}
	if d := cmp.Diff(wanted, versionsInForce(f)); d != "" {
		f.t.Errorf("versions in force (-want +got):\n%s", d)
	}
}

func TestNewFleetServesAndListsAllMembers(t *testing.T) {
	f := newFleet(t, 1, 2, 2, 2, 2)
	want := f.publishUpstreams(14)
	f.run(3 * time.Second)
	expectVersion(f, want)
	for _, h := range f.hosts {
		if d := cmp.Diff(len(f.hosts), len(h.live)); d != "" {
			t.Errorf("%s: live members (-want +got):\n%s", h.config.Name, d)
		}
	}
}

func TestPublishedConfigurationIsInForceEverywhereWithinSeconds(t *testing.T) {
	f := newFleet(t, 2, 12, 12, 12, 12)
	f.run(20 * time.Second)
	want := f.publishUpstreams(14)
	f.run(5 * time.Second)
	expectVersion(f, want)
}
