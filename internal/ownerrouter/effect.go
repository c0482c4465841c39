package ownerrouter

import (
	"net/netip"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/member"
	"github.com/chervilhaven/chervilhaven/internal/view"
)

// EffectKind selects the action of an Effect and the fields that it uses.
type EffectKind uint8

// Kinds of effects.
const (
	// ApplyBalancerEffect executes the effect of package balancer in Balancer.
	ApplyBalancerEffect EffectKind = iota + 1
	// Probe sends Digest to the peer at Address. The runtime reports
	// ProbeAcknowledged or ProbeFailed within Timeout.
	Probe
	// IndirectProbe asks the peer at Address to probe Target on behalf of this
	// instance. The runtime reports IndirectProbeResult within Timeout.
	IndirectProbe
	// Fetch requests the values newer than Have from the peer at Address. The
	// runtime reports ValuesReceived or FetchFailed.
	Fetch
	// ReadPlatform reads the values newer than Since from the platform. The
	// runtime reports ValuesReceived or PlatformReadFailed. Wait is the time for
	// which the platform may hold the request open (long polling); zero
	// requests an immediate response.
	ReadPlatform
	// ProbeReply replies with Digest to the ProbeReceived event that this call
	// of Apply processed.
	ProbeReply
	// LogEvent logs Text as an event with Fields.
	LogEvent
)

// Field is one key-value pair of a log event.
type Field struct {
	Key   string
	Value string
}

// Effect is one action for the runtime to execute.
type Effect struct {
	Kind     EffectKind
	Balancer balancer.Effect
	// Peer and Address (its RPC address) identify the peer to call.
	Peer    view.ID
	Address netip.AddrPort
	Target  view.ID
	Digest  member.Digest
	Have    []view.KeyVersion
	// Since is the version after which ReadPlatform requests changes.
	Since   view.Version
	Wait    time.Duration
	Timeout time.Duration
	Text    string
	Fields  []Field
}
