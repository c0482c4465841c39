package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chervilhaven/chervilhaven/internal/fake/fault"
	"github.com/chervilhaven/chervilhaven/internal/fake/kvstore"
)

const (
	// Callers, processes and upstreams each have a loopback address of their own,
	// so all components of a kind use the same port number.
	callerPort    = 28200
	readinessPort = 28201
	controlPort   = 28202
	peerPort      = 28210
	upstreamPort  = 28300

	coldPerSecond = 20.0
	callerCount   = 8
	// warmUp is the time before the first event.
	warmUp = 3 * time.Second
)

// Config describes one run. All fields except Only are required.
type Config struct {
	Seed      uint64
	Duration  time.Duration
	Processes int
	// Rate is the number of new flows per second.
	Rate float64
	// Program is the path of the chervilhaven-platform binary. Dir is an existing
	// directory for settings and log files.
	Program string
	Dir     string
	// Only restricts the events to the named kinds. Empty allows all.
	Only []string
	// Log is called with one line for each event.
	Log func(format string, args ...any)
}

// Testbed is the deployment of one run: the instance processes and everything
// that is simulated around them.
type Testbed struct {
	config    Config
	random    *rand.Rand
	journal   *journal
	store     *kvstore.Store
	fabric    *fabric
	instances []*instance
	callers   []*caller

	mu        sync.Mutex
	upstreams []*upstream
	// outSince maps each data centre that is out of service to the time of its
	// removal.
	outSince map[string]time.Time
	version  int
	routes   map[netip.AddrPort]string
	// addedAt holds the times at which routes were added after the start.
	addedAt map[netip.AddrPort]time.Time
	// copies are the last copies of the store, oldest first.
	copies []*kvstore.Copy
	// everRouted contains every route of any configuration version.
	everRouted  map[netip.AddrPort]string
	lastRequest uint64

	done  chan struct{}
	tasks sync.WaitGroup
}

// Result counts the flows of a run and lists the violations.
type Result struct {
	Flows      int
	Answered   int
	Violations []Violation
}

// mainRoute and bulkRoute are part of every configuration version.
func mainRoute() netip.AddrPort { return netip.MustParseAddrPort("198.18.0.1:8443") }
func bulkRoute() netip.AddrPort { return netip.MustParseAddrPort("198.18.0.2:8443") }

// streamRoute leads to the service of mainRoute. It is less urgent, and its flows stay open.
func streamRoute() netip.AddrPort { return netip.MustParseAddrPort("198.18.0.3:8443") }

func dataCentres() []string { return []string{"norte", "sur", "office"} }

// Run executes one run. It returns early, with the result so far, if ctx is
// cancelled. Violations are part of the result, not an error.
func Run(ctx context.Context, config Config) (Result, error) {
	s := &Testbed{
		config: config, random: rand.New(rand.NewPCG(config.Seed, 7)), journal: &journal{startedAt: time.Now()}, outSince: make(map[string]time.Time),
		routes: make(map[netip.AddrPort]string), addedAt: make(map[netip.AddrPort]time.Time), everRouted: make(map[netip.AddrPort]string), done: make(chan struct{}),
	}
	defer s.close()
	if err := s.start(); err != nil { //nolint:contextcheck // The proxies are closed with the testbed.
		return Result{}, err
	}
	s.runScenario(ctx)
	return s.journal.result(), nil
}

func (s *Testbed) start() error {
	var err error
	if s.store, err = kvstore.New(netip.MustParseAddr("127.0.0.1")); err != nil {
		return err
	}
	s.tasks.Go(func() { s.reportStandInError("store", s.store.Serve()) })
	s.tasks.Go(s.keepCopies)
	if s.fabric, err = newFabric(); err != nil {
		return err
	}
	s.routes[mainRoute()], s.routes[streamRoute()], s.routes[bulkRoute()] = "desk", "desk", "house"
	s.publish()
	for n := range 12 {
		service := "desk"
		if n%4 == 3 {
			service = "house"
		}
		if err := s.addUpstream(service, dataCentres()[n%3], 0); err != nil {
			return err
		}
	}
	for n := range callerCount {
		c, err := newCaller(s, n)
		if err != nil {
			return err
		}
		s.callers = append(s.callers, c)
		s.tasks.Go(c.serve)
	}
	for n := range s.config.Processes {
		if err := s.addInstance(n); err != nil {
			return err
		}
	}
	return nil
}

