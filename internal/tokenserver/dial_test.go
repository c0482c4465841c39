package tokenserver

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/chervilhaven/chervilhaven/internal/tokenrouter"
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

// An upstream that refuses a connection is told from one from which nothing comes back.
func TestDialTellsUnreachableUpstreams(t *testing.T) {
	_, upstream := listenUDP(t)
	s := startServer(t, upstream)
	for name, c := range map[string]struct {
		address netip.AddrPort
		want    tokenrouter.DialAnswer
	}{
		"listening": {s.config.Router.Self, tokenrouter.Connected}, "refusing": {freeAddress(t), tokenrouter.Refused}, "silent": {fullListener(t), tokenrouter.Silent},
	} {
		if _, err := s.dial(c.address, 300*time.Millisecond); answerOf(err) != c.want {
			t.Errorf("%s: error %v, taken for %s, want %s", name, err, answerOf(err), c.want)
		}
	}
}
