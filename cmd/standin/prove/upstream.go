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

var upstreamScenes = []Scene{
	{Name: "cold-start", Promise: coldPromise, Fault: "all engines start cold under a load from six nodes", Change: func(p *rig.Plan) { p.Cold = true }, Run: coldStart},
	{Name: "cold-restart-new-home", Promise: coldPromise, Fault: "engines restart cold while their homes are killed", Run: coldRestart},
	{Name: "out-domain", Promise: outPromise, Fault: "a failure domain is taken out and brought back under load", Run: outDomain},
	{Name: "out-domain-cut-off", Promise: outPromise, Fault: "the same while a home is cut off from the table, not from its peers", Change: func(p *rig.Plan) { p.Relays = true }, Run: outDomainCutOff},
	{Name: "out-domain-table-slow", Promise: outPromise, Fault: "the same while the table is slow", Run: outDomainTableSlow},
	{Name: "upstream-leaving", Promise: leavePromise, Fault: "the VM list says that three engines leave", Run: upstreamLeaving},
	{Name: "retry-share", Promise: "retries stay within a tenth of the offered load and one burst", Fault: "a third of the engines is killed again and again", Run: retryShare},
}

// wantNoExcess demands that no engine got more than it bore.
func (s *Stage) wantNoExcess(ctx context.Context) error {
	var faults []error
	for id, e := range s.Engines(ctx) {
		if e.Excess > 0 {
			faults = append(faults, fmt.Errorf("%s got %d requests above what it bore", id, e.Excess))
		}
	}
	return errors.Join(faults...)
}

func coldStart(ctx context.Context, s *Stage) error {
	results, err := s.during(ctx, s.mix(40, 15*time.Second, 0), func() error { return nil })
	s.Notef("%s", tally(results))
	return errors.Join(err, s.checkAnswers(ctx, results), s.wantNoExcess(ctx))
}

func coldRestart(ctx context.Context, s *Stage) error {
	engines := s.upstreamsOf(snipeford.KindEngine)
	results, err := s.during(ctx, s.mix(30, 22*time.Second, 0), func() error {
		s.pause(ctx, 3*time.Second)
		for i := range 3 {
			if err := errors.Join(s.Kill(string(engines[i].ID)), s.StartEngine(engines[i], true)); err != nil {
				return err
			}
		}
		home := s.homeOf(ctx, engines[0].Group())
		if home < 0 {
			return errors.New("no home to kill")
		}
		if err := s.Kill(rig.NodeName(home)); err != nil {
			return err
		}
		s.pause(ctx, 8*time.Second)
		return s.StartNode(home)
	})
	s.Notef("%s", tally(results))
	return errors.Join(err, s.checkAnswers(ctx, results), s.wantNoExcess(ctx))
}

// dispatched returns how many attempts each engine of a set has seen.
func (s *Stage) dispatched(ctx context.Context, in func(snipeford.Upstream) bool) int {
	states := s.Engines(ctx)
	n := 0
	for _, u := range s.upstreamsOf(snipeford.KindEngine) {
		if in(u) {
			n += len(states[u.ID].Ledger)
		}
	}
	return n
}

// quietAfter is how long after an order no new work may come.
const quietAfter = 3 * time.Second

// wantQuiet waits until new work has to have stopped, and demands that none
// comes in the time after.
func (s *Stage) wantQuiet(ctx context.Context, in func(snipeford.Upstream) bool, length time.Duration) error {
	s.pause(ctx, quietAfter)
	before := s.dispatched(ctx, in)
	s.pause(ctx, length)
	if after := s.dispatched(ctx, in); after != before {
		return fmt.Errorf("%d new dispatches later than %s", after-before, quietAfter)
	}
	return nil
}

func inDomain(d snipeford.FailureDomain) func(snipeford.Upstream) bool {
	return func(u snipeford.Upstream) bool { return u.Domain == d }
}

