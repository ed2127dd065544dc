package verb

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/google/subcommands"

	"snipeford"
	"snipeford/cmd/standin/rig"
	"snipeford/internal/experiment/arrival"
	"snipeford/internal/experiment/load"
)

type demoVerb struct {
	nodeProgram string
	rulesFile   string
	rate        float64
	duration    time.Duration
	seed        uint64
}

func (*demoVerb) Name() string     { return "demo" }
func (*demoVerb) Synopsis() string { return "run a small fleet and send it a mixed load" }
func (*demoVerb) Usage() string {
	return "demo [-snipeford PROGRAM] [-rules FILE] [-rate N] [-duration D] [-seed N]\n  Example: standin demo -snipeford bin/snipeford -rules examples/quindio/rules.toml\n"
}

func (v *demoVerb) SetFlags(f *flag.FlagSet) {
	f.StringVar(&v.nodeProgram, "snipeford", "bin/snipeford", "path of the snipeford program")
	f.StringVar(&v.rulesFile, "rules", "examples/quindio/rules.toml", "rules file")
	f.Float64Var(&v.rate, "rate", 20, "requests per second")
	f.DurationVar(&v.duration, "duration", 20*time.Second, "duration of the load")
	f.Uint64Var(&v.seed, "seed", 1, "seed")
}

// quindioPlan returns the plan for a fleet of the Quindio example deployment.
func quindioPlan(nodeProgram, directory string) (rig.Plan, error) {
	standinProgram, err := os.Executable()
	if err != nil {
		return rig.Plan{}, fmt.Errorf("find path of this program: %w", err)
	}
	return rig.Plan{
		Snipeford: nodeProgram, Standin: standinProgram, Directory: directory,
		Domains: []snipeford.FailureDomain{"Armenia", "Pereira", "Manizales"},
		Nodes:   6, Engines: 20, Services: 3, Model: "OilReader", Service: "Orders",
		IgnoreFencingEvery: 3, ListLag: time.Second, LoadLag: 300 * time.Millisecond,
	}, nil
}

func (v *demoVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	rules, err := os.ReadFile(v.rulesFile)
	if err != nil {
		return fail(err)
	}
	directory, err := os.MkdirTemp("", "snipeford-demo-")
	if err != nil {
		return fail(err)
	}
	plan, err := quindioPlan(v.nodeProgram, filepath.Join(directory, "run"))
	if err != nil {
		return fail(err)
	}
	fmt.Printf("starting table, VM list, %d nodes in %d failure domains, %d engines, %d order replicas\n", plan.Nodes, len(plan.Domains), plan.Engines, plan.Services)
	r, err := rig.Start(ctx, plan)
	if err != nil {
		return fail(err)
	}
	summary, orderRuns, err := v.run(ctx, r, rules)
	fmt.Printf("stopped %d processes\n", r.Close())
	if err != nil {
		fmt.Println("logs are kept in", plan.Directory)
		return fail(err)
	}
	if v.printReport(summary, orderRuns) {
		os.RemoveAll(directory)
		return subcommands.ExitSuccess
	}
	fmt.Println("logs are kept in", plan.Directory)
	return subcommands.ExitFailure
}

func (v *demoVerb) run(ctx context.Context, r *rig.Rig, rules []byte) (load.Summary, map[string]int, error) {
	if err := r.Apply(ctx, rules, "demo"); err != nil {
		return load.Summary{}, nil, err
	}
	if err := r.AwaitHomes(ctx, 20*time.Second, r.NodeIndexes()...); err != nil {
		return load.Summary{}, nil, err
	}
	client, balancer := r.NewClient(fmt.Sprintf("demo-%d", v.seed))
	go balancer.Run(ctx)
	if err := r.Await(ctx, 10*time.Second, func() error {
		if balancer.ReadyCount() < r.Plan.Nodes {
			return fmt.Errorf("%d of %d nodes are ready", balancer.ReadyCount(), r.Plan.Nodes)
		}
		return nil
	}); err != nil {
		return load.Summary{}, nil, err
	}
	mix := arrival.Mix{
		Seed: v.seed, Rate: v.rate, Duration: v.duration, Organisations: QuindioShares, BandShares: arrival.DefaultBands,
		OrderShare: 0.1, LookupShare: 0.1, SharedPrefixShare: 0.3, SharedPrefixCount: 20,
	}
	requests := arrival.Generate(mix)
	fmt.Printf("sending %d requests in %s (%s)\n", len(requests), v.duration, seedFlag(v.seed))
	results := load.Run(ctx, client, requests, os.Stdout)
	orderRuns, err := r.OrderRuns(ctx)
	return load.Summarize(results), orderRuns, err
}

// printReport prints the results. It returns true if no order ran more than once
// and no completed response had wrong content.
func (v *demoVerb) printReport(s load.Summary, orderRuns map[string]int) bool {
	s.Print(os.Stdout)
	ranOnce, ranMoreThanOnce := 0, 0
	for _, n := range orderRuns {
		if n == 1 {
			ranOnce++
		} else {
			ranMoreThanOnce++
		}
	}
	fmt.Printf("orders: sent %d, run once %d, run twice %d\n", s.OrdersSent, ranOnce, ranMoreThanOnce)
	return ranMoreThanOnce == 0 && s.Corrupt == 0
}
