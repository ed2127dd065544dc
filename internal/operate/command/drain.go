package command

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"snipeford/internal/fleet/message"
)

type drainVerb struct {
	nodeFlags
	by string
}

func (*drainVerb) Name() string     { return "drain" }
func (*drainVerb) Synopsis() string { return "stop a node gracefully" }
func (*drainVerb) Usage() string {
	return "drain [-by NAME]\n  Drain the node: it reports that it is not ready, transfers its homes, finishes its requests and exits.\n  Example: snipeford drain -node 10.0.0.7:8301 -by operations\n" + exitHelp
}

func (v *drainVerb) SetFlags(f *flag.FlagSet) {
	v.setFlags(f)
	f.StringVar(&v.by, "by", "", "name of the operator who drains the node (default: the environment variable USER)")
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
