package ownerserver

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/limit"
	"github.com/chervilhaven/chervilhaven/internal/member"
	"github.com/chervilhaven/chervilhaven/internal/ownerrouter"
)

// dumpTimeout limits the time for which a scrape waits for the event loop to
// produce a dump.
const dumpTimeout = 2 * time.Second

// gaugeSet converts dumps of the router to metrics during a scrape, so that
// packet processing does not pay for them.
type gaugeSet struct {
	mu sync.Mutex
	// requests holds counters, which must persist between scrapes.
	requests *metrics.Set
	// lastCounts holds the counts of the last dump.
	lastCounts map[upstreamClass]requestCounts
}

type upstreamClass struct{ upstream, class string }

// requestCounts counts the requests that met and missed their target.
type requestCounts struct{ met, missed uint64 }

func newGaugeSet() *gaugeSet {
	return &gaugeSet{requests: metrics.NewSet()}
}

// scrape writes the metrics of the instance. It omits those of the router if
// the event loop does not respond within dumpTimeout.
func (h *inspectHandler) scrape(ctx context.Context, w io.Writer) {
	s := h.server
	s.metrics.write(w)
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	var state any
	if err := h.runOnLoop(ctx, func() { state = s.router.Dump() }); err != nil {
		return
	}
	if d, ok := state.(ownerrouter.Dump); ok {
		s.gauges.write(w, &d)
	}
}

// write writes the metrics derived from a dump in Prometheus format.
func (g *gaugeSet) write(w io.Writer, d *ownerrouter.Dump) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := metrics.NewSet()
	set(s, boolean(d.Serving), "chervilhaven_serving")
	set(s, boolean(d.View.Suspect), "chervilhaven_view_suspect")
	set(s, float64(len(d.View.Refused)), "chervilhaven_values_refused")
	setAge(s, d.View.Age, "chervilhaven_view_age_seconds")
	setAge(s, d.Platform.Contact, "chervilhaven_platform_age_seconds")
	setPeers(s, d.Members.Members)
	if d.Balancer != nil {
		set(s, float64(d.Balancer.Flows), "chervilhaven_flows")
		for _, u := range d.Balancer.Upstreams {
			setUpstream(s, &u)
		}
		g.countRequests(d.Balancer.Upstreams)
	}
	s.WritePrometheus(w)
	g.requests.WritePrometheus(w)
}

func setPeers(s *metrics.Set, peers []member.PeerDump) {
	count := make(map[string]int)
	for _, p := range peers {
		count[p.Status]++
	}
	for status := member.Alive; status <= member.Leaving; status++ {
		set(s, float64(count[status.String()]), "chervilhaven_peers{status=%q}", status.String())
	}
}

func setUpstream(s *metrics.Set, u *balancer.UpstreamDump) {
	set(s, float64(u.Limit), "chervilhaven_upstream_limit{upstream=%q,service=%q}", u.Name, u.Service)
	set(s, float64(u.Open), "chervilhaven_upstream_open_flows{upstream=%q,service=%q}", u.Name, u.Service)
	for phase := limit.Cold; phase <= limit.Down; phase++ {
		set(s, boolean(u.Phase == phase.String()),
			"chervilhaven_upstream_phase{upstream=%q,service=%q,phase=%q}", u.Name, u.Service, phase.String())
	}
}

// countRequests adds the increase of the request counts since the last dump.
// The counters thus keep the requests of upstreams that have since moved to
// another owner.
func (g *gaugeSet) countRequests(upstreams []balancer.UpstreamDump) {
	seen := make(map[upstreamClass]requestCounts)
	for _, u := range upstreams {
		for _, c := range u.Classes {
			key, now := upstreamClass{u.Name, c.Name}, requestCounts{c.Met, c.Missed}
			last := g.lastCounts[key]
			g.count(c.Name, "met", counterDelta(last.met, now.met))
			g.count(c.Name, "missed", counterDelta(last.missed, now.missed))
			seen[key] = now
		}
	}
	g.lastCounts = seen
}

func (g *gaugeSet) count(class, result string, n uint64) {
	g.requests.GetOrCreateCounter(fmt.Sprintf("chervilhaven_requests_total{class=%q,result=%q}", class, result)).AddInt64(int64(n))
}

// counterDelta returns the increase of a count, which restarts at zero when the
// upstream changes its owner.
func counterDelta(last, now uint64) uint64 {
	if now < last {
		return now
	}
	return now - last
}

func set(s *metrics.Set, value float64, format string, labels ...any) {
	s.NewGauge(fmt.Sprintf(format, labels...), nil).Set(value)
}

// setAge sets the gauge to an age in seconds and omits it if the dump does not
// contain the age.
func setAge(s *metrics.Set, age, name string) {
	if d, err := time.ParseDuration(age); err == nil {
		s.NewGauge(name, nil).Set(d.Seconds())
	}
}

func boolean(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
