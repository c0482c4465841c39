package catalog

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func goodConfiguration() *Configuration {
	return &Configuration{
		Version: 7, IdleTimeout: 15 * time.Second,
		Routes: []Route{
			{Address: netip.MustParseAddrPort("198.18.0.1:8443"), Service: "desk", Work: Idempotent, Target: 300 * time.Millisecond, Deadline: 4 * time.Second, Priority: 2},
			{Address: netip.MustParseAddrPort("198.18.0.1:8080"), Service: "desk", Target: 400 * time.Millisecond, Deadline: 5 * time.Second, Priority: 1},
		},
		Services: []Service{{Name: "desk", ColdFor: 2 * time.Second}},
	}
}

func TestCheckFindsWhatCannotWork(t *testing.T) {
	cases := map[string]struct {
		change func(c *Configuration)
		want   []Finding
	}{
		"good": {func(*Configuration) {}, nil},
		"same address": {
			func(c *Configuration) { c.Routes[1].Address = c.Routes[0].Address },
			[]Finding{{Fault, "routes[0]", "never matches: routes[1] has the same address 198.18.0.1:8443"}},
		},
		"no port": {
			func(c *Configuration) { c.Routes[0].Address = netip.AddrPortFrom(c.Routes[0].Address.Addr(), 0) },
			[]Finding{{Fault, "routes[0]", "never matches: no packet is sent to 198.18.0.1:0"}},
		},
		"undeclared service": {
			func(c *Configuration) { c.Routes[1].Service = "house" },
			[]Finding{{Fault, "routes[1]", `service "house" is not declared`}},
		},
		"service without route": {
			func(c *Configuration) { c.Services = append(c.Services, Service{Name: "house", ColdPerSecond: 3}) },
			[]Finding{
				{Warning, "services[1]", `no route leads to service "house"`},
				{Warning, "services[1]", "a rate of cold upstreams without a time for which they are cold has no effect"},
			},
		},
		"service twice": {
			func(c *Configuration) { c.Services = append(c.Services, c.Services[0]) },
			[]Finding{{Fault, "services[1]", `service "desk" is services[0], too`}},
		},
		"target above deadline": {
			func(c *Configuration) { c.Routes[0].Target = 5 * time.Second },
			[]Finding{{Fault, "routes[0]", "the target 5s is above the deadline 4s"}},
		},
		"no times": {
			func(c *Configuration) { c.Routes[0].Target, c.Routes[1].Deadline = 0, 0 },
			[]Finding{
				{Warning, "routes[0]", "the target is 0: each flow that waits counts as late"},
				{Fault, "routes[1]", "the deadline is 0: a flow that has to wait is given up at once"},
			},
		},
		"short idle timeout": {
			func(c *Configuration) { c.IdleTimeout = 4500 * time.Millisecond },
			[]Finding{{Fault, "routes[1]", "the idle timeout 4.5s is below the deadline 5s: a flow may be discarded while its answer is awaited"}},
		},
		"no idle timeout": {
			func(c *Configuration) { c.IdleTimeout = 0 },
			[]Finding{{Warning, "limits", "the idle timeout is 0: work in flows that stay open is not measured"}},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			configuration := goodConfiguration()
			c.change(configuration)
			if d := cmp.Diff(c.want, configuration.Check()); d != "" {
				t.Errorf("findings (-want +got):\n%s", d)
			}
		})
	}
}

func TestCompareNamesWhatChanges(t *testing.T) {
	next := goodConfiguration()
	next.Version, next.Routes[0].Target = 8, 200*time.Millisecond
	next.Routes[1].Address = netip.MustParseAddrPort("198.18.0.2:8080")
	next.Services[0].ColdPerSecond = 3
	want := []Difference{
		{"version", "7", "8"},
		{"service desk", "cold for 2s, 0 a second", "cold for 2s, 3 a second"},
		{"route 198.18.0.1:8080", "service desk, once, target 400ms, deadline 5s, priority 1", ""},
		{"route 198.18.0.1:8443", "service desk, idempotent, target 300ms, deadline 4s, priority 2", "service desk, idempotent, target 200ms, deadline 4s, priority 2"},
		{"route 198.18.0.2:8080", "", "service desk, once, target 400ms, deadline 5s, priority 1"},
	}
	if d := cmp.Diff(want, next.Compare(goodConfiguration())); d != "" {
		t.Errorf("differences (-want +got):\n%s", d)
	}
	same := *next
	if d := cmp.Diff([]Difference(nil), next.Compare(&same)); d != "" {
		t.Errorf("differences from itself (-want +got):\n%s", d)
	}
}
