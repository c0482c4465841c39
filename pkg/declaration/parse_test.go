package declaration_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"

	"github.com/chervilhaven/chervilhaven/examples"
	"github.com/chervilhaven/chervilhaven/internal/yamlfile"
	"github.com/chervilhaven/chervilhaven/pkg/declaration"
)

func TestParseReportsEveryFault(t *testing.T) {
	content, err := os.ReadFile("testdata/faults.yaml")
	if err != nil {
		t.Fatal(err)
	}
	_, err = declaration.ParseWithServices("faults.yaml", content, []string{"lot-ledger"})
	if err == nil {
		t.Fatal("faulty file was accepted")
	}
	goldie.New(t).Assert(t, "faults", []byte(err.Error()+"\n"))
}

// Without an inventory, a class may name any service. With an empty inventory,
// every service is unresolved.
func TestParseAcceptsAnyService(t *testing.T) {
	content, err := examples.Read("ocre/declarations.yaml")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := declaration.Parse("declarations.yaml", content); err != nil {
		t.Errorf("Parse without service names: %v", err)
	}
	_, err = declaration.ParseWithServices("declarations.yaml", content, nil)
	var faults yamlfile.Faults
	if !errors.As(err, &faults) || faults[0].Kind != yamlfile.Unresolved {
		t.Errorf("error %v, want unresolved services", err)
	}
}

func FuzzParse(f *testing.F) {
	for _, path := range []string{"ocre/declarations.yaml", "vatulele/declarations.yaml"} {
		content, err := examples.Read(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	faults, err := os.ReadFile("testdata/faults.yaml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(faults)
	f.Fuzz(func(t *testing.T, content []byte) {
		parsed, err := declaration.Parse("fuzz", content)
		if err != nil {
			var faults yamlfile.Faults
			if !errors.As(err, &faults) || len(faults) == 0 {
				t.Fatalf("error %v is not a Faults", err)
			}
			return
		}
		written, err := yaml.Marshal(parsed)
		if err != nil {
			t.Fatal(err)
		}
		again, err := declaration.Parse("written", written)
		if diff := cmp.Diff(parsed, again); err != nil || diff != "" {
			t.Errorf("marshalled and parsed again: %v\n%s\n%s", err, diff, written)
		}
	})
}

func BenchmarkParse(b *testing.B) {
	for _, classes := range []int{10, 1000, 10_000} {
		var d declaration.Declarations
		for i := range classes {
			d.Classes = append(d.Classes, declaration.Class{
				Name: fmt.Sprintf("class-%d", i), Service: "lot-ledger", Port: uint16(i + 1),
				Target: declaration.Target{AnswerWithin: time.Second, Share: 0.99},
			})
		}
		content, err := yaml.Marshal(d)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(strconv.Itoa(classes), func(b *testing.B) {
			b.SetBytes(int64(len(content)))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := declaration.Parse("declarations.yaml", content); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
