package tokenrouter

import (
	"net/netip"
	"time"

	"github.com/chervilhaven/chervilhaven/internal/catalog"
	"github.com/chervilhaven/chervilhaven/internal/scheduler"
	"github.com/chervilhaven/chervilhaven/internal/token"
	"github.com/chervilhaven/chervilhaven/internal/work"
	"github.com/chervilhaven/chervilhaven/pkg/flow"
)

// Event is an input of Apply.
type Event interface{ event() }

// Packet is one packet from a caller. Raw is only valid during Apply.
type Packet struct {
	Source      netip.AddrPort
	Destination netip.AddrPort
	Role        flow.Role
	// Token is the token that the caller last received on this flow.
	Token token.Token
	// Retransmission is the number of the retransmission of an opening packet, 0
	// for the first transmission.
	Retransmission uint32
	// Head holds the numbers of the bytes that the packet carries and acknowledges.
	Head work.Head
	// Waited is true if the packet may have arrived while the process was suspended.
	Waited bool
	Raw    []byte
}

// StoreRead is the result of a ReadStore effect: the full content of the
// platform's store or the changes since a revision.
type StoreRead struct {
	Batch catalog.Batch
	// Malformed holds one error for each entry that could not be decoded.
	Malformed []error
}

// StoreFailed reports that a ReadStore effect failed.
type StoreFailed struct {
	Err error
	// HistoryLost is true if the store no longer holds the requested changes, so
	// that a full read is needed.
	HistoryLost bool
}

// MessageReceived is a datagram from another instance.
type MessageReceived struct {
	From    netip.AddrPort
	Message *Message
}

// Fetched is the result of a Fetch effect: catalog items from another instance.
type Fetched struct {
	From  netip.AddrPort
	Batch catalog.Batch
}

// FetchFailed reports that another instance did not answer a Fetch effect.
type FetchFailed struct {
	From netip.AddrPort
	Err  error
}

// SeedsChanged replaces the list of seed instances after the settings changed.
type SeedsChanged struct{ Seeds []netip.AddrPort }

// Resumed reports that the process was not scheduled for the duration Pause.
type Resumed struct{ Pause time.Duration }

// Dialed is the result of a Dial effect.
type Dialed struct {
	Number uint64
	Answer DialAnswer
}

// DialAnswer is what comes back from an upstream that is dialled.
type DialAnswer uint8

// Answers to a dial, by how much they speak for an upstream that does not work.
const (
	// Connected means that something accepts connections at the upstream's address.
	Connected DialAnswer = iota
	// Refused means that its host is reached and nothing accepts connections there.
	Refused
	// Silent means that nothing came back.
	Silent
)

// String returns the answer for log lines.
func (a DialAnswer) String() string { return [...]string{"connected", "refused", "silent", ""}[a&3] }

// Stopping announces the planned shutdown of this instance.
type Stopping struct{}

// Tick lets expired timers run. Next returns when it is due.
type Tick struct{}

func (*Packet) event()          {}
func (*StoreRead) event()       {}
func (*StoreFailed) event()     {}
func (*MessageReceived) event() {}
func (*Fetched) event()         {}
func (*FetchFailed) event()     {}
func (*SeedsChanged) event()    {}
func (*Resumed) event()         {}
func (*Dialed) event()          {}
func (*Stopping) event()        {}
func (*Tick) event()            {}

// Message is one datagram between instances.
type Message struct {
	DataCentre string
	Leaving    bool
	// Through is the position up to which the sender's catalog is complete.
	Through catalog.Position
	// Version is the version of the sender's configuration.
	Version uint64
	// Reads is true while the sender reads the platform's store successfully.
	Reads bool
	// Hello announces that the sender has just started. It requests an answer with
	// Peers.
	Hello bool
	// Answer is what the sender asks the receiver to send at once.
	Answer Answer
	// CutOff lists the data centres that the sender received messages from before
	// and no longer does.
	CutOff []string
	// Peers is what the sender knows of some other instances, by data centre.
	Peers []PeerGroup
	// Readers lists other instances that read the platform's store.
	Readers []Reader
	// Relay lists instances to which the receiver passes News on.
	Relay []netip.AddrPort
	// News holds catalog changes that the receiver may not have yet.
	News    *catalog.Batch
	Asks    []Ask
	Grants  []Grant
	Reports []Report
	Seeks   []Seek
	Pins    []Pin
	// Doubts are upstreams that may have restarted without their entries saying so.
	Doubts []scheduler.Doubt
	// Work is the work of upstreams for open flows whose packets pass the sender.
	Work []work.Total
	// OutOfReach lists upstreams that answer no open flow.
	OutOfReach []uint64
}

// Answer is the kind of an answer that a message requests.
type Answer uint8

// Kinds of answers.
const (
	NoAnswer Answer = iota
	// AnyMessage shows that the receiver is alive.
	AnyMessage
	// PeersMessage names many of the instances that the receiver knows.
	PeersMessage
)

// PeerGroup lists instances of one data centre.
type PeerGroup struct {
	DataCentre string
	Peers      []PeerState
}

