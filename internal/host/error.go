package host

import (
	"fmt"
	"net/netip"
)

// ListenError reports an address that cannot be listened on.
type ListenError struct {
	// Use is what the address is for.
	Use     string
	Address netip.AddrPort
	Cause   error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("%s: listen on %s: %v", e.Use, e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }
