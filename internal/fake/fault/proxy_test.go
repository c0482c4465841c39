package fault_test

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/chervilhaven/chervilhaven/internal/fake/fault"
)

// newProxy returns a proxy in front of an echo server, and a connection through
// it.
func newProxy(t *testing.T) (*fault.Proxy, net.Conn) {
	t.Helper()
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	go func() {
		for {
			c, err := server.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	p, err := fault.New(fault.Config{
		Address: netip.MustParseAddrPort("127.0.0.1:0"), Target: netip.MustParseAddrPort(server.Addr().String()), Seed: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = p.Run(t.Context()) }()
	c, err := net.Dial("tcp", p.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	return p, c
}

func echo(c net.Conn) error {
	if _, err := c.Write([]byte("ping")); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 4))
	return err
}

func TestFaultsDelayAndBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := fault.NewWithoutListener(1)
		p.SetFaults(fault.Faults{Delay: time.Second, BytesPerSecond: 1000})
		start := time.Now()
		if !p.ApplyFaults(500) {
			t.Error("a delay closed the link")
		}
		if diff := cmp.Diff(1500*time.Millisecond, time.Since(start)); diff != "" {
			t.Error(diff)
		}
		p.SetFaults(fault.Faults{Partition: true})
		passed := false
		go func() { passed = p.ApplyFaults(500) }()
		time.Sleep(time.Hour)
		synctest.Wait()
		if passed {
			t.Error("bytes were forwarded during a partition")
		}
		p.SetFaults(fault.Faults{})
		synctest.Wait()
		if !passed {
			t.Error("bytes were not forwarded after the partition ended")
		}
	})
}

func TestProxyClosesLinks(t *testing.T) {
	p, c := newProxy(t)
	if err := echo(c); err != nil {
		t.Fatal(err)
	}
	p.CloseLinks()
	if err := echo(c); err == nil {
		t.Error("a closed link forwarded bytes")
	}
	p.SetFaults(fault.Faults{CloseProbability: 1})
	c, err := net.Dial("tcp", p.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	if err := echo(c); err == nil {
		t.Error("a link with a close probability of 1 forwarded bytes")
	}
}
