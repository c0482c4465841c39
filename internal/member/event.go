package member

import (
	"net/netip"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/view"
)

// Event is an input to Membership.Apply.
type Event interface{ event() }

// ViewChanged delivers a new configuration view with the platform's instance
// list.
type ViewChanged struct{ View *view.View }

// ProbeReceived is a probe from a peer. The runtime replies with the digest of
// the ProbeReply effect.
type ProbeReceived struct {
	From   view.ID
	Digest Digest
}

// ProbeAcknowledged is a peer's reply to a Probe effect.
type ProbeAcknowledged struct {
	From   view.ID
	Digest Digest
	// SentAt is the time at which the probe was sent, zero if unknown.
	SentAt time.Time
}

// ProbeFailed reports that a Probe effect got no reply in time.
type ProbeFailed struct {
	Target view.ID
	// Refused is true if the target's host refused the connection, so the
	// process has exited and is not merely slow or unreachable.
	Refused bool
}

// IndirectProbeResult is the result of an IndirectProbe effect. Reachable is also
// false if the helper itself could not be reached.
type IndirectProbeResult struct {
	Target    view.ID
	Reachable bool
}

// GossipRequested requests extra probes so that a recent change propagates
// quickly.
type GossipRequested struct{}

// Stopping reports that this instance has started a planned shutdown.
type Stopping struct{}

// Resumed reports that the process resumed after a pause of length Pause.
type Resumed struct{ Pause time.Duration }

// Tick lets timers expire. The runtime applies it periodically.
type Tick struct{}

func (*ViewChanged) event()         {}
func (*ProbeReceived) event()       {}
func (*ProbeAcknowledged) event()   {}
func (*ProbeFailed) event()         {}
func (*IndirectProbeResult) event() {}
func (*GossipRequested) event()     {}
func (*Stopping) event()            {}
func (*Resumed) event()             {}
func (*Tick) event()                {}

// EffectKind selects the action that the runtime takes for an Effect.
type EffectKind uint8

// Actions requested of the runtime.
const (
	// Probe sends Digest to the peer and reports ProbeAcknowledged or ProbeFailed
	// within Timeout.
	Probe EffectKind = iota + 1
	// IndirectProbe asks the peer to probe Target on behalf of this instance. The
	// runtime reports the result as IndirectProbeResult.
	IndirectProbe
	// ProbeReply sends Digest as the reply to the probe received in this call
	// of Apply.
	ProbeReply
	// MembersChanged delivers the new list of live members in Live.
	MembersChanged
)

// Effect is one action for the runtime to carry out. The fields in use depend
// on Kind.
type Effect struct {
	Kind    EffectKind
	Peer    view.ID
	Address netip.AddrPort
	Target  view.ID
	Digest  Digest
	Timeout time.Duration
	Live    []balancer.Member
}
