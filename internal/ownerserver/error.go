package ownerserver

import (
	"fmt"
	"net/netip"

	"github.com/chervilhaven/chervilhaven/internal/view"
)

// ListenError reports that an address from the settings cannot be listened on.
// Setting is the name of the setting.
type ListenError struct {
	Setting string
	Address netip.AddrPort
	Cause   error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("%s: listen on %s: %v", e.Setting, e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// StoppedError reports that the instance stopped before it could respond.
type StoppedError struct{}

func (*StoppedError) Error() string { return "instance has stopped" }

// HTTPStatusError reports an unexpected HTTP status in a response of the
// platform or of an upstream's status endpoint.
type HTTPStatusError struct {
	URL  string
	Code int
}

func (e *HTTPStatusError) Error() string {
	return fmt.Sprintf("%s: unexpected HTTP status %d", e.URL, e.Code)
}

// TooLargeError reports that What exceeds its limit in bytes.
type TooLargeError struct {
	What  string
	Limit int64
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s: exceeds the limit of %d bytes", e.What, e.Limit)
}

// NoPlatformError reports that the settings contain no platform address.
type NoPlatformError struct{}

func (*NoPlatformError) Error() string { return "settings contain no platform address" }

// UnknownInstanceError reports an instance ID that is neither a known member
// nor listed in the view.
type UnknownInstanceError struct{ ID view.ID }

func (e *UnknownInstanceError) Error() string {
	return fmt.Sprintf("unknown instance %016x", uint64(e.ID))
}

// FlowError reports an invalid field of the flow in an Explain request.
type FlowError struct {
	Field string
	Cause error
}

func (e *FlowError) Error() string { return fmt.Sprintf("flow: %s: %v", e.Field, e.Cause) }

// Unwrap returns the cause.
func (e *FlowError) Unwrap() error { return e.Cause }

// AuthenticationError reports why a message between instances was rejected.
type AuthenticationError struct{ Reason string }

func (e *AuthenticationError) Error() string { return "authentication: " + e.Reason }

// UnknownProtocolError reports an IP protocol number other than TCP and UDP.
type UnknownProtocolError struct{ Number uint32 }

func (e *UnknownProtocolError) Error() string {
	return fmt.Sprintf("protocol %d: expected 6 (TCP) or 17 (UDP)", e.Number)
}
