package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// Ports of all machines of a run.
const (
	packetsPort   = 8172
	readinessPort = 8167
	controlPort   = 8166
	storePort     = 8169
	endpointPort  = 8367
	internalPort  = 7720
)

const (
	service     = "ledger"
	routePort   = 8443
	idleTimeout = 15 * time.Second
	readyWait   = 20 * time.Second
)

// bed is a small deployment: instances, endpoints, clients, routers and a store.
type bed struct {
	network   string
	folder    string
	record    *record
	store     *store
	route     netip.AddrPort
	zones     []string
	instances []*instance
	endpoints []*endpoint
	clients   []*client
	coldPerS  float64
	coldFor   time.Duration
	done      chan struct{}
}

// address returns an address of the deployment's own loopback network.
func (b *bed) address(group, number int) netip.Addr {
	return netip.MustParseAddr(fmt.Sprintf("%s.%d", b.network, 20*group+number))
}

// freeNetwork returns a loopback network in which nothing listens at the ports.
func freeNetwork() string {
	for {
		network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp4", network+".21:9464")
		if err == nil {
			_ = l.Close()
			return network
		}
	}
}

func newBed(r *record, zones []string, instancesPerZone, endpointsPerZone int) (*bed, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	b := &bed{network: freeNetwork(), folder: folder, record: r, store: newStore(), zones: zones, coldPerS: 5, coldFor: 2 * time.Second, done: make(chan struct{})}
	go b.stopOnSignal()
	b.route = netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), routePort)
	for z, zone := range zones {
		for n := range instancesPerZone {
			ip := b.address(1, z*instancesPerZone+n+1)
			b.instances = append(b.instances, &instance{
				name: fmt.Sprintf("front-%s-%d", zone, n+1), zone: zone, ip: ip, packets: netip.AddrPortFrom(ip, packetsPort),
				readiness: netip.AddrPortFrom(ip, readinessPort), control: netip.AddrPortFrom(ip, controlPort),
			})
		}
		for n := range endpointsPerZone {
			number := uint64(rand.Int64N(1<<40-1) + 1)
			b.endpoints = append(b.endpoints, &endpoint{
				id: fmt.Sprintf("i-%010x", number), number: number, service: service, zone: zone, address: netip.AddrPortFrom(b.address(3, z*endpointsPerZone+n+1), endpointPort),
				slots: 2, work: 20 * time.Millisecond, coldFor: b.coldFor, port: packetsPort, record: r, store: b.store,
			})
		}
		b.clients = append(b.clients, &client{zone: zone, ip: b.address(5, z+1), route: b.route, record: r})
	}
	return b, nil
}

// configure writes the first configuration.
func (b *bed) configure() {
	value, _ := json.Marshal(map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-1", "hostname": b.route.Addr().String(), "prefix": fmt.Sprintf("/%d/", routePort), "kind": "safe", "timeout-ms": 2000,
			"target-latency-ms": 150, "priority": 1, "service": service, "attempts": 2,
		}},
		"services": []any{map[string]any{
			"name": service, "health-path": "/health", "max-flows": 2000, "protocol": "h1", "tls": false, "cold-start-s": b.coldFor.Seconds(), "cold-per-s": b.coldPerS,
		}},
		"limits": map[string]any{"idle-timeout-ms": idleTimeout.Milliseconds()},
	})
	b.store.put("op/config", value)
}

// start starts all parts and waits until all instances are ready.
func (b *bed) start() error {
	address := netip.AddrPortFrom(b.address(0, 1), storePort)
	if _, err := b.store.serve(address.String()); err != nil {
		return err
	}
	b.configure()
	for _, e := range b.endpoints {
		if err := e.start(false); err != nil {
			return err
		}
		time.Sleep(heartbeat / time.Duration(len(b.endpoints)))
	}
	go b.expire()
	var seeds []string
	for _, i := range b.instances[:min(3, len(b.instances))] {
		seeds = append(seeds, `"`+i.control.String()+`"`)
	}
	for _, i := range b.instances {
		if err := i.start(b.folder, i.settings(seeds, address, b.zones)); err != nil {
			return err
		}
	}
	return b.startClients()
}

func (b *bed) startClients() error {
	for _, c := range b.clients {
		var list []*instance
		for _, i := range b.instances {
			if i.zone == c.zone {
				list = append(list, i)
			}
		}
		r, err := newRouter(list)
		if err != nil {
			return err
		}
		c.router = r
		if err := c.start(packetsPort); err != nil {
			return err
		}
		for end := time.Now().Add(readyWait); r.readyCount() < len(list); time.Sleep(probeInterval / 5) {
			if time.Now().After(end) {
				return fmt.Errorf("instances of %s are not ready", c.zone)
			}
		}
	}
	return nil
}

// expire removes entries after three heartbeats of silence.
func (b *bed) expire() {
	for {
		select {
		case <-b.done:
			return
		case <-time.After(heartbeat / 10):
		}
		for _, e := range b.endpoints {
			e.mu.Lock()
			silent := time.Since(e.lastWrite) > missedHeartbeats*heartbeat+heartbeat/2
			e.mu.Unlock()
			if silent {
				b.store.remove("servers/" + e.id)
			}
		}
	}
}

// stopOnSignal ends all processes if this one is to end early.
func (b *bed) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	b.stop()
	os.Exit(failed)
}

// stop ends all processes.
func (b *bed) stop() {
	close(b.done)
	for _, i := range b.instances {
		i.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.folder)
	} else {
		b.record.line("logs in a folder named %s", b.folder[strings.LastIndex(b.folder, "/")+1:])
	}
}