// outAndBack takes a failure domain out and brings it back under load.
func (s *Stage) outAndBack(ctx context.Context, by int, domain snipeford.FailureDomain) error {
	results, err := s.during(ctx, s.mix(30, 18*time.Second, 0.1), func() error {
		s.pause(ctx, 3*time.Second)
		if err := s.setOut(ctx, by, domain, true); err != nil {
			return err
		}
		if err := s.wantQuiet(ctx, inDomain(domain), 4*time.Second); err != nil {
			return err
		}
		before := s.dispatched(ctx, inDomain(domain))
		if err := s.setOut(ctx, by, domain, false); err != nil {
			return err
		}
		s.pause(ctx, 5*time.Second)
		if after := s.dispatched(ctx, inDomain(domain)); after == before {
			return errors.New("no new dispatch after the domain came back")
		}
		return nil
	})
	return s.wantWhole(ctx, withoutTableDown(results), err)
}

// withoutTableDown leaves out the orders that a node which is cut off from the
// table refused as not run: it can take none.
func withoutTableDown(results []load.Result) []load.Result {
	var out []load.Result
	for _, r := range results {
		if r.Cause != string(snipeford.CauseTableDown) || r.Outcome != snipeford.NotRun || r.Request.Kind != arrival.Order {
			out = append(out, r)
		}
	}
	return out
}

func outDomain(ctx context.Context, s *Stage) error { return s.outAndBack(ctx, 0, "Manizales") }

func outDomainCutOff(ctx context.Context, s *Stage) error {
	home := s.homeOf(ctx, snipeford.Group{Model: s.Plan.Model, Domain: "Manizales"})
	if home < 0 {
		return errors.New("no home in the domain")
	}
	s.TableRelays[home].Cut()
	return s.outAndBack(ctx, (home+1)%s.Plan.Nodes, "Manizales")
}

func outDomainTableSlow(ctx context.Context, s *Stage) error {
	if err := s.tableFault(ctx, slowTable); err != nil {
		return err
	}
	return s.outAndBack(ctx, 0, "Manizales")
}

func upstreamLeaving(ctx context.Context, s *Stage) error {
	list := append([]snipeford.Upstream(nil), s.Upstreams...)
	leaving := map[snipeford.UpstreamID]bool{}
	for i := range 3 {
		list[i].Leaving = true
		leaving[list[i].ID] = true
	}
	results, err := s.during(ctx, s.mix(30, 12*time.Second, 0), func() error {
		s.pause(ctx, 3*time.Second)
		if err := s.SetList(ctx, list); err != nil {
			return err
		}
		// The list itself is late; the time counts from its report.
		s.pause(ctx, s.Plan.ListLag)
		return s.wantQuiet(ctx, func(u snipeford.Upstream) bool { return leaving[u.ID] }, 4*time.Second)
	})
	return s.wantWhole(ctx, results, err)
}

func retryShare(ctx context.Context, s *Stage) error {
	engines := s.upstreamsOf(snipeford.KindEngine)
	results, err := s.during(ctx, s.mix(40, 20*time.Second, 0), func() error {
		for range 6 {
			s.pause(ctx, 1500*time.Millisecond)
			for i := range 3 {
				if err := errors.Join(s.Kill(string(engines[i].ID)), s.StartEngine(engines[i], false)); err != nil {
					return err
				}
			}
		}
		return nil
	})
	offered, retried := 0, 0
	for _, i := range s.AllNodes() {
		status, statusErr := s.Status(ctx, i)
		err = errors.Join(err, statusErr)
		offered += status.Offered
		retried += status.Retried
	}
	s.Notef("%s; %d retries of %d offered", tally(results), retried, offered)
	if limit := offered/10 + 30*s.Plan.Nodes; retried > limit {
		err = errors.Join(err, fmt.Errorf("%d retries, allowed %d", retried, limit))
	}
	return errors.Join(err, s.checkAnswers(ctx, results))
}

// cutCount counts connections that broke before an answer or a refusal.
func cutCount(results []load.Result) int {
	n := 0
	for _, r := range results {
		if r.Disconnected || r.Resumes > 0 {
			n++
		}
	}
	return n
}
