package tokenserver

import (
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/chervilhaven/chervilhaven/internal/tokenrouter"
)

const (
	// maxDatagramBytes is the size of the receive buffer, which exceeds the largest
	// packet of the fabric.
	maxDatagramBytes = 2048
	// socketBufferBytes is the requested size of the kernel's receive buffer: the
	// packets of one second at a busy instance.
	socketBufferBytes = 1 << 20
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
		s.metrics.packetsReceived.Inc()
		s.handlePacket(buffer[:n], &p)
	}
}

// handlePacket decodes a datagram of the fabric into p and passes it to the state
// machine.
func (s *Server) handlePacket(datagram []byte, p *tokenrouter.Packet) {
	defer s.containPanic(p)
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
