package yamlfile

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Kind is the category of a fault.
type Kind uint8

// Kinds of faults.
const (
	// Syntax means that the file is not valid YAML or uses an unsupported YAML
	// feature.
	Syntax Kind = iota + 1
	// UnknownKey means that the key is not defined for this map.
	UnknownKey
	// Missing means that a required key is absent.
	Missing
	// WrongType means that the value does not have the expected type.
	WrongType
	// OutOfRange means that the value has the right type but is not allowed.
	OutOfRange
	// Duplicate means that the value must be unique and is not.
	Duplicate
	// Unresolved means that the value refers to a name that does not exist.
	Unresolved
	// TooLarge means that the file exceeds a limit on size or nesting.
	TooLarge
)

// Fault is one validation error in a file.
type Fault struct {
	File string
	// Line and Column start at 1; zero means that the fault concerns the whole
	// file.
	Line   int
	Column int
	// Path is the key path, for example classes[2].target.share.
	Path string
	Kind Kind
	// Found describes the actual content.
	Found string
	// Expected describes the content that would be valid.
	Expected string
}

// Error formats the fault as one file:line:column line, which editors and
// terminals can link to.
func (f *Fault) Error() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", f.Line, f.Column)
	}
	if f.Path != "" {
		b.WriteString(": " + f.Path)
	}
	fmt.Fprintf(&b, ": %s, expected %s", f.Found, f.Expected)
	return b.String()
}

// Faults holds the faults of one file, sorted by position.
type Faults []*Fault

// Error returns one line for each fault.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap makes each fault available to errors.As and errors.Is.
func (fs Faults) Unwrap() []error {
	errs := make([]error, len(fs))
	for i, f := range fs {
		errs[i] = f
	}
	return errs
}

// Sort sorts the faults by line, column and key path.
func (fs Faults) Sort() {
	slices.SortStableFunc(fs, func(a, b *Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column), cmp.Compare(a.Path, b.Path))
	})
}
