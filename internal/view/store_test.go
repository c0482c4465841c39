package view

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const (
	servicesContent  = `{"services":[{"name":"desk","number":1,"addresses":["198.18.0.1"]}]}`
	upstreamTemplate = `{"name":%q,"service":"desk","packets":"127.0.1.1:6081","status":"127.0.1.1:80","slots":2,"connections":2000}`
)

func upstreamsOf(names ...string) string {
	list := make([]string, len(names))
	for i, n := range names {
		list[i] = fmt.Sprintf(upstreamTemplate, n)
	}
	return `{"upstreams":[` + strings.Join(list, ",") + `]}`
}

func value(key string, generation, revision uint64, content string) Value {
	return Value{Key: key, Version: Version{generation, revision}, Content: []byte(content)}
}

func TestStaleValueIsIgnored(t *testing.T) {
	var s Store
	s.Put(value(KeyServices, 1, 1, servicesContent), value("upstreams/a", 1, 5, upstreamsOf("new")))
	c := s.Put(
		value("upstreams/a", 1, 4, upstreamsOf("old")),
		value("upstreams/a", 1, 5, upstreamsOf("same")),
		value("upstreams/a", 0, 9, upstreamsOf("earlier generation")),
	)
	if d := cmp.Diff(Change{Stale: 3}, c); d != "" {
		t.Errorf("change (-want +got):\n%s", d)
	}
	if _, ok := s.View().Upstream(IDFromName("new")); !ok {
		t.Error("the newest value was replaced")
	}
}

func TestRefusedValueKeepsPreviousValue(t *testing.T) {
	address := `"packets":"127.0.1.1:6081","status":"127.0.1.1:80"`
	cases := map[string]struct{ key, content, cause string }{
		"not JSON": {"upstreams/a", `{`, "cannot decode JSON: unexpected EOF"},
		"unknown field": {
			"upstreams/a", `{"upstreams":[{"name":"u","weight":3}]}`,
			`cannot decode JSON: json: unknown field "weight"`,
		},
		"trailing data": {
			"upstreams/a", upstreamsOf("u") + "{}", `value is "trailing data", expected one JSON object`,
		},
		"name twice": {
			"upstreams/a", upstreamsOf("u", "u"), `upstreams[1].name is "u", expected a unique name`,
		},
		"no slots": {
			"upstreams/a", `{"upstreams":[{"name":"u","service":"desk",` + address + `,"connections":1}]}`,
			`upstreams[0].slots is "0", expected 1 to 65536`,
		},
		"no address": {
			"upstreams/a", `{"upstreams":[{"name":"u","service":"desk","slots":1,"connections":1}]}`,
			`upstreams[0].packets is "invalid AddrPort", expected IP:PORT`,
		},
		"bad state": {
			"instances/a", `{"region":"r","instances":[{"name":"i","packets":"127.0.0.1:1","peers":"127.0.0.1:2","state":"gone"}]}`,
			`instances[0].state is "gone", expected live or leaving`,
		},
		"bad number": {
			KeyServices, `{"services":[{"name":"desk","number":16777216,"addresses":[]}]}`,
			`services[0].number is "16777216", expected 1 to 16777215`,
		},
		"too large": {
			"upstreams/a", strings.Repeat(" ", MaxValueBytes+1), "value is 1048577 bytes, limit is 1048576",
		},
		"unknown key": {"weights", "{}", `unknown key "weights"`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var s Store
			s.Put(value(KeyServices, 1, 1, servicesContent), value("upstreams/a", 1, 2, upstreamsOf("kept")))
			change := s.Put(value(c.key, 1, 3, c.content))
			var refused *RefusedError
			if len(change.Refused) != 1 || !errors.As(error(change.Refused[0]), &refused) {
				t.Fatalf("refused %v, want one value", change.Refused)
			}
			if d := cmp.Diff(c.cause, refused.Err.Error()); d != "" {
				t.Errorf("cause (-want +got):\n%s", d)
			}
			if _, ok := s.View().Upstream(IDFromName("kept")); !ok || s.Version() != (Version{1, 2}) {
				t.Errorf("previous value was not kept: version is %s, want 1.2", s.Version())
			}
			s.Put(value("upstreams/a", 1, 4, upstreamsOf("next")), value("instances/a", 1, 5, `{}`),
				value(KeyServices, 1, 6, servicesContent))
			if len(s.Refused()) != 0 {
				t.Errorf("refusals not cleared by newer values: %v", s.Refused())
			}
		})
	}
}

