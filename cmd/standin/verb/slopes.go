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

type slopesVerb struct{ nodeProgram, rulesFile string }

func (*slopesVerb) Name() string { return "slopes" }
func (*slopesVerb) Synopsis() string {
	return "measure control overhead by number of nodes and replicas"
}
func (*slopesVerb) Usage() string {
	return "slopes [-snipeford PROGRAM]\n  Print the figures that docs/CAPACITY.md uses.\n  Example: standin slopes\n"
}

func (v *slopesVerb) SetFlags(f *flag.FlagSet) {
	f.StringVar(&v.nodeProgram, "snipeford", "bin/snipeford", "path of the snipeford program")
	f.StringVar(&v.rulesFile, "rules", "examples/quindio/rules.toml", "rules file")
}

// idlePeriod is how long the usage of idle nodes is measured.
const idlePeriod = 15 * time.Second

func (v *slopesVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	rules, err := os.ReadFile(v.rulesFile)
	if err != nil {
		return fail(err)
	}
	fmt.Println("| nodes | processor, part of a core a node | memory MB a node | heartbeats B/s a node | table writes/s a node | table reads/s a node |")
	fmt.Println("|---|---|---|---|---|---|")
	for _, nodes := range []int{3, 6, 12, 24} {
		if err := v.measureNodes(ctx, nodes, rules); err != nil {
			return fail(err)
		}
	}
	fmt.Println("\n| replicas in one node's homes | state MB | tick us | B a replica |")
	fmt.Println("|---|---|---|---|")
	// The first state is discarded: it makes the allocations that occur only once,
	// which must not count in the first row.
	newHomeState(25)
	for _, replicas := range []int{25, 250, 1_350, 5_400} {
		measureHome(replicas)
	}
	return subcommands.ExitSuccess
}

func (v *slopesVerb) measureNodes(ctx context.Context, nodes int, rules []byte) error {
	directory, err := os.MkdirTemp("", "snipeford-slopes-")
	if err != nil {
		return fmt.Errorf("create run directory: %w", err)
	}
	defer os.RemoveAll(directory)
	plan, err := quindioPlan(v.nodeProgram, filepath.Join(directory, "run"))
	if err != nil {
		return err
	}
	plan.Nodes, plan.Engines = nodes, 6
	r, err := rig.Start(ctx, plan)
	if err != nil {
		return err
	}
	defer r.Close()
	if err := applyAndAwaitHomes(ctx, r, rules); err != nil {
		return err
	}
	r.Timer.Sleep(ctx, 3*time.Second)
	before, err := totalUsage(ctx, r)
	if err != nil {
		return err
	}
	r.Timer.Sleep(ctx, idlePeriod)
	after, err := totalUsage(ctx, r)
	if err != nil {
		return err
	}
	perNodeSecond := 1 / (idlePeriod.Seconds() * float64(nodes))
	fmt.Printf("| %d | %.4f | %.1f | %.0f | %.2f | %.2f |\n", nodes,
		(after.CPUTime-before.CPUTime).Seconds()*perNodeSecond, float64(after.ResidentBytes)/float64(nodes)/(1<<20),
		float64(after.HeartbeatBytes-before.HeartbeatBytes)*perNodeSecond, float64(after.writes-before.writes)*perNodeSecond, float64(after.reads-before.reads)*perNodeSecond)
	return nil
}

// fleetUsage is the total usage of all nodes and the number of calls to the table.
type fleetUsage struct {
	rig.Usage
	reads, writes int
}

func totalUsage(ctx context.Context, r *rig.Rig) (fleetUsage, error) {
	var out fleetUsage
	for _, i := range r.NodeIndexes() {
		u, err := r.NodeUsage(ctx, i)
		if err != nil {
			return out, err
		}
		out.CPUTime += u.CPUTime
		out.ResidentBytes += u.ResidentBytes
		out.HeartbeatBytes += u.HeartbeatBytes
	}
	counts, err := r.TableCounts(ctx)
	out.reads, out.writes = counts.Reads, counts.Writes
	return out, err
}

// newHomeState returns the state of a node that is the home of groups with the
// given number of replicas in total.
func newHomeState(replicas int) *reducer.State {
	s := reducer.New(reducer.Settings{Member: snipeford.Member{Node: "node-1", Domain: "domain-0"}, QueuePolicy: "Fair", RoutePolicy: "MovingSplit", Standalone: true})
	groups := max(1, replicas/8)
	var upstreams []snipeford.Upstream
	for i := range replicas {
		group := i % groups
		upstreams = append(upstreams, snipeford.Upstream{
			ID: snipeford.UpstreamID(fmt.Sprintf("engine-%05d", i)), Kind: snipeford.KindEngine, Memory: 400_000, Address: fmt.Sprintf("10.0.0.1:%d", i),
			Model: snipeford.Model(fmt.Sprint("model-", group/22)), Domain: snipeford.FailureDomain(fmt.Sprint("domain-", group%22)),
		})
	}
	s.Apply(0, reducer.UpstreamsListed{Upstreams: upstreams})
	return s
}

// measureHome prints the size of the state and the duration of a tick of a node
// that is the home of groups with the given number of replicas in total.
func measureHome(replicas int) {
	t := &timer.Clock{}
	before := heapBytes()
	s := newHomeState(replicas)
	stateBytes := heapBytes() - before
	const ticks = 50
	start := t.Now()
	for i := range ticks {
		s.Apply(snipeford.Instant(i)*snipeford.Instant(reducer.TickInterval), reducer.Ticked{})
	}
	tickDuration := t.Now().Sub(start) / ticks
	fmt.Printf("| %d | %.2f | %.0f | %d |\n", replicas, float64(stateBytes)/(1<<20), float64(tickDuration)/float64(time.Microsecond), stateBytes/int64(replicas))
	runtime.KeepAlive(s)
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
