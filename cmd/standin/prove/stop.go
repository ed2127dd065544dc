package prove

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"snipeford"
	"snipeford/cmd/standin/rig"
)

const stopGuarantee = "a planned stop cuts no request"

var stopScenarios = []Scenario{
	{Name: "stop-each-node", Guarantee: stopGuarantee, Fault: "SIGTERM to each node in turn under load, each replaced", Run: stopEachNode},
	{Name: "stop-half", Guarantee: stopGuarantee, Fault: "SIGTERM to half of the nodes at once under load", Run: stopHalf},
}

// stopNode sends SIGTERM to a node and waits until it has exited.
func (env *Environment) stopNode(ctx context.Context, i int) error {
	if err := env.Signal(rig.NodeName(i), syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-env.Exited(rig.NodeName(i)):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("node %d did not exit after SIGTERM: %w", i+1, ctx.Err())
	}
}

func stopEachNode(ctx context.Context, env *Environment) error {
	env.Client.MaxResumes = 0
	results, err := env.withLoad(ctx, env.mix(20, 30*time.Second, 0.2), func() error {
		for i := range env.Plan.Nodes {
			env.sleep(ctx, 500*time.Millisecond)
			if err := env.stopNode(ctx, i); err != nil {
				return err
			}
			if err := env.StartNode(i); err != nil {
				return err
			}
		}
		return nil
	})
	return errors.Join(env.checkAllComplete(ctx, results, err), checkNoneCut(countCut(results)))
}

func checkNoneCut(n int) error {
	if n > 0 {
		return fmt.Errorf("connections of %d requests were cut", n)
	}
	return nil
}

func stopHalf(ctx context.Context, env *Environment) error {
	env.Client.MaxResumes = 0
	results, err := env.withLoad(ctx, env.mix(20, 15*time.Second, 0.2), func() error {
		env.sleep(ctx, 3*time.Second)
		var errs []error
		for i := range env.Plan.Nodes / 2 {
			errs = append(errs, env.Signal(rig.NodeName(i), syscall.SIGTERM))
		}
		for i := range env.Plan.Nodes / 2 {
			<-env.Exited(rig.NodeName(i))
		}
		env.sleep(ctx, 3*time.Second)
		var remaining []int
		for i := env.Plan.Nodes / 2; i < env.Plan.Nodes; i++ {
			remaining = append(remaining, i)
		}
		return errors.Join(append(errs, env.AwaitHomes(ctx, 5*time.Second, remaining...))...)
	})
	return errors.Join(env.checkAllComplete(ctx, results, err), checkNoneCut(countCut(results)), env.checkHomes(ctx))
}

// checkHomes checks that each group of engines has a home.
func (env *Environment) checkHomes(ctx context.Context) error {
	for _, u := range env.upstreamsOfKind(snipeford.KindEngine) {
		if env.homeNode(ctx, u.Group()) < 0 {
			return fmt.Errorf("group %s has no home", u.Group())
		}
	}
	return nil
}
