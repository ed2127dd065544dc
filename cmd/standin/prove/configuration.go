package prove

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"snipeford"
	"snipeford/cmd/standin/rig"
	"snipeford/internal/emulate/fault"
	"snipeford/internal/fleet/message"
)

const configurationPromise = "an accepted configuration is in force everywhere within 10 s and never reverts"

var configurationScenes = []Scene{
	{Name: "configuration-table-fails", Promise: configurationPromise, Fault: "the table loses answers and is slow while versions are accepted", Run: configurationTableFails},
	{Name: "configuration-nodes-replaced", Promise: configurationPromise, Fault: "nodes are killed and replaced in the middle", Run: configurationNodesReplaced},
	{Name: "configuration-race", Promise: "of two conflicting changes one wins, the other is told which version beat it", Fault: "two operators apply at once, ten times", Run: configurationRace},
	{Name: "configuration-start-in-outage", Promise: "a node that starts while the table is down takes the newest version from its peers", Fault: "a node is replaced during an outage", Run: configurationStartInOutage},
	{Name: "configuration-cut-off", Promise: configurationPromise, Fault: "a node is cut off from table and peers, and back", Change: func(p *rig.Plan) { p.Relays = true }, Run: configurationCutOff},
}

var slowTable = fault.Fault{Kind: fault.DelayRequest, Milliseconds: 400}

// history is what versions were seen in force at each node, in order.
type history struct {
	mu   sync.Mutex
	seen map[int][]snipeford.Version
}

// watch reads the versions at all nodes until the returned function is called,
// which returns an error where one went backwards.
func (s *Stage) watch(ctx context.Context) func() error {
	ctx, cancel := context.WithCancel(ctx)
	h := &history{seen: map[int][]snipeford.Version{}}
	var group sync.WaitGroup
	for _, i := range s.AllNodes() {
		group.Go(func() {
			for ctx.Err() == nil {
				if v, err := s.versionAt(ctx, i); err == nil && v > 0 {
					h.add(i, v)
				}
				s.pause(ctx, 50*time.Millisecond)
			}
		})
	}
	return func() error {
		cancel()
		group.Wait()
		return h.check()
	}
}

func (h *history) add(node int, v snipeford.Version) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seen[node] = append(h.seen[node], v)
}

func (h *history) check() error {
	for node, versions := range h.seen {
		for i := 1; i < len(versions); i++ {
			if versions[i] < versions[i-1] {
				return fmt.Errorf("node %d went from version %d back to %d", node+1, versions[i-1], versions[i])
			}
		}
	}
	return nil
}

func (s *Stage) versionAt(ctx context.Context, i int) (snipeford.Version, error) {
	reply, err := s.API(i).Show(ctx, &message.ShowRequest{})
	if err != nil {
		return 0, err
	}
	var c snipeford.Configuration
	if err := json.Unmarshal(reply.GetConfiguration(), &c); err != nil {
		return 0, err
	}
	return c.Version, nil
}

// inForceWithin is the promised time, and swept a change's toggle.
const inForceWithin = 10 * time.Second

// wantInForce waits until a version is in force at the nodes and notes how
// long it took.
func (s *Stage) wantInForce(ctx context.Context, v snipeford.Version, nodes []int) (time.Duration, error) {
	start := s.Timer.Now()
	err := s.Await(ctx, inForceWithin, func() error {
		for _, i := range nodes {
			got, err := s.versionAt(ctx, i)
			if err != nil {
				return err
			}
			if got < v {
				return fmt.Errorf("version %d is not in force at node %d (%d) after %s", v, i+1, got, inForceWithin)
			}
		}
		return nil
	})
	return s.Timer.Now().Sub(start), err
}

// change toggles an upstream that does not exist, and returns the version that
// the change made. It tries again where the answer said nothing for sure.
func (s *Stage) change(ctx context.Context, node int, out bool) (snipeford.Version, error) {
	var last error
	for range 10 {
		reply, err := s.API(node).SetOut(ctx, &message.OutRequest{Upstream: "none", Out: out, By: "prove"})
		if err == nil {
			return snipeford.Version(reply.GetVersion()), nil
		}
		last = err
		s.pause(ctx, 200*time.Millisecond)
	}
	return 0, fmt.Errorf("change: %w", last)
}

