package command

import (
	"context"
	"flag"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/google/subcommands"
	"github.com/rcrowley/go-metrics"

	"snipeford/internal/control/timer"
	"snipeford/internal/operate/edge"
	"snipeford/internal/operate/metric"
	"snipeford/internal/operate/settings"
	"snipeford/internal/operate/span"
	"snipeford/platform"
)

// settingsVariable names the environment variable with the settings file's
// path, which the users' platform sets.
const settingsVariable = "SNIPEFORD_CONFIG"

type edgeVerb struct{ settings string }

func (*edgeVerb) Name() string     { return "edge" }
func (*edgeVerb) Synopsis() string { return "run one node on the users' platform" }
func (*edgeVerb) Usage() string {
	return "edge [-settings FILE]\n  Run one node on the users' platform until SIGTERM or SIGINT, then stop gracefully.\n  Example: snipeford edge -settings /etc/snipeford/boot.conf\n" + exitHelp
}

func (v *edgeVerb) SetFlags(f *flag.FlagSet) {
	f.StringVar(&v.settings, "settings", os.Getenv(settingsVariable), "settings file of this node (TOML); the variable "+settingsVariable+" names it otherwise")
}

// collectAt is by how many percent the heap may grow between two collections:
// half of the usual, for a node's budget of 64 MB.
const collectAt = 50

func (v *edgeVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if v.settings == "" {
		return usageFault("edge needs -settings FILE")
	}
	s, err := settings.LoadEdge(v.settings)
	if err != nil {
		return fail(err)
	}
	spans, err := span.Open(s.TraceFile)
	if err != nil {
		return fail(err)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	// A changed settings file is read at the next start: no setting changes
	// what a running node promises.
	signal.Ignore(syscall.SIGHUP)
	debug.SetGCPercent(collectAt)
	registry := metrics.NewRegistry()
	counts := metric.NewEdge(registry)
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: idleConnections}}
	store := &platform.Store{Address: s.Store, HTTP: client, Called: func(_ string, err error) { counts.StoreCalled(err != nil) }}
	n := edge.New(s, &timer.Clock{}, registry, spans, edge.Platform{
		Feed: store, RowDecoder: platform.Rows{}, HeaderCodec: platform.Heads{}, Reservations: &platform.Orders{HTTP: client},
	})
	if err := n.Run(ctx, os.Stdout); err != nil {
		return fail(err)
	}
	if err := spans.Close(context.WithoutCancel(ctx)); err != nil {
		return fail(err)
	}
	return ExitDone
}

// idleConnections is how many idle connections to one address are kept.
const idleConnections = 8