func (s *Testbed) addInstance(n int) error {
	proxy, err := fault.New(fault.Config{Address: netip.MustParseAddrPort("127.0.0.1:0"), Target: s.store.Address(), Seed: s.config.Seed + uint64(n)})
	if err != nil {
		return errors.Wrap(err, "start store proxy")
	}
	ip := instanceAddress(n)
	i := &instance{
		testbed: s, index: n, dataCentre: dataCentres()[n%3], proxy: proxy, settings: filepath.Join(s.config.Dir, fmt.Sprintf("instance-%d.toml", n)),
		target: &target{packets: netip.AddrPortFrom(ip, callerPort), readiness: netip.AddrPortFrom(ip, readinessPort)},
	}
	if err := i.writeSettings([]int{0, 1, 2}); err != nil {
		return err
	}
	s.instances = append(s.instances, i)
	s.fabric.mu.Lock()
	s.fabric.targets = append(s.fabric.targets, i.target)
	s.fabric.mu.Unlock()
	s.tasks.Go(func() { s.reportStandInError("proxy", proxy.Run(context.Background())) })
	s.tasks.Go(func() { i.supervise(s.done) })
	s.tasks.Go(func() { s.fabric.probe(i.target, s.done) })
	return nil
}

// reportStandInError records a failure of a simulated component, unless the run is
// over.
func (s *Testbed) reportStandInError(name string, err error) {
	select {
	case <-s.done:
	default:
		if err != nil {
			s.journal.recordViolation("stand-in", "%s: %v", name, err)
		}
	}
}

func (s *Testbed) close() {
	close(s.done)
	for _, i := range s.instances {
		i.stop()
	}
	for _, u := range s.upstreams {
		_ = u.socket.Close() // Ignored: the run is over.
	}
	for _, c := range s.callers {
		_ = c.socket.Close() // Ignored: the run is over.
	}
	for _, i := range s.instances {
		_ = i.proxy.Close() // Ignored: the run is over.
	}
	if s.fabric != nil {
		_ = s.fabric.socket.Close() // Ignored: the run is over.
	}
	if s.store != nil {
		_ = s.store.Close() // Ignored: the run is over.
	}
	s.tasks.Wait()
}

// addUpstream starts an upstream and registers it in the store. It is cold for the
// given time.
func (s *Testbed) addUpstream(service, dataCentre string, cold time.Duration) error {
	s.mu.Lock()
	index := len(s.upstreams)
	s.mu.Unlock()
	u, err := newUpstream(s, index, service, dataCentre)
	if err != nil {
		return err
	}
	u.coldUntil = time.Now().Add(cold)
	s.mu.Lock()
	s.upstreams = append(s.upstreams, u)
	s.mu.Unlock()
	s.tasks.Go(u.serve)
	s.store.Put("servers/"+u.id, []byte(u.entry("ready", cold)))
	return nil
}

// publish writes a new version of the whole configuration to the store.
func (s *Testbed) publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 1 + s.random.IntN(3)
	s.writeConfiguration()
}

