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
	short                    bool
	seed                     uint64
	duration                 time.Duration
	boundsFile, knownRedFile string
}

func (*benchVerb) Name() string     { return "bench" }
func (*benchVerb) Synopsis() string { return "measure scheduling and placement in virtual time" }
func (*benchVerb) Usage() string {
	return "bench [-short] [-seed N] [-length D] [-bounds FILE] [-red FILE]\n  Print the tables and check the figures against the bounds. With -short, run only the policy that nodes use.\n  Example: standin bench -short\n"
}

func (v *benchVerb) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&v.short, "short", false, "run only the policy that nodes use, as CI does")
	f.Uint64Var(&v.seed, "seed", 1, "seed")
	f.DurationVar(&v.duration, "length", 120*time.Second, "virtual duration of each run")
	f.StringVar(&v.boundsFile, "bounds", "bench/bounds.toml", "bounds file; if empty, check nothing")
	f.StringVar(&v.knownRedFile, "red", "KNOWN-RED.txt", "file that lists the checks known to fail")
}

func (v *benchVerb) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	r := &bench.Report{Out: os.Stdout}
	policies := bench.Policies
	if v.short {
		policies = policies[len(policies)-1:]
	}
	for _, d := range bench.Deployments {
		bench.PolicyTable(r, d, policies, bench.OfferedLoads, v.duration, v.seed)
		bench.Neighbour(r, d, neighbourDuration, v.seed)
		bench.DomainChange(r, d, v.seed)
		bench.ColdEngines(r, d, v.seed)
		bench.Failure(r, d, v.seed)
		if !v.short {
			bench.Prefixes(r, d, v.duration, v.seed)
		}
	}
	for _, site := range placing.Deployments {
		bench.PlacementTable(r, site, v.short)
	}
	if v.boundsFile == "" {
		return subcommands.ExitSuccess
	}
	return v.check(r)
}

// neighbourDuration is long enough for a light organisation to send the requests
// that a p99 needs.
const neighbourDuration = 360 * time.Second

func (v *benchVerb) check(r *bench.Report) subcommands.ExitStatus {
	data, err := os.ReadFile(v.boundsFile)
	if err != nil {
		return fail(err)
	}
	bounds, err := bench.ParseBounds(v.boundsFile, data)
	if err != nil {
		return fail(err)
	}
	knownRed, err := readKnownRed(v.knownRedFile, v.seed)
	if err != nil {
		return fail(err)
	}
	fmt.Println()
	held, broken := bench.Check(os.Stdout, r.Figures, bounds, knownRed)
	fmt.Printf("bounds: %d held, %d broken, %d known red (-seed %d)\n", held, broken, len(bounds)-held-broken, v.seed)
	if broken > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// readKnownRed returns the checks that KNOWN-RED.txt lists as failing with a seed.
// A missing file lists none.
func readKnownRed(path string, seed uint64) (map[string]bool, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("open list of checks known to fail: %w", err)
	}
	defer file.Close()
	return bench.ParseKnownFailures(file, seed), nil
}
