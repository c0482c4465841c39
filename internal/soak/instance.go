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
	// terminationGrace is the time that the platform allows between SIGTERM and
	// the exit of the process.
	terminationGrace = 6 * time.Second
	// restartDelay is the time after which the supervisor restarts a process that
	// has exited.
	restartDelay = 200 * time.Millisecond
	// heartbeatInterval is that of the upstreams, as the settings tell it.
	heartbeatInterval = 1200 * time.Millisecond
)

// instance is one process of the system under test with its supervisor, which
// restarts the process whenever it exits.
type instance struct {
	testbed    *Testbed
	index      int
	dataCentre string
	target     *target
	proxy      *fault.Proxy
	settings   string

	mu      sync.Mutex
	command *exec.Cmd
	// holdDown prevents the supervisor from restarting the process.
	holdDown bool
	// exitExpected is set when a signal of the test ends the process.
	exitExpected bool
	stopped      bool
	// disturbedUntil is the end of the last fault that affected this instance.
	disturbedUntil time.Time
}

func (i *instance) name() string { return fmt.Sprintf("instance-%d", i.index) }

func instanceAddress(index int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 1, byte(index >> 7), byte(index&127 + 1)})
}

// writeSettings writes the settings file that the platform provides in production.
func (i *instance) writeSettings(seeds []int) error {
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
heartbeat-ms = %d
[listen]
packets = "%s:%d"
readiness = "%s:%d"
[bounds]
grace-s = %d
flow-lifetime-s = 60
[platform]
address = %q
`, i.name(), ip, i.dataCentre, peerPort, peerPort+10, strings.Join(list, ","), heartbeatInterval.Milliseconds(), ip, callerPort, ip, readinessPort, int(terminationGrace.Seconds()), i.proxy.Address())
	return os.WriteFile(i.settings, []byte(content), 0o600)
}

// supervise starts the process and restarts it after each exit until done is
// closed. An exit without a signal from the test is a violation.
func (i *instance) supervise(done <-chan struct{}) {
	for run := 0; ; run++ {
		select {
		case <-done:
			return
		default:
		}
		if i.isHeldDown() {
			time.Sleep(restartDelay / 4)
			continue
		}
		err := i.runOnce(run)
		i.mu.Lock()
		exitExpected, stopped := i.exitExpected, i.stopped
		i.exitExpected = false
		i.mu.Unlock()
		if !exitExpected && !stopped {
			i.testbed.journal.recordViolation("exit", "%s exited unexpectedly: %v", i.name(), err)
		}
		time.Sleep(restartDelay)
	}
}

func (i *instance) isHeldDown() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.holdDown
}

// runOnce starts the process with a log file of its own and waits for it to exit.
func (i *instance) runOnce(run int) error {
	log, err := os.Create(filepath.Join(i.testbed.config.Dir, fmt.Sprintf("%s-%d.log", i.name(), run)))
	if err != nil {
		return err
	}
	c := exec.Command(i.testbed.config.Program, "serve", "--settings", i.settings) //nolint:gosec // The program under test.
	c.Stdout, c.Stderr = log, log
	i.mu.Lock()
	if i.stopped {
		i.mu.Unlock()
		return log.Close()
	}
	err = c.Start()
	i.command, i.disturbedUntil = c, time.Now()
	i.mu.Unlock()
	if err != nil {
		return errors.CombineErrors(err, log.Close())
	}
	err = c.Wait()
	return errors.CombineErrors(err, log.Close())
}

// recordDisturbance records that a fault affects the instance for a duration.
func (i *instance) recordDisturbance(duration time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if until := time.Now().Add(duration); until.After(i.disturbedUntil) {
		i.disturbedUntil = until
	}
}

// undisturbedFor reports whether the process has run for the given time, unaffected by
// faults.
func (i *instance) undisturbedFor(d time.Duration) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.command != nil && !i.holdDown && time.Since(i.disturbedUntil) > d
}

// signal sends a signal to the current process, if there is one.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command == nil || i.command.Process == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		i.exitExpected = true
	}
	// An error means that the process has just exited.
	_ = i.command.Process.Signal(s)
}

// kill sends SIGKILL and prevents a restart for the given duration.
func (i *instance) kill(duration time.Duration) {
	i.setHoldDown(true)
	i.signal(syscall.SIGKILL)
	time.AfterFunc(duration, func() { i.setHoldDown(false) })
}

func (i *instance) setHoldDown(holdDown bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.holdDown = holdDown
}

// terminate sends SIGTERM and checks that the process exits within
// terminationGrace.
func (i *instance) terminate() {
	i.mu.Lock()
	c := i.command
	i.mu.Unlock()
	i.signal(syscall.SIGTERM)
	time.AfterFunc(terminationGrace, func() {
		i.mu.Lock()
		stillRunning := i.command == c && c != nil && c.ProcessState == nil && !i.stopped
		i.mu.Unlock()
		if stillRunning {
			i.testbed.journal.recordViolation(guaranteeShutdown, "%s did not exit within %s of SIGTERM", i.name(), terminationGrace)
		}
	})
}

// stop kills the process, which may be paused, and prevents further restarts.
func (i *instance) stop() {
	i.mu.Lock()
	i.stopped = true
	i.mu.Unlock()
	i.signal(syscall.SIGCONT)
	i.signal(syscall.SIGKILL)
}
