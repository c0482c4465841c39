package geneve

import "fmt"

// Reason is the reason for rejecting a datagram. It is used as a metric label.
type Reason string

// Reasons for rejecting a datagram.
const (
	// ReasonMalformedTunnel means that the Geneve header is malformed.
	ReasonMalformedTunnel Reason = "malformed-tunnel"
	// ReasonControlPacket means that the datagram is a Geneve control packet, which
	// neither instances nor the fabric send.
	ReasonControlPacket Reason = "tunnel-control"
	// ReasonCriticalOption means that a critical Geneve option is unknown.
	ReasonCriticalOption Reason = "critical-option"
	// ReasonInvalidMAC means that the MAC of the relay option is wrong or its key is
	// unknown.
	ReasonInvalidMAC Reason = "forged"
	// ReasonUnknownProtocol means that the inner packet is not IPv4 or IPv6 with TCP, UDP
	// or an ICMP error about TCP or UDP.
	ReasonUnknownProtocol Reason = "unknown-protocol"
	// ReasonMalformedPacket means that the inner packet is malformed or truncated.
	ReasonMalformedPacket Reason = "malformed-packet"
	// ReasonFragment means that the inner packet is an IP fragment.
	ReasonFragment Reason = "fragment"
	// ReasonNoReset means that the packet must not be answered with a TCP reset.
	ReasonNoReset Reason = "no-reset"
	// ReasonSize means that the packet is empty, or that the packet or the service
	// number is too large to encode.
	ReasonSize Reason = "size"
)

// Error reports a datagram that could not be decoded or encoded.
type Error struct {
	Reason Reason
	// Cause is the underlying decoding or encoding error, or nil.
	Cause error
}

func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("geneve: %s", string(e.Reason))
	}
	return fmt.Sprintf("geneve: %s: %v", string(e.Reason), e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

func reject(reason Reason, cause error) error {
	return &Error{Reason: reason, Cause: cause}
}

// Reasons returns all reasons, so that counters can be created in advance.
func Reasons() []Reason {
	return []Reason{
		ReasonMalformedTunnel, ReasonControlPacket, ReasonCriticalOption, ReasonInvalidMAC, ReasonUnknownProtocol,
		ReasonMalformedPacket, ReasonFragment, ReasonNoReset, ReasonSize,
	}
}
