package command

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"github.com/chervilhaven/chervilhaven/internal/logging"
	"github.com/chervilhaven/chervilhaven/internal/ownerserver"
	"github.com/chervilhaven/chervilhaven/internal/settings"
	"github.com/chervilhaven/chervilhaven/internal/yamlfile"
)

const serveUsage = `serve --settings FILE
	Run one instance until SIGTERM or SIGINT, then hand over the upstreams it
	owns and exit. Events are logged to standard error as one line of key=value
	pairs each.

	Example:
		chervilhaven serve --settings examples/ocre/settings-office-a.yaml

	Exit codes: 0 stopped, 1 the settings are invalid or listening on an address
	failed, 2 usage error.

`

// serveCommand implements the serve subcommand.
type serveCommand struct {
	output
	settings string
}

func (*serveCommand) Name() string     { return "serve" }
func (*serveCommand) Synopsis() string { return "run one instance" }
func (*serveCommand) Usage() string    { return serveUsage }

// SetFlags defines the flags of the subcommand.
func (s *serveCommand) SetFlags(f *flag.FlagSet) {
	s.redirectFlagErrors(f)
	f.StringVar(&s.settings, "settings", "", "settings `FILE` of the instance")
}

// Execute runs the instance until it receives a signal or ctx is cancelled.
func (s *serveCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		return s.usageError(f, "takes no arguments")
	}
	if s.settings == "" {
		return s.usageError(f, "expected --settings FILE")
	}
	content, err := readFile(s.settings, yamlfile.MaxBytes)
	if err != nil {
		return s.reportError(f, err)
	}
	parsed, err := settings.Parse(s.settings, content)
	if err != nil {
		return s.reportError(f, err)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	i, err := ownerserver.New(ownerserver.Config{
		Settings: parsed, Bootstrap: parsed.Bootstrap, Log: logging.New(s.err, parsed.LogLevel),
	})
	if err != nil {
		return s.reportError(f, err)
	}
	if err := i.Run(ctx); err != nil {
		return s.reportError(f, err)
	}
	return subcommands.ExitSuccess
}
