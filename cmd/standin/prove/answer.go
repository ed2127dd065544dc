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

const answerGuarantee = "each caller receives the whole answer to its own request, in time"

var answerScenarios = []Scenario{
	{Name: "answer-spoiled-streams", Guarantee: answerGuarantee, Fault: "engines cross, gap, repeat and truncate their streams", Run: answerSpoiled},
	{Name: "answer-engine-killed", Guarantee: answerGuarantee, Fault: "three engines killed in mid-stream", Run: answerEngineKilled},
	{Name: "answer-engine-frozen", Guarantee: answerGuarantee, Fault: "three engines paused in mid-stream", Run: answerEngineFrozen},
	{Name: "answer-node-killed", Guarantee: answerGuarantee, Fault: "two nodes killed in mid-stream, callers resume elsewhere", Run: answerNodeKilled},
	{Name: "answer-node-and-engine", Guarantee: answerGuarantee, Fault: "a node and an engine killed at once", Run: answerNodeAndEngine},
}

// checkAllComplete checks that every request got a complete response, and sets
// the summary.
func (env *Environment) checkAllComplete(ctx context.Context, results []load.Result, err error) error {
	env.SetSummaryf("%s", summarize(results))
	errs := []error{err, env.checkResponses(ctx, results)}
	for _, r := range results {
		if !r.Complete {
			errs = append(errs, fmt.Errorf("request %d (%d tokens, sent at %s) got no complete response: cause %s, outcome %s, connection cut %t", r.Request.Number, r.Request.Prompt, r.Request.At, r.Cause, r.Outcome, r.Disconnected))
		}
	}
	return errors.Join(errs...)
}

func answerSpoiled(ctx context.Context, env *Environment) error {
	results, err := env.withLoad(ctx, env.mix(20, 12*time.Second, 0), func() error {
		kinds := []engine.StreamFaultKind{engine.StreamFaultWrongAttempt, engine.StreamFaultGap, engine.StreamFaultDuplicate, engine.StreamFaultTruncate}
		for i, u := range env.upstreamsOfKind(snipeford.KindEngine) {
			env.sleep(ctx, time.Second)
			c := engine.ControlRequest{Kind: "Spoil", Spoil: engine.StreamFault{Kind: kinds[i%len(kinds)], Count: 2, Offset: snipeford.Tokens(i * 2)}}
			if err := env.SendControl(ctx, "POST", u.Address, "/control/engine", c); err != nil {
				return err
			}
		}
		return nil
	})
	return env.checkAllComplete(ctx, results, err)
}

func answerEngineKilled(ctx context.Context, env *Environment) error {
	engines := env.upstreamsOfKind(snipeford.KindEngine)
	results, err := env.withLoad(ctx, env.mix(20, 12*time.Second, 0), func() error {
		for i := range 3 {
			env.sleep(ctx, 2*time.Second)
			if err := env.Kill(string(engines[i].ID)); err != nil {
				return err
			}
			env.sleep(ctx, time.Second)
			if err := env.StartEngine(engines[i], true); err != nil {
				return err
			}
		}
		return nil
	})
	return env.checkAllComplete(ctx, results, err)
}

func answerEngineFrozen(ctx context.Context, env *Environment) error {
	engines := env.upstreamsOfKind(snipeford.KindEngine)
	results, err := env.withLoad(ctx, env.mix(20, 15*time.Second, 0), func() error {
		env.sleep(ctx, 3*time.Second)
		for i := range 3 {
			if err := env.Signal(string(engines[i].ID), syscall.SIGSTOP); err != nil {
				return err
			}
		}
		env.sleep(ctx, 10*time.Second)
		for i := range 3 {
			if err := env.Signal(string(engines[i].ID), syscall.SIGCONT); err != nil {
				return err
			}
		}
		return nil
	})
	return env.checkAllComplete(ctx, results, err)
}

func answerNodeKilled(ctx context.Context, env *Environment) error {
	results, err := env.withLoad(ctx, env.mix(20, 14*time.Second, 0), func() error {
		for i := range 2 {
			env.sleep(ctx, 3*time.Second)
			if err := env.Kill(rig.NodeName(i)); err != nil {
				return err
			}
		}
		return nil
	})
	return env.checkAllComplete(ctx, results, err)
}

func answerNodeAndEngine(ctx context.Context, env *Environment) error {
	engines := env.upstreamsOfKind(snipeford.KindEngine)
	results, err := env.withLoad(ctx, env.mix(20, 12*time.Second, 0), func() error {
		env.sleep(ctx, 3*time.Second)
		return errors.Join(env.Kill(rig.NodeName(1)), env.Kill(string(engines[0].ID)))
	})
	return env.checkAllComplete(ctx, results, err)
}
