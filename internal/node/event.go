package node

import (
	"time"

	"github.com/chervilhaven/chervilhaven/internal/member"
	"github.com/chervilhaven/chervilhaven/internal/view"
)

// Event is something that happened to the instance: one of the events of this
// package or a pointer to an event of package balancer. Events are pointers.
type Event any

// Source says where published values came from.
type Source uint8

// Sources of values.
const (
	FromPlatform Source = iota + 1
	FromPeer
)

// String returns the name of the source.
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

// ValuesReceived brings published values, possibly none.
type ValuesReceived struct {
	Source Source
	// From is the peer, zero for the platform.
	From   view.ID
	Values []view.Value
	// Asked is the time at which the values were asked for, zero where unknown.
	Asked time.Time
}

// PlatformFailed tells that a read of the platform failed.
type PlatformFailed struct{ Err error }

// PeerFailed tells that a fetch of values from a peer failed.
type PeerFailed struct {
	Peer view.ID
	Err  error
}

// Events of package member, passed on to it.
type (
	// ProbeReceived is a probe from a peer, answered by AnswerProbe.
	ProbeReceived = member.ProbeReceived
	// ProbeAcknowledged is a peer's answer to a Probe effect.
	ProbeAcknowledged = member.ProbeAcknowledged
	// ProbeFailed tells that a Probe effect found no answer in time.
	ProbeFailed = member.ProbeFailed
	// IndirectProbeResult is the answer to a ProbeFor effect.
	IndirectProbeResult = member.IndirectProbeResult
)
