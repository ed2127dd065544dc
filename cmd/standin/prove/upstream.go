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

const (
	coldGuarantee  = "an upstream that has just started gets no more than it bears"
	outGuarantee   = "a failure domain that is out gets no new work after 3 s"
	leaveGuarantee = "an upstream that is leaving gets no new work after 3 s"
)

var upstreamScenarios = []Scenario{
	{Name: "cold-start", Guarantee: coldGuarantee, Fault: "all engines start cold under a load from six nodes", ModifyPlan: func(p *rig.Plan) { p.Cold = true }, Run: coldStart},
	{Name: "cold-restart-new-home", Guarantee: coldGuarantee, Fault: "engines restart cold while their homes are killed", Run: coldRestart},
	{Name: "out-domain", Guarantee: outGuarantee, Fault: "a failure domain is taken out and brought back under load", Run: outDomain},
	{Name: "out-domain-cut-off", Guarantee: outGuarantee, Fault: "the same while a home is cut off from the table, not from its peers", ModifyPlan: func(p *rig.Plan) { p.Relays = true }, Run: outDomainCutOff},
	{Name: "out-domain-table-slow", Guarantee: outGuarantee, Fault: "the same while the table is slow", Run: outDomainTableSlow},
	{Name: "upstream-leaving", Guarantee: leaveGuarantee, Fault: "the VM list says that three engines leave", Run: upstreamLeaving},
	{Name: "retry-share", Guarantee: "retries stay within a tenth of the offered load and one burst", Fault: "a third of the engines is killed again and again", Run: retryShare},
}

// checkNoExcess checks that no engine got more requests than it could take.
func (env *Environment) checkNoExcess(ctx context.Context) error {
	var errs []error
	for id, e := range env.EngineStates(ctx) {
		if e.ExcessRequests > 0 {
			errs = append(errs, fmt.Errorf("%s got %d requests above its capacity", id, e.ExcessRequests))
		}
	}
	return errors.Join(errs...)
}

func coldStart(ctx context.Context, env *Environment) error {
	results, err := env.withLoad(ctx, env.mix(40, 15*time.Second, 0), func() error { return nil })
	env.SetSummaryf("%s", summarize(results))
	return errors.Join(err, env.checkResponses(ctx, results), env.checkNoExcess(ctx))
}

func coldRestart(ctx context.Context, env *Environment) error {
	engines := env.upstreamsOfKind(snipeford.KindEngine)
	results, err := env.withLoad(ctx, env.mix(30, 22*time.Second, 0), func() error {
		env.sleep(ctx, 3*time.Second)
		for i := range 3 {
			if err := errors.Join(env.Kill(string(engines[i].ID)), env.StartEngine(engines[i], true)); err != nil {
				return err
			}
		}
		home := env.homeNode(ctx, engines[0].Group())
		if home < 0 {
			return errors.New("group has no home to kill")
		}
		if err := env.Kill(rig.NodeName(home)); err != nil {
			return err
		}
		env.sleep(ctx, 8*time.Second)
		return env.StartNode(home)
	})
	env.SetSummaryf("%s", summarize(results))
	return errors.Join(err, env.checkResponses(ctx, results), env.checkNoExcess(ctx))
}

// countDispatches returns how many attempts the matching engines have received
// in total.
func (env *Environment) countDispatches(ctx context.Context, match func(snipeford.Upstream) bool) int {
	states := env.EngineStates(ctx)
	n := 0
	for _, u := range env.upstreamsOfKind(snipeford.KindEngine) {
		if match(u) {
			n += len(states[u.ID].AcceptedAttempts)
		}
	}
	return n
}

// stopDispatchTimeout is the time after which an upstream that is out or leaving
// must get no new work.
const stopDispatchTimeout = 3 * time.Second

// checkNoNewDispatch waits for stopDispatchTimeout and then checks that the
// matching engines get no new work for the given duration.
func (env *Environment) checkNoNewDispatch(ctx context.Context, match func(snipeford.Upstream) bool, duration time.Duration) error {
	env.sleep(ctx, stopDispatchTimeout)
	before := env.countDispatches(ctx, match)
	env.sleep(ctx, duration)
	if after := env.countDispatches(ctx, match); after != before {
		return fmt.Errorf("%d new dispatches after more than %s", after-before, stopDispatchTimeout)
	}
	return nil
}

func inDomain(d snipeford.FailureDomain) func(snipeford.Upstream) bool {
	return func(u snipeford.Upstream) bool { return u.Domain == d }
}

