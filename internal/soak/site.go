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

// Ports, each on addresses of its own.
const (
	callerPort    = 28200
	readinessPort = 28201
	controlPort   = 28202
	peerPort      = 28210
	upstreamPort  = 28300

	coldPerSecond = 20.0
	callers       = 8
	// warmUp is the time before faults begin.
	warmUp = 3 * time.Second
)

// Config describes one run.
type Config struct {
	Seed      uint64
	Duration  time.Duration
	Processes int
	// Rate is the number of flows a second.
	Rate float64
	// Program is the path of chervilhaven-platform, Dir a folder for settings
	// and logs.
	Program string
	Dir     string
	// Only restricts what happens to the named kinds.
	Only []string
	// Log takes a line for each fault.
	Log func(format string, args ...any)
}

// Site is everything that a run plays.
type Site struct {
	config    Config
	random    *rand.Rand
	journal   *journal
	store     *kvstore.Store
	fabric    *fabric
	instances []*instance
	callers   []*caller

	mu        sync.Mutex
	upstreams []*upstream
	// out are the times at which data centres were taken out.
	out     map[string]time.Time
	version int
	routes  map[netip.AddrPort]string
	// ever are all routes that any version had.
	ever    map[netip.AddrPort]string
	request uint64

	done  chan struct{}
	tasks sync.WaitGroup
}

// Result is what a run saw.
type Result struct {
	Flows    int
	Answered int
	Breaks   []Break
}

// mainRoute and bulkRoute are the routes that all versions have.
func mainRoute() netip.AddrPort { return netip.MustParseAddrPort("198.18.0.1:8443") }
func bulkRoute() netip.AddrPort { return netip.MustParseAddrPort("198.18.0.2:8443") }

func dataCentres() []string { return []string{"norte", "sur", "office"} }

// Run plays one run.
func Run(ctx context.Context, c Config) (Result, error) {
	s := &Site{
		config: c, random: rand.New(rand.NewPCG(c.Seed, 7)), journal: &journal{begun: time.Now()}, out: make(map[string]time.Time),
		routes: make(map[netip.AddrPort]string), ever: make(map[netip.AddrPort]string), done: make(chan struct{}),
	}
	defer s.close()
	if err := s.start(); err != nil { //nolint:contextcheck // The proxies end with the site.
		return Result{}, err
	}
	s.play(ctx)
	return Result{Flows: s.journal.begunFlow, Answered: s.journal.answered, Breaks: s.journal.list()}, nil
}

