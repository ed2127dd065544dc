package verb

import (
	"context"
	"flag"
	"time"

	"github.com/google/subcommands"

	"snipeford/internal/control/timer"
	"snipeford/internal/emulate/vmlist"
)

type vmsVerb struct {
	listen string
	lag    time.Duration
}

func (*vmsVerb) Name() string     { return "vms" }
func (*vmsVerb) Synopsis() string { return "simulate the delayed list of VMs" }
func (*vmsVerb) Usage() string {
	return "vms -listen ADDRESS [-lag DURATION]\n  Example: standin vms -listen 127.0.0.1:7001 -lag 1s\n"
}

func (v *vmsVerb) SetFlags(f *flag.FlagSet) {
	f.StringVar(&v.listen, "listen", "127.0.0.1:7001", "address")
	f.DurationVar(&v.lag, "lag", 0, "delay before changes appear in the list")
}

func (v *vmsVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	t := &timer.Clock{}
	return serve(ctx, v.listen, t, (&vmlist.Server{Timer: t, Lag: v.lag}).Handler())
}
