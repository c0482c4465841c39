package tokenrouter

// Counts are the counters of an instance since its start.
type Counts struct {
	// Opened counts flows that their caller acknowledged.
	Opened uint64 `json:"opened"`
	// Hedged counts openings sent to a further upstream.
	Hedged uint64 `json:"hedged"`
	// Pinned counts flows that stay at one upstream whatever token they carry.
	Pinned uint64 `json:"pinned"`
	// Corrected counts copies of opening packets that correct the answers of upstreams at
	// which the flow is not open.
	Corrected uint64 `json:"corrected"`
	// Refused counts openings that were reset.
	Refused uint64 `json:"refused"`
	// RefusedWithoutRoom counts those of them that no upstream could have answered in time.
	RefusedWithoutRoom uint64 `json:"refused-without-room"`
	// DroppedAfterPause counts opening packets that waited while the process was suspended.
	DroppedAfterPause uint64 `json:"dropped-after-pause"`
	// Held counts openings that waited for their caller's next packet before they asked for
	// room that was not there.
	Held uint64 `json:"held-back"`
	// Reset counts open flows that were reset because their upstream was out of reach.
	Reset uint64 `json:"reset"`
	// Ejected counts upstreams that got trial flows only because their answers came too
	// soon.
	Ejected uint64 `json:"ejected"`
	// Abandoned counts openings that no caller acknowledged.
	Abandoned uint64 `json:"abandoned"`
	// Forwarded counts packets of established flows.
	Forwarded uint64 `json:"forwarded"`
	// UnknownToken counts packets whose token matches no known upstream.
	UnknownToken uint64 `json:"unknown-token"`
	// UnansweredAsks counts requests for an upstream that the coordinator did not
	// answer in time.
	UnansweredAsks uint64 `json:"asked-alone"`
	// Malformed counts entries of the store that could not be decoded.
	Malformed uint64 `json:"malformed-entries"`
	// Stale counts items read from the store that were older than those held.
	Stale uint64 `json:"stale-items"`
}
