//go:build review

package main

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// instance is one machine of the system: a process with the command of the deploy
// file, and the supervisor that starts it again after each end.
type instance struct {
	bed      *bed
	name     string
	zone     string
	ip       netip.Addr
	settings string
	log      *os.File

	mu       sync.Mutex
	process  *os.Process
	started  time.Time
	misses   int
	inUse    bool
	expected bool
	// later is how much later than the others the process starts again.
	later time.Duration
}

func (i *instance) packets() netip.AddrPort { return netip.AddrPortFrom(i.ip, i.bed.port) }

func (i *instance) writeSettings(seeds []*instance) error {
	var list []string
	for _, s := range seeds {
		list = append(list, fmt.Sprintf("%q", netip.AddrPortFrom(s.ip, i.bed.port+2)))
	}
	text := fmt.Sprintf(`node-name = %q
role = "instance"
machine-class = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "region-1"
internal-ports = [%d,%d]
seeds = [%s]
bootstrap = true
heartbeat-ms = 1200
flow-hash = "mod"
forwarding-mode = "echo"
[listen]
packets = "%s"
readiness = "%s"
control = "%s"
[limits]
link-mbps = 1000.0
memory-mb = 284
[bounds]
contact-ms = 4000
drain-timeout-ms = 3000
grace-s = 6
config-apply-ms = 3000
cold-overage = 1.5
cold-slack = 5
evacuation-ms = 5000
flow-reorder-ms = 2000
flow-lifetime-s = 60
[platform]
address = "%s"
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
`, i.name, i.ip, i.zone, i.bed.port+10, i.bed.port+25, strings.Join(list, ","), i.packets(),
		netip.AddrPortFrom(i.ip, i.bed.port+1), netip.AddrPortFrom(i.ip, i.bed.port+2), i.bed.store.address)
	return os.WriteFile(i.settings, []byte(text), 0o600)
}

// supervise runs the process and starts it again after a short delay until the end.
func (i *instance) supervise() {
	for !i.bed.over() {
		c := exec.Command(i.bed.program, "serve")
		c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHERVILHAVEN_SETTINGS=" + i.settings}
		c.Stdout, c.Stderr = i.log, i.log
		i.mu.Lock()
		err := c.Start()
		if err == nil {
			i.process, i.started, i.expected = c.Process, time.Now(), false
		}
		i.mu.Unlock()
		if err != nil {
			i.bed.cannot("start %s: %v", i.name, err)
			return
		}
		err = c.Wait()
		i.mu.Lock()
		i.process = nil
		expected := i.expected
		i.mu.Unlock()
		if !i.bed.over() {
			i.bed.record("%s ended (%v, by a signal of the script: %t)", i.name, err, expected)
			if !expected {
				i.bed.broken("Fault: %s ended by itself: %v", i.name, err)
			}
			i.mu.Lock()
			delay := restartDelay + i.later
			i.mu.Unlock()
			time.Sleep(delay)
		}
	}
}

// restartDelay is the short delay of DEPLOY.md after which a process is started again.
const restartDelay = 100 * time.Millisecond

func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process != nil {
		if s == syscall.SIGKILL || s == syscall.SIGTERM {
			i.expected = true
		}
		_ = i.process.Signal(s)
	}
}

func (i *instance) isInUse() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.inUse
}

// probe polls the readiness of the machine twice a second. After two misses it is
// out of rotation until it answers with 200 again.
func (i *instance) probe() {
	client := &http.Client{Timeout: 400 * time.Millisecond}
	for !i.bed.over() {
		r, err := client.Get("http://" + netip.AddrPortFrom(i.ip, i.bed.port+1).String() + "/api/readiness")
		ok := err == nil && r.StatusCode == http.StatusOK
		if err == nil {
			_ = r.Body.Close()
		}
		i.mu.Lock()
		was := i.inUse
		if ok {
			i.misses, i.inUse = 0, true
		} else if i.misses++; i.misses >= 2 {
			i.inUse = false
		}
		now := i.inUse
		i.mu.Unlock()
		if was != now {
			i.bed.record("%s in rotation: %t", i.name, now)
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// router is the platform's router in front of the machines.
type router struct {
	bed    *bed
	socket *net.UDPConn
}

// forward sends a packet of a client to the machine that the hash selects among those
// of the client's zone that are in rotation; to all of them if fewer than half are.
func (r *router) forward(zone string, p *packet) {
	var all, use []*instance
	for _, i := range r.bed.instances {
		if i.zone == zone {
			all = append(all, i)
			if i.isInUse() {
				use = append(use, i)
			}
		}
	}
	if 2*len(use) < len(all) {
		use = all
	}
	h := fnv.New64a()
	var b [12]byte
	s, d := p.src.Addr().As4(), p.dst.Addr().As4()
	copy(b[:], s[:])
	copy(b[4:], d[:])
	binary.BigEndian.PutUint16(b[8:], p.src.Port())
	binary.BigEndian.PutUint16(b[10:], p.dst.Port())
	_, _ = h.Write(b[:])
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	to := use[x%uint64(len(use))]
	_, _ = r.socket.WriteToUDPAddrPort(p.encode(), to.packets())
}

func (b *bed) addInstance(zone string, n int) error {
	i := &instance{
		bed: b, name: fmt.Sprintf("front-%s-%d", zone, n), zone: zone, ip: b.ip(1, byte(len(b.instances)+1)),
		settings: filepath.Join(b.dir, fmt.Sprintf("boot-%s-%d.toml", zone, n)),
	}
	var err error
	if i.log, err = os.Create(filepath.Join(b.dir, i.name+".log")); err != nil {
		return err
	}
	b.instances = append(b.instances, i)
	return nil
}
