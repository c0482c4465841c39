package upstream

import (
	"net/netip"
	"slices"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/fake/request"
	"github.com/chervilhaven/chervilhaven/internal/fake/segment"
)

const (
	// windowSegments is the size of the send window in full segments.
	windowSegments           = 8
	initialRetransmitTimeout = 200 * time.Millisecond
	maxRetransmitTimeout     = 2 * time.Second
	maxRetransmits           = 12
	initialSequence          = 1_000_000
)

// flowKey identifies a flow by the two endpoints of its TCP connection.
type flowKey struct{ caller, service netip.AddrPort }

// flow is the upstream's end of a TCP connection.
type flow struct {
	// receiveNext is the next sequence number expected from the caller (RCV.NXT
	// in RFC 9293).
	receiveNext uint32
	// sendUnacknowledged is the oldest sequence number that the caller has not
	// acknowledged (SND.UNA); sendNext is the next one to send (SND.NXT).
	sendUnacknowledged uint32
	sendNext           uint32
	// sendBuffer holds the bytes from sendUnacknowledged on, both those in
	// flight and those not yet sent.
	sendBuffer        []byte
	retransmitTimeout time.Duration
	retransmitAt      time.Time
	retransmits       int
	lastSegmentAt     time.Time
	// closedAt is the time at which the caller's FIN arrived, zero while the
	// flow is open. A closed flow stays for closedFlowLinger to answer
	// retransmitted segments.
	closedAt time.Time
}

// handleSegment processes a segment received from an instance. u.mutex must be
// held.
func (u *Upstream) handleSegment(vni uint32, s segment.Segment) {
	now := time.Now()
	if vni != u.config.Service || !slices.Contains(u.config.Addresses, s.Destination.Addr()) {
		u.counts.Misrouted++
		return
	}
	if !u.outSince.IsZero() && now.Sub(u.outSince) > PropagationGrace {
		u.counts.PacketsWhileOut++
	}
	k := flowKey{caller: s.Source, service: s.Destination}
	f, ok := u.flows[k]
	switch {
	case s.Flags.Has(segment.RST):
		if ok {
			u.removeFlow(k, f)
		}
	case s.Flags.Has(segment.SYN):
		u.handleSYN(now, k, f, s)
	case !ok:
		u.counts.UnknownFlow++
		u.sendReset(s)
	default:
		f.lastSegmentAt = now
		u.handleData(now, k, f, s)
	}
}

func (u *Upstream) handleSYN(now time.Time, k flowKey, f *flow, s segment.Segment) {
	if f != nil && f.closedAt.IsZero() {
		u.sendReply(k, f, segment.SYN|segment.ACK, initialSequence, nil)
		return
	}
	if u.shedding {
		u.counts.ShedFlows++
		u.sendReset(s)
		return
	}
	u.countAdmission(now)
	f = &flow{
		receiveNext: s.Sequence + 1, sendUnacknowledged: initialSequence + 1, sendNext: initialSequence + 1,
		retransmitTimeout: initialRetransmitTimeout, lastSegmentAt: now,
	}
	u.flows[k] = f
	u.openFlows++
	u.counts.PeakOpen = max(u.counts.PeakOpen, u.openFlows)
	u.sendReply(k, f, segment.SYN|segment.ACK, initialSequence, nil)
}

// countAdmission counts a new flow and classifies it if the upstream is
// draining or at its flow limit. A flow above the limit restarts the warm-up
// interval.
func (u *Upstream) countAdmission(now time.Time) {
	u.counts.Admitted++
	if !u.drainingSince.IsZero() && now.Sub(u.drainingSince) > PropagationGrace {
		u.counts.LateFlows++
	}
	if u.openFlows < u.flowLimit {
		return
	}
	if !u.coldSince.IsZero() && now.Sub(u.coldSince) < u.config.ColdGrace {
		u.counts.OverLimitUnannounced++
	} else {
		u.counts.OverLimit++
	}
	u.healthySince = now
}

