package verb

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"snipeford"
	"snipeford/internal/control/timer"
	"snipeford/internal/emulate/service"
	"snipeford/internal/request/dispatch"
)

type serviceVerb struct{ id, listen string }

func (*serviceVerb) Name() string     { return "service" }
func (*serviceVerb) Synopsis() string { return "simulate a plain service that runs orders" }
func (*serviceVerb) Usage() string {
	return "service -id NAME -listen ADDRESS\n  Example: standin service -id service-1 -listen 127.0.0.1:7201\n"
}

func (v *serviceVerb) SetFlags(f *flag.FlagSet) {
	f.StringVar(&v.id, "id", "service-1", "name")
	f.StringVar(&v.listen, "listen", "127.0.0.1:7201", "address")
}

func (v *serviceVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	t := &timer.Clock{}
	incarnation := snipeford.Incarnation(dispatch.NewAttemptID())
	s := &service.Server{ID: snipeford.UpstreamID(v.id), Incarnation: incarnation, Timer: t}
	return serve(ctx, v.listen, t, s.Handler())
}
