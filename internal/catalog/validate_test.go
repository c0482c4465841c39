package catalog

import (
	"errors"
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"
)

func TestValidateReportsFieldOutOfRange(t *testing.T) {
	valid := Upstream{
		Number: 1, Service: "desk", Address: netip.MustParseAddrPort("10.0.0.1:80"), DataCentre: "a", Slots: 2, ColdFor: time.Second, Started: time.UnixMilli(1_700_000_000_000),
	}
	if err := valid.Validate(); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func(u *Upstream){
		"number":         func(u *Upstream) { u.Number = 0 },
		"no service":     func(u *Upstream) { u.Service = "" },
		"long service":   func(u *Upstream) { u.Service = strings.Repeat("s", 1<<20) },
		"no zone":        func(u *Upstream) { u.DataCentre = "" },
		"long zone":      func(u *Upstream) { u.DataCentre = strings.Repeat("z", 1<<20) },
		"no address":     func(u *Upstream) { u.Address = netip.AddrPort{} },
		"no port":        func(u *Upstream) { u.Address = netip.MustParseAddrPort("10.0.0.1:0") },
		"IPv6":           func(u *Upstream) { u.Address = netip.MustParseAddrPort("[::1]:80") },
		"any address":    func(u *Upstream) { u.Address = netip.MustParseAddrPort("0.0.0.0:80") },
		"multicast":      func(u *Upstream) { u.Address = netip.MustParseAddrPort("224.0.0.1:80") },
		"broadcast":      func(u *Upstream) { u.Address = netip.MustParseAddrPort("255.255.255.255:80") },
		"no slots":       func(u *Upstream) { u.Slots = 0 },
		"too many slots": func(u *Upstream) { u.Slots = math.MaxInt },
		"cold before":    func(u *Upstream) { u.ColdFor = -1 },
		"cold for ever":  func(u *Upstream) { u.ColdFor = math.MaxInt64 },
		"early start":    func(u *Upstream) { u.Started = time.UnixMilli(math.MinInt64) },
		"late start":     func(u *Upstream) { u.Started = time.UnixMilli(math.MaxInt64) },
	} {
		t.Run(name, func(t *testing.T) {
			u := valid
			change(&u)
			var typed *FieldError
			if err := u.Validate(); !errors.As(err, &typed) || len(err.Error()) > 100 {
				t.Errorf("error %.200v, want a short FieldError", err)
			}
		})
	}
}
