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

const configurationGuarantee = "an accepted configuration is in force everywhere within 10 s and never reverts"

var configurationScenarios = []Scenario{
	{Name: "configuration-table-fails", Guarantee: configurationGuarantee, Fault: "the table loses answers and is slow while versions are accepted", Run: configurationTableFails},
	{Name: "configuration-nodes-replaced", Guarantee: configurationGuarantee, Fault: "nodes are killed and replaced in the middle", Run: configurationNodesReplaced},
	{Name: "configuration-race", Guarantee: "of two conflicting changes one wins, the other is told which version beat it", Fault: "two operators apply at once, ten times", Run: configurationRace},
	{Name: "configuration-start-in-outage", Guarantee: "a node that starts while the table is down takes the newest version from its peers", Fault: "a node is replaced during an outage", Run: configurationStartInOutage},
	{Name: "configuration-cut-off", Guarantee: configurationGuarantee, Fault: "a node is cut off from table and peers, and back", ModifyPlan: func(p *rig.Plan) { p.Relays = true }, Run: configurationCutOff},
}

var slowTableFault = fault.Fault{Kind: fault.DelayRequest, Milliseconds: 400}

// versionHistory holds the versions that were seen in force at each node, in
// order.
type versionHistory struct {
	mu   sync.Mutex
	seen map[int][]snipeford.Version
}

// watchVersions polls the versions at all nodes until the returned function is
// called, which returns an error if a version reverted at a node.
func (env *Environment) watchVersions(ctx context.Context) func() error {
	ctx, cancel := context.WithCancel(ctx)
	h := &versionHistory{seen: map[int][]snipeford.Version{}}
	var group sync.WaitGroup
	for _, i := range env.NodeIndexes() {
		group.Go(func() {
			for ctx.Err() == nil {
				if v, err := env.versionAt(ctx, i); err == nil && v > 0 {
					h.add(i, v)
				}
				env.sleep(ctx, 50*time.Millisecond)
			}
		})
	}
	return func() error {
		cancel()
		group.Wait()
		return h.check()
	}
}

func (h *versionHistory) add(node int, v snipeford.Version) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seen[node] = append(h.seen[node], v)
}

func (h *versionHistory) check() error {
	for node, versions := range h.seen {
		for i := 1; i < len(versions); i++ {
			if versions[i] < versions[i-1] {
				return fmt.Errorf("node %d reverted from version %d to %d", node+1, versions[i-1], versions[i])
			}
		}
	}
	return nil
}

func (env *Environment) versionAt(ctx context.Context, i int) (snipeford.Version, error) {
	reply, err := env.AdministrationClient(i).Show(ctx, &message.ShowRequest{})
	if err != nil {
		return 0, err
	}
	var c snipeford.Configuration
	if err := json.Unmarshal(reply.GetConfiguration(), &c); err != nil {
		return 0, err
	}
	return c.Version, nil
}

// inForceTimeout is the guaranteed maximum time until an accepted version is in
// force at all nodes.
const inForceTimeout = 10 * time.Second

// awaitInForce waits until a version is in force at the nodes and returns how
// long it took.
func (env *Environment) awaitInForce(ctx context.Context, v snipeford.Version, nodes []int) (time.Duration, error) {
	start := env.Timer.Now()
	err := env.Await(ctx, inForceTimeout, func() error {
		for _, i := range nodes {
			got, err := env.versionAt(ctx, i)
			if err != nil {
				return err
			}
			if got < v {
				return fmt.Errorf("version %d is not in force at node %d (%d) after %s", v, i+1, got, inForceTimeout)
			}
		}
		return nil
	})
	return env.Timer.Now().Sub(start), err
}

// toggleUpstream takes an upstream that does not exist out of service or puts it
// back, and returns the version that this change created. It retries on errors,
// which leave open whether the change was made.
func (env *Environment) toggleUpstream(ctx context.Context, node int, out bool) (snipeford.Version, error) {
	var last error
	for range 10 {
		reply, err := env.AdministrationClient(node).SetOut(ctx, &message.OutRequest{Upstream: "none", Out: out, By: "prove"})
		if err == nil {
			return snipeford.Version(reply.GetVersion()), nil
		}
		last = err
		env.sleep(ctx, 200*time.Millisecond)
	}
	return 0, fmt.Errorf("change whether upstream is out of service: %w", last)
}

