package command

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"snipeford/internal/fleet/message"
)

type drainVerb struct {
	operator
	by string
}

func (*drainVerb) Name() string     { return "drain" }
func (*drainVerb) Synopsis() string { return "stop a node gracefully" }
func (*drainVerb) Usage() string {
	return "drain [-by NAME]\n  Let the node leave: it is no longer ready, hands its homes over, ends its requests and exits.\n  Example: snipeford drain -node 10.0.0.7:8301 -by operations\n" + exitHelp
}

func (v *drainVerb) SetFlags(f *flag.FlagSet) {
	v.setFlags(f)
	f.StringVar(&v.by, "by", "", "who orders it; without it the variable USER")
}

func (v *drainVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	api, err := v.api()
	if err != nil {
		return fail(err)
	}
	if _, err := api.Drain(ctx, &message.DrainRequest{By: author(v.by)}); err != nil {
		return fail(err)
	}
	fmt.Println("node leaves")
	return ExitDone
}
