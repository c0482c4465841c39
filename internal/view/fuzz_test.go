package view

import "testing"

// FuzzPut feeds a store with arbitrary values, as a faulty platform or a
// malicious peer could send them.
func FuzzPut(f *testing.F) {
	f.Add(KeyServices, []byte(servicesContent))
	f.Add("upstreams/a", []byte(upstreamsOf("u", "v")))
	f.Add("instances/a", []byte(`{"region":"r","instances":[{"name":"i","packets":"127.0.0.1:1","peers":"127.0.0.1:2"}]}`))
	f.Add(KeyMoves, []byte("out: [a]\n"))
	f.Add(KeyDeclarations, []byte("classes:\n  - {name: c, service: desk, port: 1, target: {answer-within: 1s, share: 0.9}}\n"))
	f.Fuzz(func(t *testing.T, key string, content []byte) {
		var s Store
		s.Put(value(KeyServices, 1, 1, servicesContent), value("upstreams/a", 1, 2, upstreamsOf("kept")))
		change := s.Put(Value{Key: key, Version: Version{1, 3}, Content: content})
		if len(change.Applied)+len(change.Refused) != 1 {
			t.Fatalf("neither applied nor refused: %+v", change)
		}
		if len(change.Refused) == 1 && s.Version() != (Version{1, 2}) {
			t.Errorf("version is %s after a refused value, want 1.2", s.Version())
		}
		// Another instance must make the same decision, whatever it has stored.
		var other Store
		if repeated := other.Put(Value{Key: key, Version: Version{1, 3}, Content: content}); len(repeated.Refused) != len(change.Refused) {
			t.Errorf("refused %d times by the first store and %d times by an empty store", len(change.Refused), len(repeated.Refused))
		}
	})
}
