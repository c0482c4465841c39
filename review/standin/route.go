//go:build review

package main

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"github.com/zeebo/xxh3"
)

// ranked returns the machines by their rank for a service, as internal/tokenrouter computes
// it. The first one places the flows of the service, the next one while it is away.
func (b *bed) ranked(service string) []*instance {
	rank := func(i *instance) uint64 {
		key, _ := netip.AddrPortFrom(i.ip, b.port+10).AppendBinary(nil)
		return xxh3.Hash(binary.BigEndian.AppendUint32(append(key, service...), 0))
	}
	list := slices.Clone(b.instances)
	slices.SortFunc(list, func(x, y *instance) int { return cmp.Compare(rank(y), rank(x)) })
	return list
}

func (b *bed) coordinatorOf(service string) *instance { return b.ranked(service)[0] }

// playRoute kills the only machine of a zone again and again while both services are
// busy, so that now and then flows wait at the coordinator for an endpoint.
func playRoute(b *bed, trouble bool) error {
	zones := []string{"zone-a", "zone-b", "zone-c", "zone-d"}
	b.workTime, b.lastZone = 70*time.Millisecond, true
	for n := range 4 {
		if err := b.addInstance(zones[n], 1); err != nil {
			return err
		}
	}
	victim := b.instances[3]
	var names []string
	for n := 0; len(names) < 2; n++ {
		name := fmt.Sprintf("service-%d", n)
		if c := b.coordinatorOf(name); c != victim && (len(names) == 0 || c == b.coordinatorOf(names[0])) {
			names = append(names, name)
		}
	}
	b.instances = nil
	busy, other := netip.MustParseAddrPort("198.18.0.1:8443"), netip.MustParseAddrPort("198.18.0.2:8443")
	b.services[busy], b.services[other] = names[0], names[1]
	route := func(name, host, service string) any {
		return map[string]any{"name": name, "hostname": host, "prefix": "/8443/", "kind": "unsafe", "timeout-ms": 2000, "target-latency-ms": 200, "priority": 1, "service": service, "attempts": 2}
	}
	service := func(name string) any {
		return map[string]any{"name": name, "health-path": "/health", "max-flows": 2000, "protocol": "h1", "tls": false, "cold-start-s": 2.0, "cold-per-s": 0.0}
	}
	config := map[string]any{
		"version": 7, "routes": []any{route("r-1", "198.18.0.1", names[0]), route("r-2", "198.18.0.2", names[1])},
		"services": []any{service(names[0]), service(names[1])}, "limits": map[string]any{"idle-timeout-ms": 15000},
	}
	if err := b.start(zones, 1, 6, map[string][]int{names[0]: {3, 2, 2, 2}, names[1]: {2, 3, 2, 2}}, config); err != nil {
		return err
	}
	b.record("services %s and %s, both placed by %s; %s is killed", names[0], names[1], b.coordinatorOf(names[0]).name, b.instances[3].name)
	stopBusy := b.load(225, func(c *client) { c.start(busy, 1, 0, 2*time.Second) })
	stopOther := b.load(225, func(c *client) { c.start(other, 1, 0, 2*time.Second) })
	time.Sleep(2 * time.Second)
	for range 25 {
		for n := range 8 {
			if trouble {
				b.record("SIGKILL to %s", b.instances[3].name)
				b.instances[3].signal(syscall.SIGKILL)
			}
			time.Sleep(time.Duration(330+10*n) * time.Millisecond)
		}
		time.Sleep(600 * time.Millisecond)
	}
	stopBusy()
	stopOther()
	time.Sleep(2 * time.Second)
	return nil
}
