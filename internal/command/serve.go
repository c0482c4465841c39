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
	Run one instance until SIGTERM or SIGINT, then hand over what it owns and
	end. Events are logged to standard error, one line of key=value pairs each.

	Example:
		chervilhaven serve --settings examples/ocre/settings-office-a.yaml

	Exit codes: 0 stopped, 1 the settings are bad or an address cannot be
	listened on, 2 misuse.

`

// serveCommand runs one instance.
type serveCommand struct {
	output
	settings string
}

func (*serveCommand) Name() string     { return "serve" }
func (*serveCommand) Synopsis() string { return "run one instance" }
func (*serveCommand) Usage() string    { return serveUsage }

// SetFlags defines the flags of the subcommand.
func (s *serveCommand) SetFlags(f *flag.FlagSet) {
	s.setOutput(f)
	f.StringVar(&s.settings, "settings", "", "settings `FILE` of the instance")
}

// Execute runs the instance until a signal or the end of ctx.
func (s *serveCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		return s.misuse(f, "takes no arguments")
	}
	if s.settings == "" {
		return s.misuse(f, "expected --settings FILE")
	}
	content, err := readFile(s.settings, yamlfile.MaxBytes)
	if err != nil {
		return s.fail(f, err)
	}
	read, err := settings.Parse(s.settings, content)
	if err != nil {
		return s.fail(f, err)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	i, err := ownerserver.New(ownerserver.Config{
		Settings: read, Bootstrap: read.Bootstrap, Log: logging.New(s.err, read.LogLevel),
	})
	if err != nil {
		return s.fail(f, err)
	}
	if err := i.Run(ctx); err != nil {
		return s.fail(f, err)
	}
	return subcommands.ExitSuccess
}
