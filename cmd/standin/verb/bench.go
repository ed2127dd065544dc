package verb

import (
	"context"
	"flag"
	"os"
	"time"

	"github.com/google/subcommands"

	"snipeford/internal/experiment/bench"
)

type benchVerb struct {
	short  bool
	seed   uint64
	length time.Duration
}

func (*benchVerb) Name() string     { return "bench" }
func (*benchVerb) Synopsis() string { return "measure the decisions under virtual time" }
func (*benchVerb) Usage() string {
	return "bench [-short] [-seed N] [-length D]\n  Example: standin bench -short\n"
}

func (v *benchVerb) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&v.short, "short", false, "the form that CI runs")
	f.Uint64Var(&v.seed, "seed", 1, "seed")
	f.DurationVar(&v.length, "length", 120*time.Second, "virtual length of each run")
}

func (v *benchVerb) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	r := &bench.Report{Out: os.Stdout}
	policies := bench.Policies
	if v.short {
		policies = policies[len(policies)-1:]
	}
	for _, d := range bench.Deployments {
		bench.PolicyTable(r, d, policies, bench.Loads, v.length, v.seed)
		bench.Neighbour(r, d, 3*v.length, v.seed)
		bench.DomainChange(r, d, v.seed)
		bench.Chill(r, d, v.seed)
		bench.Failure(r, d, v.seed)
		bench.Prefixes(r, d, v.length, v.seed)
	}
	return subcommands.ExitSuccess
}
