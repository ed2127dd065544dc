package verb

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/subcommands"

	"snipeford"
	"snipeford/cmd/standin/rig"
	"snipeford/internal/control/timer"
	"snipeford/internal/experiment/arrival"
	"snipeford/internal/experiment/load"
	"snipeford/internal/request/dispatch"
	"snipeford/internal/request/prompt"
	"snipeford/internal/request/stream"
	"snipeford/internal/upstream/engine"
)

type pathVerb struct {
	snipeford, rules string
	requests         int
}

func (*pathVerb) Name() string { return "path" }
func (*pathVerb) Synopsis() string {
	return "measure the running path of one node against the engine alone"
}
func (*pathVerb) Usage() string {
	return "path [-snipeford PROGRAM] [-requests N]\n  Example: standin path -requests 400\n"
}

func (v *pathVerb) SetFlags(f *flag.FlagSet) {
	f.StringVar(&v.snipeford, "snipeford", "bin/snipeford", "the node's program")
	f.StringVar(&v.rules, "rules", "examples/quindio/rules.toml", "rules file")
	f.IntVar(&v.requests, "requests", 400, "requests of each kind")
}

// pathPrompt is the length of the prompts on the measured path.
const pathPrompt snipeford.Tokens = 1_000

// pathOrganisations send in turn, so that none is at its limit.
var pathOrganisations = []snipeford.Organisation{"CareDesk", "MarketStalls", "SupplierReview", "RetailAudit", "HotelPereira"}

// pathCallers is how many callers send at once for the rate.
const pathCallers = 16

func (v *pathVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	rules, err := os.ReadFile(v.rules)
	if err != nil {
		return fail(err)
	}
	directory, err := os.MkdirTemp("", "snipeford-path-")
	if err != nil {
		return fail(err)
	}
	defer os.RemoveAll(directory)
	plan, err := quindio(v.snipeford, filepath.Join(directory, "run"))
	if err != nil {
		return fail(err)
	}
	plan.Nodes, plan.Engines, plan.Services = 1, 1, 0
	r, err := rig.Start(ctx, plan)
	if err != nil {
		return fail(err)
	}
	defer r.Close()
	if err := ready(ctx, r, rules); err != nil {
		return fail(err)
	}
	return v.measure(ctx, r)
}

// ready applies the rules and waits until all groups have a home.
func ready(ctx context.Context, r *rig.Rig, rules []byte) error {
	if err := r.Apply(ctx, rules, "standin"); err != nil {
		return err
	}
	return r.AwaitHomes(ctx, 20*time.Second, r.NodeIndexes()...)
}

func (v *pathVerb) measure(ctx context.Context, r *rig.Rig) subcommands.ExitStatus {
	client, balancer := r.NewClient("path")
	go balancer.Run(ctx)
	r.Timer.Sleep(ctx, time.Second)
	direct := &engine.Client{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: pathCallers}}, Timer: r.Timer}
	// Each request has a prompt of its own, so that no cache helps one side.
	number := 0
	request := func() arrival.Request {
		number++
		organisation := pathOrganisations[number%len(pathOrganisations)]
		return arrival.Request{Number: number, Organisation: organisation, Prompt: pathPrompt, MaxOutput: 8}
	}
	status, err := r.Status(ctx, 0)
	if err != nil {
		return fail(err)
	}
	fence := status.Groups[0].Fence
	through, alone := load.NewLatency(), load.NewLatency()
	for range v.requests {
		alone.Add(generateAlone(ctx, direct, r.Timer, r.Upstreams[0], fence, request()))
		through.Add(client.Do(ctx, request()).FirstToken)
	}
	fmt.Printf("first token, one caller: engine alone p50 %s p99 %s; through one node p50 %s p99 %s; added p50 %s\n",
		alone.At(50), alone.At(99), through.At(50), through.At(99), through.At(50)-alone.At(50))
	requests := make([]arrival.Request, 2*v.requests)
	for i := range requests {
		requests[i] = request()
	}
	aloneRate := rate(r.Timer, v.requests, func(i int) { generateAlone(ctx, direct, r.Timer, r.Upstreams[0], fence, requests[i]) })
	var refused atomic.Int64
	throughRate := rate(r.Timer, v.requests, func(i int) {
		if !client.Do(ctx, requests[v.requests+i]).Whole {
			refused.Add(1)
		}
	})
	fmt.Printf("%d callers: engine alone %.0f requests/s; through one node %.0f requests/s (%.2f), %d not served\n", pathCallers, aloneRate, throughRate, throughRate/aloneRate, refused.Load())
	return subcommands.ExitSuccess
}

// generateAlone asks the engine directly, under the fence of the group's home.
func generateAlone(ctx context.Context, c *engine.Client, t *timer.Clock, u snipeford.Upstream, fence snipeford.FencingToken, q arrival.Request) time.Duration {
	start := t.Now()
	var first time.Duration
	text := q.Text()
	g := engine.GenerateRequest{Attempt: dispatch.NewAttemptID(), Prompt: text, MaxTokens: q.MaxOutput, FencingToken: fence, PrefixHashes: prompt.BlockHashes(text)}
	c.Generate(ctx, u, g, func(stream.Chunk) error {
		if first == 0 {
			first = t.Now().Sub(start)
		}
		return nil
	})
	return first
}

// rate runs n requests by pathCallers callers and returns requests a second.
func rate(t *timer.Clock, n int, do func(int)) float64 {
	start := t.Now()
	var group sync.WaitGroup
	for caller := range pathCallers {
		group.Go(func() {
			for i := caller; i < n; i += pathCallers {
				do(i)
			}
		})
	}
	group.Wait()
	return float64(n) / t.Now().Sub(start).Seconds()
}
