package edge

// Counts are the decisions of an instance since its start.
type Counts struct {
	// Opened counts flows that their caller acknowledged.
	Opened uint64
	// Hedged counts openings sent to a further upstream.
	Hedged uint64
	// Refused counts openings that were reset.
	Refused uint64
	// Abandoned counts openings that no caller acknowledged.
	Abandoned uint64
	// Forwarded counts packets of established flows.
	Forwarded uint64
	// UnknownToken counts packets whose token names no known upstream.
	UnknownToken uint64
	// AskedAlone counts asks that the accounting instance did not answer.
	AskedAlone uint64
	// Malformed counts entries of the store that could not be read.
	Malformed uint64
}
