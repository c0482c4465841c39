// Package yamlfile parses YAML files strictly. The caller requests the keys that
// it knows; unknown keys, wrong types and invalid values are collected as faults
// with file, line, column and key path. One run reports all faults of a file.
package yamlfile

import (
	"fmt"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// Limits on input and output.
const (
	// MaxBytes is the default limit on the size of a file.
	MaxBytes = 1 << 20
	// maxFaults limits the number of reported faults per file.
	maxFaults = 200
)

// document is the state of parsing one file.
type document struct {
	name   string
	maps   []*Map
	faults Faults
	// omitted counts the faults beyond maxFaults.
	omitted int
}

// Read parses the content of a file and calls build with its top-level map. The
// name is used in faults only. If the error is not nil, it is a Faults value
// with the faults of the file.
func Read[T any](name string, content []byte, maxBytes int, build func(*Map) T) (T, error) {
	var zero T
	d := &document{name: name}
	if root := d.parse(content, maxBytes); root != nil {
		result := build(Value{document: d, node: root, position: position(root)}.Map())
		d.reportUnknownKeys()
		if len(d.faults) == 0 {
			return result, nil
		}
	}
	return zero, d.report()
}

func (d *document) report() Faults {
	d.faults.Sort()
	if d.omitted == 0 {
		return d.faults
	}
	return append(d.faults, &Fault{
		File: d.name, Kind: TooLarge, Found: fmt.Sprintf("found %d more faults", d.omitted),
		Expected: "a file with fewer faults",
	})
}

// Keys returns the top-level keys of a file in file order, or nil if the content
// is invalid or is not a map.
func Keys(content []byte, maxBytes int) []string {
	d := &document{}
	m, ok := d.parse(content, maxBytes).(ast.MapNode)
	if !ok {
		return nil
	}
	var keys []string
	for it := m.MapRange(); it.Next(); {
		keys = append(keys, it.Key().GetToken().Value)
	}
	return keys
}

// parse returns the root node of the document, or nil after reporting a fault.
func (d *document) parse(content []byte, maxBytes int) (root ast.Node) {
	if len(content) > maxBytes {
		d.add(nil, &Fault{
			Kind: TooLarge, Found: fmt.Sprintf("found %d bytes", len(content)),
			Expected: fmt.Sprintf("at most %d bytes", maxBytes),
		})
		return nil
	}
	if !utf8.Valid(content) {
		d.add(nil, &Fault{Kind: Syntax, Found: "found bytes that are not UTF-8", Expected: "YAML in UTF-8"})
		return nil
	}
	// The content may come from a published value, so a parser panic must not
	// crash the process.
	defer func() {
		if r := recover(); r != nil {
			d.add(nil, &Fault{Kind: Syntax, Found: "found content that cannot be parsed", Expected: "valid YAML"})
			root = nil
		}
	}()
	if fault := checkText(content); fault != nil {
		d.add(nil, fault)
		return nil
	}
	tokens := lexer.Tokenize(string(content))
	if at, fault := checkTokens(tokens); fault != nil {
		d.add(at, fault)
		return nil
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.addSyntaxError(err)
		return nil
	}
	return d.singleDocument(file)
}

func (d *document) singleDocument(file *ast.File) ast.Node {
	if len(file.Docs) == 0 || file.Docs[0].Body == nil {
		d.add(nil, &Fault{Kind: Missing, Found: "found an empty file", Expected: "a map of keys and values"})
		return nil
	}
	if len(file.Docs) > 1 {
		d.add(file.Docs[1].Start, &Fault{Kind: Syntax, Found: "found a second document", Expected: "one document in a file"})
		return nil
	}
	return file.Docs[0].Body
}

func (d *document) addSyntaxError(err error) {
	fault := &Fault{Kind: Syntax, Found: "found a syntax error", Expected: "valid YAML"}
	var syntax yaml.Error
	if !errors.As(err, &syntax) {
		d.add(nil, fault)
		return
	}
	fault.Found = "syntax error: " + syntax.GetMessage()
	d.add(syntax.GetToken(), fault)
}

func (d *document) add(at *token.Token, f *Fault) {
	f.File = d.name
	if at != nil && at.Position != nil {
		f.Line, f.Column = at.Position.Line, at.Position.Column
	}
	if len(d.faults) == maxFaults {
		d.omitted++
		return
	}
	d.faults = append(d.faults, f)
}

func (d *document) reportUnknownKeys() {
	for _, m := range d.maps {
		for _, e := range m.entries {
			if !m.isKnown[e.name] {
				d.add(e.token, &Fault{
					Path: join(m.path, e.name), Kind: UnknownKey,
					Found: "found an unknown key", Expected: oneOf(m.known),
				})
			}
		}
	}
}
