package verb

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"snipeford"
	"snipeford/internal/control/timer"
	"snipeford/internal/experiment/arrival"
	"snipeford/internal/experiment/load"
)

// QuindioShares lists each example organisation's share of the requests. A few
// organisations send most of them.
var QuindioShares = []arrival.OrganisationShare{
	{Name: "SupplierReview", Share: 0.30}, {Name: "RetailAudit", Share: 0.18}, {Name: "HotelPereira", Share: 0.14},
	{Name: "CareDesk", Share: 0.08}, {Name: "MarketStalls", Share: 0.07}, {Name: "HotelArmenia", Share: 0.06},
	{Name: "Foremen", Share: 0.05}, {Name: "Warehouse", Share: 0.05}, {Name: "Bookkeeping", Share: 0.04}, {Name: "Workshop", Share: 0.03},
}

type loadVerb struct {
	nodes    string
	rate     float64
	duration time.Duration
	seed     uint64
}

func (*loadVerb) Name() string     { return "load" }
func (*loadVerb) Synopsis() string { return "send a seeded load to running nodes on loopback" }
func (*loadVerb) Usage() string {
	return "load -nodes CALLER/OPERATOR,... [-rate N] [-duration D] [-seed N]\n  Example: standin load -nodes 127.0.0.1:8101/127.0.0.1:8301 -rate 10 -duration 20s\n"
}

func (v *loadVerb) SetFlags(f *flag.FlagSet) {
	f.StringVar(&v.nodes, "nodes", "127.0.0.1:8101/127.0.0.1:8301", "caller and operator addresses of the nodes")
	f.Float64Var(&v.rate, "rate", 10, "requests per second")
	f.DurationVar(&v.duration, "duration", 20*time.Second, "duration of the run, at most 10 minutes")
	f.Uint64Var(&v.seed, "seed", 1, "seed")
}

func (v *loadVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	t := &timer.Clock{}
	b := &load.Balancer{Timer: t}
	for _, pair := range strings.Split(v.nodes, ",") {
		caller, operator, ok := strings.Cut(pair, "/")
		if !ok || !strings.HasPrefix(caller, "127.") || !strings.HasPrefix(operator, "127.") {
			return fail(fmt.Errorf("node %q is not a CALLER/OPERATOR pair of loopback addresses", pair))
		}
		b.Targets = append(b.Targets, load.Target{CallerAddress: caller, OperatorAddress: operator})
	}
	go b.Run(ctx)
	t.Sleep(ctx, time.Second)
	c := &load.Client{
		HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}, Timer: t, Pick: b.Pick,
		Model: "OilReader", Service: "Orders", OrderPath: "/dispatch", LookupPath: "/stock",
		KeyOf:                func(o snipeford.Organisation) string { return "example-key-" + string(o) },
		IdempotencyKeyPrefix: fmt.Sprintf("load-%d", v.seed), MaxResumes: 3,
	}
	mix := arrival.Mix{
		Seed: v.seed, Rate: v.rate, Duration: min(v.duration, 10*time.Minute), Organisations: QuindioShares,
		BandShares: arrival.DefaultBands, OrderShare: 0.1, LookupShare: 0.1, SharedPrefixShare: 0.3, SharedPrefixCount: 20,
	}
	summary := load.Summarize(load.Run(ctx, c, arrival.Generate(mix), os.Stdout))
	summary.Print(os.Stdout)
	if summary.Corrupt > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
