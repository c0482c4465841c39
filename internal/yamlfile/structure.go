package yamlfile

import (
	"bytes"
	"fmt"

	"github.com/goccy/go-yaml/token"
)

// Limits on structure. The goccy/go-yaml lexer and parser take quadratic time for
// some inputs, and the parser is recursive. A published value must neither block
// an instance nor exhaust its stack.
const (
	// maxColumn limits the nesting depth of block style, where each level is
	// indented by at least one column.
	maxColumn = 256
	// maxFlowDepth limits the nesting depth of flow style.
	maxFlowDepth = 16
	// maxMapKeys is well above the number of keys in any map of the supported
	// files.
	maxMapKeys = 64
	// maxBlankLines limits the number of consecutive blank lines.
	maxBlankLines = 100
)

// plainYAML describes the supported subset of YAML in faults.
const plainYAML = "plain maps, lists and scalars"

// checkText rejects long runs of blank lines. The lexer takes quadratic time for
// blank lines that follow the start of a block scalar.
func checkText(content []byte) *Fault {
	lineNumber, blankLines := 0, 0
	for line := range bytes.Lines(content) {
		lineNumber++
		// A lone carriage return is a line break as well.
		for part := range bytes.SplitSeq(line, []byte("\r")) {
			if blankLines++; len(bytes.TrimSpace(part)) > 0 {
				blankLines = 0
			}
			if blankLines > maxBlankLines {
				return &Fault{
					Line: lineNumber, Column: 1, Kind: TooLarge,
					Found: fmt.Sprintf("found more than %d blank lines", maxBlankLines), Expected: "fewer in a row",
				}
			}
		}
	}
	return nil
}

// openCollection is a map or a flow-style list whose end has not been reached.
type openCollection struct {
	// flow is true for flow-style maps and lists.
	flow bool
	// column is the column of the keys of a block-style map.
	column int
	keys   int
}

// structureChecker tracks the nesting of a token sequence.
type structureChecker struct {
	open []openCollection
	flow int
}

// checkTokens returns the first token that exceeds a limit or that belongs to an
// unsupported YAML feature, or nil if there is none.
func checkTokens(tokens token.Tokens) (*token.Token, *Fault) {
	var g structureChecker
	for _, t := range tokens {
		if fault := g.check(t); fault != nil {
			return t, fault
		}
	}
	return nil, nil
}

func (g *structureChecker) check(t *token.Token) *Fault {
	switch t.Type {
	case token.AnchorType, token.AliasType, token.TagType, token.MergeKeyType, token.MappingKeyType,
		token.DirectiveType, token.LiteralType, token.FoldedType:
		return &Fault{Kind: Syntax, Found: "found " + describeFeature(t.Type), Expected: plainYAML}
	case token.SequenceStartType, token.MappingStartType:
		return g.openFlow()
	case token.SequenceEndType, token.MappingEndType:
		g.closeFlow()
	case token.SequenceEntryType:
		return g.checkItem(t)
	case token.MappingValueType:
		return g.checkKey(t)
	default:
	}
	return nil
}

func (g *structureChecker) openFlow() *Fault {
	g.flow++
	g.open = append(g.open, openCollection{flow: true})
	if g.flow > maxFlowDepth {
		return tooDeep()
	}
	return nil
}

func (g *structureChecker) closeFlow() {
	for i := len(g.open) - 1; i >= 0; i-- {
		if g.open[i].flow {
			g.open = g.open[:i]
			g.flow--
			return
		}
	}
}

// checkItem checks the dash of a block-style list item.
func (g *structureChecker) checkItem(t *token.Token) *Fault {
	column := t.Position.Column
	switch {
	case g.flow > 0:
		return &Fault{Kind: Syntax, Found: "found a block-style list item", Expected: "a flow-style item"}
	case column > maxColumn:
		return tooDeep()
	case t.Next != nil && t.Next.Type == token.SequenceEntryType && t.Next.Position.Column <= column:
		return &Fault{Kind: WrongType, Found: "found an empty item", Expected: "an item"}
	}
	g.closeBlocks(column)
	return nil
}

// checkKey checks the colon that follows a key.
func (g *structureChecker) checkKey(t *token.Token) *Fault {
	if g.flow == 0 && t.Prev != nil {
		column := t.Prev.Position.Column
		if column > maxColumn {
			return tooDeep()
		}
		g.closeBlocks(column)
		if len(g.open) == 0 || g.open[len(g.open)-1].column != column {
			g.open = append(g.open, openCollection{column: column})
		}
	}
	if len(g.open) == 0 {
		return nil
	}
	last := &g.open[len(g.open)-1]
	if last.keys++; last.keys > maxMapKeys {
		return &Fault{
			Kind: TooLarge, Found: fmt.Sprintf("found more than %d keys", maxMapKeys), Expected: "fewer keys in one map",
		}
	}
	return nil
}

// closeBlocks closes block-style maps whose keys are indented deeper than column.
func (g *structureChecker) closeBlocks(column int) {
	for i := len(g.open) - 1; i >= 0 && g.open[i].column > column; i-- {
		g.open = g.open[:i]
	}
}

func tooDeep() *Fault {
	return &Fault{Kind: TooLarge, Found: "found deep nesting", Expected: "a few levels"}
}

func describeFeature(t token.Type) string {
	switch t {
	case token.AnchorType:
		return "an anchor"
	case token.AliasType:
		return "an alias"
	case token.TagType:
		return "a tag"
	case token.MergeKeyType:
		return "a merge key"
	case token.MappingKeyType:
		return "a complex key"
	case token.DirectiveType:
		return "a directive"
	default:
		return "a block of text"
	}
}