func (u *Upstream) handleData(now time.Time, k flowKey, f *flow, s segment.Segment) {
	if s.Flags.Has(segment.ACK) {
		u.handleAcknowledgement(now, k, f, s.Acknowledgement)
	}
	if len(s.Payload) == 0 && !s.Flags.Has(segment.FIN) {
		return
	}
	if s.Sequence == f.receiveNext && f.closedAt.IsZero() {
		f.receiveNext += uint32(len(s.Payload))
		u.handlePayload(now, k, s.Payload)
		if s.Flags.Has(segment.FIN) {
			f.receiveNext++
			f.closedAt = now
			u.openFlows--
			u.cancelQueuedJobs(k)
			u.sendReply(k, f, segment.FIN|segment.ACK, f.sendNext, nil)
			return
		}
	}
	if s.Flags.Has(segment.FIN) && !f.closedAt.IsZero() {
		u.sendReply(k, f, segment.FIN|segment.ACK, f.sendNext, nil)
		return
	}
	u.sendReply(k, f, segment.ACK, f.sendNext, nil)
}

func (u *Upstream) handlePayload(now time.Time, k flowKey, payload []byte) {
	if len(payload) == 0 {
		return
	}
	r, err := request.Decode(payload)
	if err != nil {
		return
	}
	u.enqueue(&job{flow: k, request: r, receivedAt: now})
}

func (u *Upstream) handleAcknowledgement(now time.Time, k flowKey, f *flow, acknowledgement uint32) {
	newlyAcknowledged := acknowledgement - f.sendUnacknowledged
	if newlyAcknowledged == 0 || newlyAcknowledged > f.sendNext-f.sendUnacknowledged {
		return
	}
	f.sendUnacknowledged = acknowledgement
	f.sendBuffer = f.sendBuffer[newlyAcknowledged:]
	f.retransmits, f.retransmitTimeout = 0, initialRetransmitTimeout
	f.retransmitAt = now.Add(f.retransmitTimeout)
	u.sendWindow(k, f)
}

// queueBytes appends bytes to the send buffer of the flow and sends as much as
// the window allows.
func (u *Upstream) queueBytes(now time.Time, k flowKey, f *flow, b []byte) {
	if len(f.sendBuffer) == 0 {
		f.retransmitAt = now.Add(f.retransmitTimeout)
	}
	f.sendBuffer = append(f.sendBuffer, b...)
	u.sendWindow(k, f)
}

// sendWindow sends buffered bytes until the send window is full.
func (u *Upstream) sendWindow(k flowKey, f *flow) {
	for {
		inFlight := int(f.sendNext - f.sendUnacknowledged)
		size := min(len(f.sendBuffer)-inFlight, segment.MaxPayload)
		if size <= 0 || inFlight >= windowSegments*segment.MaxPayload {
			return
		}
		u.sendReply(k, f, segment.ACK|segment.PSH, f.sendNext, f.sendBuffer[inFlight:inFlight+size])
		f.sendNext += uint32(size)
	}
}

func (u *Upstream) tickFlow(now time.Time, k flowKey, f *flow) {
	switch {
	case !f.closedAt.IsZero():
		if now.Sub(f.closedAt) > closedFlowLinger {
			delete(u.flows, k)
		}
	case len(f.sendBuffer) == 0:
		if now.Sub(f.lastSegmentAt) > idleTimeout {
			u.removeFlow(k, f)
		}
	case now.After(f.retransmitAt):
		if f.retransmits++; f.retransmits > maxRetransmits {
			u.removeFlow(k, f)
			return
		}
		f.retransmitTimeout = min(2*f.retransmitTimeout, maxRetransmitTimeout)
		f.retransmitAt = now.Add(f.retransmitTimeout)
		f.sendNext = f.sendUnacknowledged
		u.sendWindow(k, f)
	}
}

func (u *Upstream) removeFlow(k flowKey, f *flow) {
	if f.closedAt.IsZero() {
		u.openFlows--
	}
	delete(u.flows, k)
	u.cancelQueuedJobs(k)
}

func (u *Upstream) sendReply(k flowKey, f *flow, flags segment.Flags, sequence uint32, payload []byte) {
	u.send(segment.Segment{
		Source: k.service, Destination: k.caller, Flags: flags,
		Sequence: sequence, Acknowledgement: f.receiveNext, Payload: payload,
	})
}

// sendReset answers a segment with a TCP reset.
func (u *Upstream) sendReset(s segment.Segment) {
	length := uint32(len(s.Payload))
	if s.Flags&(segment.SYN|segment.FIN) != 0 {
		length++
	}
	u.send(segment.Segment{
		Source: s.Destination, Destination: s.Source, Flags: segment.RST | segment.ACK,
		Sequence: s.Acknowledgement, Acknowledgement: s.Sequence + length,
	})
}
