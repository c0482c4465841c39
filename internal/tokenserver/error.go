package tokenserver

import (
	"fmt"
	"net/netip"
)

// ListenError reports a failure to listen on an address.
type ListenError struct {
	// Use names the traffic that the address is for: "packets" or "peers".
	Use     string
	Address netip.AddrPort
	Cause   error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("%s: listen on %s: %v", e.Use, e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }
