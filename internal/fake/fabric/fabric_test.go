package fabric_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/chervilhaven/chervilhaven/internal/fake/fabric"
	"github.com/chervilhaven/chervilhaven/internal/fake/segment"
)

func listen(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func addressOf(c *net.UDPConn) netip.AddrPort {
	return netip.MustParseAddrPort(c.LocalAddr().String())
}

func send(t *testing.T, from *net.UDPConn, to netip.AddrPort, s segment.Segment) {
	t.Helper()
	datagram, err := s.Encode(0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := from.WriteToUDPAddrPort(datagram, to); err != nil {
		t.Fatal(err)
	}
}

func TestForwardReturnAndPartition(t *testing.T) {
	f, err := fabric.New(fabric.Config{Address: netip.MustParseAddrPort("127.0.0.1:0"), Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = f.Run(t.Context()) }()
	caller, north, south := listen(t), listen(t), listen(t)
	f.SetInstances([]fabric.Instance{
		{Address: addressOf(north), DataCentre: "north"}, {Address: addressOf(south), DataCentre: "south"},
	})
	out := segment.Segment{
		Source: netip.MustParseAddrPort("198.18.0.1:9"), Destination: netip.MustParseAddrPort("203.0.113.1:9"), Flags: segment.SYN,
	}
	const packets = 100
	for range packets {
		send(t, caller, f.Address(), out)
	}
	wait(t, func() bool { return f.Counts().SentToInstances == packets })
	back := segment.Segment{Source: out.Destination, Destination: out.Source, Flags: segment.RST}
	send(t, south, f.Address(), back)
	buffer := make([]byte, 2048)
	n, err := caller.Read(buffer)
	if err != nil {
		t.Fatal(err)
	}
	if _, s, err := segment.Decode(buffer[:n]); err != nil || s.Flags != segment.RST {
		t.Errorf("caller received %+v, error %v; want a reset", s, err)
	}
	f.Partition("north")
	for range packets {
		send(t, caller, f.Address(), out)
	}
	wait(t, func() bool { c := f.Counts(); return c.SentToInstances+c.Lost == 2*packets })
	got := f.Counts()
	// The seed determines how many packets the partition drops: about a half.
	if got.Lost < packets/4 || got.Lost > 3*packets/4 {
		t.Errorf("a partition of one of two data centres dropped %d of %d packets, want about a half", got.Lost, packets)
	}
	if diff := cmp.Diff(fabric.Counts{SentToInstances: 2*packets - got.Lost, Lost: got.Lost, SentToCallers: 1}, got); diff != "" {
		t.Error(diff)
	}
}

// wait polls the condition and fails the test if it is not met within 10 s.
func wait(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not met within 10 s")
		}
	}
}
