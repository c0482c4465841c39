//go:build review

package main

import (
	"fmt"
	"net/netip"
	"syscall"
	"time"
)

// tally counts requests that clients tried and those that were served.
type tally struct{ tried, served int }

func (b *bed) tally() tally {
	b.mu.Lock()
	defer b.mu.Unlock()
	return tally{b.count.sent + b.count.unopened + b.count.refused, b.count.answered}
}

func (t tally) since(s tally) tally { return tally{t.tried - s.tried, t.served - s.served} }

func (t tally) share() float64 { return float64(t.served) / float64(max(t.tried, 1)) }

// playRecover kills all processes, as the final fault of a day, and stops and starts one
// machine when the others are back. It counts what is served of the requests that are
// sent later than recovery-s after all machines are back.
func playRecover(b *bed, trouble bool) error {
	const recovery = 12 * time.Second
	zones := []string{"zone-a", "zone-b", "zone-c"}
	address := netip.MustParseAddrPort("198.18.0.1:8443")
	for n := range 9 {
		if err := b.addInstance(zones[n/3], n%3+1); err != nil {
			return err
		}
	}
	// Names are drawn anew for each day. This one makes a machine of the first zone place
	// the flows of the service.
	name := "orders"
	for n := 0; b.coordinatorOf(name).zone != zones[0]; n++ {
		name = fmt.Sprintf("orders-%d", n)
	}
	b.instances = nil
	b.services[address] = name
	if err := b.start(zones, 3, 8, map[string][]int{name: {5, 5, 4}}, oneRoute(name, 2.0, 0.0, 4000)); err != nil {
		return err
	}
	open := func(c *client) { c.start(address, 1, 0, 4*time.Second).linger = 1500 * time.Millisecond }
	// The traffic rises, then clients come in waves, 120 of them twice a second.
	quiet := b.load(60, open)
	time.Sleep(4 * time.Second)
	quiet()
	stop := b.waves(120, 500*time.Millisecond, open)
	time.Sleep(4 * time.Second)
	start := b.tally()
	time.Sleep(10 * time.Second)
	before := b.tally().since(start)
	b.record("before the final fault: %d requests, %d served", before.tried, before.served)
	config := oneRoute(name, 2.0, 0.0, 4200)
	config["version"] = 9
	b.store.put("op/config", config)
	if trouble {
		b.record("final fault: SIGKILL to all machines")
		for _, i := range b.instances {
			i.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(4 * time.Second)
	for n := range 6 {
		for _, i := range b.ranked(name)[:1+n%2] {
			if trouble {
				b.record("planned work: SIGTERM to %s", i.name)
				i.signal(syscall.SIGTERM)
			}
			time.Sleep(1200 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		since := b.tally()
		time.Sleep(2 * time.Second)
		if b.tally().since(since).share() < 0.5 {
			break
		}
	}
	for _, i := range b.instances {
		if !i.isInUse() {
			b.record("%s is not in rotation", i.name)
		}
	}
	b.record("all machines are back")
	time.Sleep(recovery)
	start = b.tally()
	last := start
	for range 2 {
		time.Sleep(10 * time.Second)
		now := b.tally()
		part := now.since(last)
		b.record("later than recovery-s: %d requests in 10 s, %d served", part.tried, part.served)
		last = now
	}
	after := last.since(start)
	if before.share() >= 0.25 && after.share() < 0.25 {
		b.broken("RECOVER: of %d requests sent later than 12 s after the machines were back, %d were served (%.0f%%); before the final fault it was %.0f%%",
			after.tried, after.served, 100*after.share(), 100*before.share())
	}
	stop()
	time.Sleep(4500 * time.Millisecond)
	return nil
}

// oneRoute returns a configuration with one route to a service.
func oneRoute(service string, coldS, coldPerS float64, timeoutMS int) map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-1", "hostname": "198.18.0.1", "prefix": "/8443/", "kind": "safe", "timeout-ms": timeoutMS, "target-latency-ms": 300,
			"priority": 1, "service": service, "attempts": 2,
		}},
		"services": []any{map[string]any{
			"name": service, "health-path": "/health", "max-flows": 2000, "protocol": "h1", "tls": false, "cold-start-s": coldS, "cold-per-s": coldPerS,
		}},
		"limits": map[string]any{"idle-timeout-ms": 15000},
	}
}
