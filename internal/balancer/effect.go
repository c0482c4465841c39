package balancer

import (
	"net/netip"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/relay"
	"github.com/chervilhaven/chervilhaven/internal/view"
)

// EffectKind identifies the action that the runtime has to perform.
type EffectKind uint8

// Kinds of effects. The first four concern the packet of the event. One event
// may yield a Forward and also a Relay of the same packet with the flag
// PlacementReport, which tells the owner of the flow's first choice where the
// flow is.
const (
	// Forward sends the packet to the upstream at Address, using Service as the
	// VNI.
	Forward EffectKind = iota + 1
	// Relay sends the packet with Header to the instance at Address.
	Relay
	// Refuse responds to the caller with a TCP reset sent through the fabric.
	Refuse
	// Drop discards the packet and counts it under Reason.
	Drop
	// SendHandover sends Handover to the instance Peer.
	SendHandover
	// RequestRelease requests that the instance Peer release Upstreams.
	RequestRelease
	// PollStatus reads the health and load endpoints of Upstream.
	PollStatus
	// FetchView fetches a configuration newer than Header.Version from another
	// instance.
	FetchView
	// Stopped reports that all handovers are finished and the process may exit.
	Stopped
)

// Reason states why a packet was dropped or refused.
type Reason uint8

// Reasons for dropping or refusing packets.
const (
	ReasonNone Reason = iota
	// ReasonNoService means that no service has the destination address.
	ReasonNoService
	// ReasonNoClass means that no class is declared for the destination port.
	ReasonNoClass
	// ReasonUnknownFlow means that no owner has a record of the flow and none
	// can still hold it.
	ReasonUnknownFlow
	// ReasonNoRoom means that every upstream on the preference list is full.
	ReasonNoRoom
	// ReasonUncertain means that some owner could not be reached or did not
	// have complete information, so that neither forwarding nor refusing would
	// be safe.
	ReasonUncertain
	// ReasonSuspectView means that the instance is waiting for its view to be
	// confirmed.
	ReasonSuspectView
	// ReasonGivenUp means that the flow was held in a data centre that has been
	// taken out of service.
	ReasonGivenUp
	// ReasonHops means that the packet exceeded the limit on relays.
	ReasonHops
	// ReasonNoOwner means that the upstream has no live owner.
	ReasonNoOwner
	// ReasonFlood means that the flow table has reached its limit.
	ReasonFlood
	// ReasonCount is the number of reasons.
	ReasonCount
)

// String returns the metric label of the reason.
func (r Reason) String() string {
	names := [ReasonCount]string{
		"none", "no-service", "no-class", "unknown-flow", "no-room", "uncertain",
		"suspect-view", "given-up", "hops", "no-owner", "flood",
	}
	if r < ReasonCount {
		return names[r]
	}
	return "unknown"
}

// Effect is one action for the runtime to perform. Kind determines which of the
// other fields are set.
type Effect struct {
	Kind    EffectKind
	Reason  Reason
	Service uint32
	// Upstream is the upstream that Forward, PollStatus and Drop refer to.
	Upstream view.ID
	// Peer is the instance that the effect is addressed to.
	Peer      view.ID
	Address   netip.AddrPort
	Header    relay.Header
	Handover  *Handover
	Upstreams []view.ID
}

// Policy decides what happens to packets. Balancer and the baseline policies
// implement it.
type Policy interface {
	// Apply updates the state for an event that occurs at time now and returns
	// the resulting effects. The returned slice is valid until the next call.
	Apply(now time.Time, event Event) []Effect
}
