package balancer

import (
	"net/netip"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/relay"
	"github.com/chervilhaven/chervilhaven/internal/view"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// Event is an input of Apply. All events are pointers, so that the packet path
// can reuse them instead of allocating.
type Event interface{ event() }

// FabricPacket is a packet received from the fabric.
type FabricPacket struct {
	Packet flow.Packet
}

// PeerPacket is a packet relayed by another instance.
type PeerPacket struct {
	// From is the instance that relayed the packet.
	From   view.ID
	Header relay.Header
	Packet flow.Packet
}

// QuotedPacket is an ICMP error that the network sent about a response packet.
// Packet identifies the flow in the caller-to-upstream direction, so that the
// error is routed like the caller's own packets.
type QuotedPacket struct {
	Packet flow.Packet
}

// ViewChanged delivers a new view of the configuration.
type ViewChanged struct {
	View *view.View
}

// MembersChanged delivers the list of instances believed to be alive, including
// the receiver itself.
type MembersChanged struct {
	Live []Member
}

// Member describes one live instance.
type Member struct {
	ID         view.ID
	DataCentre string
	Packets    netip.AddrPort
	// Leaving is true for an instance that is shutting down. It owns no
	// upstreams but still relays packets.
	Leaving bool
	// Unreachable is true for an instance that does not respond to this one but
	// recently responded to another, or that a partition cuts off. It keeps its
	// upstreams.
	Unreachable bool
}

// StatusReported is the result of polling an upstream's health and load
// endpoints.
type StatusReported struct {
	Upstream view.ID
	// Err is set if the endpoints could not be read.
	Err error
	// Ready is the result of the health endpoint.
	Ready    bool
	Draining bool
	// Started is the start time of the upstream's process, as reported by the
	// upstream.
	Started time.Time
	// Open is the number of open flows reported by the upstream.
	Open int
	// Busy is the number of slots in use.
	Busy int
	// Shedding is true while the upstream refuses work.
	Shedding bool
}

// HandoverReceived delivers the state of an upstream from its previous owner.
type HandoverReceived struct {
	From     view.ID
	Handover Handover
}

// ReleaseAsked is a request from an instance that considers itself the new
// owner of the upstreams.
type ReleaseAsked struct {
	From      view.ID
	Upstreams []view.ID
}

// Woke reports that the process was suspended for the duration Gap.
type Woke struct {
	Gap time.Duration
}

// Confirmed reports that a peer or the platform confirmed the view after Woke.
type Confirmed struct{}

// Stopping starts a planned stop, in which the instance hands over all its
// upstreams.
type Stopping struct{}

// Tick advances timers. The runtime sends it every TickInterval.
type Tick struct{}

func (*FabricPacket) event()     {}
func (*PeerPacket) event()       {}
func (*QuotedPacket) event()     {}
func (*ViewChanged) event()      {}
func (*MembersChanged) event()   {}
func (*StatusReported) event()   {}
func (*HandoverReceived) event() {}
func (*ReleaseAsked) event()     {}
func (*Woke) event()             {}
func (*Confirmed) event()        {}
func (*Stopping) event()         {}
func (*Tick) event()             {}

// Handover transfers the state of one upstream that hashing alone does not
// determine. It is sent in parts small enough for the control budget.
type Handover struct {
	Upstream view.ID
	// Open is the number of open flows counted by the previous owner.
	Open int
	// Limit is the number of open flows that the previous owner allowed.
	Limit int
	// Records lists flows held by the upstream that have another upstream as
	// their first choice.
	Records []flow.ID
	// Pointers lists flows that have the upstream as their first choice but
	// were passed on to another one.
	Pointers []Pointer
	// Witness is true for a message that only carries pointers for the receiver
	// to keep, so that a failure of the sender does not lose the flows: the
	// sender owns both their first choice and the upstream that holds them, no
	// search would reach that upstream, or the owner of their first choice
	// could not be told at once.
	Witness bool
	// Complete is true if the previous owner knew every flow of the upstream.
	Complete bool
	// Last is true for the final part. The previous owner admits no flows after
	// it.
	Last bool
}

// Pointer records that a flow was passed on from its first choice to the
// upstream To.
type Pointer struct {
	Flow flow.ID
	To   view.ID
}
