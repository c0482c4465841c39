package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// instance is one machine with its process of the system.
type instance struct {
	bed     *bed
	name    string
	zone    string
	ip      netip.Addr
	dir     string
	command []string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	// state is how the last process ended.
	state *os.ProcessState
	// disturbed holds the spans in which the machine had a disruption or a start. The end
	// of one that lasts is in the future.
	disturbed [][2]time.Time

	// inRotation is whether the router sends packets there, misses the health checks
	// missed in a row.
	inRotation bool
	misses     int
}

// deployCommand returns the command of the role in the deploy file.
func deployCommand() ([]string, error) {
	b, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	m := regexp.MustCompile(`(?m)^run\s*=\s*"([^"]+)"`).FindSubmatch(b)
	if m == nil {
		return nil, fmt.Errorf("deploy/system.toml has no run line")
	}
	return strings.Fields(string(m[1])), nil
}

// settings returns the settings file as DEPLOY.md shows it.
func (i *instance) settings() string {
	b := i.bed
	var seeds, zones []string
	for _, s := range b.instances[:min(3, len(b.instances))] {
		seeds = append(seeds, fmt.Sprintf("%q", netip.AddrPortFrom(s.ip, b.controlPort)))
	}
	seen := make(map[string]bool)
	for _, s := range b.instances {
		if !seen[s.zone] {
			seen[s.zone] = true
			zones = append(zones, s.zone+` = "region-1"`)
		}
	}
	return fmt.Sprintf(`node-name = %q
role = "instance"
machine-class = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "region-1"
internal-ports = [%d,%d]
seeds = [%s]
bootstrap = false
in-tolerance = false
discovery = "platform"
entry = "announce"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","recover","flows","places","platform"]
flow-hash = "mod"
forwarding-mode = "echo"
[zones]
%s
[listen]
packets = "%s:%d"
readiness = "%s:%d"
control = "%s:%d"
[limits]
cpu-share = 0.4
cores = 1
memory-mb = 284
file-descriptors = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed-lag-s = 3
reuse-delay-s = 2
contact-ms = 4000
ack-timeout-ms = 5000
catch-up-s = 4
drain-timeout-ms = 3000
grace-s = 6
loss-slack-ms = 200
config-apply-ms = 3000
rollback-slack-ms = 250
max-stretch-ms = 12000
cold-overage = 1.5
cold-slack = 5
evacuation-ms = 5000
recovery-s = 12
flow-reorder-ms = 2000
flow-lifetime-s = 60
[platform]
address = %q
forwarding-mode = "read"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
`, i.name, i.ip, i.zone, b.internalPort, b.internalPort+15, strings.Join(seeds, ","), strings.Join(zones, "\n"),
		i.ip, b.packetsPort, i.ip, b.readinessPort, i.ip, b.controlPort, b.storeAddress.String())
}

// start starts the process. A start counts as a disruption of that moment.
func (i *instance) start() error {
	path := filepath.Join(i.dir, "boot.toml")
	if err := os.WriteFile(path, []byte(i.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(i.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()                                 //nolint:errcheck // The process has its own copy.
	c := exec.Command(i.command[0], i.command[1:]...) //nolint:gosec // The deploy file names it.
	c.Env = []string{"CHERVILHAVEN_SETTINGS=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	c.Stdout, c.Stderr = log, log
	// No process outlives the run.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	i.mu.Lock()
	i.process, i.ended = c, ended
	i.mu.Unlock()
	i.disturb(time.Now(), time.Now())
	go func() {
		_ = c.Wait()
		i.mu.Lock()
		i.state = c.ProcessState
		i.mu.Unlock()
		close(ended)
	}()
	return nil
}

func (i *instance) disturb(from, to time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.disturbed = append(i.disturbed, [2]time.Time{from, to})
}

// inTouch reports whether the machine had no disruption in the contact time before a moment.
func (i *instance) inTouch(at time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, d := range i.disturbed {
		if !d[0].After(at) && d[1].Add(contactTime).After(at) {
			return false
		}
	}
	return true
}

func (i *instance) signal(s os.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process != nil {
		_ = i.process.Process.Signal(s)
	}
}

// waitEnd waits until the process has ended and returns its state.
func (i *instance) waitEnd(limit time.Duration) *os.ProcessState {
	i.mu.Lock()
	ended := i.ended
	i.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(limit):
		return nil
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.state
}

// kill ends the process at once.
func (i *instance) kill() {
	i.signal(syscall.SIGCONT)
	i.signal(syscall.SIGKILL)
	i.mu.Lock()
	ended := i.ended
	i.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// probe asks the instance whether it is ready, twice a second, as the platform does.
func (i *instance) probe() {
	client := &http.Client{Timeout: 450 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	url := fmt.Sprintf("http://%s:%d/api/readiness", i.ip, i.bed.readinessPort)
	for tick := time.NewTicker(500 * time.Millisecond); ; <-tick.C {
		r, err := client.Get(url) //nolint:noctx // The client has a timeout.
		ok := err == nil && r.StatusCode == http.StatusOK
		if err == nil {
			_ = r.Body.Close()
		}
		i.mu.Lock()
		if ok {
			i.misses = 0
		} else {
			i.misses++
		}
		was := i.inRotation
		switch {
		case ok:
			i.inRotation = true
		case i.misses >= 2:
			i.inRotation = false
		}
		is := i.inRotation
		i.mu.Unlock()
		if was != is {
			i.bed.record.event("%s in rotation: %v", i.name, is)
		}
	}
}

func (i *instance) rotating() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.inRotation
}
