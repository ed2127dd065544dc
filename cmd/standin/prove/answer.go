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

var answerScenarios = []Scenario{
	{Name: "answer-spoiled-streams", Guarantee: answerPromise, Fault: "engines cross, gap, repeat and truncate their streams", Run: answerSpoiled},
	{Name: "answer-engine-killed", Guarantee: answerPromise, Fault: "three engines killed in mid-stream", Run: answerEngineKilled},
	{Name: "answer-engine-frozen", Guarantee: answerPromise, Fault: "three engines paused in mid-stream", Run: answerEngineFrozen},
	{Name: "answer-node-killed", Guarantee: answerPromise, Fault: "two nodes killed in mid-stream, callers resume elsewhere", Run: answerNodeKilled},
	{Name: "answer-node-and-engine", Guarantee: answerPromise, Fault: "a node and an engine killed at once", Run: answerNodeAndEngine},
}

// checkAllComplete checks that every request got a complete response, and notes
// the summary.
func (s *Environment) checkAllComplete(ctx context.Context, results []load.Result, err error) error {
	s.SetSummaryf("%s", summarize(results))
	errs := []error{err, s.checkResponses(ctx, results)}
	for _, r := range results {
		if !r.Complete {
			errs = append(errs, fmt.Errorf("request %d (%d tokens, sent at %s) got no complete response: cause %s, outcome %s, connection cut %t", r.Request.Number, r.Request.Prompt, r.Request.At, r.Cause, r.Outcome, r.Disconnected))
		}
	}
	return errors.Join(errs...)
}

func answerSpoiled(ctx context.Context, s *Environment) error {
	results, err := s.withLoad(ctx, s.mix(20, 12*time.Second, 0), func() error {
		kinds := []engine.StreamFaultKind{engine.StreamFaultWrongAttempt, engine.StreamFaultGap, engine.StreamFaultDuplicate, engine.StreamFaultTruncate}
		for i, u := range s.upstreamsOfKind(snipeford.KindEngine) {
			s.sleep(ctx, time.Second)
			c := engine.ControlRequest{Kind: "Spoil", Spoil: engine.StreamFault{Kind: kinds[i%len(kinds)], Count: 2, Offset: snipeford.Tokens(i * 2)}}
			if err := s.SendControl(ctx, "POST", u.Address, "/control/engine", c); err != nil {
				return err
			}
		}
		return nil
	})
	return s.checkAllComplete(ctx, results, err)
}

func answerEngineKilled(ctx context.Context, s *Environment) error {
	engines := s.upstreamsOfKind(snipeford.KindEngine)
	results, err := s.withLoad(ctx, s.mix(20, 12*time.Second, 0), func() error {
		for i := range 3 {
			s.sleep(ctx, 2*time.Second)
			if err := s.Kill(string(engines[i].ID)); err != nil {
				return err
			}
			s.sleep(ctx, time.Second)
			if err := s.StartEngine(engines[i], true); err != nil {
				return err
			}
		}
		return nil
	})
	return s.checkAllComplete(ctx, results, err)
}

func answerEngineFrozen(ctx context.Context, s *Environment) error {
	engines := s.upstreamsOfKind(snipeford.KindEngine)
	results, err := s.withLoad(ctx, s.mix(20, 15*time.Second, 0), func() error {
		s.sleep(ctx, 3*time.Second)
		for i := range 3 {
			if err := s.Signal(string(engines[i].ID), syscall.SIGSTOP); err != nil {
				return err
			}
		}
		s.sleep(ctx, 10*time.Second)
		for i := range 3 {
			if err := s.Signal(string(engines[i].ID), syscall.SIGCONT); err != nil {
				return err
			}
		}
		return nil
	})
	return s.checkAllComplete(ctx, results, err)
}

func answerNodeKilled(ctx context.Context, s *Environment) error {
	results, err := s.withLoad(ctx, s.mix(20, 14*time.Second, 0), func() error {
		for i := range 2 {
			s.sleep(ctx, 3*time.Second)
			if err := s.Kill(rig.NodeName(i)); err != nil {
				return err
			}
		}
		return nil
	})
	return s.checkAllComplete(ctx, results, err)
}

func answerNodeAndEngine(ctx context.Context, s *Environment) error {
	engines := s.upstreamsOfKind(snipeford.KindEngine)
	results, err := s.withLoad(ctx, s.mix(20, 12*time.Second, 0), func() error {
		s.sleep(ctx, 3*time.Second)
		return errors.Join(s.Kill(rig.NodeName(1)), s.Kill(string(engines[0].ID)))
	})
	return s.checkAllComplete(ctx, results, err)
}
