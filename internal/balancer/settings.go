package balancer

import "time"

// Default settings.
const (
	defaultImbalance     = 1.08
	defaultViewSkew      = 3 * time.Second
	defaultIdleLimit     = 15 * time.Minute
	defaultHealthyWindow = time.Second
	defaultOpenTimeout   = 10 * time.Second
	defaultFlows         = 500_000
	defaultControlBytes  = 4096
)

const (
	// TickInterval is the time between Tick events.
	TickInterval = 100 * time.Millisecond
	// fetchInterval is the minimum time between two FetchView effects.
	fetchInterval = 500 * time.Millisecond
	// pollInterval is the minimum time between two polls of one upstream.
	pollInterval = time.Second
	// retryWindow is the time within which callers retransmit an opening
	// packet.
	retryWindow = 10 * time.Second
	// takeoverPause is the shortest pause after which other instances may have
	// declared this one dead.
	takeoverPause = 2 * time.Second
	// releaseRetryInterval is the time between release requests to a previous
	// owner that has not responded.
	releaseRetryInterval = time.Second
	// releaseTimeout is the time within which an instance that requested an
	// upstream must become a known member, and within which a previous owner
	// must respond.
	releaseTimeout = 10 * time.Second
	// discoveryTime is the time within which a new owner sees a packet of each
	// active flow.
	discoveryTime = 30 * time.Second
	// duplicateWindow is the time within which copies of one packet arrive.
	// Callers wait longer than this before they retransmit an opening packet.
	duplicateWindow = 250 * time.Millisecond
	// closeLinger is how long a closing flow is kept for late packets.
	closeLinger = time.Second
	// transferLinger is the time without response progress after which a flow's
	// slot counts as free.
	transferLinger = 200 * time.Millisecond
	// requestTimeout is the time without any response after which a request
	// counts as abandoned by the caller.
	requestTimeout = 30 * time.Second
	// sweepTicks is the number of ticks in which a sweep visits every flow
	// once.
	sweepTicks = 20
	// maxPreviousTables limits the previous placement tables kept for searches.
	maxPreviousTables = 3
	// pollBytes is the number of bytes on the wire to poll one upstream.
	pollBytes = 400
	// controlDivisor splits the control budget into equal parts, one in
	// controlDivisor each. One part is for status polls, one for the sustained
	// rate of handovers and reports, and one for the bursts for which those may
	// accumulate credit. The last part is left to membership and configuration.
	controlDivisor = 4
	// reportBytes is the size of a report of where a flow was found. The report
	// is a copy of the flow's packet; its payload comes on top.
	reportBytes = 160
	// handoverPartFlows is the maximum number of records and pointers in one
	// part of a handover.
	handoverPartFlows = 16
	// handoverFlowBytes is the size on the wire of one record or pointer in a
	// handover.
	handoverFlowBytes = 32
	// handoverOverheadBytes is the size of one part of a handover without its
	// records and pointers.
	handoverOverheadBytes = 64
)

// Settings tunes a Balancer. Zero fields take their defaults. The boolean
// fields disable individual rules, so that benchmarks can measure what each
// rule contributes.
type Settings struct {
	// ImbalanceFactor limits the open flows of an upstream to this multiple of
	// the mean of its service. It must be above 1.
	ImbalanceFactor float64
	// ViewSkew is the time within which all instances learn of a change.
	ViewSkew time.Duration
	// IdleLimit is the time after which the record of an idle flow is removed.
	IdleLimit time.Duration
	// HealthyWindow is how long an upstream must stay healthy for its limit to
	// double.
	HealthyWindow time.Duration
	// OpenTimeout is how long an opening flow may stay unanswered before its
	// record is removed.
	OpenTimeout time.Duration
	// MaxFlows limits the records and pointers that the instance keeps.
	MaxFlows int
	// ControlBytesPerSecond is the budget for messages between instances, in
	// bytes per second.
	ControlBytesPerSecond int

	// IgnoreSlots admits flows even if all slots of the upstream are busy.
	IgnoreSlots bool
	// IgnoreVersions routes by the receiver's view without comparing versions.
	IgnoreVersions bool
	// AdmitWithoutSearch admits flows without a search even if the preference
	// list has changed.
	AdmitWithoutSearch bool
	// AdoptWithoutSearch adopts unknown flows at once instead of searching for
	// their records.
	AdoptWithoutSearch bool
	// DropLostFlows drops the packets of flows lost with a data centre that is
	// out of service, instead of resetting those flows.
	DropLostFlows bool
}

func (s Settings) withDefaults() Settings {
	s.ImbalanceFactor = orDefault(s.ImbalanceFactor, defaultImbalance)
	s.ViewSkew = orDefault(s.ViewSkew, defaultViewSkew)
	s.IdleLimit = orDefault(s.IdleLimit, defaultIdleLimit)
	s.HealthyWindow = orDefault(s.HealthyWindow, defaultHealthyWindow)
	s.OpenTimeout = orDefault(s.OpenTimeout, defaultOpenTimeout)
	s.MaxFlows = orDefault(s.MaxFlows, defaultFlows)
	s.ControlBytesPerSecond = orDefault(s.ControlBytesPerSecond, defaultControlBytes)
	return s
}

func orDefault[T int | float64 | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}
