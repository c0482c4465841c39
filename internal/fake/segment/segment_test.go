package segment_test

import (
	"net/netip"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/chervilhaven/chervilhaven/internal/fake/segment"
)

func TestEncodeDecode(t *testing.T) {
	for _, source := range []string{"198.18.0.1:1000", "[2001:db8::1]:1000"} {
		want := segment.Segment{
			Source: netip.MustParseAddrPort(source), Destination: netip.MustParseAddrPort(source),
			Flags: segment.PSH | segment.ACK, Sequence: 7, Acknowledgement: 9, Payload: []byte("ticket"),
		}
		datagram, err := want.Encode(4711)
		if err != nil {
			t.Fatal(err)
		}
		vni, got, err := segment.Decode(datagram)
		if err != nil || vni != 4711 {
			t.Fatalf("decoded VNI %d, error %v; want 4711 and no error", vni, err)
		}
		if diff := cmp.Diff(want, got, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
			t.Error(diff)
		}
		if _, _, err := segment.Decode(datagram[:30]); err == nil {
			t.Error("a datagram truncated to 30 bytes was decoded without an error")
		}
	}
}
