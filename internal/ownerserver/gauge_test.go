package ownerserver

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/member"
	"github.com/chervilhaven/chervilhaven/internal/ownerrouter"
)

func renderGauges(g *gaugeSet, d *ownerrouter.Dump) string {
	var b bytes.Buffer
	g.write(&b, d)
	return b.String()
}

func TestGaugesMatchDump(t *testing.T) {
	d := &ownerrouter.Dump{
		Serving:  true,
		View:     ownerrouter.ViewDump{Age: "1m30s", Refused: []ownerrouter.RefusedDump{{Key: "moves"}}},
		Platform: ownerrouter.PlatformDump{Contact: "5s"},
		Members:  member.Dump{Members: []member.PeerDump{{Status: "alive"}, {Status: "alive"}, {Status: "dead"}}},
		Balancer: &balancer.Dump{Flows: 3, Upstreams: []balancer.UpstreamDump{{
			Name: "ledger-1", Service: "lot-ledger", Phase: "cold", Limit: 4, Open: 3,
			Classes: []balancer.ClassDump{{Name: "tickets", Met: 7, Missed: 1}},
		}}},
	}
	want := `chervilhaven_flows 3
chervilhaven_peers{status="alive"} 2
chervilhaven_peers{status="dead"} 1
chervilhaven_peers{status="leaving"} 0
chervilhaven_peers{status="suspect"} 0
chervilhaven_platform_age_seconds 5
chervilhaven_serving 1
chervilhaven_upstream_limit{upstream="ledger-1",service="lot-ledger"} 4
chervilhaven_upstream_open_flows{upstream="ledger-1",service="lot-ledger"} 3
chervilhaven_upstream_phase{upstream="ledger-1",service="lot-ledger",phase="cold"} 1
chervilhaven_upstream_phase{upstream="ledger-1",service="lot-ledger",phase="down"} 0
chervilhaven_upstream_phase{upstream="ledger-1",service="lot-ledger",phase="draining"} 0
chervilhaven_upstream_phase{upstream="ledger-1",service="lot-ledger",phase="warm"} 0
chervilhaven_values_refused 1
chervilhaven_view_age_seconds 90
chervilhaven_view_suspect 0
chervilhaven_requests_total{class="tickets",result="met"} 7
chervilhaven_requests_total{class="tickets",result="missed"} 1
`
	if diff := cmp.Diff(want, renderGauges(newGaugeSet(), d)); diff != "" {
		t.Errorf("metrics (-want +got):\n%s", diff)
	}
}

// Prometheus interprets a decreasing counter as a restart of the process.
func TestRequestCountersNeverDecrease(t *testing.T) {
	g := newGaugeSet()
	steps := []struct {
		name      string
		upstreams map[string]uint64
		want      uint64
	}{
		{"first dump", map[string]uint64{"a": 5, "b": 2}, 7},
		{"both increase", map[string]uint64{"a": 6, "b": 4}, 10},
		{"one moves to another owner", map[string]uint64{"a": 6}, 10},
		{"it returns at zero", map[string]uint64{"a": 6, "b": 0}, 10},
		{"it increases again", map[string]uint64{"a": 6, "b": 3}, 13},
		{"one restarts between two dumps", map[string]uint64{"a": 1, "b": 3}, 14},
	}
	for _, s := range steps {
		var upstreams []balancer.UpstreamDump
		for name, met := range s.upstreams {
			upstreams = append(upstreams, balancer.UpstreamDump{Name: name, Classes: []balancer.ClassDump{{Name: "tickets", Met: met}}})
		}
		g.countRequests(upstreams)
		if got := g.requests.GetOrCreateCounter(`chervilhaven_requests_total{class="tickets",result="met"}`).Get(); got != s.want {
			t.Errorf("%s: %d requests met, want %d", s.name, got, s.want)
		}
	}
}
