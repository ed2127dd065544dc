package command

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"snipeford/internal/fleet/message"
)

type explainVerb struct{ operator }

func (*explainVerb) Name() string { return "explain" }
func (*explainVerb) Synopsis() string {
	return "tell why a request was admitted, queued or refused"
}
func (*explainVerb) Usage() string {
	return "explain REQUEST\n  Print what each node decided about the request with this id (answer header Snipeford-Request). Nodes remember their last 4,096 requests.\n  Example: snipeford explain 6f1d2a\n" + exitHelp
}

func (v *explainVerb) SetFlags(f *flag.FlagSet) { v.setFlags(f) }

func (v *explainVerb) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return usageFault("explain needs one request id")
	}
	api, err := v.api()
	if err != nil {
		return fail(err)
	}
	reply, err := api.Explain(ctx, &message.ExplainRequest{Request: f.Arg(0)})
	if err != nil {
		return fail(err)
	}
	if len(reply.GetLines()) == 0 {
		fmt.Println("no node remembers this request")
		return ExitFailed
	}
	for _, line := range reply.GetLines() {
		fmt.Println(line)
	}
	return ExitDone
}
