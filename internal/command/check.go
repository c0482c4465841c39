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
	instance. The kind of a file is detected from its keys. Every fault is
	printed as file:line:column: key path: what was found, what was expected.

	If the files include one inventory, the services of declarations, the data
	centres of moves and the addresses of settings are validated against it. If
	they include several inventories, declarations must be valid for all of them,
	for example while services move to another operator. Moves and settings
	belong to a single inventory and are then not compared.

	Examples:
		chervilhaven check declarations.yaml
		chervilhaven check examples/ocre/*.yaml
		chervilhaven check ocre/declarations.yaml ocre/inventory.yaml next/inventory.yaml

	Exit codes: 0 all files are valid, 1 a file is invalid, 2 usage error.

`

// kind is the kind of a configuration file, as printed by check.
type kind string

// Kinds of files.
const (
	kindDeclarations kind = "declarations"
	kindInventory    kind = "inventory"
	kindMoves        kind = "moves"
	kindSettings     kind = "settings"
	kindUnknown      kind = "unknown"
)

// detectKind returns the kind of a file based on its top-level keys.
func detectKind(content []byte) kind {
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

// checkCommand implements the check subcommand.
type checkCommand struct{ output }

func (*checkCommand) Name() string { return "check" }
func (*checkCommand) Synopsis() string {
	return "validate declarations, inventory, moves and settings files"
}
func (*checkCommand) Usage() string              { return checkUsage }
func (c *checkCommand) SetFlags(f *flag.FlagSet) { c.redirectFlagErrors(f) }

// Execute prints one line for each valid file and one for each fault.
func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		return c.usageError(f, "expected at least one file to check")
	}
	status := subcommands.ExitSuccess
	var files []checkedFile
	for _, name := range f.Args() {
		content, err := readFile(name, inventory.MaxBytes)
		if err != nil {
			status = c.reportError(f, err)
			continue
		}
		files = append(files, checkedFile{name: name, content: content, kind: detectKind(content)})
	}
	inventories := parseInventories(files)
	for _, file := range files {
		if err := file.check(inventories); err != nil {
			fmt.Fprintln(c.out, err)
			status = subcommands.ExitFailure
			continue
		}
		fmt.Fprintf(c.out, "%s: ok, %s\n", file.name, file.kind)
	}
	return status
}

// checkedFile is one file named on the command line.
type checkedFile struct {
	name    string
	kind    kind
	content []byte
}

// namedInventory is a valid inventory and the name of its file.
type namedInventory struct {
	name string
	inventory.Inventory
}

func parseInventories(files []checkedFile) []namedInventory {
	var parsed []namedInventory
	for _, file := range files {
		if file.kind != kindInventory {
			continue
		}
		if i, err := inventory.Parse(file.name, file.content); err == nil {
			parsed = append(parsed, namedInventory{name: file.name, Inventory: i})
		}
	}
	return parsed
}

func (f checkedFile) check(inventories []namedInventory) error {
	var err error
	switch f.kind {
	case kindDeclarations:
		return f.checkDeclarations(inventories)
	case kindInventory:
		_, err = inventory.Parse(f.name, f.content)
	case kindMoves:
		if len(inventories) == 1 {
			_, err = inventory.ParseMovesWithDataCentres(f.name, f.content, inventories[0].DataCentreNames())
		} else {
			_, err = inventory.ParseMoves(f.name, f.content)
		}
	case kindSettings:
		if len(inventories) == 1 {
			_, err = settings.ParseWithInventory(f.name, f.content, inventories[0].Inventory)
		} else {
			_, err = settings.Parse(f.name, f.content)
		}
	default:
		return f.unknownKindError()
	}
	return err
}

// checkDeclarations validates declarations against all inventories. It reports
// each fault once and names the inventory if a service is missing from it.
func (f checkedFile) checkDeclarations(inventories []namedInventory) error {
	if len(inventories) == 0 {
		_, err := declaration.Parse(f.name, f.content)
		return err
	}
	var all yamlfile.Faults
	for _, i := range inventories {
		_, err := declaration.ParseWithServices(f.name, f.content, i.ServiceNames())
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

// unknownKindError returns the reason why the kind of the file is unknown: a
// syntax error or no known key.
func (f checkedFile) unknownKindError() error {
	var faults yamlfile.Faults
	_, err := yamlfile.Read(f.name, f.content, inventory.MaxBytes, func(m *yamlfile.Map) bool { return m.IsValid() })
	if errors.As(err, &faults) && faults[0].Kind != yamlfile.UnknownKey {
		return faults
	}
	return &UnknownKindError{File: f.name}
}

// UnknownKindError reports a file that contains none of the keys that identify
// the kind of a file.
type UnknownKindError struct{ File string }

// Error lists the keys that identify the kind of a file.
func (e *UnknownKindError) Error() string {
	return e.File + ": found no key that identifies the kind of the file, expected " +
		"classes (declarations), services (inventory), out (moves) or packets (settings)"
}
