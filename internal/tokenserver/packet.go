package tokenserver

import (
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/chervilhaven/chervilhaven/internal/tokenrouter"
)

const (
	// maxDatagramBytes is the size of the receive buffer, which exceeds the largest
	// packet of the fabric.
	maxDatagramBytes = 2048
	// socketBufferBytes is the requested size of the kernel's receive buffer: the
	// packets of one second at a busy instance.
	socketBufferBytes = 1 << 20
	// maxBacklogTime is the time after a pause in which the packets that waited are read.
	maxBacklogTime = time.Second
)

// readPackets passes packets from the fabric to the state machine.
func (s *Server) readPackets() {
	buffer := make([]byte, maxDatagramBytes)
	var p tokenrouter.Packet
	for {
		n, _, err := s.packetConn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.metrics.readErrors.Inc()
			continue
		}
		s.handlePacket(buffer[:n], &p)
		if p.Waited {
			s.readBacklog(buffer, &p)
		}
	}
}

// hasBacklog reports whether packets may wait that arrived during the last pause of the process.
// The caller holds mu.
func (s *Server) hasBacklog(now time.Time) bool {
	return !s.resumed.IsZero() && now.Sub(s.resumed) < maxBacklogTime
}

// backlog returns the end of the last pause of the process, and whether packets may wait that
// arrived during it.
func (s *Server) backlog() (resumed time.Time, waiting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.resumed, s.hasBacklog(s.now())
}

// endBacklog records that the packets that arrived during a pause are read, unless another
// pause has followed.
func (s *Server) endBacklog(resumed time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resumed.Equal(resumed) {
		s.resumed = time.Time{}
	}
}

// readBacklog handles the packets that wait in the socket after a pause until there are none:
// whatever comes after that has arrived since.
func (s *Server) readBacklog(buffer []byte, p *tokenrouter.Packet) {
	for resumed, waiting := s.backlog(); waiting; resumed, waiting = s.backlog() {
		n, err := s.tryRead(buffer)
		switch {
		case err == nil:
			s.handlePacket(buffer[:n], p)
		case !errors.Is(err, unix.EINTR):
			s.endBacklog(resumed)
		}
	}
}

// tryRead reads a packet if one waits.
func (s *Server) tryRead(buffer []byte) (n int, err error) {
	raw, err := s.packetConn.SyscallConn()
	if err != nil {
		return 0, err
	}
	var readError error
	err = raw.Read(func(fd uintptr) bool {
		n, _, readError = unix.Recvfrom(int(fd), buffer, unix.MSG_DONTWAIT)
		return true
	})
	if err != nil {
		return 0, err
	}
	return n, readError
}

// handlePacket decodes a datagram of the fabric into p and passes it to the state
// machine.
func (s *Server) handlePacket(datagram []byte, p *tokenrouter.Packet) {
	defer s.containPanic(p)
	s.metrics.packetsReceived.Inc()
	if err := s.config.PacketCodec.Decode(datagram, p); err != nil {
		s.metrics.malformedDatagrams.Inc()
		s.log.Debug("packet-malformed", zap.Error(err))
		return
	}
	s.apply(p)
}

// sendPacket sends the datagram in s.sendBuffer.
func (s *Server) sendPacket(to netip.AddrPort) {
	if _, err := s.packetConn.WriteToUDPAddrPort(s.sendBuffer, to); err != nil {
		s.metrics.writeErrors.Inc()
		s.log.Debug("send-failed", zap.Stringer("to", to), zap.Error(err))
		return
	}
	s.metrics.packetsSent.Inc()
}
