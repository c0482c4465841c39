package inventory_test

import (
	"net/netip"
	"os"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"

	"github.com/chervilhaven/chervilhaven/examples"
	"github.com/chervilhaven/chervilhaven/internal/yamlfile"
	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

// compareAddresses lets go-cmp compare netip values.
func compareAddresses() cmp.Options {
	return cmp.Options{
		cmp.Comparer(func(a, b netip.Addr) bool { return a == b }),
		cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }),
	}
}

func read(t testing.TB, path string) []byte {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

func TestParseReportsEveryFault(t *testing.T) {
	_, err := inventory.Parse("faults.yaml", read(t, "testdata/faults.yaml"))
	if err == nil {
		t.Fatal("faulty file was accepted")
	}
	goldie.New(t).Assert(t, "faults", []byte(err.Error()+"\n"))
}

func TestParseMovesReportsEveryFault(t *testing.T) {
	_, err := inventory.ParseMovesWithDataCentres("moves-faults.yaml", read(t, "testdata/moves-faults.yaml"), []string{"pit-norte"})
	if err == nil {
		t.Fatal("faulty file was accepted")
	}
	goldie.New(t).Assert(t, "moves-faults", []byte(err.Error()+"\n"))
}

func TestParseMovesAcceptsAnyDataCentre(t *testing.T) {
	got, err := inventory.ParseMoves("moves.yaml", []byte("out: [anywhere]\n"))
	if diff := cmp.Diff(inventory.Moves{Out: []string{"anywhere"}}, got); err != nil || diff != "" {
		t.Errorf("moves (-want +got): %v\n%s", err, diff)
	}
}

func FuzzParse(f *testing.F) {
	for _, path := range []string{"ocre/inventory.yaml", "handover/inventory.yaml"} {
		content, err := examples.Read(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	f.Add(read(f, "testdata/faults.yaml"))
	// A small seed lets the fuzzer's mutations cover more of the structure.
	f.Add([]byte("services: [{name: a, number: 1, addresses: [192.0.2.1]}]\n" +
		"data-centres: [{name: d, region: r, instances: [], upstreams: [" +
		"{name: u, service: a, packets: '10.0.0.1:1', status: '10.0.0.1:2', slots: 2, connections: 9, state: active}]}]\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		parsed, err := inventory.Parse("fuzz", content)
		if err != nil {
			requireFaults(t, err)
			return
		}
		written, err := yaml.Marshal(parsed)
		if err != nil {
			t.Fatal(err)
		}
		again, err := inventory.Parse("written", written)
		if diff := cmp.Diff(parsed, again, compareAddresses()); err != nil || diff != "" {
			t.Errorf("marshalled and parsed again: %v\n%s\n%s", err, diff, written)
		}
	})
}

func FuzzParseMoves(f *testing.F) {
	f.Add([]byte("out: [pit-norte, office]\n"))
	f.Add(read(f, "testdata/moves-faults.yaml"))
	f.Fuzz(func(t *testing.T, content []byte) {
		parsed, err := inventory.ParseMoves("fuzz", content)
		if err != nil {
			requireFaults(t, err)
			return
		}
		written, err := yaml.Marshal(parsed)
		if err != nil {
			t.Fatal(err)
		}
		again, err := inventory.ParseMoves("written", written)
		if diff := cmp.Diff(parsed, again); err != nil || diff != "" {
			t.Errorf("marshalled and parsed again: %v\n%s\n%s", err, diff, written)
		}
	})
}

func requireFaults(t *testing.T, err error) {
	t.Helper()
	var faults yamlfile.Faults
	if !errors.As(err, &faults) || len(faults) == 0 {
		t.Fatalf("error %v is not a Faults", err)
	}
}
