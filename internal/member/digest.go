// Package member tracks which instances are alive. It starts from the instance
// list that the platform (the control plane) publishes, which may be stale, and
// corrects it with probes and gossip between instances as in SWIM (Das, Gupta,
// Motivala 2002). Instances of one data centre probe each other at random; only
// a few representatives of each data centre probe other data centres.
package member

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/view"
)

// Maximum number of entries in a Digest.
const (
	MaxDigestMembers       = 8
	MaxDigestKeys          = 4
	MaxDigestIntroductions = 2
)

// Status is the health of a member as last observed or gossiped.
type Status uint8

// Statuses of a member. A Suspect member failed a probe and is declared Dead
// unless it refutes the suspicion in time. A Leaving member is shutting down.
const (
	Alive Status = iota + 1
	Suspect
	Dead
	Leaving
)

// String returns the status in lower case, as logs and dumps show it.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Leaving:
		return "leaving"
	default:
		return "unknown"
	}
}

// rank returns the precedence of the status within one incarnation: the status
// with the higher rank wins.
func (s Status) rank() int {
	switch s {
	case Suspect:
		return 1
	case Leaving:
		return 2
	case Dead:
		return 3
	default:
		return 0
	}
}

// State is the status of one member as gossiped between instances. The state
// with the higher incarnation wins. Within one incarnation, Dead overrides
// Leaving, which overrides Suspect, which overrides Alive.
type State struct {
	ID          view.ID
	Incarnation uint64
	Status      Status
}

// supersedes reports whether s takes precedence over other.
func (s State) supersedes(other State) bool {
	if c := cmp.Compare(s.Incarnation, other.Incarnation); c != 0 {
		return c > 0
	}
	return s.Status.rank() > other.Status.rank()
}

// Introduction announces an instance that is not yet on the platform's list.
// Packets is its data-plane address and Peers its RPC address.
type Introduction struct {
	Name       string
	DataCentre string
	Packets    netip.AddrPort
	Peers      netip.AddrPort
}

// PlatformContact is the last successful read from the platform by any instance of
// the data centre.
type PlatformContact struct {
	// By is the instance that read from the platform, zero if there is none.
	By view.ID
	// Age is the time since that read.
	Age time.Duration
}

// Digest is the gossip payload carried by probes and their replies.
type Digest struct {
	// Version is the version of the sender's configuration view.
	Version view.Version
	// Members starts with the sender's own state, followed by recent changes
	// and members that are not alive, up to MaxDigestMembers in total.
	Members []State
	// Keys are the most recently changed configuration keys, newest first, up
	// to MaxDigestKeys.
	Keys []view.KeyVersion
	// Introductions are members that are not yet on the platform's list, up to
	// MaxDigestIntroductions.
	Introductions []Introduction
	// Platform is the last successful read from the platform by any instance of
	// the sender's data centre.
	Platform PlatformContact
}
