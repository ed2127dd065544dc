package verb

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/google/subcommands"

	"snipeford/cmd/standin/soak"
)

type soakVerb struct {
	plan                 soak.Plan
	firstSeed, seedCount uint64
	keepLogs             bool
}

func (*soakVerb) Name() string     { return "soak" }
func (*soakVerb) Synopsis() string { return "inject seeded faults and check the delivery guarantees" }
func (*soakVerb) Usage() string {
	return "soak [-first SEED] [-seeds N] [-length DURATION] [-nodes N] [-models N] [-clients N] [-variant NAME] [-old PATH] [-keep]\n  Run nodes as separate processes against a simulated platform, once per seed. Exit with 1 on a violation and keep the logs.\n  Example: standin soak -first 1 -seeds 3\n"
}

func (v *soakVerb) SetFlags(f *flag.FlagSet) {
	f.StringVar(&v.plan.Program, "snipeford", "bin/snipeford", "path of the snipeford program")
	f.StringVar(&v.plan.OldProgram, "old", "", "path of the snipeford program of an earlier build, which half of the nodes start with")
	f.Uint64Var(&v.firstSeed, "first", 0, "first seed; 0 chooses one at random")
	f.Uint64Var(&v.seedCount, "seeds", 3, "number of seeds")
	f.DurationVar(&v.plan.Duration, "length", 8*time.Second, "duration of requests and faults for each seed")
	f.IntVar(&v.plan.Nodes, "nodes", 4, "number of nodes")
	f.IntVar(&v.plan.ModelReplicas, "models", 6, "number of model replicas")
	f.IntVar(&v.plan.Clients, "clients", 16, "number of clients")
	f.BoolVar(&v.keepLogs, "keep", false, "keep the logs although no violation was found")
	f.StringVar((*string)(&v.plan.Variant), "variant", string(soak.Mixed), fmt.Sprintf("kind of faults, one of %v", soak.Variants))
}

func (v *soakVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if !slices.Contains(soak.Variants, v.plan.Variant) {
		return fail(fmt.Errorf("unknown variant %q", v.plan.Variant))
	}
	if v.firstSeed == 0 {
		v.firstSeed = uint64(time.Now().UnixNano() % 1_000_000_000)
	}
	directory, err := os.MkdirTemp("", "snipeford-soak-")
	if err != nil {
		return fail(err)
	}
	violations := 0
	for seed := v.firstSeed; seed < v.firstSeed+v.seedCount; seed++ {
		n, err := v.runSeed(ctx, seed, filepath.Join(directory, fmt.Sprint(seed)))
		if err != nil {
			return fail(err)
		}
		violations += n
	}
	fmt.Printf("%d seeds, %d violations\n", v.seedCount, violations)
	if violations > 0 || v.keepLogs {
		fmt.Println("logs are kept in", directory)
	} else if err := os.RemoveAll(directory); err != nil {
		return fail(err)
	}
	if violations > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (v *soakVerb) runSeed(ctx context.Context, seed uint64, directory string) (int, error) {
	p := v.plan
	p.Directory, p.Seed, p.ServiceReplicas = directory, seed, 3
	report, err := soak.Run(ctx, p)
	if err != nil {
		return 0, err
	}
	if err := ctx.Err(); err != nil {
		return 0, fmt.Errorf("interrupted in seed %d: %w", seed, err)
	}
	fmt.Println(report)
	for _, remark := range report.Remarks {
		fmt.Println("  ", remark)
	}
	for _, violation := range report.Violations {
		fmt.Println("  VIOLATION", violation)
	}
	return len(report.Violations), nil
}
