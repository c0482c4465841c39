//go:build review

// Command standin plays one case of the review: it starts the processes of the system
// with the command of the deploy file, on loopback addresses, among stand-ins of the
// platform's store and router, of endpoints and of clients. It exits with 1 if a rule was
// broken, 0 if all held and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bed is the deployment of one case.
type bed struct {
	program   string
	dir       string
	port      uint16
	block     byte
	store     *store
	router    *router
	instances []*instance
	workTime  time.Duration
	// lastZone sends a third more of the flows from the last of four zones.
	lastZone bool

	mu          sync.Mutex
	out         *os.File
	begin       time.Time
	random      *rand.Rand
	endpoints   []*endpoint
	clients     []*client
	flows       map[netip.AddrPort]*clientFlow
	requests    map[uint64]*clientFlow
	runs        map[uint64]int
	services    map[netip.AddrPort]string
	lastRequest uint64
	finished    bool
	breaches    int
	failed      bool
	rule        string
	count       struct{ flows, unopened, refused, reset, sent, answered, unanswered, ran, unknown int }
}

func (b *bed) ip(kind, n byte) netip.Addr { return netip.AddrFrom4([4]byte{127, b.block, kind, n}) }

func (b *bed) over() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.finished
}

func (b *bed) recordLocked(format string, args ...any) {
	_, _ = fmt.Fprintf(b.out, "%8.3f  %s\n", time.Since(b.begin).Seconds(), fmt.Sprintf(format, args...))
}

func (b *bed) record(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordLocked(format, args...)
}

func (b *bed) brokenLocked(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if !strings.HasPrefix(text, b.rule) {
		b.recordLocked("beside the case: %s", text)
		return
	}
	b.breaches++
	b.recordLocked("BROKEN %s", text)
}

func (b *bed) broken(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.brokenLocked(format, args...)
}

func (b *bed) cannot(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failed = true
	b.recordLocked("CANNOT RUN "+format, args...)
}

// opened notes that a flow opened at an endpoint.
func (b *bed) opened(e *endpoint, p *packet) {
	if f := b.flows[p.src]; f != nil && f.endpoint == nil {
		f.endpoint, f.openedAt, f.lastOwn = e, time.Now(), time.Now()
	}
}

// owes reports whether the rule FLOW holds for a flow now: its endpoint lives, and had no
// disruption in the last contact-ms, and the flow is not older than flow-lifetime-s.
func (b *bed) owes(f *clientFlow) bool {
	e := f.endpoint
	return e != nil && e.up && time.Since(e.disturbed) > 4*time.Second && time.Since(f.openedAt) < time.Minute
}

const flowReorder = 2000 * time.Millisecond

// arrived notes a packet, other than a SYN, that reached an endpoint, and judges part (b)
// of FLOW: for flow-reorder-ms three or more packets of an open flow reach other
// endpoints and none its own.
func (b *bed) arrived(e *endpoint, p *packet, from netip.AddrPort) {
	f := b.flows[p.src]
	if f == nil || f.endpoint == nil || f.dst != p.dst || b.rule != "FLOW" {
		return
	}
	now := time.Now()
	if f.endpoint == e {
		f.lastOwn, f.foreign = now, 0
		return
	}
	if f.foreign++; f.foreign > 1 {
		if f.foreign <= 5 {
			b.recordLocked("packet %d of %s, open at %s, reaches %s, through %s", f.foreign, f.src, f.endpoint.id, e.id, from)
		}
		return
	}
	f.firstForeign = now
	b.recordLocked("packet of %s, open at %s, reaches %s instead, through %s", f.src, f.endpoint.id, e.id, from)
	time.AfterFunc(flowReorder, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if f.firstForeign == now && f.foreign >= 3 && !f.judged && b.owes(f) {
			f.judged = true
			b.brokenLocked("FLOW (b): for 2 s, %d packets of %s, open at %s since %s, reached other endpoints and none its own",
				f.foreign, f.src, f.endpoint.id, time.Since(f.openedAt).Round(time.Millisecond))
		}
	})
}

// ran notes that an endpoint began to work on a request.
func (b *bed) ran(e *endpoint, p *packet, id uint64) {
	b.count.ran++
	b.runs[id]++
	if f := b.requests[id]; f == nil || f.src != p.src {
		b.brokenLocked("UNASKED: %s runs request %d, which %s did not send", e.id, id, p.src)
	}
	if service := b.services[p.dst]; service != e.service {
		b.brokenLocked("ROUTE: %s of service %s runs request %d of %s for %s, an address of service %q", e.id, e.service, id, p.src, p.dst, service)
	}
	if b.runs[id] > 1 {
		b.brokenLocked("request %d ran %d times", id, b.runs[id])
	}
}

