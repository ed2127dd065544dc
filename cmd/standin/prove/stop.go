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

var stopScenes = []Scene{
	{Name: "stop-each-node", Promise: stopPromise, Fault: "SIGTERM to each node in turn under load, each replaced", Run: stopEachNode},
	{Name: "stop-half", Promise: stopPromise, Fault: "SIGTERM to half of the nodes at once under load", Run: stopHalf},
}

// stopNode sends SIGTERM and waits until the node has ended by itself.
func (s *Stage) stopNode(ctx context.Context, i int) error {
	if err := s.Signal(rig.NodeName(i), syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-s.Ended(rig.NodeName(i)):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("node %d did not end: %w", i+1, ctx.Err())
	}
}

func stopEachNode(ctx context.Context, s *Stage) error {
	s.Client.MaxResumes = 0
	results, err := s.during(ctx, s.mix(20, 30*time.Second, 0.2), func() error {
		for i := range s.Plan.Nodes {
			s.pause(ctx, 500*time.Millisecond)
			if err := s.stopNode(ctx, i); err != nil {
				return err
			}
			if err := s.StartNode(i); err != nil {
				return err
			}
		}
		return nil
	})
	return errors.Join(s.wantWhole(ctx, results, err), wantUncut(cutCount(results)))
}

func wantUncut(n int) error {
	if n > 0 {
		return fmt.Errorf("%d requests were cut", n)
	}
	return nil
}

func stopHalf(ctx context.Context, s *Stage) error {
	s.Client.MaxResumes = 0
	results, err := s.during(ctx, s.mix(20, 15*time.Second, 0.2), func() error {
		s.pause(ctx, 3*time.Second)
		var faults []error
		for i := range s.Plan.Nodes / 2 {
			faults = append(faults, s.Signal(rig.NodeName(i), syscall.SIGTERM))
		}
		for i := range s.Plan.Nodes / 2 {
			<-s.Ended(rig.NodeName(i))
		}
		s.pause(ctx, 3*time.Second)
		var left []int
		for i := s.Plan.Nodes / 2; i < s.Plan.Nodes; i++ {
			left = append(left, i)
		}
		return errors.Join(append(faults, s.AwaitHomes(ctx, 5*time.Second, left...))...)
	})
	return errors.Join(s.wantWhole(ctx, results, err), wantUncut(cutCount(results)), s.wantHomes(ctx))
}

// wantHomes demands that no group is without a home after a planned stop.
func (s *Stage) wantHomes(ctx context.Context) error {
	for _, u := range s.upstreamsOf(snipeford.KindEngine) {
		if s.homeOf(ctx, u.Group()) < 0 {
			return fmt.Errorf("group %s has no home", u.Group())
		}
	}
	return nil
}
