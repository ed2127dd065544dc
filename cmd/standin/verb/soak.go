package verb

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/google/subcommands"

	"snipeford/cmd/standin/soak"
)

type soakVerb struct {
	snipeford    string
	first, seeds uint64
	length       time.Duration
	nodes        int
	models       int
	clients      int
}

func (*soakVerb) Name() string     { return "soak" }
func (*soakVerb) Synopsis() string { return "inject faults by seeds and check the promises" }
func (*soakVerb) Usage() string {
	return "soak [-first SEED] [-seeds N] [-length DURATION] [-nodes N] [-models N] [-clients N]\n  Run nodes of the users' platform as processes against its stand-ins, one run a seed. Exit 1 on a broken promise; the logs of that seed are kept.\n  Example: standin soak -first 1 -seeds 3\n"
}

func (v *soakVerb) SetFlags(f *flag.FlagSet) {
	f.StringVar(&v.snipeford, "snipeford", "bin/snipeford", "the node's program")
	f.Uint64Var(&v.first, "first", 0, "first seed; 0 draws one")
	f.Uint64Var(&v.seeds, "seeds", 3, "number of seeds")
	f.DurationVar(&v.length, "length", 8*time.Second, "time of requests and faults for each seed")
	f.IntVar(&v.nodes, "nodes", 4, "nodes")
	f.IntVar(&v.models, "models", 6, "model replicas")
	f.IntVar(&v.clients, "clients", 16, "clients")
}

func (v *soakVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if v.first == 0 {
		v.first = uint64(time.Now().UnixNano() % 1_000_000_000)
	}
	directory, err := os.MkdirTemp("", "snipeford-soak-")
	if err != nil {
		return fail(err)
	}
	broken := 0
	for seed := v.first; seed < v.first+v.seeds; seed++ {
		n, err := v.play(ctx, seed, filepath.Join(directory, fmt.Sprint(seed)))
		if err != nil {
			return fail(err)
		}
		broken += n
	}
	fmt.Printf("%d seeds, %d violations\n", v.seeds, broken)
	if broken > 0 {
		fmt.Println("logs are kept in", directory)
		return subcommands.ExitFailure
	}
	if err := os.RemoveAll(directory); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

func (v *soakVerb) play(ctx context.Context, seed uint64, directory string) (int, error) {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return 0, fmt.Errorf("make directory: %w", err)
	}
	report, err := soak.Run(ctx, soak.Plan{
		Program: v.snipeford, Directory: directory, Seed: seed, Duration: v.length,
		Nodes: v.nodes, ModelReplicas: v.models, ServiceReplicas: 3, Clients: v.clients,
	})
	if err != nil {
		return 0, err
	}
	fmt.Println(report)
	for _, one := range report.Violations {
		fmt.Println("  VIOLATION", one)
	}
	return len(report.Violations), nil
}