// writeConfiguration writes the current version of the configuration to the store. The
// caller holds the lock.
func (s *Testbed) writeConfiguration() {
	type route struct {
		Hostname string `json:"hostname"`
		Prefix   string `json:"prefix"`
		Kind     string `json:"kind"`
		Timeout  int    `json:"timeout-ms"`
		Target   int    `json:"target-latency-ms"`
		Priority int    `json:"priority"`
		Service  string `json:"service"`
	}
	type service struct {
		Name      string  `json:"name"`
		ColdStart float64 `json:"cold-start-s"`
		ColdPerS  float64 `json:"cold-per-s"`
	}
	var routes []route
	for a, name := range s.routes {
		s.everRouted[a] = name
		kind, priority := "unsafe", 1
		if a == streamRoute() {
			kind, priority = "safe", 2
		}
		routes = append(routes, route{a.Addr().String(), fmt.Sprintf("/%d/", a.Port()), kind, 1400, 100, priority, name})
	}
	content, err := json.Marshal(map[string]any{
		"version": s.version, "routes": routes, "services": []service{{"desk", coldPeriod.Seconds(), coldPerSecond}, {"house", coldPeriod.Seconds(), coldPerSecond}},
		"limits": map[string]int{"idle-timeout-ms": 15000},
	})
	if err != nil {
		s.journal.recordViolation("stand-in", "configuration: %v", err)
		return
	}
	s.store.Put("op/config", content)
}

// everRoutedService returns the service of an address that is or was routed.
func (s *Testbed) everRoutedService(a netip.AddrPort) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	service, ok := s.everRouted[a]
	return service, ok
}

func (s *Testbed) dataCentreOutSince(dataCentre string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outSince[dataCentre]
}

// checkRequestSent checks that a caller sent the request that an upstream runs.
// Request numbers are consecutive.
func (s *Testbed) checkRequestSent(u *upstream, request uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if request > s.lastRequest {
		s.journal.recordViolation(guaranteeUnasked, "%s runs request %d, which no caller sent", u.id, request)
	}
}

// withFlow calls a function with the caller's flow that a packet belongs to, if it has
// not ended.
func (s *Testbed) withFlow(p *packet, use func(*flow)) {
	for _, c := range s.callers {
		if c.address != p.source.Addr() {
			continue
		}
		c.mu.Lock()
		if f := c.flows[p.source.Port()]; f != nil {
			use(f)
		}
		c.mu.Unlock()
	}
}

// recordRouted records that a packet of a flow reached its own upstream.
func (s *Testbed) recordRouted(p *packet) {
	s.withFlow(p, func(f *flow) { f.misroutedPackets = 0 })
}

// recordMisrouted counts a packet that reached an upstream other than the one
// that its flow was established with.
func (s *Testbed) recordMisrouted(u *upstream, p *packet) {
	s.withFlow(p, func(f *flow) {
		// With packet loss, a caller may retransmit a packet with the token from a
		// late response of another upstream.
		if !f.isMisrouted(u.number) || f.reported || !s.journal.undisturbedFor(0) {
			return
		}
		f.reported = true
		s.journal.recordViolation(guaranteeFlow, "%d packets of %s reached %s instead of its own upstream", misroutedThreshold, p.source, u.id)
	})
}

// upstreamAlive reports whether an upstream with this number exists and has not
// crashed. number is the low 32 bits.
func (s *Testbed) upstreamAlive(number uint32) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.upstreams {
		if uint32(u.number) == number {
			return !u.crashed.Load()
		}
	}
	return false
}

// openFlowFromRandomCaller opens a flow from a random caller.
func (s *Testbed) openFlowFromRandomCaller(destination netip.AddrPort, onOutcome func(outcome)) {
	s.callers[rand.IntN(len(s.callers))].openFlow(destination, s.nextRequest(), onOutcome)
}

// nextRequest returns the number of a new request.
func (s *Testbed) nextRequest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRequest++
	return s.lastRequest
}

// generateLoad opens flows at the configured rate until done is closed. Every sixth
// flow goes to bulkRoute, every fourth to streamRoute.
func (s *Testbed) generateLoad(done <-chan struct{}) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / s.config.Rate))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
		case <-done:
			return
		}
		destination := mainRoute()
		switch {
		case n%6 == 5:
			destination = bulkRoute()
		case n%4 == 3:
			destination = streamRoute()
		}
		s.journal.recordFlowStart()
		s.openFlowFromRandomCaller(destination, func(o outcome) {
			if o == outcomeAnswered {
				s.journal.recordResponse()
			}
		})
	}
}
