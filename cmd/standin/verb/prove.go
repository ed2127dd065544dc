package verb

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"

	"github.com/google/subcommands"

	"snipeford/cmd/standin/prove"
	"snipeford/cmd/standin/rig"
)

type proveVerb struct {
	nodeProgram, rulesFile, namePrefix, knownRedFile string
	seed                                             uint64
	parallel                                         int
}

func (*proveVerb) Name() string     { return "prove" }
func (*proveVerb) Synopsis() string { return "inject faults and check the guarantees" }
func (*proveVerb) Usage() string {
	return "prove [-only PREFIX] [-seed N] [-parallel N] [-red FILE]\n  Print one line for each guarantee and fault: held, BROKEN or known red. Exit with 1 if a guarantee is broken that KNOWN-RED.txt does not list.\n  Example: standin prove -only order\n"
}

func (v *proveVerb) SetFlags(f *flag.FlagSet) {
	f.StringVar(&v.nodeProgram, "snipeford", "bin/snipeford", "path of the snipeford program")
	f.StringVar(&v.rulesFile, "rules", "examples/quindio/rules.toml", "rules file")
	f.StringVar(&v.namePrefix, "only", "", "run only the scenes whose names start with this prefix")
	f.StringVar(&v.knownRedFile, "red", "KNOWN-RED.txt", "file that lists the scenes known to fail")
	f.Uint64Var(&v.seed, "seed", 1, "seed")
	f.IntVar(&v.parallel, "parallel", 2, "maximum number of scenes that run at the same time")
}

func (v *proveVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	rules, err := os.ReadFile(v.rulesFile)
	if err != nil {
		return fail(err)
	}
	knownRed, err := readKnownRed(v.knownRedFile, v.seed)
	if err != nil {
		return fail(err)
	}
	directory, err := prove.MakeDirectory()
	if err != nil {
		return fail(err)
	}
	standinProgram, err := os.Executable()
	if err != nil {
		return fail(err)
	}
	fmt.Printf("%s\n", seedFlag(v.seed))
	broken := v.runAll(ctx, prove.BasePlan(v.nodeProgram, standinProgram, directory), rules, knownRed)
	if broken > 0 {
		fmt.Println("logs are kept in", directory)
		return subcommands.ExitFailure
	}
	os.RemoveAll(directory)
	return subcommands.ExitSuccess
}

// resultCounts counts scenarios by result.
type resultCounts struct{ held, broken, knownRed, notRun int }

func (v *proveVerb) runAll(ctx context.Context, plan rig.Plan, rules []byte, knownRed map[string]bool) int {
	var mu sync.Mutex
	var total resultCounts
	slots := make(chan struct{}, max(1, v.parallel))
	var group sync.WaitGroup
	for _, scenario := range prove.Scenarios {
		if !strings.HasPrefix(scenario.Name, v.namePrefix) {
			total.notRun++
			continue
		}
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			summary, err := prove.Run(ctx, scenario, plan, rules, v.seed)
			mu.Lock()
			defer mu.Unlock()
			total.report(scenario, summary, err, knownRed[scenario.Name])
		})
	}
	group.Wait()
	fmt.Printf("promises: %d held, %d broken, %d known red, %d not run\n", total.held, total.broken, total.knownRed, total.notRun)
	return total.broken
}

func (c *resultCounts) report(scenario prove.Scenario, summary string, err error, knownRed bool) {
	label := "held"
	switch {
	case err == nil:
		c.held++
	case knownRed:
		c.knownRed++
		label = "known red"
	default:
		c.broken++
		label = "BROKEN"
	}
	fmt.Printf("%-9s %-30s %s | %s | %s\n", label, scenario.Name, scenario.Guarantee, scenario.Fault, summary)
	if err != nil {
		fmt.Println(formatErrorLines(err.Error()))
	}
}

// maxErrorLines limits the error lines that are printed for a broken scenario.
const maxErrorLines = 6

func formatErrorLines(text string) string {
	lines := strings.Split(text, "\n")
	if len(lines) > maxErrorLines {
		lines = append(lines[:maxErrorLines], fmt.Sprintf("and %d more", len(lines)-maxErrorLines))
	}
	return "          " + strings.Join(lines, "\n          ")
}
