package ownerrouter

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/view"
)

func TestWaitingForConfigurationIsLoggedOnce(t *testing.T) {
	rt := New(Config{Name: "a", DataCentre: "north"})
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var got []string
	apply := func(event Event) {
		for _, e := range rt.Apply(now, event) {
			if e.Kind == LogEvent {
				got = append(got, e.Text)
			}
		}
	}
	for tick := range 600 {
		apply(&balancer.Tick{})
		if tick%50 == 49 {
			apply(&PlatformReadFailed{})
		}
		if tick == 300 {
			apply(&balancer.Resumed{Pause: time.Minute})
		}
		now = now.Add(balancer.TickInterval)
	}
	if d := cmp.Diff([]string{"waiting-for-configuration"}, got); d != "" {
		t.Errorf("log events without any response (-want +got):\n%s", d)
	}
	got = nil
	version := view.Version{Generation: 1, Revision: 1}
	apply(&ValuesReceived{Source: FromPlatform, Values: []view.Value{{Key: view.KeyServices, Version: version, Content: []byte(`{"services":[]}`)}}})
	now = now.Add(startupTimeout)
	apply(&balancer.Tick{})
	if d := cmp.Diff([]string{"configuration-changed", "serving", "members-changed"}, got); d != "" {
		t.Errorf("log events after the platform's first response (-want +got):\n%s", d)
	}
}

func TestPauseDuringStartupLeavesNoViewSuspect(t *testing.T) {
	rt := New(Config{Name: "a", DataCentre: "north", Policy: balancer.New(balancer.Config{Self: view.IDFromName("a"), DataCentre: "north"})})
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	rt.Apply(now, &balancer.Tick{})
	now = now.Add(startupTimeout)
	rt.Apply(now, &balancer.Resumed{Pause: startupTimeout})
	content := []byte(`{"services":[]}`)
	rt.Apply(now, &ValuesReceived{Source: FromPlatform, Values: []view.Value{
		{Key: view.KeyServices, Version: view.Version{Generation: 1, Revision: 1}, Content: content},
	}})
	for range 100 {
		now = now.Add(balancer.TickInterval)
		rt.Apply(now, &balancer.Tick{})
	}
	d := rt.Dump()
	if !d.Serving || d.Balancer.Suspect {
		t.Errorf("after startup: serving %t, suspect %t; want serving and not suspect", d.Serving, d.Balancer.Suspect)
	}
}
