//go:build review

package main

import (
	"net/netip"
	"time"
)

// playCold lets endpoints crash and start again under their ids while the store is down.
// The configuration says what a cold endpoint bears.
func playCold(b *bed, trouble bool) error {
	const (
		coldFor  = 6 * time.Second
		coldRate = 6.0
		// The bound of FAILBACK: cold-per-s x cold-overage + cold-slack.
		bound = coldRate*1.5 + 5
	)
	zones := []string{"zone-a", "zone-b", "zone-c"}
	address := netip.MustParseAddrPort("198.18.0.1:8443")
	b.services[address] = "orders"
	b.workTime = 30 * time.Millisecond
	if err := b.start(zones, 3, 8, map[string][]int{"orders": {5, 5, 4}}, oneRoute("orders", coldFor.Seconds(), coldRate, 1500)); err != nil {
		return err
	}
	stop := b.load(374, func(c *client) { c.start(address, 1, 0, 1500*time.Millisecond) })
	time.Sleep(3 * time.Second)
	for n := range 4 {
		e := b.endpoints[3*n]
		if trouble {
			b.record("the store is silent")
			b.store.setSilent(true)
		}
		time.Sleep(300 * time.Millisecond)
		if trouble {
			e.crash()
		}
		time.Sleep(1500 * time.Millisecond)
		if trouble {
			e.restart(coldFor)
		}
		time.Sleep(2700 * time.Millisecond)
		if trouble {
			b.store.setSilent(false)
			b.record("the store serves again")
		}
		time.Sleep(8 * time.Second)
		b.mu.Lock()
		b.recordLocked("%s, cold: at most %d opening packets in one second; the bound is %.0f", e.id, e.worstCold, bound)
		if float64(e.worstCold) > bound {
			b.brokenLocked("FAILBACK: %s got %d requests in one second while it was cold; the bound is %.0f", e.id, e.worstCold, bound)
		}
		b.mu.Unlock()
	}
	stop()
	time.Sleep(2 * time.Second)
	return nil
}