// takeOutAndRestore takes a failure domain out and puts it back through the API
// of a node, under load.
func (env *Environment) takeOutAndRestore(ctx context.Context, node int, domain snipeford.FailureDomain) error {
	results, err := env.withLoad(ctx, env.mix(30, 18*time.Second, 0.1), func() error {
		env.sleep(ctx, 3*time.Second)
		if err := env.setDomainOut(ctx, node, domain, true); err != nil {
			return err
		}
		if err := env.checkNoNewDispatch(ctx, inDomain(domain), 4*time.Second); err != nil {
			return err
		}
		before := env.countDispatches(ctx, inDomain(domain))
		if err := env.setDomainOut(ctx, node, domain, false); err != nil {
			return err
		}
		env.sleep(ctx, 5*time.Second)
		if after := env.countDispatches(ctx, inDomain(domain)); after == before {
			return errors.New("no new dispatch after the domain was put back")
		}
		return nil
	})
	return env.checkAllComplete(ctx, withoutTableDownRefusals(results), err)
}

// withoutTableDownRefusals leaves out the orders that were refused as not run
// because the table was down. A node without a connection to the table cannot
// accept orders.
func withoutTableDownRefusals(results []load.Result) []load.Result {
	var out []load.Result
	for _, r := range results {
		if r.Cause != string(snipeford.CauseTableDown) || r.Outcome != snipeford.NotRun || r.Request.Kind != arrival.Order {
			out = append(out, r)
		}
	}
	return out
}

func outDomain(ctx context.Context, env *Environment) error {
	return env.takeOutAndRestore(ctx, 0, "Manizales")
}

func outDomainCutOff(ctx context.Context, env *Environment) error {
	home := env.homeNode(ctx, snipeford.Group{Model: env.Plan.Model, Domain: "Manizales"})
	if home < 0 {
		return errors.New("group in Manizales has no home")
	}
	env.TableRelays[home].Disconnect()
	return env.takeOutAndRestore(ctx, (home+1)%env.Plan.Nodes, "Manizales")
}

func outDomainTableSlow(ctx context.Context, env *Environment) error {
	if err := env.injectTableFault(ctx, slowTableFault); err != nil {
		return err
	}
	return env.takeOutAndRestore(ctx, 0, "Manizales")
}

func upstreamLeaving(ctx context.Context, env *Environment) error {
	upstreams := append([]snipeford.Upstream(nil), env.Upstreams...)
	leaving := map[snipeford.UpstreamID]bool{}
	for i := range 3 {
		upstreams[i].Leaving = true
		leaving[upstreams[i].ID] = true
	}
	results, err := env.withLoad(ctx, env.mix(30, 12*time.Second, 0), func() error {
		env.sleep(ctx, 3*time.Second)
		if err := env.SetVMList(ctx, upstreams); err != nil {
			return err
		}
		// The VM list is delayed; the timeout starts when nodes can read the change.
		env.sleep(ctx, env.Plan.ListLag)
		return env.checkNoNewDispatch(ctx, func(u snipeford.Upstream) bool { return leaving[u.ID] }, 4*time.Second)
	})
	return env.checkAllComplete(ctx, results, err)
}

func retryShare(ctx context.Context, env *Environment) error {
	engines := env.upstreamsOfKind(snipeford.KindEngine)
	results, err := env.withLoad(ctx, env.mix(40, 20*time.Second, 0), func() error {
		for range 6 {
			env.sleep(ctx, 1500*time.Millisecond)
			for i := range 3 {
				if err := errors.Join(env.Kill(string(engines[i].ID)), env.StartEngine(engines[i], false)); err != nil {
					return err
				}
			}
		}
		return nil
	})
	offered, retried := 0, 0
	for _, i := range env.NodeIndexes() {
		status, statusErr := env.Status(ctx, i)
		err = errors.Join(err, statusErr)
		offered += status.Offered
		retried += status.Retried
	}
	env.SetSummaryf("%s; %d retries of %d offered", summarize(results), retried, offered)
	// Each node may retry a tenth of its offered requests, plus one burst of 30, the
	// maximum that its retry.Budget allows at once.
	if limit := offered/10 + 30*env.Plan.Nodes; retried > limit {
		err = errors.Join(err, fmt.Errorf("%d retries, limit %d", retried, limit))
	}
	return errors.Join(err, env.checkResponses(ctx, results))
}

// countCut counts requests whose connection broke before a complete response or
// a refusal, also if the client resumed them.
func countCut(results []load.Result) int {
	n := 0
	for _, r := range results {
		if r.Disconnected || r.Resumes > 0 {
			n++
		}
	}
	return n
}
