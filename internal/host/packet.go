package host

import (
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/chervilhaven/chervilhaven/internal/edge"
)

const (
	// datagramBytes holds the largest packet of the fabric and more.
	datagramBytes = 2048
	// socketBytes is the kernel buffer asked for: the packets of a second of
	// a busy instance.
	socketBytes = 1 << 20
)

// readPackets gives the packets of the fabric to the reducer.
func (h *Host) readPackets() {
	buffer := make([]byte, datagramBytes)
	var p edge.Packet
	for {
		n, _, err := h.packets.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			h.metrics.readErrors.Inc()
			continue
		}
		h.metrics.received.Inc()
		if err := h.config.Wire.Decode(buffer[:n], &p); err != nil {
			h.metrics.malformed.Inc()
			h.log.Debug("packet-malformed", zap.Error(err))
			continue
		}
		h.apply(&p)
	}
}

// send sends the datagram in h.out.
func (h *Host) send(to netip.AddrPort) {
	if _, err := h.packets.WriteToUDPAddrPort(h.out, to); err != nil {
		h.metrics.writeErrors.Inc()
		h.log.Debug("send-failed", zap.Stringer("to", to), zap.Error(err))
		return
	}
	h.metrics.sent.Inc()
}
