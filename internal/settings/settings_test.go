package settings_test

import (
	"net/netip"
	"os"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"
	"go.uber.org/zap/zapcore"

	"github.com/chervilhaven/chervilhaven/examples"
	"github.com/chervilhaven/chervilhaven/internal/settings"
	"github.com/chervilhaven/chervilhaven/internal/yamlfile"
)

const requiredSettings = `name: office-a
data-centre: office
packets: 10.0.0.1:6081
peers: 10.0.0.1:7400
inspect: "[::]:7401"
platform: [10.0.0.2:8400]
fabric: [10.0.0.3:6081]
`

func TestParseReportsEveryFault(t *testing.T) {
	content, err := os.ReadFile("testdata/faults.yaml")
	if err != nil {
		t.Fatal(err)
	}
	_, err = settings.Parse("faults.yaml", content)
	if err == nil {
		t.Fatal("a file full of faults was accepted")
	}
	goldie.New(t).Assert(t, "faults", []byte(err.Error()+"\n"))
}

func TestParse(t *testing.T) {
	want := settings.Settings{
		Name: "office-a", DataCentre: "office",
		Packets:  netip.MustParseAddrPort("10.0.0.1:6081"),
		Peers:    netip.MustParseAddrPort("10.0.0.1:7400"),
		Inspect:  netip.MustParseAddrPort("[::]:7401"),
		Platform: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:8400")},
		Fabric:   []netip.AddrPort{netip.MustParseAddrPort("10.0.0.3:6081")},
		Limits:   settings.Limits{MaxFlows: settings.DefaultMaxFlows, ControlBytesPerSecond: settings.DefaultControlBytesPerSecond},
	}
	full := want
	full.Bootstrap = []netip.AddrPort{netip.MustParseAddrPort("10.0.0.4:7400")}
	full.LogLevel = zapcore.DebugLevel
	full.Limits = settings.Limits{MaxFlows: 1000, ControlBytesPerSecond: 2048}
	full.Keys = []settings.Key{
		{ID: 2, Secret: [16]byte{0x00, 0x11, 0x22, 0x33, 0x44, 0x55, 0x66, 0x77, 0x88, 0x99, 0x00, 0x11, 0x22, 0x33, 0x44, 0x55}},
		{ID: 1, Secret: [16]byte{15: 0xff}},
	}
	options := `bootstrap: [10.0.0.4:7400]
log-level: debug
limits: {flows: 1000, control-bytes-per-second: 2048}
keys:
  - {id: 2, secret-hex: 00112233445566778899001122334455}
  - {id: 1, secret-hex: "000000000000000000000000000000ff"}
`
	for content, want := range map[string]settings.Settings{requiredSettings: want, requiredSettings + options: full} {
		got, err := settings.Parse("settings.yaml", []byte(content))
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })); diff != "" {
			t.Errorf("settings (-want +got):\n%s", diff)
		}
	}
}

func FuzzParse(f *testing.F) {
	content, err := examples.Read("ocre/settings-office-a.yaml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(content)
	f.Add([]byte(requiredSettings))
	f.Fuzz(func(t *testing.T, content []byte) {
		s, err := settings.Parse("fuzz", content)
		if err == nil {
			if s.Name == "" || !s.Packets.IsValid() || s.Limits.MaxFlows == 0 || len(s.Fabric) == 0 {
				t.Errorf("accepted settings that lack required values: %+v", s)
			}
			return
		}
		var faults yamlfile.Faults
		if !errors.As(err, &faults) || len(faults) == 0 {
			t.Fatalf("error %v is not a yamlfile.Faults", err)
		}
	})
}
