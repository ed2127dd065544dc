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
	coldPromise  = "an upstream that has just started gets no more than it bears"
	outPromise   = "a failure domain that is out gets no new work after 3 s"
	leavePromise = "an upstream that is leaving gets no new work after 3 s"
)

var upstreamScenarios = []Scenario{
	{Name: "cold-start", Guarantee: coldPromise, Fault: "all engines start cold under a load from six nodes", ModifyPlan: func(p *rig.Plan) { p.Cold = true }, Run: coldStart},
	{Name: "cold-restart-new-home", Guarantee: coldPromise, Fault: "engines restart cold while their homes are killed", Run: coldRestart},
	{Name: "out-domain", Guarantee: outPromise, Fault: "a failure domain is taken out and brought back under load", Run: outDomain},
	{Name: "out-domain-cut-off", Guarantee: outPromise, Fault: "the same while a home is cut off from the table, not from its peers", ModifyPlan: func(p *rig.Plan) { p.Relays = true }, Run: outDomainCutOff},
	{Name: "out-domain-table-slow", Guarantee: outPromise, Fault: "the same while the table is slow", Run: outDomainTableSlow},
	{Name: "upstream-leaving", Guarantee: leavePromise, Fault: "the VM list says that three engines leave", Run: upstreamLeaving},
	{Name: "retry-share", Guarantee: "retries stay within a tenth of the offered load and one burst", Fault: "a third of the engines is killed again and again", Run: retryShare},
}

// checkNoExcess checks that no engine got more requests than it could take.
func (s *Environment) checkNoExcess(ctx context.Context) error {
	var errs []error
	for id, e := range s.EngineStates(ctx) {
		if e.Excess > 0 {
			errs = append(errs, fmt.Errorf("%s got %d requests above its capacity", id, e.Excess))
		}
	}
	return errors.Join(errs...)
}

func coldStart(ctx context.Context, s *Environment) error {
	results, err := s.withLoad(ctx, s.mix(40, 15*time.Second, 0), func() error { return nil })
	s.SetSummaryf("%s", summarize(results))
	return errors.Join(err, s.checkResponses(ctx, results), s.checkNoExcess(ctx))
}

func coldRestart(ctx context.Context, s *Environment) error {
	engines := s.upstreamsOfKind(snipeford.KindEngine)
	results, err := s.withLoad(ctx, s.mix(30, 22*time.Second, 0), func() error {
		s.sleep(ctx, 3*time.Second)
		for i := range 3 {
			if err := errors.Join(s.Kill(string(engines[i].ID)), s.StartEngine(engines[i], true)); err != nil {
				return err
			}
		}
		home := s.homeNode(ctx, engines[0].Group())
		if home < 0 {
			return errors.New("group has no home to kill")
		}
		if err := s.Kill(rig.NodeName(home)); err != nil {
			return err
		}
		s.sleep(ctx, 8*time.Second)
		return s.StartNode(home)
	})
	s.SetSummaryf("%s", summarize(results))
	return errors.Join(err, s.checkResponses(ctx, results), s.checkNoExcess(ctx))
}

// countDispatches returns how many attempts the matching engines have received
// in total.
func (s *Environment) countDispatches(ctx context.Context, match func(snipeford.Upstream) bool) int {
	states := s.EngineStates(ctx)
	n := 0
	for _, u := range s.upstreamsOfKind(snipeford.KindEngine) {
		if match(u) {
			n += len(states[u.ID].Ledger)
		}
	}
	return n
}

// stopDispatchTimeout is the time after which an upstream that is out or leaving
// must get no new work.
const stopDispatchTimeout = 3 * time.Second

// checkNoNewDispatch waits for stopDispatchTimeout and then checks that the
// matching engines get no new work for the given duration.
func (s *Environment) checkNoNewDispatch(ctx context.Context, match func(snipeford.Upstream) bool, duration time.Duration) error {
	s.sleep(ctx, stopDispatchTimeout)
	before := s.countDispatches(ctx, match)
	s.sleep(ctx, duration)
	if after := s.countDispatches(ctx, match); after != before {
		return fmt.Errorf("%d new dispatches after more than %s", after-before, stopDispatchTimeout)
	}
	return nil
}

