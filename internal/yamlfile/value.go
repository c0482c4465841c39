package yamlfile

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// maxNameLength limits names, which are used as metric labels and in the keys of
// published values.
const maxNameLength = 63

// expectHostPort describes the addresses that AddrPort and ListenAddrPort accept.
const expectHostPort = "the address of one host with a port from 1 to 65535"

// namePattern matches names in kebab case.
var namePattern = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// Value is a YAML value and its position in the file. The methods of a missing
// value return zero values and report no further faults, because the missing
// key has already been reported.
type Value struct {
	document *document
	path     string
	node     ast.Node
	position *token.Token
}

// AddFault reports a fault at the position of the value.
func (v Value) AddFault(kind Kind, found, expected string) {
	if v.node == nil {
		return
	}
	v.document.add(v.position, &Fault{Path: v.path, Kind: kind, Found: found, Expected: expected})
}

// AddUnresolved reports that the value refers to a name that does not exist. An
// empty name is ignored because it has already been reported.
func (v Value) AddUnresolved(name, expected string) {
	if name != "" {
		v.AddFault(Unresolved, "found "+name, expected)
	}
}

// Line returns the line number of the value, or zero if the value is missing.
func (v Value) Line() int {
	if v.node == nil {
		return 0
	}
	return v.position.Position.Line
}

func (v Value) wrongType(expected string) {
	v.AddFault(WrongType, "found "+v.describe(), expected)
}

func (v Value) outOfRange(expected string) {
	v.AddFault(OutOfRange, "found "+v.describe(), expected)
}

// describe returns the text of a scalar, shortened if necessary, or the type of
// any other value.
func (v Value) describe() string {
	switch n := v.node.(type) {
	case nil, *ast.NullNode:
		return "nothing"
	case ast.MapNode:
		return "a map"
	case *ast.SequenceNode:
		return "a list"
	case *ast.StringNode:
		return strconv.Quote(shorten(n.Value))
	case *ast.LiteralNode:
		return "a block of text"
	default:
		return shorten(n.GetToken().Value)
	}
}

func shorten(text string) string {
	const maxRunes = 40
	if r := []rune(text); len(r) > maxRunes {
		return string(r[:maxRunes]) + "..."
	}
	return text
}

// Map returns the value as a map. If the value has another type, Map reports a
// fault and returns a map that is not valid and has no keys.
func (v Value) Map() *Map {
	m := &Map{value: v, path: v.path, isKnown: make(map[string]bool)}
	if v.node == nil {
		return m
	}
	node, ok := v.node.(ast.MapNode)
	if !ok {
		v.wrongType("a map of keys and values")
		m.value.node = nil
		return m
	}
	m.readEntries(node)
	v.document.maps = append(v.document.maps, m)
	return m
}

// Text returns the value as a string.
func (v Value) Text() string {
	text, _ := v.text("text")
	return text
}

// text returns the value and true if the value is a string. Otherwise it reports
// a fault with the given expectation.
func (v Value) text(expected string) (string, bool) {
	n, ok := v.node.(*ast.StringNode)
	if !ok {
		v.wrongType(expected)
		return "", false
	}
	return n.Value, true
}

// Name returns the value as a name in kebab case, or "" after reporting a fault.
func (v Value) Name() string {
	const expected = "a name in kebab case of at most 63 characters"
	name, ok := v.text(expected)
	if ok && (len(name) > maxNameLength || !namePattern.MatchString(name)) {
		v.outOfRange(expected)
		return ""
	}
	return name
}

// OneOf returns the value if it equals one of the words, or "" after reporting a
// fault.
func (v Value) OneOf(words ...string) string {
	text, ok := v.text(oneOf(words))
	if !ok {
		return ""
	}
	for _, w := range words {
		if text == w {
			return text
		}
	}
	v.outOfRange(oneOf(words))
	return ""
}

// Int returns the value as a decimal integer in the range [lower, upper], or zero
// after reporting a fault.
func (v Value) Int(lower, upper int) int {
	expected := fmt.Sprintf("an integer from %d to %d", lower, upper)
	n, ok := v.node.(*ast.IntegerNode)
	if !ok {
		v.wrongType(expected)
		return 0
	}
	i, err := strconv.ParseInt(n.GetToken().Value, 10, 64)
	if err != nil || i < int64(lower) || i > int64(upper) {
		v.outOfRange(expected)
		return 0
	}
	return int(i)
}

