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

const stopPromise = "a planned stop cuts no request"

var stopScenarios = []Scenario{
	{Name: "stop-each-node", Guarantee: stopPromise, Fault: "SIGTERM to each node in turn under load, each replaced", Run: stopEachNode},
	{Name: "stop-half", Guarantee: stopPromise, Fault: "SIGTERM to half of the nodes at once under load", Run: stopHalf},
}

// stopNode sends SIGTERM to a node and waits until it has exited.
func (s *Environment) stopNode(ctx context.Context, i int) error {
	if err := s.Signal(rig.NodeName(i), syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-s.Exited(rig.NodeName(i)):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("node %d did not exit after SIGTERM: %w", i+1, ctx.Err())
	}
}

func stopEachNode(ctx context.Context, s *Environment) error {
	s.Client.MaxResumes = 0
	results, err := s.withLoad(ctx, s.mix(20, 30*time.Second, 0.2), func() error {
		for i := range s.Plan.Nodes {
			s.sleep(ctx, 500*time.Millisecond)
			if err := s.stopNode(ctx, i); err != nil {
				return err
			}
			if err := s.StartNode(i); err != nil {
				return err
			}
		}
		return nil
	})
	return errors.Join(s.checkAllComplete(ctx, results, err), checkNoneCut(countCut(results)))
}

func checkNoneCut(n int) error {
	if n > 0 {
		return fmt.Errorf("connections of %d requests were cut", n)
	}
	return nil
}

func stopHalf(ctx context.Context, s *Environment) error {
	s.Client.MaxResumes = 0
	results, err := s.withLoad(ctx, s.mix(20, 15*time.Second, 0.2), func() error {
		s.sleep(ctx, 3*time.Second)
		var errs []error
		for i := range s.Plan.Nodes / 2 {
			errs = append(errs, s.Signal(rig.NodeName(i), syscall.SIGTERM))
		}
		for i := range s.Plan.Nodes / 2 {
			<-s.Exited(rig.NodeName(i))
		}
		s.sleep(ctx, 3*time.Second)
		var remaining []int
		for i := s.Plan.Nodes / 2; i < s.Plan.Nodes; i++ {
			remaining = append(remaining, i)
		}
		return errors.Join(append(errs, s.AwaitHomes(ctx, 5*time.Second, remaining...))...)
	})
	return errors.Join(s.checkAllComplete(ctx, results, err), checkNoneCut(countCut(results)), s.checkHomes(ctx))
}

// checkHomes checks that each group of engines has a home.
func (s *Environment) checkHomes(ctx context.Context) error {
	for _, u := range s.upstreamsOfKind(snipeford.KindEngine) {
		if s.homeNode(ctx, u.Group()) < 0 {
			return fmt.Errorf("group %s has no home", u.Group())
		}
	}
	return nil
}
