package catalog

import (
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"time"
)

// Limits on what an upstream publishes about itself. Values beyond them come from another
// writer or a fault, and sums and products of values within them do not overflow.
const (
	maxNameBytes = 255
	maxSlots     = 1 << 20
	maxColdFor   = 24 * time.Hour
	// maxPrintedBytes limits the part of a value that an error contains.
	maxPrintedBytes = 40
)

// maxStarted is the end of the last year that time formats can print.
var maxStarted = time.Date(9999, time.December, 31, 23, 59, 59, 0, time.UTC) //nolint:gochecknoglobals // There are no constants of this type.

// FieldError reports a field of an upstream with a value that no upstream can have.
type FieldError struct {
	Field string
	Value string
}

func (e *FieldError) Error() string { return fmt.Sprintf("%s %s is out of range", e.Field, e.Value) }

// Validate returns a FieldError for the first field that no upstream can have.
func (u *Upstream) Validate() error {
	switch {
	case u.Number == 0:
		return &FieldError{"number", "0"}
	case !isName(u.Service):
		return &FieldError{"service", quote(u.Service)}
	case !isName(u.DataCentre):
		return &FieldError{"data centre", quote(u.DataCentre)}
	case !isUnicast(u.Address):
		return &FieldError{"address", u.Address.String()}
	case u.Slots < 1 || u.Slots > maxSlots:
		return &FieldError{"slots", strconv.Itoa(u.Slots)}
	case u.ColdFor < 0 || u.ColdFor > maxColdFor:
		return &FieldError{"cold time", u.ColdFor.String()}
	case !isStart(u.Started):
		return &FieldError{"start", strconv.FormatInt(u.Started.UnixMilli(), 10)}
	default:
		return nil
	}
}

func isName(s string) bool { return s != "" && len(s) <= maxNameBytes }

// isStart reports whether a process can have started at a time. The zero time stands for
// an unknown one.
func isStart(t time.Time) bool {
	return t.IsZero() || t.UnixMilli() >= 0 && !t.After(maxStarted)
}

// isUnicast reports whether a single IPv4 host can have the address.
func isUnicast(a netip.AddrPort) bool {
	ip := a.Addr()
	return ip.Is4() && a.Port() != 0 && !ip.IsUnspecified() && !ip.IsMulticast() && ip != netip.AddrFrom4([4]byte{math.MaxUint8, math.MaxUint8, math.MaxUint8, math.MaxUint8})
}

func quote(s string) string { return strconv.Quote(s[:min(len(s), maxPrintedBytes)]) }
