package view

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func names(count int, changed ...int) []string {
	list := make([]string, count)
	for i := range list {
		list[i] = fmt.Sprintf("u%d", i)
	}
	for _, i := range changed {
		list[i] = fmt.Sprintf("changed-%d", i)
	}
	return list
}

func bytesOf(values []Value) int {
	size := 0
	for _, v := range values {
		size += len(v.Content)
	}
	return size
}

func TestSmallChangesAreSentAsPatches(t *testing.T) {
	var sender, receiver Store
	sender.Put(value(KeyServices, 1, 1, servicesContent), value("upstreams/a", 1, 2, upstreamsOf(names(1000)...)))
	receiver.Put(sender.ChangesSince(nil)...)
	// Two changes far apart in the list, so a single patch would cover almost all
	// of the content.
	sender.Put(value("upstreams/a", 1, 3, upstreamsOf(names(1000, 1)...)))
	sender.Put(value("upstreams/a", 1, 4, upstreamsOf(names(1000, 1, 998)...)))
	sent := sender.ChangesSince(receiver.Versions())
	if size := bytesOf(sent); size > 1000 {
		t.Errorf("%d bytes sent for two changes, at most 1000 expected", size)
	}
	receiver.Put(sent...)
	if d := cmp.Diff(sender.Versions(), receiver.Versions()); d != "" {
		t.Fatalf("versions (-sender +receiver):\n%s", d)
	}
	got, _ := receiver.Get("upstreams/a")
	if d := cmp.Diff(upstreamsOf(names(1000, 1, 998)...), string(got.Content)); d != "" {
		t.Errorf("content (-want +got):\n%s", d)
	}
	// The receiver forwards the same patches to a third store.
	var third Store
	third.Put(value(KeyServices, 1, 1, servicesContent), value("upstreams/a", 1, 2, upstreamsOf(names(1000)...)))
	if size := bytesOf(receiver.ChangesSince(third.Versions())); size > 1000 {
		t.Errorf("%d bytes forwarded for two changes, at most 1000 expected", size)
	}
}

func TestPatchWithUnknownBaseIsIgnored(t *testing.T) {
	var sender, receiver Store
	sender.Put(value(KeyServices, 1, 1, servicesContent), value("upstreams/a", 1, 2, upstreamsOf(names(50)...)))
	sender.Put(value("upstreams/a", 1, 3, upstreamsOf(names(50, 7)...)))
	patches := sender.ChangesSince(sender.Versions()[:1])
	patches = append(patches, sender.values["upstreams/a"].changesSince(Version{1, 2})...)
	receiver.Put(value(KeyServices, 1, 1, servicesContent))
	if d := cmp.Diff(Change{Stale: 1}, receiver.Put(patches[len(patches)-1])); d != "" {
		t.Errorf("change (-want +got):\n%s", d)
	}
}

func TestPatchChecksumMismatchFetchesFullValue(t *testing.T) {
	var sender, receiver Store
	sender.Put(value(KeyServices, 1, 1, servicesContent), value("upstreams/a", 1, 2, upstreamsOf(names(50)...)))
	receiver.Put(value(KeyServices, 1, 1, servicesContent), value("upstreams/a", 1, 2, upstreamsOf(names(50, 3)...)))
	sender.Put(value("upstreams/a", 1, 3, upstreamsOf(names(50, 7)...)))
	receiver.Put(sender.ChangesSince(receiver.Versions())...)
	if receiver.Version() != (Version{1, 2}) {
		t.Fatalf("a patch with a mismatching base was applied: version is %s, want 1.2", receiver.Version())
	}
	receiver.Put(sender.ChangesSince(receiver.Versions())...)
	got, _ := receiver.Get("upstreams/a")
	if d := cmp.Diff(upstreamsOf(names(50, 7)...), string(got.Content)); d != "" {
		t.Errorf("content (-want +got):\n%s", d)
	}
	if d := cmp.Diff(sender.Versions(), receiver.Versions()); d != "" {
		t.Errorf("versions (-sender +receiver):\n%s", d)
	}
}

func TestPatchesReproduceContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		texts := rapid.SliceOfN(rapid.StringMatching(`[ab]{1,12}`), 2, 80).Draw(t, "texts")
		at := rapid.IntRange(0, len(texts)-1).Draw(t, "at")
		var sender, receiver Store
		put := func(s *Store, i int) {
			s.Put(value("upstreams/a", 1, uint64(i+1), upstreamsOf(texts[i], "z"+strings.Repeat("y", 300))))
		}
		put(&receiver, at)
		for i := range texts {
			put(&sender, i)
		}
		receiver.Put(sender.ChangesSince(receiver.Versions())...)
		want, _ := sender.Get("upstreams/a")
		got, _ := receiver.Get("upstreams/a")
		if d := cmp.Diff(want, got); d != "" {
			t.Fatalf("content (-want +got):\n%s", d)
		}
	})
}

func FuzzPatch(f *testing.F) {
	f.Add([]byte("base"), []byte("middle"), 1, 1)
	f.Add([]byte("base"), []byte(""), -1, 1<<62)
	f.Fuzz(func(t *testing.T, base, middle []byte, prefix, suffix int) {
		p := Patch{Prefix: prefix, Suffix: suffix}
		if content, _ := p.apply(base, middle); len(content) > len(base)+len(middle) {
			t.Errorf("patch produced %d bytes from a base of %d and a middle of %d bytes", len(content), len(base), len(middle))
		}
	})
}
