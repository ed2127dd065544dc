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
	snipeford string
	rules     string
	rate      float64
	duration  time.Duration
	seed      uint64
}

func (*demoVerb) Name() string     { return "demo" }
func (*demoVerb) Synopsis() string { return "run a whole small fleet and send it a mixed load" }
func (*demoVerb) Usage() string {
	return "demo [-snipeford PROGRAM] [-rules FILE] [-rate N] [-duration D] [-seed N]\n  Example: standin demo -snipeford bin/snipeford -rules examples/quindio/rules.toml\n"
}

func (v *demoVerb) SetFlags(f *flag.FlagSet) {
	f.StringVar(&v.snipeford, "snipeford", "bin/snipeford", "the node's program")
	f.StringVar(&v.rules, "rules", "examples/quindio/rules.toml", "rules file")
	f.Float64Var(&v.rate, "rate", 20, "requests a second")
	f.DurationVar(&v.duration, "duration", 20*time.Second, "length of the load")
	f.Uint64Var(&v.seed, "seed", 1, "seed")
}

// quindio is the fleet of the first deployment.
func quindio(program, directory string) (rig.Plan, error) {
	standin, err := os.Executable()
	if err != nil {
		return rig.Plan{}, fmt.Errorf("find own program: %w", err)
	}
	return rig.Plan{
		Snipeford: program, Standin: standin, Directory: directory,
		Domains: []snipeford.FailureDomain{"Armenia", "Pereira", "Manizales"},
		Nodes:   6, Engines: 20, Services: 3, Model: "OilReader", Service: "Orders",
		FencesEvery: 3, ListLag: time.Second, LoadLag: 300 * time.Millisecond,
	}, nil
}

func (v *demoVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	rules, err := os.ReadFile(v.rules)
	if err != nil {
		return fail(err)
	}
	directory, err := os.MkdirTemp("", "snipeford-demo-")
	if err != nil {
		return fail(err)
	}
	plan, err := quindio(v.snipeford, filepath.Join(directory, "run"))
	if err != nil {
		return fail(err)
	}
	fmt.Printf("starting table, VM list, %d nodes in %d failure domains, %d engines, %d order replicas\n", plan.Nodes, len(plan.Domains), plan.Engines, plan.Services)
	r, err := rig.Start(ctx, plan)
	if err != nil {
		return fail(err)
	}
	summary, ledger, err := v.run(ctx, r, rules)
	fmt.Printf("ended %d processes by their ids\n", r.Close())
	if err != nil {
		fmt.Println("logs are kept in", plan.Directory)
		return fail(err)
	}
	if v.report(summary, ledger) {
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
	if err := r.AwaitHomes(ctx, 20*time.Second, r.AllNodes()...); err != nil {
		return load.Summary{}, nil, err
	}
	client, balancer := r.Client(fmt.Sprintf("demo-%d", v.seed))
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
	fmt.Printf("sending %d requests in %s (%s)\n", len(requests), v.duration, seedText(v.seed))
	results := load.Run(ctx, client, requests, os.Stdout)
	ledger, err := r.Ledger(ctx)
	return load.Summarize(results), ledger, err
}

// report prints what came of the run and reports whether it was right.
func (v *demoVerb) report(s load.Summary, ledger map[string]int) bool {
	s.Print(os.Stdout)
	once, twice := 0, 0
	for _, n := range ledger {
		if n == 1 {
			once++
		} else {
			twice++
		}
	}
	fmt.Printf("orders: sent %d, run once %d, run twice %d\n", s.OrdersSent, once, twice)
	return twice == 0 && s.Corrupt == 0
}
