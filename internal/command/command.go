// Package command implements the command line.
package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
)

// Exit codes of the program.
const (
	exitOK     = 0
	exitFailed = 1
	exitMisuse = 2
)

// output is where a subcommand writes.
type output struct {
	out io.Writer
	err io.Writer
}

// Run executes the command line and returns the exit code.
func Run(version string, args []string) int {
	return run(context.Background(), version, args, output{out: os.Stdout, err: os.Stderr})
}

func run(ctx context.Context, version string, args []string, o output) int {
	flags := flag.NewFlagSet("chervilhaven", flag.ContinueOnError)
	flags.SetOutput(o.err)
	commander := subcommands.NewCommander(flags, "chervilhaven")
	commander.Output, commander.Error = o.out, o.err
	for _, c := range commands(version, o) {
		commander.Register(c, "")
	}
	commander.Register(commander.HelpCommand(), "")
	if err := flags.Parse(askForHelp(args)); err != nil {
		return exitMisuse
	}
	switch commander.Execute(ctx) {
	case subcommands.ExitSuccess:
		return exitOK
	case subcommands.ExitUsageError:
		return exitMisuse
	default:
		return exitFailed
	}
}

// commands lists the subcommands.
func commands(version string, o output) []subcommands.Command {
	return []subcommands.Command{
		&checkCommand{output: o},
		&demoCommand{output: o},
		&dumpCommand{output: o},
		&explainCommand{output: o},
		&serveCommand{output: o},
		&versionCommand{output: o, version: version},
	}
}

// askForHelp turns a flag that asks for help into the help subcommand, which
// is no misuse.
func askForHelp(args []string) []string {
	isHelp := func(arg string) bool { return arg == "-h" || arg == "-help" || arg == "--help" }
	switch {
	case len(args) == 0 || !slices.ContainsFunc(args, isHelp):
		return args
	case isHelp(args[0]):
		return []string{"help"}
	default:
		return []string{"help", args[0]}
	}
}

// setOutput makes the faults of flags go where the subcommand's errors go.
func (o output) setOutput(f *flag.FlagSet) {
	f.SetOutput(o.err)
}

// misuse reports a command line that cannot be executed.
func (o output) misuse(f *flag.FlagSet, problem string) subcommands.ExitStatus {
	fmt.Fprintf(o.err, "%s: %s\n", f.Name(), problem)
	f.Usage()
	return subcommands.ExitUsageError
}

// fail reports an error that stopped a subcommand.
func (o output) fail(f *flag.FlagSet, err error) subcommands.ExitStatus {
	fmt.Fprintf(o.err, "%s: %v\n", f.Name(), err)
	return subcommands.ExitFailure
}

// readFile reads a file that the operator names. What exceeds the bound by
// more than a byte is not read, and left to the parser to refuse.
func readFile(name string, maxBytes int64) ([]byte, error) {
	file, err := os.Open(name) //nolint:gosec // The operator may read any file.
	if err != nil {
		return nil, err
	}
	content, err := io.ReadAll(io.LimitReader(file, maxBytes+1))
	return content, errors.CombineErrors(err, file.Close())
}
