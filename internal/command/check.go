package command

import (
	"context"
	"flag"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"

	"github.com/chervilhaven/chervilhaven/internal/settings"
	"github.com/chervilhaven/chervilhaven/internal/yamlfile"
	"github.com/chervilhaven/chervilhaven/pkg/declaration"
	"github.com/chervilhaven/chervilhaven/pkg/inventory"
)

const checkUsage = `check FILE...
	Validate declarations, inventory, moves and settings files without an
	instance. The kind of a file is told from its keys. Every fault is printed
	as file:line:column: key path: what was found, what was expected.

	With an inventory among the files, the services of declarations, the data
	centres of moves and the addresses of settings are compared with it. With
	several inventories, declarations have to fit them all, as in a hand-over of
	a mandate; moves and settings belong to one and are not compared.

	Examples:
		chervilhaven check declarations.yaml
		chervilhaven check examples/ocre/*.yaml
		chervilhaven check ocre/declarations.yaml ocre/inventory.yaml next/inventory.yaml

	Exit codes: 0 all files are good, 1 a file is bad, 2 misuse.

`

// kind is a kind of file.
type kind string

// Kinds of files.
const (
	kindDeclarations kind = "declarations"
	kindInventory    kind = "inventory"
	kindMoves        kind = "moves"
	kindSettings     kind = "settings"
	kindUnknown      kind = "unknown"
)

// kindOf tells the kind of a file from its keys.
func kindOf(content []byte) kind {
	kinds := []struct {
		kind kind
		keys []string
	}{
		{kindDeclarations, []string{"classes"}},
		{kindInventory, []string{"services", "data-centres"}},
		{kindMoves, []string{"out"}},
		{kindSettings, []string{"packets", "peers", "inspect", "platform", "fabric", "log-level", "limits", "keys"}},
	}
	keys := yamlfile.Keys(content, inventory.MaxBytes)
	for _, k := range kinds {
		if slices.ContainsFunc(keys, func(key string) bool { return slices.Contains(k.keys, key) }) {
			return k.kind
		}
	}
	return kindUnknown
}

// checkCommand validates files.
type checkCommand struct{ output }

func (*checkCommand) Name() string { return "check" }
func (*checkCommand) Synopsis() string {
	return "validate declarations, inventory, moves and settings files"
}
func (*checkCommand) Usage() string              { return checkUsage }
func (c *checkCommand) SetFlags(f *flag.FlagSet) { c.setOutput(f) }

// Execute prints a line for each good file and each fault.
func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return c.misuse(f, "expected the files to check")
	}
	status := subcommands.ExitSuccess
	var files []checkedFile
	for _, name := range f.Args() {
		content, err := readFile(name, inventory.MaxBytes)
		if err != nil {
			status = c.fail(f, err)
			continue
		}
		files = append(files, checkedFile{name: name, content: content, kind: kindOf(content)})
	}
	known := inventories(files)
	for _, file := range files {
		if err := file.check(known); err != nil {
			fmt.Fprintln(c.out, err)
			status = subcommands.ExitFailure
			continue
		}
		fmt.Fprintf(c.out, "%s: ok, %s\n", file.name, file.kind)
	}
	return status
}

// checkedFile is one file on the command line.
type checkedFile struct {
	name    string
	kind    kind
	content []byte
}

// knownInventory is a good inventory among the files.
type knownInventory struct {
	name string
	inventory.Inventory
}

func inventories(files []checkedFile) []knownInventory {
	var known []knownInventory
	for _, file := range files {
		if file.kind != kindInventory {
			continue
		}
		if i, err := inventory.Parse(file.name, file.content); err == nil {
			known = append(known, knownInventory{name: file.name, Inventory: i})
		}
	}
	return known
}

func (f checkedFile) check(known []knownInventory) error {
	var err error
	switch f.kind {
	case kindDeclarations:
		return f.checkDeclarations(known)
	case kindInventory:
		_, err = inventory.Parse(f.name, f.content)
	case kindMoves:
		if len(known) == 1 {
			_, err = inventory.ParseMovesFor(f.name, f.content, known[0].DataCentreNames())
		} else {
			_, err = inventory.ParseMoves(f.name, f.content)
		}
	case kindSettings:
		if len(known) == 1 {
			_, err = settings.ParseWithInventory(f.name, f.content, known[0].Inventory)
		} else {
			_, err = settings.Parse(f.name, f.content)
		}
	default:
		return f.unknown()
	}
	return err
}

// checkDeclarations reports each fault once, and those that an inventory
// causes with its name.
func (f checkedFile) checkDeclarations(known []knownInventory) error {
	if len(known) == 0 {
		_, err := declaration.Parse(f.name, f.content)
		return err
	}
	var all yamlfile.Faults
	for _, i := range known {
		_, err := declaration.ParseFor(f.name, f.content, i.ServiceNames())
		var faults yamlfile.Faults
		errors.As(err, &faults)
		for _, fault := range faults {
			if fault.Kind == yamlfile.Unresolved {
				fault.Expected += " " + i.name
			}
			if !slices.ContainsFunc(all, func(other *yamlfile.Fault) bool { return *other == *fault }) {
				all = append(all, fault)
			}
		}
	}
	if len(all) == 0 {
		return nil
	}
	all.Sort()
	return all
}

// unknown returns why the kind of the file cannot be told.
func (f checkedFile) unknown() error {
	var faults yamlfile.Faults
	_, err := yamlfile.Read(f.name, f.content, inventory.MaxBytes, func(m *yamlfile.Map) bool { return m.IsValid() })
	if errors.As(err, &faults) && faults[0].Kind != yamlfile.UnknownKey {
		return faults
	}
	return &UnknownKindError{File: f.name}
}

// UnknownKindError reports a file of which no key is known.
type UnknownKindError struct{ File string }

// Error returns the keys that tell the kind of a file.
func (e *UnknownKindError) Error() string {
	return e.File + ": found no key that tells the kind of the file, expected " +
		"classes (declarations), services (inventory), out (moves) or packets (settings)"
}
