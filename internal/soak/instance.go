package soak

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chervilhaven/chervilhaven/internal/fake/fault"
)

const (
	// grace is the time between SIGTERM and the end, as the platform gives it.
	grace = 6 * time.Second
	// restartAfter is the time after which an ended process starts again.
	restartAfter = 200 * time.Millisecond
)

// instance is one process of the system and the supervisor that restarts it.
type instance struct {
	site       *Site
	index      int
	dataCentre string
	target     *target
	proxy      *fault.Proxy
	settings   string

	mu      sync.Mutex
	command *exec.Cmd
	// held keeps an ended process from starting again until released.
	held    bool
	asked   bool
	stopped bool
}

func (i *instance) name() string { return fmt.Sprintf("instance-%d", i.index) }

func instanceAddress(index int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 1, byte(index >> 7), byte(index&127 + 1)})
}

// write writes the settings file as the platform would.
func (i *instance) write(seeds []int) error {
	var list []string
	for _, s := range seeds {
		list = append(list, fmt.Sprintf("%q", netip.AddrPortFrom(instanceAddress(s), controlPort)))
	}
	ip := instanceAddress(i.index)
	content := fmt.Sprintf(`node-name = %q
ip = %q
zone = %q
internal-ports = [%d, %d]
seeds = [%s]
forwarding-mode = "echo"
[listen]
packets = "%s:%d"
readiness = "%s:%d"
[bounds]
grace-s = %d
flow-lifetime-s = 60
[platform]
address = %q
`, i.name(), ip, i.dataCentre, peerPort, peerPort+10, strings.Join(list, ","), ip, callerPort, ip, readinessPort, int(grace.Seconds()), i.proxy.Address())
	return os.WriteFile(i.settings, []byte(content), 0o600)
}

// supervise runs the process again and again until done.
func (i *instance) supervise(done <-chan struct{}) {
	for life := 0; ; life++ {
		select {
		case <-done:
			return
		default:
		}
		if i.isHeld() {
			time.Sleep(restartAfter / 4)
			continue
		}
		err := i.runOnce(life)
		i.mu.Lock()
		asked, stopped := i.asked, i.stopped
		i.asked = false
		i.mu.Unlock()
		if !asked && !stopped {
			i.site.journal.broke("exit", "%s ended by itself: %v", i.name(), err)
		}
		time.Sleep(restartAfter)
	}
}

func (i *instance) isHeld() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.held
}

// runOnce starts the process and waits for its end.
func (i *instance) runOnce(life int) error {
	log, err := os.Create(filepath.Join(i.site.config.Dir, fmt.Sprintf("%s-%d.log", i.name(), life)))
	if err != nil {
		return err
	}
	c := exec.Command(i.site.config.Program, "serve", "--settings", i.settings) //nolint:gosec // The program under test.
	c.Stdout, c.Stderr = log, log
	i.mu.Lock()
	if i.stopped {
		i.mu.Unlock()
		return log.Close()
	}
	err = c.Start()
	i.command = c
	i.mu.Unlock()
	if err != nil {
		return errors.CombineErrors(err, log.Close())
	}
	err = c.Wait()
	return errors.CombineErrors(err, log.Close())
}

// signal sends a signal to the process that this supervisor started.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command == nil || i.command.Process == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		i.asked = true
	}
	// A process that has just ended needs no signal.
	_ = i.command.Process.Signal(s)
}

// kill ends the process and keeps it down for a time.
func (i *instance) kill(down time.Duration) {
	i.hold(true)
	i.signal(syscall.SIGKILL)
	time.AfterFunc(down, func() { i.hold(false) })
}

func (i *instance) hold(held bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.held = held
}

// terminate asks the process to stop and checks that it does within the grace.
func (i *instance) terminate() {
	i.mu.Lock()
	c := i.command
	i.mu.Unlock()
	i.signal(syscall.SIGTERM)
	time.AfterFunc(grace, func() {
		i.mu.Lock()
		same := i.command == c && c != nil && c.ProcessState == nil && !i.stopped
		i.mu.Unlock()
		if same {
			i.site.journal.broke(promiseShutdown, "%s did not end within %s", i.name(), grace)
		}
	})
}

// stop ends the process for good.
func (i *instance) stop() {
	i.mu.Lock()
	i.stopped = true
	i.mu.Unlock()
	i.signal(syscall.SIGCONT)
	i.signal(syscall.SIGKILL)
}
