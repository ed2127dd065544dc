package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/google/subcommands"

	"snipeford/internal/control/reducer"
	"snipeford/internal/fleet/message"
)

type statusVerb struct {
	nodeFlags
	json bool
}

func (*statusVerb) Name() string     { return "status" }
func (*statusVerb) Synopsis() string { return "show a node's view: nodes, homes, upstreams, queues" }
func (*statusVerb) Usage() string {
	return "status [-json]\n  Show the nodes, the groups whose home is this node (with their queues), and the state and window of each upstream.\n  Example: snipeford status -node 10.0.0.7:8301 -json\n" + exitHelp
}

func (v *statusVerb) SetFlags(f *flag.FlagSet) {
	v.setFlags(f)
	f.BoolVar(&v.json, "json", false, "print JSON")
}

func (v *statusVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	api, err := v.api()
	if err != nil {
		return fail(err)
	}
	reply, err := api.Status(ctx, &message.StatusRequest{})
	if err != nil {
		return fail(err)
	}
	if v.json {
		fmt.Println(string(reply.GetStatus()))
		return ExitDone
	}
	var s reducer.Status
	if err := json.Unmarshal(reply.GetStatus(), &s); err != nil {
		return fail(fmt.Errorf("decode status: %w", err))
	}
	printStatus(s)
	return ExitDone
}

func printStatus(s reducer.Status) {
	fmt.Printf("node %s in %s: ready %t, leaving %t, table up %t, lease held %t, configuration %d\n",
		s.Node, s.FailureDomain, s.Ready, s.Leaving, s.TableUp, s.LeaseHeld, s.Configuration)
	fmt.Printf("calls %d, offered %d, retried %d\n", s.Calls, s.Offered, s.Retried)
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "NODE\tFAILURE DOMAIN\tLEAVING")
	for _, m := range s.Members {
		fmt.Fprintf(w, "%s\t%s\t%t\n", m.Node, m.Domain, m.Leaving)
	}
	fmt.Fprintln(w, "GROUP\tFENCE\tRUNNING\tWAITING\tWAITING TOKENS")
	for _, g := range s.Groups {
		fmt.Fprintf(w, "%s\t%d\t%d\t%v\t%d\n", g.Group, g.Fence, g.Running, g.Waiting, g.Work)
	}
	fmt.Fprintln(w, "UPSTREAM\tSTATE\tRUNNING\tWINDOW\tMEMORY\tSHORT ONLY")
	for _, g := range s.Groups {
		for _, u := range g.Upstreams {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d/%d\t%t\n", u.Upstream, u.State, u.Running, u.Window, u.Committed, u.Memory, u.Short)
		}
	}
}
