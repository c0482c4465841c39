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

const (
	// dialAttempts is the number of connections that are tried at the same time: the first
	// packet of one may get lost.
	dialAttempts = 2
	// dialCheckInterval is the time between two checks that the process runs while it waits
	// for a connection, maxDialStall the longest time between them.
	dialCheckInterval = 50 * time.Millisecond
	maxDialStall      = 100 * time.Millisecond
)

// dialUpstream tries to connect to an upstream and applies the result. If the process stood
// still or stops, an answer may have come unnoticed, and nothing is concluded.
func (s *Server) dialUpstream(number uint64, address netip.AddrPort, timeout time.Duration) {
	s.metrics.dials.Inc()
	stalled, err := s.dial(address, timeout)
	if s.taskContext.Err() != nil {
		return
	}
	event := &tokenrouter.Dialed{Number: number, Answer: answerOf(err)}
	if stalled {
		event.Answer = tokenrouter.Connected
	}
	s.apply(event)
}

// dial returns the result of the first attempt that was answered, or an error, and whether the
// process stood still meanwhile.
func (s *Server) dial(address netip.AddrPort, timeout time.Duration) (stalled bool, err error) {
	ctx, cancel := context.WithTimeout(s.taskContext, timeout)
	defer cancel()
	results := make(chan error, dialAttempts)
	for range dialAttempts {
		s.startTask(func() { results <- dialOnce(ctx, address) })
	}
	checks := time.NewTicker(dialCheckInterval)
	defer checks.Stop()
	last := s.now()
	for pending := dialAttempts; pending > 0; {
		select {
		case err = <-results:
			if pending--; answerOf(err) != tokenrouter.Silent {
				pending = 0
			}
		case <-checks.C:
		case <-ctx.Done():
			pending, err = 0, ctx.Err()
		}
		now := s.now()
		stalled = stalled || now.Sub(last) > maxDialStall
		last = now
	}
	return stalled, err
}

func dialOnce(ctx context.Context, address netip.AddrPort) error {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp4", address.String())
	if err != nil {
		return err
	}
	return conn.Close()
}

func answerOf(err error) tokenrouter.DialAnswer {
	switch {
	case err == nil:
		return tokenrouter.Connected
	case errors.Is(err, syscall.ECONNREFUSED):
		return tokenrouter.Refused
	default:
		return tokenrouter.Silent
	}
}
