package command

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
	"go.uber.org/zap/zapcore"

	"github.com/chervilhaven/chervilhaven/internal/logging"
	"github.com/chervilhaven/chervilhaven/platform"
)

const platformUsage = `platform [--settings FILE]
	Run one instance on the operators' platform until SIGTERM. The settings
	file is the one that the platform wrote; without the flag its path stands in
	the variable CHERVILHAVEN_SETTINGS. Events are logged to standard output.

	Exit codes: 0 stopped, 1 the settings are bad or an address cannot be
	listened on, 2 misuse.

`

// platformCommand runs one instance on the operators' platform.
type platformCommand struct {
	output
	settings string
}

func (*platformCommand) Name() string     { return "platform" }
func (*platformCommand) Synopsis() string { return "run one instance on the operators' platform" }
func (*platformCommand) Usage() string    { return platformUsage }

// SetFlags defines the flags of the subcommand.
func (p *platformCommand) SetFlags(f *flag.FlagSet) {
	p.setOutput(f)
	f.StringVar(&p.settings, "settings", os.Getenv(platform.SettingsVariable), "settings `FILE` of the instance")
}

// Execute runs the instance until a signal or the end of ctx.
func (p *platformCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		return p.misuse(f, "takes no arguments")
	}
	if p.settings == "" {
		return p.misuse(f, "expected --settings FILE or "+platform.SettingsVariable)
	}
	w := logging.NewWriter(p.out)
	defer w.Close()
	if err := platform.Run(ctx, p.settings, logging.New(w, zapcore.InfoLevel)); err != nil {
		return p.fail(f, err)
	}
	return subcommands.ExitSuccess
}
