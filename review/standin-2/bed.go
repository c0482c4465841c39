package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"
)

// zonePlan is a zone of a deployment.
type zonePlan struct {
	name                 string
	instances, endpoints int
}

// bed is a small deployment: instances of the system as processes, and stand-ins for the
// store, the routers, the endpoints and the clients, all on loopback addresses.
type bed struct {
	net           byte
	packetsPort   uint16
	readinessPort uint16
	controlPort   uint16
	internalPort  uint16
	endpointPort  uint16
	storeAddress  netip.AddrPort
	route         netip.AddrPort
	service       string
	kind          string
	deadline      time.Duration
	// lossEvery is the number of answers to opening packets of which the network loses
	// one, 0 for none.
	lossEvery uint64
	answers   atomic.Uint64
	// long says which requests take about a second, nil for none. If it is set, endpoints
	// acknowledge a request of one packet with its response only.
	long func(id uint64) bool

	dir       string
	store     *store
	router    *router
	instances []*instance
	endpoints []*endpoint
	clients   map[string][]*client
	record    *recorder
	judge     *judge
}

func newBed(plan []zonePlan, kind string, deadline time.Duration) (*bed, error) {
	b := &bed{
		service: "ledger", kind: kind, deadline: deadline, clients: make(map[string][]*client), record: newRecorder(),
	}
	b.judge = newJudge(b)
	command, err := deployCommand()
	if err != nil {
		return nil, err
	}
	if b.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if err := b.findNet(); err != nil {
		return nil, err
	}
	b.storeAddress = b.address(250, 1, b.controlPort+7)
	b.route = b.address(251, 1, 7001)
	if b.store, err = newStore(b.storeAddress); err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(b.address(252, 1, 0)))
	if err != nil {
		return nil, err
	}
	b.router = &router{b, socket}
	for z, p := range plan {
		for n := range p.instances {
			i := &instance{bed: b, name: fmt.Sprintf("front-%s-%d", p.name, n+1), zone: p.name, ip: b.address(byte(z+1), byte(n+1), 0).Addr(), command: command}
			i.dir = filepath.Join(b.dir, i.name)
			if err := os.Mkdir(i.dir, 0o700); err != nil {
				return nil, err
			}
			b.instances = append(b.instances, i)
		}
		for n := range p.endpoints {
			e, err := newEndpoint(b, len(b.endpoints), p.name, b.address(byte(100+z), byte(n+1), b.endpointPort))
			if err != nil {
				return nil, err
			}
			b.endpoints = append(b.endpoints, e)
		}
		for n := range 4 {
			c, err := newClient(b, p.name, b.address(byte(200+z), byte(n+1), 0).Addr())
			if err != nil {
				return nil, err
			}
			b.clients[p.name] = append(b.clients[p.name], c)
		}
	}
	b.store.put("op/config", b.configuration(1))
	for _, e := range b.endpoints {
		b.store.put("servers/"+e.id, e.entry("ready"))
	}
	return b, nil
}

// findNet chooses a loopback network and ports that are free.
func (b *bed) findNet() error {
	for range 50 {
		b.net = byte(16 + rand.IntN(200))
		p := uint16(20000 + rand.IntN(9000))
		b.packetsPort, b.readinessPort, b.controlPort, b.internalPort, b.endpointPort = p, p+1, p+2, p+20, p+50
		free := true
		for _, port := range []uint16{p, p + 1, p + 2, p + 9, p + 20, p + 50, 9464} {
			l, err := net.Listen("tcp4", b.address(1, 1, port).String())
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
	return errors.New("no free ports")
}

func (b *bed) address(third, fourth byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, b.net, third, fourth}), port)
}

func (b *bed) configuration(version int) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r-1","hostname":%q,"prefix":"/%d/","kind":%q,"timeout-ms":%d,"target-latency-ms":200,"priority":1,"service":%q,"attempts":2}],`+
		`"services":[{"name":%q,"health-path":"/health","max-flows":2000,"protocol":"h1","tls":false,"cold-start-s":2.0,"cold-per-s":0.0}],`+
		`"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":%d}}`,
		version, b.route.Addr(), b.route.Port(), b.kind, b.deadline.Milliseconds(), b.service, b.service, idleTime.Milliseconds())
}

func (b *bed) loses() bool { return b.lossEvery > 0 && b.answers.Add(1)%b.lossEvery == 0 }

func (b *bed) instanceAt(a netip.AddrPort) *instance {
	for _, i := range b.instances {
		if i.ip == a.Addr() {
			return i
		}
	}
	return nil
}

func (b *bed) endpointAt(a netip.AddrPort) *endpoint {
	for _, e := range b.endpoints {
		if e.address == a {
			return e
		}
	}
	return nil
}

// startAll starts all instances and waits until they are ready.
func (b *bed) startAll() error {
	for _, i := range b.instances {
		if err := i.start(); err != nil {
			return err
		}
		go i.probe()
	}
	for range 200 {
		ready := 0
		for _, i := range b.instances {
			if i.rotating() {
				ready++
			}
		}
		if ready == len(b.instances) {
			// Traffic starts some seconds after the machines do.
			time.Sleep(3 * time.Second)
			b.record.event("%d instances are ready", ready)
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("the instances did not become ready")
}

// stop ends all processes.
func (b *bed) stop() {
	for _, i := range b.instances {
		i.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	} else {
		fmt.Println("kept", b.dir)
	}
}

// traffic opens flows from a zone at a rate for some time.
func (b *bed) traffic(zone string, perSecond int, length time.Duration, think func() []time.Duration) {
	end := time.Now().Add(length)
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for n := 0; time.Now().Before(end); n++ {
		b.clients[zone][n%len(b.clients[zone])].openFlow(think()...)
		<-tick.C
	}
}

// between returns a time between two others.
func between(least, most time.Duration) time.Duration { return least + rand.N(most-least) }
