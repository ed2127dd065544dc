package verb

import (
	"context"
	"flag"
	"strconv"
	"time"

	"github.com/google/subcommands"

	"snipeford"
	"snipeford/internal/control/timer"
	"snipeford/internal/emulate/batch"
	"snipeford/internal/emulate/engine"
	"snipeford/internal/request/dispatch"
)

type engineVerb struct {
	id, listen   string
	cold, fences bool
	lag          time.Duration
	memory       int64
}

func (*engineVerb) Name() string     { return "engine" }
func (*engineVerb) Synopsis() string { return "simulate a model engine" }
func (*engineVerb) Usage() string {
	return "engine -id NAME -listen ADDRESS [-cold] [-fences] [-lag DURATION] [-memory TOKENS]\n  Example: standin engine -id engine-01 -listen 127.0.0.1:7101\n"
}

func (v *engineVerb) SetFlags(f *flag.FlagSet) {
	f.StringVar(&v.id, "id", "engine-01", "name")
	f.StringVar(&v.listen, "listen", "127.0.0.1:7101", "address")
	f.BoolVar(&v.cold, "cold", false, "start cold")
	f.BoolVar(&v.fences, "fences", false, "reject requests with an outdated fencing token")
	f.DurationVar(&v.lag, "lag", 0, "delay of load reports")
	f.Int64Var(&v.memory, "memory", 400_000, "memory in tokens")
}

func (v *engineVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	t := &timer.Clock{}
	incarnation := string(dispatch.NewAttemptID())[:8]
	s := engine.New(snipeford.UpstreamID(v.id), incarnation, batch.Config{Memory: snipeford.Tokens(v.memory)}, v.cold, t)
	s.RejectStaleFencingTokens, s.ReportLag = v.fences, v.lag
	go s.Run(ctx)
	return serve(ctx, v.listen, t, s.Handler())
}

// seedFlag returns a seed as a command-line flag.
func seedFlag(seed uint64) string { return "-seed " + strconv.FormatUint(seed, 10) }
