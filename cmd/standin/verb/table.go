package verb

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"snipeford/internal/control/timer"
	"snipeford/internal/emulate/table"
)

type tableVerb struct{ listen string }

func (*tableVerb) Name() string     { return "table" }
func (*tableVerb) Synopsis() string { return "simulate the transactional table" }
func (*tableVerb) Usage() string {
	return "table -listen ADDRESS\n  Example: standin table -listen 127.0.0.1:7000\n"
}

func (v *tableVerb) SetFlags(f *flag.FlagSet) {
	f.StringVar(&v.listen, "listen", "127.0.0.1:7000", "address")
}

func (v *tableVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	t := &timer.Clock{}
	return serve(ctx, v.listen, t, (&table.Server{Timer: t}).Handler())
}
