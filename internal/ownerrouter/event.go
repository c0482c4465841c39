package ownerrouter

import (
	"time"

	"github.com/chervilhaven/chervilhaven/internal/member"
	"github.com/chervilhaven/chervilhaven/internal/view"
)

// Event is an input of the router: a pointer to one of the event types of this
// package, of package member or of package balancer.
type Event any

// Source identifies where received values came from.
type Source uint8

// Sources of values. The zero Source means that no value was received yet.
const (
	FromPlatform Source = iota + 1
	FromPeer
)

// String returns "platform", "peer" or, for the zero value, "none".
func (s Source) String() string {
	switch s {
	case FromPlatform:
		return "platform"
	case FromPeer:
		return "peer"
	default:
		return "none"
	}
}

// ValuesReceived reports the result of a successful fetch from a peer or read
// of the platform. Values may be empty.
type ValuesReceived struct {
	Source Source
	// From is the peer that sent the values. It is zero for the platform and
	// for peers queried by address only.
	From   view.ID
	Values []view.Value
	// RequestedAt is the time at which the request was sent, zero if unknown.
	RequestedAt time.Time
}

// PlatformReadFailed reports that a read of the platform failed.
type PlatformReadFailed struct{ Err error }

// FetchFailed reports that a fetch of values from a peer failed.
type FetchFailed struct {
	Peer view.ID
	Err  error
}

// Events that are passed on to package member.
type (
	// ProbeReceived is a probe from a peer. The router replies with a
	// ProbeReply effect.
	ProbeReceived = member.ProbeReceived
	// ProbeAcknowledged is a peer's response to a Probe effect.
	ProbeAcknowledged = member.ProbeAcknowledged
	// ProbeFailed reports that a Probe effect got no response in time.
	ProbeFailed = member.ProbeFailed
	// IndirectProbeResult reports the result of an IndirectProbe effect.
	IndirectProbeResult = member.IndirectProbeResult
)
