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
	"snipeford/internal/upstream/connection"
	"snipeford/platform"
)

// settingsEnv is the environment variable for the path of the settings file. The
// users' platform sets it.
const settingsEnv = "SNIPEFORD_CONFIG"

type edgeVerb struct{ settings string }

func (*edgeVerb) Name() string     { return "edge" }
func (*edgeVerb) Synopsis() string { return "run one node on the users' platform" }
func (*edgeVerb) Usage() string {
	return "edge [-settings FILE]\n  Run one node on the users' platform until SIGTERM or SIGINT, then stop gracefully.\n  Example: snipeford edge -settings /etc/snipeford/boot.conf\n" + exitHelp
}

func (v *edgeVerb) SetFlags(f *flag.FlagSet) {
	f.StringVar(&v.settings, "settings", os.Getenv(settingsEnv), "settings file of this node (TOML); overrides the environment variable "+settingsEnv)
}

func (v *edgeVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if v.settings == "" {
		return usageError("edge needs -settings FILE")
	}
	s, content, err := settings.LoadEdge(v.settings)
	if err != nil {
		return fail(err)
	}
	spans, err := span.Open(s.TraceFile)
	if err != nil {
		return fail(err)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	debug.SetGCPercent(edge.GCPercent)
	debug.SetMemoryLimit(edge.MemoryLimit(s.MemoryMegabytes))
	registry := metrics.NewRegistry()
	edgeMetrics := metric.NewEdge(registry)
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: maxIdlePerHost}}
	store := &platform.Store{Address: s.Store, HTTP: client, OnCall: func(_ string, err error) { edgeMetrics.StoreCalled(err != nil) }}
	clock := &timer.Clock{}
	pool := &connection.Pool{Timer: clock}
	n := edge.New(s, clock, registry, spans, edge.Platform{
		Feed: store, RowDecoder: platform.RowDecoder{}, HeaderCodec: platform.HeaderCodec{}, Pool: pool, Reservations: platform.NewReservations(pool),
	})
	watcher := &settings.Watcher{Path: v.settings, Timer: clock, Signals: hangups, Changed: n.Reload, Failed: n.ReloadFailed}
	go watcher.Run(ctx, content)
	if err := n.Run(ctx, os.Stdout); err != nil {
		return fail(err)
	}
	if err := spans.Close(context.WithoutCancel(ctx)); err != nil {
		return fail(err)
	}
	return ExitDone
}

// maxIdlePerHost is the maximum number of idle connections to one address.
const maxIdlePerHost = 8