// Share returns the value as a fraction in the range (0, 1], or zero after
// reporting a fault.
func (v Value) Share() float64 {
	const expected = "a share greater than 0 and at most 1"
	switch v.node.(type) {
	case *ast.FloatNode, *ast.IntegerNode:
	default:
		v.wrongType(expected)
		return 0
	}
	f, err := strconv.ParseFloat(v.node.GetToken().Value, 64)
	if err != nil || !(f > 0 && f <= 1) {
		v.outOfRange(expected)
		return 0
	}
	return f
}

// Bool returns the value as a boolean, or false after reporting a fault.
func (v Value) Bool() bool {
	n, ok := v.node.(*ast.BoolNode)
	if !ok {
		v.wrongType("true or false")
		return false
	}
	return n.Value
}

// Duration returns the value as a duration in the range (0, maximum], or zero
// after reporting a fault.
func (v Value) Duration(maximum time.Duration) time.Duration {
	expected := fmt.Sprintf("a duration such as 250ms, greater than 0 and at most %s", maximum)
	text, ok := v.text(expected)
	if !ok {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		v.wrongType(expected)
		return 0
	}
	if d <= 0 || d > maximum {
		v.outOfRange(expected)
		return 0
	}
	return d
}

// Addr returns the value as a unicast IP address, or the zero Addr after
// reporting a fault.
func (v Value) Addr() netip.Addr {
	const expected = "an IP address of one host"
	text, ok := v.text(expected)
	if !ok {
		return netip.Addr{}
	}
	a, err := netip.ParseAddr(text)
	if err != nil {
		v.wrongType(expected)
		return netip.Addr{}
	}
	if !isHost(a) {
		v.outOfRange(expected)
		return netip.Addr{}
	}
	return a
}

// AddrPort returns the value as a unicast IP address and a port other than zero,
// or the zero AddrPort after reporting a fault.
func (v Value) AddrPort() netip.AddrPort {
	a := v.ListenAddrPort()
	if a.IsValid() && a.Addr().IsUnspecified() {
		v.outOfRange(expectHostPort)
		return netip.AddrPort{}
	}
	return a
}

// ListenAddrPort is like AddrPort but also accepts 0.0.0.0 and [::], which listen
// on all addresses of the host.
func (v Value) ListenAddrPort() netip.AddrPort {
	const expected = "IP:PORT such as 10.0.0.1:6081"
	text, ok := v.text(expected)
	if !ok {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		v.wrongType(expected)
		return netip.AddrPort{}
	}
	canListen := isHost(a.Addr()) || a.Addr().IsUnspecified()
	if a.Port() == 0 || !canListen {
		v.outOfRange(expectHostPort)
		return netip.AddrPort{}
	}
	return a
}

// isHost reports whether the address is that of one host. IPv4-mapped and zoned
// addresses are rejected because they would not compare equal to the address
// decoded from a packet.
func isHost(a netip.Addr) bool {
	return !a.IsUnspecified() && !a.IsMulticast() && !a.Is4In6() && a.Zone() == ""
}

// Hex decodes the value as size bytes in hexadecimal digits, or returns nil after
// reporting a fault. The fault does not quote the value, which may be secret.
func (v Value) Hex(size int) []byte {
	expected := fmt.Sprintf("%d hexadecimal digits", hex.EncodedLen(size))
	if v.node == nil {
		return nil
	}
	switch v.node.(type) {
	case *ast.StringNode, *ast.IntegerNode, *ast.FloatNode:
	default:
		v.AddFault(WrongType, "found a value that is not text", expected)
		return nil
	}
	b, err := hex.DecodeString(v.node.GetToken().Value)
	if err != nil || len(b) != size {
		v.AddFault(OutOfRange, "found invalid hexadecimal digits or a wrong length", expected)
		return nil
	}
	return b
}

// List converts each item of a list with build. It returns nil if the value is
// missing or is not a list, and an empty slice for an empty list.
func List[T any](v Value, build func(Value) T) []T {
	if v.node == nil {
		return nil
	}
	n, ok := v.node.(*ast.SequenceNode)
	if !ok {
		v.wrongType("a list")
		return nil
	}
	items := make([]T, 0, len(n.Values))
	for i, node := range n.Values {
		path := v.path + "[" + strconv.Itoa(i) + "]"
		items = append(items, build(Value{document: v.document, path: path, node: node, position: position(node)}))
	}
	return items
}

// position returns the first token of a node.
func position(n ast.Node) *token.Token {
	if m, ok := n.(ast.MapNode); ok {
		if it := m.MapRange(); it.Next() {
			return it.Key().GetToken()
		}
	}
	return n.GetToken()
}

// oneOf formats the allowed words for a fault.
func oneOf(words []string) string {
	if len(words) == 1 {
		return words[0]
	}
	return "one of " + strings.Join(words, ", ")
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
