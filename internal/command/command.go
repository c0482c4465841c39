// Package command implements the chervilhaven command line.
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
	exitUsage  = 2
)

// output holds the output streams of a subcommand.
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
	if err := flags.Parse(rewriteHelpFlag(args)); err != nil {
		return exitUsage
	}
	switch commander.Execute(ctx) {
	case subcommands.ExitSuccess:
		return exitOK
	case subcommands.ExitUsageError:
		return exitUsage
	default:
		return exitFailed
	}
}

// commands returns all subcommands except help.
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

// rewriteHelpFlag replaces a help flag with the help subcommand. The flag package
// reports a help flag as an error, which would exit with exitUsage.
func rewriteHelpFlag(args []string) []string {
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

// redirectFlagErrors sends flag parsing errors to the error stream of the
// subcommand.
func (o output) redirectFlagErrors(f *flag.FlagSet) {
	f.SetOutput(o.err)
}

// usageError prints the problem with the command line, followed by the usage.
func (o output) usageError(f *flag.FlagSet, problem string) subcommands.ExitStatus {
	fmt.Fprintf(o.err, "%s: %s\n", f.Name(), problem)
	f.Usage()
	return subcommands.ExitUsageError
}

// reportError prints the error that made a subcommand fail.
func (o output) reportError(f *flag.FlagSet, err error) subcommands.ExitStatus {
	fmt.Fprintf(o.err, "%s: %v\n", f.Name(), err)
	return subcommands.ExitFailure
}

// readFile reads a file named on the command line. It reads at most one byte
// more than maxBytes, which is enough for the parser to reject the file.
func readFile(name string, maxBytes int64) ([]byte, error) {
	file, err := os.Open(name) //nolint:gosec // The operator may read any file.
	if err != nil {
		return nil, err
	}
	content, err := io.ReadAll(io.LimitReader(file, maxBytes+1))
	return content, errors.CombineErrors(err, file.Close())
}
