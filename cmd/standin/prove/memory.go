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

var memoryScenes = []Scene{
	{Name: "memory-long-prompts", Promise: "a prompt larger than one engine is served; two never deadlock; " + memoryPromise, Fault: "four such prompts in one group at once", Change: smallMemory, Run: memoryLongPrompts},
	{Name: "memory-callers-leave", Promise: memoryPromise, Fault: "callers leave in the middle of prompts that span engines", Change: smallMemory, Run: memoryCallersLeave},
	{Name: "memory-engine-killed", Promise: memoryPromise, Fault: "an engine killed in the middle of a prompt that spans engines", Change: smallMemory, Run: memoryEngineKilled},
	{Name: "memory-home-killed", Promise: memoryPromise, Fault: "the home killed in the middle of a prompt that spans engines; half of the engines ignore fences", Change: smallMemory, Run: memoryHomeKilled},
}

// smallMemory makes prompts span engines though they are computed in seconds.
func smallMemory(p *rig.Plan) {
	p.Memory = 80_000
	p.Domains = p.Domains[:1]
	p.Engines, p.Nodes = 6, 3
}

// freedWithin is the stated time after which nothing may be held any more. A
// dead home's lease lapses, and the next home sweeps what it left.
const freedWithin = 30 * time.Second

// wantFree waits until no engine holds memory.
func (s *Stage) wantFree(ctx context.Context) error {
	start := s.Timer.Now()
	err := s.Await(ctx, freedWithin, func() error {
		for id, e := range s.Engines(ctx) {
			if e.Held > 0 || e.Reservations > 0 {
				return fmt.Errorf("%s holds %d tokens and %d reservations after %s", id, e.Held, e.Reservations, freedWithin)
			}
		}
		return nil
	})
	s.Notef("%s; memory free %.1f s after the last request", s.Note, s.Timer.Now().Sub(start).Seconds())
	return err
}

// spanning returns n requests whose prompts span engines.
func spanning(n int) []arrival.Request {
	var out []arrival.Request
	for i := range n {
		out = append(out, arrival.Request{Number: i + 1, Organisation: "CareDesk", Prompt: 180_000, MaxOutput: 64})
	}
	return out
}

func memoryLongPrompts(ctx context.Context, s *Stage) error {
	results := load.Run(ctx, s.Client, spanning(4), nil)
	return errors.Join(s.wantWhole(ctx, results, nil), s.wantFree(ctx))
}

func memoryCallersLeave(ctx context.Context, s *Stage) error {
	short, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	s.Client.MaxResumes = 0
	results := load.Run(short, s.Client, spanning(3), nil)
	s.Notef("%s", tally(results))
	return s.wantFree(ctx)
}

func (s *Stage) spanningDuring(ctx context.Context, fault func() error) error {
	var results []load.Result
	done := make(chan struct{})
	go func() {
		defer close(done)
		results = load.Run(ctx, s.Client, spanning(2), nil)
	}()
	s.pause(ctx, 2*time.Second)
	err := fault()
	<-done
	s.Notef("%s", tally(results))
	return errors.Join(err, s.checkAnswers(ctx, results), s.wantFree(ctx))
}

func memoryEngineKilled(ctx context.Context, s *Stage) error {
	u := s.upstreamsOf(snipeford.KindEngine)[2]
	return s.spanningDuring(ctx, func() error {
		if err := s.Kill(string(u.ID)); err != nil {
			return err
		}
		s.pause(ctx, time.Second)
		return s.StartEngine(u, true)
	})
}

func memoryHomeKilled(ctx context.Context, s *Stage) error {
	group := s.upstreamsOf(snipeford.KindEngine)[0].Group()
	return s.spanningDuring(ctx, func() error {
		home := s.homeOf(ctx, group)
		if home < 0 {
			return fmt.Errorf("no home of %s", group)
		}
		return s.Kill(rig.NodeName(home))
	})
}
