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

const memoryPromise = "no engine loses memory for good"

var memoryScenarios = []Scenario{
	{Name: "memory-long-prompts", Guarantee: "a prompt larger than one engine is served; two never deadlock; " + memoryPromise, Fault: "four such prompts in one group at once", ModifyPlan: smallMemory, Run: memoryLongPrompts},
	{Name: "memory-callers-leave", Guarantee: memoryPromise, Fault: "callers leave in the middle of prompts that span engines", ModifyPlan: smallMemory, Run: memoryCallersLeave},
	{Name: "memory-engine-killed", Guarantee: memoryPromise, Fault: "an engine killed in the middle of a prompt that spans engines", ModifyPlan: smallMemory, Run: memoryEngineKilled},
	{Name: "memory-home-killed", Guarantee: memoryPromise, Fault: "the home killed in the middle of a prompt that spans engines; half of the engines ignore fences", ModifyPlan: smallMemory, Run: memoryHomeKilled},
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

// awaitFreeMemory waits until no engine holds memory and notes the time it took.
func (s *Environment) awaitFreeMemory(ctx context.Context) error {
	start := s.Timer.Now()
	err := s.Await(ctx, freeMemoryTimeout, func() error {
		for id, e := range s.EngineStates(ctx) {
			if e.Held > 0 || e.Reservations > 0 {
				return fmt.Errorf("%s holds %d tokens and %d reservations after %s", id, e.Held, e.Reservations, freeMemoryTimeout)
			}
		}
		return nil
	})
	s.SetSummaryf("%s; memory free %.1f s after the last request", s.Summary, s.Timer.Now().Sub(start).Seconds())
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

func memoryLongPrompts(ctx context.Context, s *Environment) error {
	results := load.Run(ctx, s.Client, spanningRequests(4), nil)
	return errors.Join(s.checkAllComplete(ctx, results, nil), s.awaitFreeMemory(ctx))
}

func memoryCallersLeave(ctx context.Context, s *Environment) error {
	clientCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	s.Client.MaxResumes = 0
	results := load.Run(clientCtx, s.Client, spanningRequests(3), nil)
	s.SetSummaryf("%s", summarize(results))
	return s.awaitFreeMemory(ctx)
}

func (s *Environment) withSpanningLoad(ctx context.Context, inject func() error) error {
	var results []load.Result
	done := make(chan struct{})
	go func() {
		defer close(done)
		results = load.Run(ctx, s.Client, spanningRequests(2), nil)
	}()
	s.sleep(ctx, 2*time.Second)
	err := inject()
	<-done
	s.SetSummaryf("%s", summarize(results))
	return errors.Join(err, s.checkResponses(ctx, results), s.awaitFreeMemory(ctx))
}

func memoryEngineKilled(ctx context.Context, s *Environment) error {
	u := s.upstreamsOfKind(snipeford.KindEngine)[2]
	return s.withSpanningLoad(ctx, func() error {
		if err := s.Kill(string(u.ID)); err != nil {
			return err
		}
		s.sleep(ctx, time.Second)
		return s.StartEngine(u, true)
	})
}

func memoryHomeKilled(ctx context.Context, s *Environment) error {
	group := s.upstreamsOfKind(snipeford.KindEngine)[0].Group()
	return s.withSpanningLoad(ctx, func() error {
		home := s.homeNode(ctx, group)
		if home < 0 {
			return fmt.Errorf("group %s has no home", group)
		}
		return s.Kill(rig.NodeName(home))
	})
}