func configurationTableFails(ctx context.Context, env *Environment) error {
	stop := env.watchVersions(ctx)
	var longest time.Duration
	var errs []error
	for i := range 6 {
		f := slowTableFault
		if i%2 == 0 {
			f = fault.Fault{Kind: fault.DropResponse, Prefix: "/write", Count: 4}
		}
		if err := env.injectTableFault(ctx, f); err != nil {
			return err
		}
		v, err := env.toggleUpstream(ctx, i%env.Plan.Nodes, i%2 == 0)
		errs = append(errs, err)
		took, err := env.awaitInForce(ctx, v, env.NodeIndexes())
		errs = append(errs, err)
		longest = max(longest, took)
		errs = append(errs, env.injectTableFault(ctx, fault.Fault{}))
	}
	env.SetSummaryf("longest time until in force %.1f s", longest.Seconds())
	return errors.Join(append(errs, stop())...)
}

func configurationNodesReplaced(ctx context.Context, env *Environment) error {
	stop := env.watchVersions(ctx)
	var longest time.Duration
	var errs []error
	for i := range 3 {
		if err := env.Kill(rig.NodeName(i + 1)); err != nil {
			return err
		}
		v, err := env.toggleUpstream(ctx, 0, i%2 == 0)
		errs = append(errs, err, env.StartNode(i+1))
		took, err := env.awaitInForce(ctx, v, env.NodeIndexes())
		errs = append(errs, err)
		longest = max(longest, took)
	}
	env.SetSummaryf("longest time until in force %.1f s, replaced nodes included", longest.Seconds())
	// The history of a node is kept while it is replaced, so its new process must
	// not use an older version than the process before.
	return errors.Join(append(errs, stop())...)
}

func configurationRace(ctx context.Context, env *Environment) error {
	won, lost := 0, 0
	for round := range 10 {
		base, err := env.versionAt(ctx, 0)
		if err != nil {
			return err
		}
		rules := []string{raceRules(env, round, 1), raceRules(env, round, 2)}
		errs := make([]error, 2)
		var group sync.WaitGroup
		for i, text := range rules {
			group.Go(func() {
				_, errs[i] = env.AdministrationClient(i).Apply(ctx, &message.ApplyRequest{RulesToml: text, By: fmt.Sprint("operator-", i), BaseVersion: uint64(base)})
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
		if _, err := env.awaitInForce(ctx, base+1, env.NodeIndexes()); err != nil {
			return err
		}
	}
	env.SetSummaryf("%d changes won, %d were told which version beat them", won, lost)
	if won != 10 || lost != 10 {
		return fmt.Errorf("%d changes won and %d lost in ten races, want ten each", won, lost)
	}
	return nil
}

func raceRules(env *Environment, round, operator int) string {
	return fmt.Sprintf("[Model]\n%s = { Timeout = \"%ds\", MaxOutput = 2048 } # asked for by operator %d\n", env.Plan.Model, 60+2*round+operator, operator)
}

func configurationStartInOutage(ctx context.Context, env *Environment) error {
	v, err := env.toggleUpstream(ctx, 0, true)
	if err != nil {
		return err
	}
	if err := errors.Join(env.injectTableFault(ctx, fault.Fault{Kind: fault.Down}), env.Kill(rig.NodeName(2)), env.StartNode(2)); err != nil {
		return err
	}
	took, err := env.awaitInForce(ctx, v, env.NodeIndexes())
	env.SetSummaryf("in force at the new node after %.1f s of outage", took.Seconds())
	return errors.Join(err, env.injectTableFault(ctx, fault.Fault{}))
}

func configurationCutOff(ctx context.Context, env *Environment) error {
	stop := env.watchVersions(ctx)
	env.TableRelays[1].Disconnect()
	env.PeerRelays[1].Disconnect()
	var errs []error
	var v snipeford.Version
	var err error
	for i := range 3 {
		v, err = env.toggleUpstream(ctx, 0, i%2 == 0)
		errs = append(errs, err)
		env.sleep(ctx, time.Second)
	}
	env.TableRelays[1].Restore()
	env.PeerRelays[1].Restore()
	took, err := env.awaitInForce(ctx, v, env.NodeIndexes())
	env.SetSummaryf("in force at the cut off node %.1f s after its return", took.Seconds())
	return errors.Join(append(errs, err, stop())...)
}
