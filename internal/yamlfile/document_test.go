package yamlfile

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"
)

// readItems accepts only the key "items".
func readItems(m *Map) []string {
	return List(m.Get("items"), Value.Text)
}

func TestReadRejects(t *testing.T) {
	files := []struct{ name, content string }{
		{"empty", ""},
		{"comment", "# nothing\n"},
		{"scalar", "text\n"},
		{"list", "- a\n"},
		{"not-utf8", "items: [\xff]\n"},
		{"unclosed", "items: [a\nother: b\n"},
		{"tab", "items:\n\t- a\n"},
		{"bad-indent", "items:\n  - a\n - b\n"},
		{"second", "items: [a]\n---\nitems: [b]\n"},
		{"anchor", "items: &x [a]\n"},
		{"alias", "items: *x\n"},
		{"tag", "items: !!set {a}\n"},
		{"merge", "<<: {items: [a]}\n"},
		{"complex-key", "? [items]\n: a\n"},
		{"deep-flow", "items: " + strings.Repeat("[", 100_000)},
		{"deep-block", strings.Repeat("- ", 100_000) + "a\n"},
		{"block-scalar", "items: [a]\nmore: |+2 # text\n    a\n"},
		{"folded", "items:\n  - >-\n    a\n"},
		{"blank-lines", "items: |\n" + strings.Repeat(" \n", 1000)},
		{"blank-lines-cr", "items: |\r" + strings.Repeat("\r", 1000)},
		{"many-keys", strings.Repeat("a: 1\n", maxMapKeys+1)},
		{"many-nested-keys", "items:\n" + strings.Repeat("  a: {b: 1}\n", maxMapKeys+1)},
		{"many-flow-keys", "items: {" + strings.Repeat("a: 1, ", maxMapKeys+1)},
		{"dashes-in-flow", "items: [" + strings.Repeat("- ", 1000)},
		{"empty-items", "items:\n" + strings.Repeat("  -\n", 1000)},
		{"large", "items: [" + strings.Repeat("a, ", MaxBytes)},
		{"many", "items: [" + strings.Repeat("1, ", maxFaults+5) + "]\n"},
	}
	var report strings.Builder
	for _, f := range files {
		_, err := Read(f.name, []byte(f.content), MaxBytes, readItems)
		var faults Faults
		if !errors.As(err, &faults) {
			t.Fatalf("%s: error %v is not a Faults", f.name, err)
		}
		// The first and the last fault are enough for files with many faults.
		fmt.Fprintln(&report, faults[0])
		if last := faults[len(faults)-1]; len(faults) > 1 {
			fmt.Fprintln(&report, last)
		}
	}
	goldie.New(t).Assert(t, "refused", []byte(report.String()))
}

// The limit on keys applies to each map, not to all items of a list together.
func TestReadAcceptsLongLists(t *testing.T) {
	const pairs = 1000
	content := "items:\n" + strings.Repeat("  - a: 1\n    b: 2 # > not a block |\n  - {a: 3, b: [4]}\n", pairs)
	got, err := Read("f", []byte(content), MaxBytes, func(m *Map) int {
		sum := 0
		for _, a := range List(m.Get("items"), func(v Value) int {
			m := v.Map()
			m.Has("b")
			return m.Get("a").Int(1, 3)
		}) {
			sum += a
		}
		return sum
	})
	if diff := cmp.Diff(pairs*(1+3), got); err != nil || diff != "" {
		t.Errorf("sum (-want +got): %v\n%s", err, diff)
	}
}

func TestReadReportsFaultsInFileOrder(t *testing.T) {
	_, err := Read("f", []byte("a: 1\nitems: [1, x, 2]\nb: 2\n"), MaxBytes, readItems)
	var faults Faults
	if !errors.As(err, &faults) {
		t.Fatalf("error %v", err)
	}
	var got []string
	for _, f := range faults {
		got = append(got, f.Path)
	}
	if diff := cmp.Diff([]string{"a", "items[0]", "items[2]", "b"}, got); diff != "" {
		t.Errorf("paths (-want +got):\n%s", diff)
	}
	var first *Fault
	if !errors.As(err, &first) || first.Kind != UnknownKey {
		t.Errorf("got first fault %v, want an unknown key", first)
	}
}

func TestKeys(t *testing.T) {
	for content, want := range map[string][]string{
		"b: 1\na: {c: 2}\n": {"b", "a"},
		"b: 1\n":            {"b"},
		"- b\n":             nil,
		"b: [":              nil,
	} {
		if diff := cmp.Diff(want, Keys([]byte(content), MaxBytes)); diff != "" {
			t.Errorf("%q (-want +got):\n%s", content, diff)
		}
	}
}
