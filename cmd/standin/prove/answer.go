package prove

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"snipeford"
	"snipeford/cmd/standin/rig"
	"snipeford/internal/emulate/engine"
	"snipeford/internal/experiment/load"
)

const answerPromise = "each caller receives the whole answer to its own request, in time"

var answerScenes = []Scene{
	{Name: "answer-spoiled-streams", Promise: answerPromise, Fault: "engines cross, gap, repeat and truncate their streams", Run: answerSpoiled},
	{Name: "answer-engine-killed", Promise: answerPromise, Fault: "three engines killed in mid-stream", Run: answerEngineKilled},
	{Name: "answer-engine-frozen", Promise: answerPromise, Fault: "three engines paused in mid-stream", Run: answerEngineFrozen},
	{Name: "answer-node-killed", Promise: answerPromise, Fault: "two nodes killed in mid-stream, callers resume elsewhere", Run: answerNodeKilled},
	{Name: "answer-node-and-engine", Promise: answerPromise, Fault: "a node and an engine killed at once", Run: answerNodeAndEngine},
}

// wantWhole demands that every completion was answered whole.
func (s *Stage) wantWhole(ctx context.Context, results []load.Result, err error) error {
	s.Notef("%s", tally(results))
	errs := []error{err, s.checkAnswers(ctx, results)}
	for _, r := range results {
		if !r.Complete {
			errs = append(errs, fmt.Errorf("request %d (%d tokens, at %s) was not answered: %s %s cut %t", r.Request.Number, r.Request.Prompt, r.Request.At, r.Cause, r.Outcome, r.Disconnected))
		}
	}
	return errors.Join(errs...)
}

func answerSpoiled(ctx context.Context, s *Stage) error {
	results, err := s.during(ctx, s.mix(20, 12*time.Second, 0), func() error {
		kinds := []engine.SpoilKind{engine.SpoilCross, engine.SpoilGap, engine.SpoilDuplicate, engine.SpoilTruncate}
		for i, u := range s.upstreamsOf(snipeford.KindEngine) {
			s.pause(ctx, time.Second)
			c := engine.Control{Kind: "Spoil", Spoil: engine.Spoil{Kind: kinds[i%len(kinds)], Count: 2, Offset: snipeford.Tokens(i * 2)}}
			if err := s.Control(ctx, "POST", u.Address, "/control/engine", c); err != nil {
				return err
			}
		}
		return nil
	})
	return s.wantWhole(ctx, results, err)
}

func answerEngineKilled(ctx context.Context, s *Stage) error {
	engines := s.upstreamsOf(snipeford.KindEngine)
	results, err := s.during(ctx, s.mix(20, 12*time.Second, 0), func() error {
		for i := range 3 {
			s.pause(ctx, 2*time.Second)
			if err := s.Kill(string(engines[i].ID)); err != nil {
				return err
			}
			s.pause(ctx, time.Second)
			if err := s.StartEngine(engines[i], true); err != nil {
				return err
			}
		}
		return nil
	})
	return s.wantWhole(ctx, results, err)
}

func answerEngineFrozen(ctx context.Context, s *Stage) error {
	engines := s.upstreamsOf(snipeford.KindEngine)
	results, err := s.during(ctx, s.mix(20, 15*time.Second, 0), func() error {
		s.pause(ctx, 3*time.Second)
		for i := range 3 {
			if err := s.Signal(string(engines[i].ID), syscall.SIGSTOP); err != nil {
				return err
			}
		}
		s.pause(ctx, 10*time.Second)
		for i := range 3 {
			if err := s.Signal(string(engines[i].ID), syscall.SIGCONT); err != nil {
				return err
			}
		}
		return nil
	})
	return s.wantWhole(ctx, results, err)
}

func answerNodeKilled(ctx context.Context, s *Stage) error {
	results, err := s.during(ctx, s.mix(20, 14*time.Second, 0), func() error {
		for i := range 2 {
			s.pause(ctx, 3*time.Second)
			if err := s.Kill(rig.NodeName(i)); err != nil {
				return err
			}
		}
		return nil
	})
	return s.wantWhole(ctx, results, err)
}

func answerNodeAndEngine(ctx context.Context, s *Stage) error {
	engines := s.upstreamsOf(snipeford.KindEngine)
	results, err := s.during(ctx, s.mix(20, 12*time.Second, 0), func() error {
		s.pause(ctx, 3*time.Second)
		return errors.Join(s.Kill(rig.NodeName(1)), s.Kill(string(engines[0].ID)))
	})
	return s.wantWhole(ctx, results, err)
}
