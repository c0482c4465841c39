// Package relay defines the header that instances attach to the packets they
// forward to each other. It is encoded as one Geneve option.
package relay

import (
	"github.com/chervilhaven/chervilhaven/internal/view"
)

// Flags are the flags of a relayed packet.
type Flags uint8

// Flag values.
const (
	// Search asks for the instance that holds the flow. No instance on the way
	// may admit the flow.
	Search Flags = 1 << iota
	// SearchExhausted reports that a search found no holder of the flow, so the
	// target may admit it.
	SearchExhausted
	// AdoptUnrecorded tells the target to adopt the flow although it has no
	// record of it.
	AdoptUnrecorded
	// Inconclusive reports that the owner of some upstream on the search path
	// could not be asked, so the flow must not be refused.
	Inconclusive
	// NotFound reports that the sender was asked as an owner of the target
	// upstream and has no record of the flow.
	NotFound
	// Redirected reports that the sender has a pointer which says that the flow
	// was passed on to the target.
	Redirected
	// PlacementReport tells the owner of the flow's first choice that Target
	// holds the flow. The packet itself has already been forwarded.
	PlacementReport
	// ForceAdmit tells the target to admit the flow even if its slots are busy or
	// it holds more than its share.
	ForceAdmit
)

// Has reports whether f contains all of flags.
func (f Flags) Has(flags Flags) bool {
	return f&flags == flags
}

// MaxHops limits the number of times that one packet is relayed.
const MaxHops = 16

// Header is the metadata sent with a relayed packet.
type Header struct {
	// Version is the version of the view that the sender used for routing.
	Version view.Version
	// Target is the upstream to whose owner the packet is sent.
	Target view.ID
	// Candidate depends on the kind of packet. For packets of a flow it is the
	// first upstream on the search path whose owner could not exclude holding
	// the flow. For opening packets it is the first upstream that had capacity
	// for the flow but passed the packet on. It is zero if there is none.
	Candidate view.ID
	// Visited has one bit for each position on the flow's search path, set if
	// the owner of that upstream has seen the packet.
	Visited uint8
	// Hops is the number of times the packet has been relayed, including this
	// one.
	Hops  uint8
	Flags Flags
	// OrderHash is a fingerprint of the search path to which Visited refers.
	// It is zero while Visited is empty.
	OrderHash uint16
	// Load is the sender's load for the service of the packet.
	Load Load
}

// Load is the number of open flows on the sender's upstreams of one service,
// and the number of those upstreams. It is included in every relayed packet, so
// that owners know the mean load of a service without separate messages.
type Load struct {
	OpenFlows uint32
	Upstreams uint16
}
