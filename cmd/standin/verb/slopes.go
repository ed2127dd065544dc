package verb

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"github.com/google/subcommands"

	"snipeford"
	"snipeford/cmd/standin/rig"
	"snipeford/internal/control/reducer"
	"snipeford/internal/control/timer"
)

type slopesVerb struct{ snipeford, rules string }

func (*slopesVerb) Name() string { return "slopes" }
func (*slopesVerb) Synopsis() string {
	return "measure what control costs as nodes and replicas grow"
}
func (*slopesVerb) Usage() string {
	return "slopes [-snipeford PROGRAM]\n  Print the figures that docs/CAPACITY.md works with.\n  Example: standin slopes\n"
}

func (v *slopesVerb) SetFlags(f *flag.FlagSet) {
	f.StringVar(&v.snipeford, "snipeford", "bin/snipeford", "the node's program")
	f.StringVar(&v.rules, "rules", "examples/quindio/rules.toml", "rules file")
}

// idleFor is how long the control work of idle nodes is counted.
const idleFor = 15 * time.Second

func (v *slopesVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	rules, err := os.ReadFile(v.rules)
	if err != nil {
		return fail(err)
	}
	fmt.Println("| nodes | processor, part of a core a node | memory MB a node | heartbeats B/s a node | table writes/s a node | table reads/s a node |")
	fmt.Println("|---|---|---|---|---|---|")
	for _, nodes := range []int{3, 6, 12, 24} {
		if err := v.nodes(ctx, nodes, rules); err != nil {
			return fail(err)
		}
	}
	fmt.Println("\n| replicas in one node's homes | state MB | tick us | B a replica |")
	fmt.Println("|---|---|---|---|")
	buildHome(25)
	for _, replicas := range []int{25, 250, 1_350, 5_400} {
		homeSlope(replicas)
	}
	return subcommands.ExitSuccess
}

func (v *slopesVerb) nodes(ctx context.Context, nodes int, rules []byte) error {
	directory, err := os.MkdirTemp("", "snipeford-slopes-")
	if err != nil {
		return fmt.Errorf("make directory: %w", err)
	}
	defer os.RemoveAll(directory)
	plan, err := quindio(v.snipeford, filepath.Join(directory, "run"))
	if err != nil {
		return err
	}
	plan.Nodes, plan.Engines = nodes, 6
	r, err := rig.Start(ctx, plan)
	if err != nil {
		return err
	}
	defer r.Close()
	if err := ready(ctx, r, rules); err != nil {
		return err
	}
	r.Timer.Sleep(ctx, 3*time.Second)
	before, err := total(ctx, r)
	if err != nil {
		return err
	}
	r.Timer.Sleep(ctx, idleFor)
	after, err := total(ctx, r)
	if err != nil {
		return err
	}
	share := 1 / (idleFor.Seconds() * float64(nodes))
	fmt.Printf("| %d | %.4f | %.1f | %.0f | %.2f | %.2f |\n", nodes,
		(after.Processor-before.Processor).Seconds()*share, float64(after.Memory)/float64(nodes)/(1<<20),
		float64(after.Heartbeats-before.Heartbeats)*share, float64(after.writes-before.writes)*share, float64(after.reads-before.reads)*share)
	return nil
}

// sums adds up all nodes' usage and the table's calls.
type sums struct {
	rig.Usage
	reads, writes int
}

func total(ctx context.Context, r *rig.Rig) (sums, error) {
	var out sums
	for _, i := range r.NodeIndexes() {
		u, err := r.NodeUsage(ctx, i)
		if err != nil {
			return out, err
		}
		out.Processor += u.Processor
		out.Memory += u.Memory
		out.Heartbeats += u.Heartbeats
	}
	counts, err := r.TableCounts(ctx)
	out.reads, out.writes = counts.Reads, counts.Writes
	return out, err
}

// buildHome returns the state of a node that is the home of that many replicas.
func buildHome(replicas int) *reducer.State {
	s := reducer.New(reducer.Settings{Member: snipeford.Member{Node: "node-1", Domain: "domain-0"}, QueuePolicy: "Fair", RoutePolicy: "MovingSplit", Standalone: true})
	groups := max(1, replicas/8)
	var list []snipeford.Upstream
	for i := range replicas {
		g := i % groups
		list = append(list, snipeford.Upstream{
			ID: snipeford.UpstreamID(fmt.Sprintf("engine-%05d", i)), Kind: snipeford.KindEngine, Memory: 400_000, Address: fmt.Sprintf("10.0.0.1:%d", i),
			Model: snipeford.Model(fmt.Sprint("model-", g/22)), Domain: snipeford.FailureDomain(fmt.Sprint("domain-", g%22)),
		})
	}
	s.Apply(0, reducer.UpstreamsListed{Upstreams: list})
	return s
}

// homeSlope measures the state and the tick of one node that is the home of
// that many replicas.
func homeSlope(replicas int) {
	t := &timer.Clock{}
	before := heap()
	s := buildHome(replicas)
	used := heap() - before
	const ticks = 50
	start := t.Now()
	for i := range ticks {
		s.Apply(snipeford.Instant(i)*snipeford.Instant(reducer.TickInterval), reducer.Ticked{})
	}
	took := t.Now().Sub(start) / ticks
	fmt.Printf("| %d | %.2f | %.0f | %d |\n", replicas, float64(used)/(1<<20), float64(took)/float64(time.Microsecond), used/int64(replicas))
	runtime.KeepAlive(s)
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
