package yamlfile

import (
	"fmt"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// Map is a YAML map. A key is known once it has been requested with Get, Has or
// Optional. Read reports all other keys as unknown at the end.
type Map struct {
	value   Value
	path    string
	entries []entry
	// known lists the requested keys in the order of their first request; isKnown
	// holds the same keys as a set.
	known   []string
	isKnown map[string]bool
}

// entry is one key of a map with its value.
type entry struct {
	name  string
	token *token.Token
	node  ast.Node
}

func (m *Map) readEntries(node ast.MapNode) {
	first := make(map[string]int)
	for it := node.MapRange(); it.Next(); {
		key := it.Key().GetToken()
		e := entry{name: key.Value, token: key, node: it.Value()}
		if line, ok := first[e.name]; ok {
			m.value.document.add(key, &Fault{
				Path: join(m.path, e.name), Kind: Duplicate,
				Found: "found a duplicate key", Expected: fmt.Sprintf("it once, first on line %d", line),
			})
			continue
		}
		first[e.name] = key.Position.Line
		m.entries = append(m.entries, e)
	}
}

// IsValid reports whether the value is present and is a map.
func (m *Map) IsValid() bool {
	return m.value.node != nil
}

// Has reports whether the map contains the key, and marks the key as known.
func (m *Map) Has(key string) bool {
	_, ok := m.find(key)
	return ok
}

// Get returns the value of a required key. It reports a fault if the key is
// missing.
func (m *Map) Get(key string) Value {
	v, ok := m.find(key)
	if !ok && m.IsValid() {
		m.value.document.add(m.value.position, &Fault{
			Path: join(m.path, key), Kind: Missing, Found: "found no such key", Expected: "the key " + key,
		})
	}
	return v
}

func (m *Map) find(key string) (Value, bool) {
	if !m.isKnown[key] {
		m.isKnown[key] = true
		m.known = append(m.known, key)
	}
	for _, e := range m.entries {
		if e.name == key {
			return m.valueOf(e), true
		}
	}
	return Value{document: m.value.document, path: join(m.path, key)}, false
}

func (m *Map) valueOf(e entry) Value {
	v := Value{document: m.value.document, path: join(m.path, e.name), node: e.node, position: e.token}
	if e.node == nil {
		v.node = ast.Null(e.token)
		return v
	}
	if _, ok := e.node.(*ast.NullNode); !ok {
		v.position = position(e.node)
	}
	return v
}

// Optional returns the value of the key, converted by read, or the zero value if
// the map does not contain the key.
func Optional[T any](m *Map, key string, read func(Value) T) T {
	v, ok := m.find(key)
	if !ok {
		var zero T
		return zero
	}
	return read(v)
}
