package tokenserver

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// fullListener returns the address of a listener that answers no further connection, like a
// host that cannot be reached.
func fullListener(t *testing.T) netip.AddrPort {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) }) // The test is over.
	address := freeAddress(t)
	if err := unix.Bind(fd, &unix.SockaddrInet4{Port: int(address.Port()), Addr: address.Addr().As4()}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	const most = 10
	for range most {
		conn, err := net.DialTimeout("tcp4", address.String(), 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = conn.Close() }) // The test is over.
	}
	t.Fatal("the listener's queue did not fill")
	return netip.AddrPort{}
}

// Only a host from which nothing comes back counts as unreachable: one that refuses the
// connection was reached.
func TestDialTellsUnreachableUpstreams(t *testing.T) {
	_, upstream := listenUDP(t)
	s := startServer(t, upstream)
	for name, c := range map[string]struct {
		address  netip.AddrPort
		answered bool
	}{
		"listening": {s.config.Router.Self, true}, "refusing": {freeAddress(t), true}, "silent": {fullListener(t), false},
	} {
		if _, err := s.dial(c.address, 300*time.Millisecond); answered(err) != c.answered {
			t.Errorf("%s: error %v, answered %v, want %v", name, err, answered(err), c.answered)
		}
	}
}