func inDomain(d snipeford.FailureDomain) func(snipeford.Upstream) bool {
	return func(u snipeford.Upstream) bool { return u.Domain == d }
}

// takeOutAndRestore takes a failure domain out and puts it back through the API
// of a node, under load.
func (s *Environment) takeOutAndRestore(ctx context.Context, node int, domain snipeford.FailureDomain) error {
	results, err := s.withLoad(ctx, s.mix(30, 18*time.Second, 0.1), func() error {
		s.sleep(ctx, 3*time.Second)
		if err := s.setDomainOut(ctx, node, domain, true); err != nil {
			return err
		}
		if err := s.checkNoNewDispatch(ctx, inDomain(domain), 4*time.Second); err != nil {
			return err
		}
		before := s.countDispatches(ctx, inDomain(domain))
		if err := s.setDomainOut(ctx, node, domain, false); err != nil {
			return err
		}
		s.sleep(ctx, 5*time.Second)
		if after := s.countDispatches(ctx, inDomain(domain)); after == before {
			return errors.New("no new dispatch after the domain was put back")
		}
		return nil
	})
	return s.checkAllComplete(ctx, withoutTableDownRefusals(results), err)
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

func outDomain(ctx context.Context, s *Environment) error {
	return s.takeOutAndRestore(ctx, 0, "Manizales")
}

func outDomainCutOff(ctx context.Context, s *Environment) error {
	home := s.homeNode(ctx, snipeford.Group{Model: s.Plan.Model, Domain: "Manizales"})
	if home < 0 {
		return errors.New("group in Manizales has no home")
	}
	s.TableRelays[home].Disconnect()
	return s.takeOutAndRestore(ctx, (home+1)%s.Plan.Nodes, "Manizales")
}

func outDomainTableSlow(ctx context.Context, s *Environment) error {
	if err := s.injectTableFault(ctx, slowTableFault); err != nil {
		return err
	}
	return s.takeOutAndRestore(ctx, 0, "Manizales")
}

func upstreamLeaving(ctx context.Context, s *Environment) error {
	upstreams := append([]snipeford.Upstream(nil), s.Upstreams...)
	leaving := map[snipeford.UpstreamID]bool{}
	for i := range 3 {
		upstreams[i].Leaving = true
		leaving[upstreams[i].ID] = true
	}
	results, err := s.withLoad(ctx, s.mix(30, 12*time.Second, 0), func() error {
		s.sleep(ctx, 3*time.Second)
		if err := s.SetVMList(ctx, upstreams); err != nil {
			return err
		}
		// The VM list is delayed; the timeout starts when nodes can read the change.
		s.sleep(ctx, s.Plan.ListLag)
		return s.checkNoNewDispatch(ctx, func(u snipeford.Upstream) bool { return leaving[u.ID] }, 4*time.Second)
	})
	return s.checkAllComplete(ctx, results, err)
}

func retryShare(ctx context.Context, s *Environment) error {
	engines := s.upstreamsOfKind(snipeford.KindEngine)
	results, err := s.withLoad(ctx, s.mix(40, 20*time.Second, 0), func() error {
		for range 6 {
			s.sleep(ctx, 1500*time.Millisecond)
			for i := range 3 {
				if err := errors.Join(s.Kill(string(engines[i].ID)), s.StartEngine(engines[i], false)); err != nil {
					return err
				}
			}
		}
		return nil
	})
	offered, retried := 0, 0
	for _, i := range s.NodeIndexes() {
		status, statusErr := s.Status(ctx, i)
		err = errors.Join(err, statusErr)
		offered += status.Offered
		retried += status.Retried
	}
	s.SetSummaryf("%s; %d retries of %d offered", summarize(results), retried, offered)
	if limit := offered/10 + 30*s.Plan.Nodes; retried > limit {
		err = errors.Join(err, fmt.Errorf("%d retries, limit %d", retried, limit))
	}
	return errors.Join(err, s.checkResponses(ctx, results))
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