func TestDeletedKeyIsNotRestoredByOlderValue(t *testing.T) {
	var s Store
	s.Put(value(KeyServices, 1, 1, servicesContent), value("upstreams/a", 1, 2, upstreamsOf("u")))
	s.Put(Value{Key: "upstreams/a", Version: Version{1, 3}, Deleted: true})
	s.Put(value("upstreams/a", 1, 2, upstreamsOf("u")))
	if _, ok := s.View().Upstream(IDFromName("u")); ok {
		t.Error("an older value restored the deleted key")
	}
	if d := cmp.Diff([]Value{{Key: "upstreams/a", Version: Version{1, 3}, Deleted: true}},
		s.ChangesSince([]KeyVersion{{KeyServices, Version{1, 1}}})); d != "" {
		t.Errorf("values for peers (-want +got):\n%s", d)
	}
}

func TestSnapshotDeletesKeysMissingFromBackup(t *testing.T) {
	var s Store
	s.Put(value(KeyServices, 1, 70, servicesContent), value("upstreams/a", 1, 80, upstreamsOf("a")),
		value("upstreams/b", 1, 90, upstreamsOf("b")))
	s.ApplySnapshot(value(KeyServices, 2, 1, servicesContent), value("upstreams/a", 2, 2, upstreamsOf("a")))
	want := []KeyVersion{{KeyServices, Version{2, 1}}, {"upstreams/a", Version{2, 2}}, {"upstreams/b", Version{2, 0}}}
	if d := cmp.Diff(want, s.Versions()); d != "" {
		t.Errorf("versions (-want +got):\n%s", d)
	}
	if _, ok := s.View().Upstream(IDFromName("b")); ok {
		t.Error("an upstream missing from the backup was kept")
	}
}

// All instances accept the same values in whatever order they arrive, and the
// version never decreases.
func TestStoresConvergeRegardlessOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		contents := []string{upstreamsOf("u", "v"), upstreamsOf("u"), "", "{", upstreamsOf("w", "w")}
		values := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Value {
			key := rapid.SampledFrom([]string{"upstreams/a", "upstreams/b", "bad"}).Draw(t, "key")
			generation := rapid.Uint64Range(1, 2).Draw(t, "generation")
			revision := rapid.Uint64Range(1, 9).Draw(t, "revision")
			// The platform never publishes different contents under one version.
			content := contents[(int(revision)+int(generation)+len(key))%len(contents)]
			return value(key, generation, revision, content)
		}), 1, 20).Draw(t, "values")
		var first, second Store
		for _, v := range values {
			before := first.Version()
			first.Put(v)
			if first.Version().Compare(before) < 0 {
				t.Fatalf("version decreased from %s to %s", before, first.Version())
			}
		}
		for _, v := range rapid.Permutation(values).Draw(t, "order") {
			second.Put(v)
		}
		if d := cmp.Diff(first.Versions(), second.Versions()); d != "" {
			t.Fatalf("stores differ:\n%s", d)
		}
		var third Store
		third.Put(first.ChangesSince(nil)...)
		if d := cmp.Diff(first.Versions(), third.Versions()); d != "" {
			t.Fatalf("store filled from a peer differs:\n%s", d)
		}
	})
}

func TestDuplicateUpstreamNameKeepsFirstDataCentre(t *testing.T) {
	var s Store
	s.Put(value("upstreams/b", 1, 1, upstreamsOf("u")), value(KeyServices, 1, 2, servicesContent),
		value("upstreams/a", 1, 3, upstreamsOf("u")))
	u, _ := s.View().Upstream(IDFromName("u"))
	service, _ := s.View().Service(netip.MustParseAddr("198.18.0.1"))
	if d := cmp.Diff([]string{"a", "1"}, []string{u.DataCentre.Name, fmt.Sprint(len(service.Upstreams))}); d != "" {
		t.Errorf("data centre and upstreams of the service (-want +got):\n%s", d)
	}
}
