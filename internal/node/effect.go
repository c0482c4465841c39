package node

import (
	"net/netip"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/balancer"
	"github.com/chervilhaven/chervilhaven/internal/member"
	"github.com/chervilhaven/chervilhaven/internal/view"
)

// EffectKind says which field of an Effect is meant.
type EffectKind uint8

// Kinds of effects.
const (
	// Balance carries an effect of package balancer in Balancer.
	Balance EffectKind = iota + 1
	// Probe sends Digest to the peer at Address and reports ProbeAcknowledged or
	// ProbeFailed within Timeout.
	Probe
	// ProbeFor asks the peer at Address to probe Target.
	ProbeFor
	// Fetch asks the peer at Address for the values newer than Have.
	Fetch
	// ReadPlatform reads the values newer than Have from the platform and
	// reports ValuesReceived or PlatformFailed. Wait is the time that the
	// platform may hold the read open, zero for an immediate answer.
	ReadPlatform
	// AnswerProbe is the reply to the ProbeReceived of this Apply.
	AnswerProbe
	// LogChange reports Text as a log event with Fields.
	LogChange
)

// Field is one key and value of a log event.
type Field struct {
	Key   string
	Value string
}

// Effect is one thing that the runtime has to carry out.
type Effect struct {
	Kind     EffectKind
	Balancer balancer.Effect
	// Peer and Address (the peer's RPC address) say whom to ask.
	Peer    view.ID
	Address netip.AddrPort
	Target  view.ID
	Digest  member.Digest
	Have    []view.KeyVersion
	// Since is the version from which ReadPlatform asks for changes.
	Since   view.Version
	Wait    time.Duration
	Timeout time.Duration
	Text    string
	Fields  []Field
}
