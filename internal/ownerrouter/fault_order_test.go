package ownerrouter

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/chervilhaven/chervilhaven/internal/view"
)

// maxFaults is the maximum number of faults injected into one fleet.
const maxFaults = 12

// No sequence of faults may make an instance revert to an older configuration.
// When all faults have ended, all instances must converge on the newest one.
func TestVersionsNeverRevertInAnyOrderOfFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := newFleet(t, rapid.Uint64().Draw(r, "seed"), 2, 2, 2)
		newest := f.platform.newest
		old := f.platform.copy()
		cutOff := ""
		f.partitioned = func(a, b *host) bool {
			return (a.config.DataCentre == cutOff) != (b.config.DataCentre == cutOff)
		}
		for range rapid.IntRange(1, maxFaults).Draw(r, "steps") {
			h := f.hosts[rapid.IntRange(0, len(f.hosts)-1).Draw(r, "host")]
			name := h.config.Name
			switch rapid.IntRange(0, 9).Draw(r, "fault") {
			case 0, 1:
				newest = f.publishUpstreams(rapid.IntRange(1, 20).Draw(r, "upstreams"))
			case 2:
				old = f.platform.copy()
			case 3:
				f.platform.stale[name] = old
			case 4:
				f.platform.down[name] = !f.platform.down[name]
			case 5:
				if h.up && h.pausedAt.IsZero() {
					f.pause(h)
				}
			case 6:
				if !h.pausedAt.IsZero() {
					f.resume(h)
				}
			case 7:
				h.up = false
			case 8:
				if h.pausedAt.IsZero() {
					f.restart(h)
				}
			case 9:
				cutOff = rapid.SampledFrom([]string{"", "dc0", "dc1", "dc2"}).Draw(r, "cut")
			}
			f.run(time.Duration(rapid.IntRange(0, 4000).Draw(r, "milliseconds")) * time.Millisecond)
		}
		cutOff = ""
		f.heal()
		f.run(time.Minute)
		want := make(map[string]view.Version)
		for _, h := range f.hosts {
			want[h.config.Name] = newest
			if h.regressed {
				r.Errorf("%s reverted to an older configuration", h.config.Name)
			}
		}
		if d := cmp.Diff(want, versionsInForce(f)); d != "" {
			r.Errorf("versions in force (-want +got):\n%s", d)
		}
		for _, h := range f.hosts {
			if d := cmp.Diff(len(f.hosts), len(h.live)); d != "" {
				r.Errorf("%s: live members (-want +got):\n%s", h.config.Name, d)
			}
		}
	})
}

// heal ends all faults.
func (f *fleet) heal() {
	clear(f.platform.down)
	clear(f.platform.stale)
	for _, h := range f.hosts {
		if !h.pausedAt.IsZero() {
			f.resume(h)
		}
		if !h.up {
			f.restart(h)
		}
	}
}
