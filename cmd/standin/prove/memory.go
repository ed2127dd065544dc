package prove

import (
	"context"
	"errors"
	"fmt"
	"time"

	"snipeford"
	"snipeford/cmd/standin/rig"
	"snipeford/internal/experiment/arrival"
	"snipeford/internal/experiment/load"
)

const memoryGuarantee = "no engine loses memory for good"

var memoryScenarios = []Scenario{
	{Name: "memory-long-prompts", Guarantee: "a prompt larger than one engine is served; two never deadlock; " + memoryGuarantee, Fault: "four such prompts in one group at once", ModifyPlan: smallMemory, Run: memoryLongPrompts},
	{Name: "memory-callers-leave", Guarantee: memoryGuarantee, Fault: "callers leave in the middle of prompts that span engines", ModifyPlan: smallMemory, Run: memoryCallersLeave},
	{Name: "memory-engine-killed", Guarantee: memoryGuarantee, Fault: "an engine killed in the middle of a prompt that spans engines", ModifyPlan: smallMemory, Run: memoryEngineKilled},
	{Name: "memory-home-killed", Guarantee: memoryGuarantee, Fault: "the home killed in the middle of a prompt that spans engines; half of the engines ignore fences", ModifyPlan: smallMemory, Run: memoryHomeKilled},
}

// smallMemory reduces the engines' memory so that prompts which take only
// seconds to compute span engines.
func smallMemory(p *rig.Plan) {
	p.EngineMemory = 80_000
	p.Domains = p.Domains[:1]
	p.Engines, p.Nodes = 6, 3
}

// freeMemoryTimeout is the time within which all memory must be free again. It
// covers the expiry of a failed home's lease and the release of its reservations
// by the next home.
const freeMemoryTimeout = 30 * time.Second

// awaitFreeMemory waits until no engine holds memory and adds the time that
// this took to the summary.
func (env *Environment) awaitFreeMemory(ctx context.Context) error {
	start := env.Timer.Now()
	err := env.Await(ctx, freeMemoryTimeout, func() error {
		for id, e := range env.EngineStates(ctx) {
			if e.MemoryUsed > 0 || e.Reservations > 0 {
				return fmt.Errorf("%s holds %d tokens and %d reservations after %s", id, e.MemoryUsed, e.Reservations, freeMemoryTimeout)
			}
		}
		return nil
	})
	env.SetSummaryf("%s; memory free %.1f s after the last request", env.Summary, env.Timer.Now().Sub(start).Seconds())
	return err
}

// spanningRequests returns n requests whose prompts span engines.
func spanningRequests(n int) []arrival.Request {
	var out []arrival.Request
	for i := range n {
		out = append(out, arrival.Request{Number: i + 1, Organisation: "CareDesk", Prompt: 180_000, MaxOutput: 64})
	}
	return out
}

func memoryLongPrompts(ctx context.Context, env *Environment) error {
	results := load.Run(ctx, env.Client, spanningRequests(4), nil)
	return errors.Join(env.checkAllComplete(ctx, results, nil), env.awaitFreeMemory(ctx))
}

func memoryCallersLeave(ctx context.Context, env *Environment) error {
	clientCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	env.Client.MaxResumes = 0
	results := load.Run(clientCtx, env.Client, spanningRequests(3), nil)
	env.SetSummaryf("%s", summarize(results))
	return env.awaitFreeMemory(ctx)
}

func (env *Environment) withSpanningLoad(ctx context.Context, inject func() error) error {
	var results []load.Result
	done := make(chan struct{})
	go func() {
		defer close(done)
		results = load.Run(ctx, env.Client, spanningRequests(2), nil)
	}()
	env.sleep(ctx, 2*time.Second)
	err := inject()
	<-done
	env.SetSummaryf("%s", summarize(results))
	return errors.Join(err, env.checkResponses(ctx, results), env.awaitFreeMemory(ctx))
}

func memoryEngineKilled(ctx context.Context, env *Environment) error {
	u := env.upstreamsOfKind(snipeford.KindEngine)[2]
	return env.withSpanningLoad(ctx, func() error {
		if err := env.Kill(string(u.ID)); err != nil {
			return err
		}
		env.sleep(ctx, time.Second)
		return env.StartEngine(u, true)
	})
}

func memoryHomeKilled(ctx context.Context, env *Environment) error {
	group := env.upstreamsOfKind(snipeford.KindEngine)[0].Group()
	return env.withSpanningLoad(ctx, func() error {
		home := env.homeNode(ctx, group)
		if home < 0 {
			return fmt.Errorf("group %s has no home", group)
		}
		return env.Kill(rig.NodeName(home))
	})
}
