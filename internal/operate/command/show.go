package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"snipeford"
	"snipeford/internal/fleet/message"
)

type showVerb struct {
	nodeFlags
	json bool
}

func (*showVerb) Name() string     { return "show" }
func (*showVerb) Synopsis() string { return "show the rules in force at a node" }
func (*showVerb) Usage() string {
	return "show [-json]\n  Show the version in force and its author, what is out of service, and each rule with who asked for it.\n  Example: snipeford show -node 10.0.0.7:8301\n" + exitHelp
}

func (v *showVerb) SetFlags(f *flag.FlagSet) {
	v.setFlags(f)
	f.BoolVar(&v.json, "json", false, "print JSON")
}

func (v *showVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	api, err := v.api()
	if err != nil {
		return fail(err)
	}
	reply, err := api.Show(ctx, &message.ShowRequest{})
	if err != nil {
		return fail(err)
	}
	if v.json {
		fmt.Println(string(reply.GetConfiguration()))
		return ExitDone
	}
	var c snipeford.Configuration
	if err := json.Unmarshal(reply.GetConfiguration(), &c); err != nil {
		return fail(fmt.Errorf("decode configuration: %w", err))
	}
	printConfiguration(c)
	return ExitDone
}

func printConfiguration(c snipeford.Configuration) {
	fmt.Printf("version %d: %s by %s at %s\n", c.Version, c.ChangeSummary, c.ChangedBy, c.ChangedAt.Format(time.RFC3339))
	fmt.Printf("out: failure domains %v, upstreams %v\n", c.OutDomains, c.OutUpstreams)
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "RULE\tTOKENS/S\tREQUESTS/S\tCONCURRENT\tLONGEST PROMPT\tASKED BY")
	for _, name := range sortedKeys(c.Rules.Organisations) {
		r := c.Rules.Organisations[name]
		fmt.Fprintf(w, "[Organisation] %s\t%.0f\t%g\t%d\t%d\t%s\n", name, float64(r.TokensPerSecond), r.RequestsPerSecond, r.MaxConcurrent, r.MaxPrompt, r.RequestedBy)
	}
	for _, name := range sortedKeys(c.Rules.Models) {
		fmt.Fprintf(w, "[Model] %s\t\t\t\t\t%s\n", name, c.Rules.Models[name].RequestedBy)
	}
	for _, name := range sortedKeys(c.Rules.Services) {
		fmt.Fprintf(w, "[Service] %s\t\t\t\t\t%s\n", name, c.Rules.Services[name].RequestedBy)
	}
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	out := make([]K, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
