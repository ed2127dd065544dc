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
	snipeford, rules, only, red string
	seed                        uint64
	parallel                    int
}

func (*proveVerb) Name() string     { return "prove" }
func (*proveVerb) Synopsis() string { return "run the faults that the promises have to stand" }
func (*proveVerb) Usage() string {
	return "prove [-only PREFIX] [-seed N] [-parallel N] [-red FILE]\n  Print one line a promise and fault: held, broken or not run. Exit 1 on a break that KNOWN-RED.txt does not name.\n  Example: standin prove -only order\n"
}

func (v *proveVerb) SetFlags(f *flag.FlagSet) {
	f.StringVar(&v.snipeford, "snipeford", "bin/snipeford", "the node's program")
	f.StringVar(&v.rules, "rules", "examples/quindio/rules.toml", "rules file")
	f.StringVar(&v.only, "only", "", "run only the scenes whose names start with this")
	f.StringVar(&v.red, "red", "KNOWN-RED.txt", "file of the scenes that are known to be broken")
	f.Uint64Var(&v.seed, "seed", 1, "seed")
	f.IntVar(&v.parallel, "parallel", 2, "scenes that run at once")
}

func (v *proveVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	rules, err := os.ReadFile(v.rules)
	if err != nil {
		return fail(err)
	}
	red, err := readRed(v.red, v.seed)
	if err != nil {
		return fail(err)
	}
	directory, err := prove.MakeDirectory()
	if err != nil {
		return fail(err)
	}
	self, err := os.Executable()
	if err != nil {
		return fail(err)
	}
	fmt.Printf("%s\n", seedText(v.seed))
	broken := v.playAll(ctx, prove.BasePlan(v.snipeford, self, directory), rules, red)
	if broken > 0 {
		fmt.Println("logs are kept in", directory)
		return subcommands.ExitFailure
	}
	os.RemoveAll(directory)
	return subcommands.ExitSuccess
}

// counts is how many scenes ended how.
type counts struct{ held, broken, red, notRun int }

func (v *proveVerb) playAll(ctx context.Context, plan rig.Plan, rules []byte, red map[string]bool) int {
	var mu sync.Mutex
	var total counts
	slots := make(chan struct{}, max(1, v.parallel))
	var group sync.WaitGroup
	for _, scene := range prove.Scenarios {
		if !strings.HasPrefix(scene.Name, v.only) {
			total.notRun++
			continue
		}
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			note, err := prove.Run(ctx, scene, plan, rules, v.seed)
			mu.Lock()
			defer mu.Unlock()
			total.print(scene, note, err, red[scene.Name])
		})
	}
	group.Wait()
	fmt.Printf("promises: %d held, %d broken, %d known red, %d not run\n", total.held, total.broken, total.red, total.notRun)
	return total.broken
}

func (c *counts) print(scene prove.Scenario, note string, err error, red bool) {
	word := "held"
	switch {
	case err == nil:
		c.held++
	case red:
		c.red++
		word = "known red"
	default:
		c.broken++
		word = "BROKEN"
	}
	fmt.Printf("%-9s %-30s %s | %s | %s\n", word, scene.Name, scene.Promise, scene.Fault, note)
	if err != nil {
		fmt.Println(indent(err.Error()))
	}
}

// mostFaults bounds the lines that a broken scene prints.
const mostFaults = 6

func indent(text string) string {
	lines := strings.Split(text, "\n")
	if len(lines) > mostFaults {
		lines = append(lines[:mostFaults], fmt.Sprintf("and %d more", len(lines)-mostFaults))
	}
	return "          " + strings.Join(lines, "\n          ")
}