func (s *Site) start() error {
	var err error
	if s.store, err = kvstore.New(netip.MustParseAddr("127.0.0.1")); err != nil {
		return err
	}
	s.tasks.Go(func() { s.note("store", s.store.Serve()) })
	if s.fabric, err = newFabric(); err != nil {
		return err
	}
	s.routes[mainRoute()], s.routes[bulkRoute()] = "desk", "house"
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
	for n := range callers {
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

func (s *Site) addInstance(n int) error {
	proxy, err := fault.New(fault.Config{Address: netip.MustParseAddrPort("127.0.0.1:0"), Target: s.store.Address(), Seed: s.config.Seed + uint64(n)})
	if err != nil {
		return errors.Wrap(err, "proxy of the store")
	}
	ip := instanceAddress(n)
	i := &instance{
		site: s, index: n, dataCentre: dataCentres()[n%3], proxy: proxy, settings: filepath.Join(s.config.Dir, fmt.Sprintf("instance-%d.toml", n)),
		target: &target{packets: netip.AddrPortFrom(ip, callerPort), readiness: netip.AddrPortFrom(ip, readinessPort)},
	}
	if err := i.write([]int{0, 1, 2}); err != nil {
		return err
	}
	s.instances = append(s.instances, i)
	s.fabric.mu.Lock()
	s.fabric.targets = append(s.fabric.targets, i.target)
	s.fabric.mu.Unlock()
	s.tasks.Go(func() { s.note("proxy", proxy.Run(context.Background())) })
	s.tasks.Go(func() { i.supervise(s.done) })
	s.tasks.Go(func() { s.fabric.probe(i.target, s.done) })
	return nil
}

// note reports a stand-in that failed before the end.
func (s *Site) note(what string, err error) {
	select {
	case <-s.done:
	default:
		if err != nil {
			s.journal.broke("stand-in", "%s: %v", what, err)
		}
	}
}

func (s *Site) close() {
	close(s.done)
	for _, i := range s.instances {
		i.stop()
	}
	for _, u := range s.upstreams {
		_ = u.socket.Close() // The run is over.
	}
	for _, c := range s.callers {
		_ = c.socket.Close() // The run is over.
	}
	for _, i := range s.instances {
		_ = i.proxy.Close() // The run is over.
	}
	if s.fabric != nil {
		_ = s.fabric.socket.Close() // The run is over.
	}
	if s.store != nil {
		_ = s.store.Close() // The run is over.
	}
	s.tasks.Wait()
}

// addUpstream starts an upstream and writes its entry.
func (s *Site) addUpstream(service, dataCentre string, cold time.Duration) error {
	s.mu.Lock()
	index := len(s.upstreams)
	s.mu.Unlock()
	u, err := newUpstream(s, index, service, dataCentre)
	if err != nil {
		return err
	}
	u.cold = time.Now().Add(cold)
	s.mu.Lock()
	s.upstreams = append(s.upstreams, u)
	s.mu.Unlock()
	s.tasks.Go(u.serve)
	s.store.Put("servers/"+u.id, []byte(u.entry("ready", cold)))
	return nil
}

// publish writes the configuration in full.
func (s *Site) publish() {
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
		Name string  `json:"name"`
		Cold float64 `json:"cold-per-s"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 1 + s.random.IntN(3)
	var routes []route
	for a, name := range s.routes {
		s.ever[a] = name
		routes = append(routes, route{a.Addr().String(), fmt.Sprintf("/%d/", a.Port()), "unsafe", 1400, 100, 1, name})
	}
	content, err := json.Marshal(map[string]any{
		"version": s.version, "routes": routes, "services": []service{{"desk", coldPerSecond}, {"house", coldPerSecond}},
		"limits": map[string]int{"idle-timeout-ms": 15000},
	})
	if err != nil {
		s.journal.broke("stand-in", "configuration: %v", err)
		return
	}
	s.store.Put("op/config", content)
}

// serviceEver returns the service of a route that any version had.
func (s *Site) serviceEver(a netip.AddrPort) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	service, ok := s.ever[a]
	return service, ok
}

func (s *Site) outSince(dataCentre string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out[dataCentre]
}

// run checks that somebody sent the request that an upstream runs.
func (s *Site) run(u *upstream, request uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if request > s.request {
		s.journal.broke(promiseUnasked, "%s runs request %d that nobody sent", u.id, request)
	}
}

// stray notes a packet of a flow at an upstream that does not hold it.
func (s *Site) stray(u *upstream, p *packet) {
	for _, c := range s.callers {
		if c.address != p.source.Addr() {
			continue
		}
		c.mu.Lock()
		f := c.flows[p.source.Port()]
		broken := false
		if f != nil && !f.opened.IsZero() && f.upstream != uint32(u.number) && s.alive(f.upstream) {
			f.strays++
			broken = f.strays >= flowStrays && time.Since(f.opened) <= flowWindow
		}
		c.mu.Unlock()
		// Where packets are lost, a caller may repeat one with the token of
		// another upstream's late answer.
		if broken && s.journal.settled(0) {
			s.journal.broke(promiseFlow, "%d packets of %s reached %s and not its upstream", flowStrays, p.source, u.id)
		}
	}
}

// alive tells whether the upstream of a number lives.
func (s *Site) alive(number uint32) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.upstreams {
		if uint32(u.number) == number {
			return !u.crashed.Load()
		}
	}
	return false
}

// call opens a flow from any caller.
func (s *Site) call(destination netip.AddrPort, result func(outcome)) {
	s.mu.Lock()
	s.request++
	request := s.request
	s.mu.Unlock()
	s.callers[rand.IntN(len(s.callers))].call(destination, request, result)
}

// load opens flows until the end of the run.
func (s *Site) load(done <-chan struct{}) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / s.config.Rate))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
		case <-done:
			return
		}
		destination := mainRoute()
		if n%6 == 5 {
			destination = bulkRoute()
		}
		s.journal.beginFlow()
		s.call(destination, func(o outcome) {
			if o == answered {
				s.journal.answer()
			}
		})
	}
}
