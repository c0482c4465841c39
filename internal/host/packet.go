package host

import (
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/chervilhaven/chervilhaven/internal/edge"
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
func (h *Host) readPackets() {
	buffer := make([]byte, maxDatagramBytes)
	var p edge.Packet
	for {
		n, _, err := h.packetConn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			h.metrics.readErrors.Inc()
			continue
		}
		h.metrics.packetsReceived.Inc()
		if err := h.config.PacketCodec.Decode(buffer[:n], &p); err != nil {
			h.metrics.malformedDatagrams.Inc()
			h.log.Debug("packet-malformed", zap.Error(err))
			continue
		}
		h.apply(&p)
	}
}

// sendPacket sends the datagram in h.sendBuffer.
func (h *Host) sendPacket(to netip.AddrPort) {
	if _, err := h.packetConn.WriteToUDPAddrPort(h.sendBuffer, to); err != nil {
		h.metrics.writeErrors.Inc()
		h.log.Debug("send-failed", zap.Stringer("to", to), zap.Error(err))
		return
	}
	h.metrics.packetsSent.Inc()
}
