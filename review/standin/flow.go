//go:build review

package main

import (
	"net/netip"
	"syscall"
	"time"
)

// playFlow opens long flows while the machines are stopped and started in turn.
func playFlow(b *bed, trouble bool) error {
	zones := []string{"zone-a", "zone-b", "zone-c"}
	address := netip.MustParseAddrPort("198.18.0.1:8443")
	b.services[address] = "orders"
	if err := b.start(zones, 3, 8, map[string][]int{"orders": {5, 5, 4}}, oneRoute("orders", 2.0, 0.0, 4000)); err != nil {
		return err
	}
	stop := b.load(160, func(c *client) { c.start(address, 2, 1500*time.Millisecond, 4*time.Second) })
	time.Sleep(3 * time.Second)
	end := time.Now().Add(50 * time.Second)
	for n := 0; time.Now().Before(end); n++ {
		if trouble {
			i := b.instances[n%len(b.instances)]
			b.record("SIGTERM to %s", i.name)
			i.signal(syscall.SIGTERM)
		}
		time.Sleep(4 * time.Second)
	}
	stop()
	time.Sleep(7 * time.Second)
	return nil
}