func configurationTableFails(ctx context.Context, s *Stage) error {
	stop := s.watch(ctx)
	var longest time.Duration
	var faults []error
	for i := range 6 {
		f := slowTable
		if i%2 == 0 {
			f = fault.Fault{Kind: fault.DropResponse, Prefix: "/write", Count: 4}
		}
		if err := s.tableFault(ctx, f); err != nil {
			return err
		}
		v, err := s.change(ctx, i%s.Plan.Nodes, i%2 == 0)
		faults = append(faults, err)
		took, err := s.wantInForce(ctx, v, s.AllNodes())
		faults = append(faults, err)
		longest = max(longest, took)
		faults = append(faults, s.tableFault(ctx, fault.Fault{}))
	}
	s.Notef("longest time until in force %.1f s", longest.Seconds())
	return errors.Join(append(faults, stop())...)
}

func configurationNodesReplaced(ctx context.Context, s *Stage) error {
	stop := s.watch(ctx)
	var longest time.Duration
	var faults []error
	for i := range 3 {
		if err := s.Kill(rig.NodeName(i + 1)); err != nil {
			return err
		}
		v, err := s.change(ctx, 0, i%2 == 0)
		faults = append(faults, err, s.StartNode(i+1))
		took, err := s.wantInForce(ctx, v, s.AllNodes())
		faults = append(faults, err)
		longest = max(longest, took)
	}
	s.Notef("longest time until in force %.1f s, replaced nodes included", longest.Seconds())
	// A replaced process starts its own history.
	return errors.Join(append(faults, stop())...)
}

func configurationRace(ctx context.Context, s *Stage) error {
	won, lost := 0, 0
	for round := range 10 {
		base, err := s.versionAt(ctx, 0)
		if err != nil {
			return err
		}
		rules := []string{raceRules(s, round, 1), raceRules(s, round, 2)}
		errs := make([]error, 2)
		var group sync.WaitGroup
		for i, text := range rules {
			group.Go(func() {
				_, errs[i] = s.API(i).Apply(ctx, &message.ApplyRequest{RulesToml: text, By: fmt.Sprint("operator-", i), BaseVersion: uint64(base)})
			})
		}
		group.Wait()
		for _, err := range errs {
			switch {
			case err == nil:
				won++
			case strings.Contains(err.Error(), fmt.Sprintf("version %d is in force", base+1)):
				lost++
			default:
				return fmt.Errorf("round %d: %w", round, err)
			}
		}
		if _, err := s.wantInForce(ctx, base+1, s.AllNodes()); err != nil {
			return err
		}
	}
	s.Notef("%d changes won, %d were told which version beat them", won, lost)
	if won != 10 || lost != 10 {
		return fmt.Errorf("%d won and %d lost of ten races", won, lost)
	}
	return nil
}

func raceRules(s *Stage, round, side int) string {
	return fmt.Sprintf("[Model]\n%s = { Timeout = \"%ds\", MaxOutput = 2048 } # asked for by operator %d\n", s.Plan.Model, 60+2*round+side, side)
}

func configurationStartInOutage(ctx context.Context, s *Stage) error {
	v, err := s.change(ctx, 0, true)
	if err != nil {
		return err
	}
	if err := errors.Join(s.tableFault(ctx, fault.Fault{Kind: fault.Down}), s.Kill(rig.NodeName(2)), s.StartNode(2)); err != nil {
		return err
	}
	took, err := s.wantInForce(ctx, v, s.AllNodes())
	s.Notef("in force at the new node after %.1f s of outage", took.Seconds())
	return errors.Join(err, s.tableFault(ctx, fault.Fault{}))
}

func configurationCutOff(ctx context.Context, s *Stage) error {
	stop := s.watch(ctx)
	s.TableRelays[1].Disconnect()
	s.PeerRelays[1].Disconnect()
	var faults []error
	var v snipeford.Version
	var err error
	for i := range 3 {
		v, err = s.change(ctx, 0, i%2 == 0)
		faults = append(faults, err)
		s.pause(ctx, time.Second)
	}
	s.TableRelays[1].Restore()
	s.PeerRelays[1].Restore()
	took, err := s.wantInForce(ctx, v, s.AllNodes())
	s.Notef("in force at the cut off node %.1f s after its return", took.Seconds())
	return errors.Join(append(faults, err, stop())...)
}
