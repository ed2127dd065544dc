package verb

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"time"

	"github.com/google/subcommands"

	"snipeford/internal/experiment/bench"
	"snipeford/internal/experiment/placing"
)

type benchVerb struct {
	short       bool
	seed        uint64
	length      time.Duration
	bounds, red string
}

func (*benchVerb) Name() string     { return "bench" }
func (*benchVerb) Synopsis() string { return "measure the decisions under virtual time" }
func (*benchVerb) Usage() string {
	return "bench [-short] [-seed N] [-length D] [-bounds FILE] [-red FILE]\n  Print the tables and check the figures against the bounds. With -short, only the policy that nodes run.\n  Example: standin bench -short\n"
}

func (v *benchVerb) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&v.short, "short", false, "the form that CI runs")
	f.Uint64Var(&v.seed, "seed", 1, "seed")
	f.DurationVar(&v.length, "length", 120*time.Second, "virtual length of each run")
	f.StringVar(&v.bounds, "bounds", "bench/bounds.toml", "bounds file; empty checks nothing")
	f.StringVar(&v.red, "red", "KNOWN-RED.txt", "file of the bounds that are known to be broken")
}

func (v *benchVerb) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	r := &bench.Report{Out: os.Stdout}
	policies := bench.Policies
	if v.short {
		policies = policies[len(policies)-1:]
	}
	for _, d := range bench.Deployments {
		bench.PolicyTable(r, d, policies, bench.OfferedLoads, v.length, v.seed)
		bench.Neighbour(r, d, neighbourLength, v.seed)
		bench.DomainChange(r, d, v.seed)
		bench.Chill(r, d, v.seed)
		bench.Failure(r, d, v.seed)
		if !v.short {
			bench.Prefixes(r, d, v.length, v.seed)
		}
	}
	for _, site := range placing.Sites {
		bench.PlacementTable(r, site, v.short)
	}
	if v.bounds == "" {
		return subcommands.ExitSuccess
	}
	return v.check(r)
}

// neighbourLength gives a light organisation enough requests for a p99.
const neighbourLength = 360 * time.Second

func (v *benchVerb) check(r *bench.Report) subcommands.ExitStatus {
	data, err := os.ReadFile(v.bounds)
	if err != nil {
		return fail(err)
	}
	bounds, err := bench.ParseBounds(v.bounds, data)
	if err != nil {
		return fail(err)
	}
	red, err := readRed(v.red, v.seed)
	if err != nil {
		return fail(err)
	}
	fmt.Println()
	held, broken := bench.Check(os.Stdout, r.Figures, bounds, red)
	fmt.Printf("bounds: %d held, %d broken, %d known red (-seed %d)\n", held, broken, len(bounds)-held-broken, v.seed)
	if broken > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// readRed reads the entries of KNOWN-RED.txt for a seed; a missing file names nothing.
func readRed(path string, seed uint64) (map[string]bool, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("open known red checks: %w", err)
	}
	defer file.Close()
	return bench.ParseKnownFailures(file, seed), nil
}
