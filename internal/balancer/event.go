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

// RelayedPacket is a packet relayed by another instance.
type RelayedPacket struct {
	// From is the instance that relayed the packet.
	From   view.ID
	Header relay.Header
	Packet flow.Packet
}

// ICMPErrorReceived is an ICMP error that the network sent about a response
// packet. Packet identifies the flow in the caller-to-upstream direction, so that
// the error is routed like the caller's own packets.
type ICMPErrorReceived struct {
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

// ReleaseRequested is a request from an instance that considers itself the new
// owner of the upstreams.
type ReleaseRequested struct {
	From      view.ID
	Upstreams []view.ID
}

// Resumed reports that the process was suspended for the duration Pause.
type Resumed struct {
	Pause time.Duration
}

// ViewConfirmed reports that a peer or the platform confirmed the view after the
// process resumed.
type ViewConfirmed struct{}

// StopRequested starts a planned stop, in which the instance hands over all its
// upstreams.
type StopRequested struct{}

// Tick advances timers. The runtime sends it every TickInterval.
type Tick struct{}

func (*FabricPacket) event()      {}
func (*RelayedPacket) event()     {}
func (*ICMPErrorReceived) event() {}
func (*ViewChanged) event()       {}
func (*MembersChanged) event()    {}
func (*StatusReported) event()    {}
func (*HandoverReceived) event()  {}
func (*ReleaseRequested) event()  {}
func (*Resumed) event()           {}
func (*ViewConfirmed) event()     {}
func (*StopRequested) event()     {}
func (*Tick) event()              {}

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
	// Backup is true for a message that only carries pointers for the receiver
	// to keep, so that a failure of the sender does not lose the flows: the
	// sender owns both their first choice and the upstream that holds them, no
	// search would reach that upstream, or the owner of their first choice
	// could not be told at once.
	Backup bool
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
