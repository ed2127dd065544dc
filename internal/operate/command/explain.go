package command

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"

	"snipeford"
	"snipeford/internal/fleet/message"
	"snipeford/internal/operate/decision"
)

type explainVerb struct {
	nodeFlags
	log string
}

func (*explainVerb) Name() string { return "explain" }
func (*explainVerb) Synopsis() string {
	return "show why a request was admitted, queued or refused"
}
func (*explainVerb) Usage() string {
	return "explain [-log FILE] REQUEST\n  Print the decisions of each node about the request with this id (response header Snipeford-Request). Each node keeps its last 4,096 requests.\n  With -log, read the decisions from the nodes' logs in that file instead, sorted by time.\n  Example: snipeford explain 6f1d2a\n  Example: snipeford explain -log nodes.log 6f1d2a\n" + exitHelp
}

func (v *explainVerb) SetFlags(f *flag.FlagSet) {
	v.setFlags(f)
	f.StringVar(&v.log, "log", "", "file with the log lines of one or more nodes")
}

func (v *explainVerb) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return usageError("explain needs one request id")
	}
	if v.log != "" {
		return v.explainFromLog(snipeford.RequestID(f.Arg(0)))
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

// explainFromLog prints the decisions about a request from a log file.
func (v *explainVerb) explainFromLog(id snipeford.RequestID) subcommands.ExitStatus {
	file, err := os.Open(v.log)
	if err != nil {
		return fail(fmt.Errorf("open log: %w", trace.ConvertSystemError(err)))
	}
	defer file.Close()
	lines, err := decision.Timeline(file, id)
	if err != nil {
		return fail(err)
	}
	if len(lines) == 0 {
		fmt.Println("no line of this request in the log")
		return ExitFailed
	}
	for _, line := range lines {
		fmt.Println(line)
	}
	return ExitDone
}
