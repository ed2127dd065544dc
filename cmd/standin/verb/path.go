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
	nodeProgram, rulesFile string
	requests               int
}

func (*pathVerb) Name() string { return "path" }
func (*pathVerb) Synopsis() string {
	return "compare requests through one node with direct requests to the engine"
}
func (*pathVerb) Usage() string {
	return "path [-snipeford PROGRAM] [-requests N]\n  Example: standin path -requests 400\n"
}

func (v *pathVerb) SetFlags(f *flag.FlagSet) {
	f.StringVar(&v.nodeProgram, "snipeford", "bin/snipeford", "path of the snipeford program")
	f.StringVar(&v.rulesFile, "rules", "examples/quindio/rules.toml", "rules file")
	f.IntVar(&v.requests, "requests", 400, "requests per measurement and path")
}

// pathPromptTokens is the prompt length of the measured requests.
const pathPromptTokens snipeford.Tokens = 1_000

// pathOrganisations send requests in turn, so that none reaches its limit.
var pathOrganisations = []snipeford.Organisation{"CareDesk", "MarketStalls", "SupplierReview", "RetailAudit", "HotelPereira"}

// pathCallers is the number of concurrent callers for the measurement of the
// request rate.
const pathCallers = 16

func (v *pathVerb) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	rules, err := os.ReadFile(v.rulesFile)
	if err != nil {
		return fail(err)
	}
	directory, err := os.MkdirTemp("", "snipeford-path-")
	if err != nil {
		return fail(err)
	}
	defer os.RemoveAll(directory)
	plan, err := quindioPlan(v.nodeProgram, filepath.Join(directory, "run"))
	if err != nil {
		return fail(err)
	}
	plan.Nodes, plan.Engines, plan.Services = 1, 1, 0
	r, err := rig.Start(ctx, plan)
	if err != nil {
		return fail(err)
	}
	defer r.Close()
	if err := applyAndAwaitHomes(ctx, r, rules); err != nil {
		return fail(err)
	}
	return v.measure(ctx, r)
}

// applyAndAwaitHomes applies the rules and waits until all groups have a home.
func applyAndAwaitHomes(ctx context.Context, r *rig.Rig, rules []byte) error {
	if err := r.Apply(ctx, rules, "standin"); err != nil {
		return err
	}
	return r.AwaitHomes(ctx, 20*time.Second, r.NodeIndexes()...)
}

func (v *pathVerb) measure(ctx context.Context, r *rig.Rig) subcommands.ExitStatus {
	client, balancer := r.NewClient("path")
	go balancer.Run(ctx)
	r.Timer.Sleep(ctx, time.Second)
	directClient := &engine.Client{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: pathCallers}}, Timer: r.Timer}
	// Each request has a different prompt, so that cached prefixes favour neither
	// path.
	number := 0
	nextRequest := func() arrival.Request {
		number++
		organisation := pathOrganisations[number%len(pathOrganisations)]
		return arrival.Request{Number: number, Organisation: organisation, Prompt: pathPromptTokens, MaxOutput: 8}
	}
	status, err := r.Status(ctx, 0)
	if err != nil {
		return fail(err)
	}
	fencingToken := status.Groups[0].Fence
	viaNode, direct := load.NewHistogram(), load.NewHistogram()
	for range v.requests {
		direct.Add(generateDirect(ctx, directClient, r.Timer, r.Upstreams[0], fencingToken, nextRequest()))
		viaNode.Add(client.Do(ctx, nextRequest()).TimeToFirstToken)
	}
	fmt.Printf("first token, one caller: engine alone p50 %s p99 %s; through one node p50 %s p99 %s; added p50 %s\n",
		direct.Percentile(50), direct.Percentile(99), viaNode.Percentile(50), viaNode.Percentile(99), viaNode.Percentile(50)-direct.Percentile(50))
	requests := make([]arrival.Request, 2*v.requests)
	for i := range requests {
		requests[i] = nextRequest()
	}
	directRate := measureRate(r.Timer, v.requests, func(i int) { generateDirect(ctx, directClient, r.Timer, r.Upstreams[0], fencingToken, requests[i]) })
	var notServed atomic.Int64
	viaNodeRate := measureRate(r.Timer, v.requests, func(i int) {
		if !client.Do(ctx, requests[v.requests+i]).Complete {
			notServed.Add(1)
		}
	})
	fmt.Printf("%d callers: engine alone %.0f requests/s; through one node %.0f requests/s (%.2f), %d not served\n", pathCallers, directRate, viaNodeRate, viaNodeRate/directRate, notServed.Load())
	return subcommands.ExitSuccess
}

// generateDirect sends a request directly to the engine, with the fencing token of
// the group's home, and returns the time to the first chunk of the response.
func generateDirect(ctx context.Context, c *engine.Client, t *timer.Clock, u snipeford.Upstream, fencingToken snipeford.FencingToken, q arrival.Request) time.Duration {
	start := t.Now()
	var first time.Duration
	text := q.Text()
	g := engine.GenerateRequest{Attempt: dispatch.NewAttemptID(), Prompt: text, MaxTokens: q.MaxOutput, FencingToken: fencingToken, PrefixHashes: prompt.BlockHashes(text)}
	c.Generate(ctx, u, g, func(stream.Chunk) error {
		if first == 0 {
			first = t.Now().Sub(start)
		}
		return nil
	})
	return first
}

// measureRate runs n requests with pathCallers concurrent callers and returns the
// requests per second.
func measureRate(t *timer.Clock, n int, do func(int)) float64 {
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
