package command

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/google/subcommands"

	"snipeford/internal/operate/node"
	"snipeford/internal/operate/settings"
)

type serveVerb struct{ settings string }

func (*serveVerb) Name() string     { return "serve" }
func (*serveVerb) Synopsis() string { return "run one node" }
func (*serveVerb) Usage() string {
	return "serve -settings FILE\n  Run one node until SIGTERM or SIGINT, then stop gracefully.\n  Example: snipeford serve -settings examples/quindio/node-1.toml\n" + exitHelp
}

func (v *serveVerb) SetFlags(f *flag.FlagSet) {
	f.StringVar(&v.settings, "settings", "", "settings file of this node (TOML)")
}

func (v *serveVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if v.settings == "" {
		return usageError("serve needs -settings FILE")
	}
	s, err := settings.Load(v.settings)
	if err != nil {
		return fail(err)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	n, err := node.New(s, newLogger(s))
	if err != nil {
		return fail(err)
	}
	if err := n.Run(ctx); err != nil {
		return fail(err)
	}
	return ExitDone
}

func newLogger(s settings.Settings) *log.Logger {
	// The level is valid: it was checked when the settings were parsed.
	level, _ := log.ParseLevel(s.LogLevel)
	logger := log.NewWithOptions(os.Stdout, log.Options{Formatter: log.JSONFormatter, ReportTimestamp: true, Level: level})
	return logger.With("Node", s.Node)
}
