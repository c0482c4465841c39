package tokenserver

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chervilhaven/chervilhaven/internal/tokenrouter"
)

// dialAttempts is the number of connections that are tried at the same time: the first packet
// of one may get lost.
const dialAttempts = 2

// dialUpstream tries to connect to an upstream and applies the result.
func (s *Server) dialUpstream(number uint64, address netip.AddrPort, timeout time.Duration) {
	s.metrics.dials.Inc()
	err := s.dial(address, timeout)
	event := &tokenrouter.Dialed{Number: number, Unreachable: !answered(err), Result: "connected"}
	if err != nil {
		event.Result = err.Error()
	}
	s.apply(event)
}

// dial returns the result of the first attempt that was answered, or an error.
func (s *Server) dial(address netip.AddrPort, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(s.taskContext, timeout)
	defer cancel()
	results := make(chan error, dialAttempts)
	for range dialAttempts {
		s.startTask(func() { results <- dialOnce(ctx, address) })
	}
	var err error
	for range dialAttempts {
		select {
		case err = <-results:
		case <-ctx.Done():
			err = ctx.Err()
		}
		if answered(err) {
			break
		}
	}
	return err
}

func dialOnce(ctx context.Context, address netip.AddrPort) error {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp4", address.String())
	if err != nil {
		return err
	}
	return conn.Close()
}

// answered reports whether the outcome of a dial shows that its packets arrive: a host that
// refuses a connection is there.
func answered(err error) bool { return err == nil || errors.Is(err, syscall.ECONNREFUSED) }
