package command

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"
)

const versionUsage = `version
	Print the version of the program.

	Example:
		chervilhaven version

`

// versionCommand implements the version subcommand.
type versionCommand struct {
	output
	version string
}

func (*versionCommand) Name() string               { return "version" }
func (*versionCommand) Synopsis() string           { return "print the version" }
func (*versionCommand) Usage() string              { return versionUsage }
func (v *versionCommand) SetFlags(f *flag.FlagSet) { v.redirectFlagErrors(f) }

// Execute prints the version to standard output.
func (v *versionCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		return v.usageError(f, "takes no arguments")
	}
	fmt.Fprintln(v.out, v.version)
	return subcommands.ExitSuccess
}