// freePort returns the first of a range of ports that are free on the block's addresses.
func (b *bed) freePort() error {
	for range 50 {
		b.block = byte(16 + b.random.IntN(200))
		b.port = uint16(20000 + b.random.IntN(10000))
		free := true
		for _, port := range []uint16{b.port, b.port + 1, b.port + 2, b.port + 10, 9464} {
			l, err := net.Listen("tcp4", netip.AddrPortFrom(b.ip(1, 1), port).String())
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func (b *bed) close() {
	b.mu.Lock()
	b.finished = true
	b.mu.Unlock()
	for _, i := range b.instances {
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGKILL)
	}
	time.Sleep(100 * time.Millisecond)
}

// start starts the deployment: zones with machines and endpoints, clients, and the
// first configuration.
func (b *bed) start(zones []string, machines, clients int, places map[string][]int, config map[string]any) error {
	var err error
	if b.store, err = newStore(b.ip(9, 1)); err != nil {
		return err
	}
	s, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(b.ip(4, 1), 0)))
	if err != nil {
		return err
	}
	b.router = &router{b, s}
	b.store.put("op/config", config)
	for service, counts := range places {
		for z, n := range counts {
			for range n {
				if _, err := b.addEndpoint(service, zones[z]); err != nil {
					return err
				}
			}
		}
	}
	for _, z := range zones {
		for n := range machines {
			if err := b.addInstance(z, n+1); err != nil {
				return err
			}
		}
		for range clients {
			if err := b.addClient(z); err != nil {
				return err
			}
		}
	}
	seeds := []*instance{b.instances[0], b.instances[machines], b.instances[len(b.instances)-1]}
	for _, i := range b.instances {
		if err := i.writeSettings(seeds); err != nil {
			return err
		}
	}
	for _, i := range b.instances {
		go i.supervise()
		go i.probe()
	}
	time.Sleep(3 * time.Second)
	for _, i := range b.instances {
		if !i.isInUse() {
			return fmt.Errorf("%s is not ready after 3 s", i.name)
		}
	}
	return nil
}

// load opens flows at a rate until the end. The interval is that between two flows of
// one zone.
func (b *bed) load(rate float64, open func(c *client)) (stop func()) {
	done := make(chan struct{})
	go func() {
		next := time.Now()
		for {
			next = next.Add(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
			select {
			case <-time.After(time.Until(next)):
			case <-done:
				return
			}
			b.mu.Lock()
			c := b.clients[b.random.IntN(len(b.clients))]
			if b.lastZone && b.random.IntN(3) == 0 {
				c = b.clients[len(b.clients)-1-b.random.IntN(len(b.clients)/4)]
			}
			open(c)
			b.mu.Unlock()
		}
	}()
	return func() { close(done) }
}

// waves opens a number of flows at once, again and again until the end.
func (b *bed) waves(flows int, pause time.Duration, open func(c *client)) (stop func()) {
	done := make(chan struct{})
	go func() {
		t := time.NewTicker(pause)
		defer t.Stop()
		for {
			select {
			case <-t.C:
			case <-done:
				return
			}
			b.mu.Lock()
			for range flows {
				open(b.clients[b.random.IntN(len(b.clients))])
			}
			b.mu.Unlock()
		}
	}()
	return func() { close(done) }
}

func main() {
	name := flag.String("case", "", "case to play")
	program := flag.String("program", "target/chervilhaven-platform", "program of the deploy file")
	dir := flag.String("dir", "", "temporary folder")
	out := flag.String("record", "", "record file")
	trouble := flag.Bool("trouble", true, "with the disruption")
	seed := flag.Uint64("seed", uint64(time.Now().UnixNano()), "seed of the traffic")
	flag.Parse()
	file, err := os.Create(*out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	b := &bed{
		program: *program, dir: *dir, out: file, begin: time.Now(), random: rand.New(rand.NewPCG(*seed, uint64(os.Getpid()))), workTime: 20 * time.Millisecond,
		flows: map[netip.AddrPort]*clientFlow{}, requests: map[uint64]*clientFlow{}, runs: map[uint64]int{}, services: map[netip.AddrPort]string{},
	}
	type play struct {
		rule string
		run  func(*bed, bool) error
	}
	chosen, ok := map[string]play{
		"recover": {"RECOVER", playRecover}, "flow": {"FLOW", playFlow}, "route": {"ROUTE", playRoute}, "cold": {"FAILBACK", playCold},
	}[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	b.rule = chosen.rule
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-stopped
		b.close()
		os.Exit(2)
	}()
	b.record("case %s, seed %d, disruption %t", *name, *seed, *trouble)
	if err = b.freePort(); err == nil {
		err = chosen.run(b, *trouble)
	}
	b.close()
	if err != nil {
		b.cannot("%v", err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.count
	summary := fmt.Sprintf("flows %d, never opened %d, refused %d, reset by their endpoint %d; requests sent %d, run %d, answered %d, never answered %d; breaches %d",
		c.flows, c.unopened, c.refused, c.reset, c.sent, c.ran, c.answered, c.unanswered, b.breaches)
	b.recordLocked("%s", summary)
	fmt.Println(summary)
	switch {
	case b.failed:
		os.Exit(2)
	case b.breaches > 0:
		os.Exit(1)
	}
}
