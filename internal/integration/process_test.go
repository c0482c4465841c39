package integration_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"testing"

	"go.uber.org/zap/zapcore"

	"github.com/chervilhaven/chervilhaven/internal/fake/deployment"
	"github.com/chervilhaven/chervilhaven/internal/logging"
	"github.com/chervilhaven/chervilhaven/internal/ownerserver"
)

// instanceVariable is the environment variable that makes the test binary run an
// instance instead of the tests. Its value is a deployment.InstanceAddresses in JSON.
const instanceVariable = "CHERVILHAVEN_TEST_INSTANCE"

func TestMain(m *testing.M) {
	addresses, ok := os.LookupEnv(instanceVariable)
	if !ok {
		os.Exit(m.Run())
	}
	if err := serve(addresses); err != nil {
		fmt.Fprintln(os.Stderr, "instance:", err)
		os.Exit(1)
	}
}

// serve runs one instance until it receives SIGTERM or the parent process exits.
func serve(addresses string) error {
	var a deployment.InstanceAddresses
	if err := json.Unmarshal([]byte(addresses), &a); err != nil {
		return err
	}
	i, err := ownerserver.New(ownerserver.Config{Settings: ownerserver.Settings{
		Name: a.Name, DataCentre: a.DataCentre, Packets: a.Packets, Peers: a.Peers, Inspect: a.Inspect,
		Platform: []netip.AddrPort{a.Platform}, Fabric: []netip.AddrPort{a.Fabric},
	}, Log: logging.New(os.Stdout, zapcore.InfoLevel)})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	go func() {
		// The parent keeps the other end of standard input open and never writes
		// to it, so the read returns only when the parent has exited.
		_, _ = os.Stdin.Read(make([]byte, 1))
		os.Exit(1)
	}()
	return i.Run(ctx)
}

// process is a re-executed test binary that runs one instance.
type process struct {
	deployment.InstanceAddresses
	command *exec.Cmd
	// exited is closed once the process has exited and err is set.
	exited chan struct{}
	err    error
}

// startProcess starts an instance in a process of its own, which is killed at the
// end of the test. Its log is kept in a file if the test fails.
func startProcess(t *testing.T, a deployment.InstanceAddresses) *process {
	t.Helper()
	addresses, err := json.Marshal(a)
	if err != nil {
		t.Fatal(err)
	}
	p := &process{InstanceAddresses: a, command: exec.Command(os.Args[0]), exited: make(chan struct{})}
	p.command.Env = append(os.Environ(), instanceVariable+"="+string(addresses))
	log, err := os.CreateTemp("", "chervilhaven-"+a.Name+"-*.log")
	if err != nil {
		t.Fatal(err)
	}
	p.command.Stdout, p.command.Stderr = log, log
	if _, err := p.command.StdinPipe(); err != nil {
		t.Fatal(err)
	}
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.err = p.command.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Kill() // It may have exited.
		<-p.exited
		keepLogOfFailure(t, log)
	})
	return p
}

// keepLogOfFailure closes the log of a process and deletes it unless the test has
// failed.
func keepLogOfFailure(t *testing.T, log *os.File) {
	t.Helper()
	if err := log.Close(); err != nil {
		t.Error(err)
	}
	if t.Failed() {
		t.Logf("log of the instance: %s", log.Name())
		return
	}
	if err := os.Remove(log.Name()); err != nil {
		t.Error(err)
	}
}

func (p *process) signal(t *testing.T, s os.Signal) {
	t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}