// PeerState is what an instance knows of another one.
type PeerState struct {
	Address netip.AddrPort
	// Age is the time since the instance was last known to be alive or, if Dead,
	// since a neighbour found it dead.
	Age  time.Duration
	Dead bool
}

// Reader is an instance that reads the platform's store. Age is the time since it
// last said so.
type Reader struct {
	Address netip.AddrPort
	Age     time.Duration
}

// Ask requests an upstream for a new flow from the coordinator of a group of
// upstreams.
type Ask struct {
	// Flow is a hash of the flow's addresses. It identifies the flow in whichever
	// instance or process asks for it; the Grant repeats it.
	Flow    uint64
	Service string
	// Group is the number of the service's upstream group, which the coordinator
	// of that group serves.
	Group int
	// Avoid lists upstreams that did not answer the requesting instance.
	Avoid []uint64
	// Age is the time since the caller opened the flow, Seen the time since its
	// last packet. Target, Deadline, Priority and Bulk come from the route.
	Age      time.Duration
	Seen     time.Duration
	Target   time.Duration
	Deadline time.Duration
	Priority int
	Bulk     bool
}

// Grant answers an Ask with the number of the upstream for the flow, 0 if none is
// usable or the flow is queued.
type Grant struct {
	Flow     uint64
	Upstream uint64
	// Queued is true if the flow waits for a free slot at an upstream.
	Queued bool
	// Refused is true if no upstream can answer the flow while its caller waits.
	Refused bool
}

// Report tells the coordinator about flows at one upstream.
type Report struct {
	Upstream uint64
	// Finished holds the hashes of flows that ended, Moved those of flows that
	// were placed at another upstream instead.
	Finished []uint64
	Moved    []uint64
	// Taken holds flows that the coordinator did not place itself: the sender
	// placed them without asking, or it was the coordinator before and hands them
	// off.
	Taken []Taken
	// Unanswered holds the hashes of openings that were not acknowledged in time.
	Unanswered []uint64
	// Answered counts openings that the upstream answered, Silent those that were
	// sent to it but answered by another upstream.
	Answered int
	Silent   int
	// Idle holds flows that stay open after the answer to their first request.
	Idle []Taken
	// Stuck holds the hashes of open flows whose callers send their request again and again
	// without an answer.
	Stuck []uint64
}

// Taken is a flow that has occupied its upstream for the duration Age or, in
// Report.Idle, that its upstream answered that long ago.
type Taken struct {
	Flow uint64
	Age  time.Duration
	// Class is that of the flow, zero if it is not known.
	Class scheduler.Class
}

// EffectKind is the action that an Effect requests from the runtime.
type EffectKind uint8

// Kinds of effects.
const (
	// Forward sends Raw to the address Upstream of the upstream with the given
	// Number, with Token attached.
	Forward EffectKind = iota + 1
	// Refuse resets the flow from Source to Destination. Sequence is the number of the next
	// byte that the caller expects, any if the flow is not open.
	Refuse
	// ReadStore reads the changes after Since from the platform's store, or its
	// full content if Since is the zero Position. The store may wait up to Wait for the first
	// change. Each request fails after Timeout. The result is a StoreRead or
	// StoreFailed event.
	ReadStore
	// SendMessage sends Message to Peer.
	SendMessage
	// Fetch requests the catalog changes after Since from Peer and fails after
	// Timeout. The result is a Fetched or FetchFailed event.
	Fetch
	// Dial connects to the address Upstream of the upstream with the given Number and closes
	// the connection, or fails after Timeout. The result is a Dialed event.
	Dial
	// Log writes Line to the log.
	Log
	// ObserveDuration records the duration Wait in the metric that the field
	// DurationMetric names.
	ObserveDuration
)

// DurationMetric identifies a duration metric.
type DurationMetric uint8

// Duration metrics.
const (
	// TimeToConfiguration is the time from the start to the first configuration.
	TimeToConfiguration DurationMetric = iota
	// TimeToPlacement is the time from an opening packet to the choice of its
	// upstream.
	TimeToPlacement
	// TimeToAcknowledgement is the time from that choice to the caller's
	// acknowledgement.
	TimeToAcknowledgement
	// DurationMetricCount is the number of duration metrics.
	DurationMetricCount
)

// String returns the name of the metric.
func (o DurationMetric) String() string {
	return [...]string{"start_to_configuration", "opening_held", "opening_to_acknowledgement", ""}[o&3]
}

// Effect is one action for the runtime; the fields in use depend on Kind. Raw is
// valid until the next call of Apply.
type Effect struct {
	Kind           EffectKind
	Upstream       netip.AddrPort
	Number         uint64
	Token          token.Token
	Raw            []byte
	Source         netip.AddrPort
	Destination    netip.AddrPort
	Sequence       uint32
	Since          catalog.Position
	Wait           time.Duration
	Timeout        time.Duration
	Peer           netip.AddrPort
	Message        *Message
	Line           Line
	DurationMetric DurationMetric
}

// Line is a log line: the name of an event and its fields.
type Line struct {
	Event  string
	Fields []Field
}

// Field is one key and its value in a log line.
type Field struct{ Key, Value string }
