// Package prove checks the system's guarantees on separate processes while it
// injects faults: kill -9, SIGSTOP, cut connections, outages of the platform and
// concurrent changes by operators. Each file holds the scenarios of one area;
// Scenarios lists them all.
package prove

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"snipeford"
	"snipeford/cmd/standin/rig"
	"snipeford/internal/emulate/fault"
	"snipeford/internal/experiment/arrival"
	"snipeford/internal/experiment/load"
	"snipeford/internal/fleet/message"
)

// Scenario is a fault to inject and the guarantee that must hold during it.
type Scenario struct {
	Name      string
	Guarantee string
	Fault     string
	// ModifyPlan changes the plan of the rig before its start, if it is set.
	ModifyPlan func(*rig.Plan)
	Run        func(context.Context, *Environment) error
	// runEdge runs the scenario on the users' platform, instead of Run.
	runEdge func(context.Context, *edgeEnvironment) error
}

// Scenarios lists all scenarios in the order in which they are started.
var Scenarios = concat(orderScenarios, answerScenarios, memoryScenarios, upstreamScenarios, stopScenarios, configurationScenarios, limitScenarios, entryScenarios, operatorScenarios, storeReturnScenarios, directiveScenarios)

func concat(lists ...[]Scenario) []Scenario {
	var out []Scenario
	for _, l := range lists {
		out = append(out, l...)
	}
	return out
}

// Environment is the running rig of a scenario, with a client and a load balancer.
type Environment struct {
	*rig.Rig
	Client   *load.Client
	Balancer *load.Balancer
	Seed     uint64
	// Summary is the result that is printed on the scenario's line.
	Summary string
	mu      sync.Mutex
}

// SetSummaryf formats and sets Summary.
func (env *Environment) SetSummaryf(format string, values ...any) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.Summary = fmt.Sprintf(format, values...)
}

// BasePlan returns the plan that each scenario starts from.
func BasePlan(snipefordProgram, standin, directory string) rig.Plan {
	return rig.Plan{
		Snipeford: snipefordProgram, Standin: standin, Directory: directory,
		Domains: []snipeford.FailureDomain{"Armenia", "Manizales", "Pereira"},
		Nodes:   6, Engines: 9, Services: 3, Model: "OilReader", Service: "Orders",
		IgnoreFencingEvery: 2, ListLag: 500 * time.Millisecond, LoadLag: 300 * time.Millisecond, LeaveDelay: time.Second,
	}
}

// settleTime is the wait before a scenario starts, in which all nodes learn the
// homes of all groups.
const settleTime = 2500 * time.Millisecond

// scenarioTimeout limits the duration of a scenario, its start included.
const scenarioTimeout = 120 * time.Second

// Run runs a scenario on its own rig and returns its summary.
func Run(ctx context.Context, scenario Scenario, plan rig.Plan, rules []byte, seed uint64) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, scenarioTimeout)
	defer cancel()
	if scenario.runEdge != nil {
		return runEdge(ctx, scenario, plan)
	}
	plan.Directory = filepath.Join(plan.Directory, scenario.Name)
	if scenario.ModifyPlan != nil {
		scenario.ModifyPlan(&plan)
	}
	r, err := rig.Start(ctx, plan)
	if err != nil {
		return "", fmt.Errorf("start rig: %w", err)
	}
	defer r.Close()
	if err := r.Apply(ctx, rules, "prove"); err != nil {
		return "", err
	}
	if err := r.AwaitHomes(ctx, 30*time.Second, r.NodeIndexes()...); err != nil {
		return "", err
	}
	r.Timer.Sleep(ctx, settleTime)
	env := &Environment{Rig: r, Seed: seed}
	env.Client, env.Balancer = r.NewClient(fmt.Sprintf("prove-%d", seed))
	env.Client.MaxResumes = 5
	go env.Balancer.Run(ctx)
	if err := r.Await(ctx, 10*time.Second, env.allReady); err != nil {
		return "", err
	}
	err = scenario.Run(ctx, env)
	return env.Summary, err
}

func (env *Environment) allReady() error {
	if got := env.Balancer.ReadyCount(); got < env.Plan.Nodes {
		return fmt.Errorf("%d of %d nodes are ready", got, env.Plan.Nodes)
	}
	return nil
}

// organisations are the senders of the generated requests.
var organisations = []arrival.OrganisationShare{{Name: "CareDesk", Share: 0.5}, {Name: "MarketStalls", Share: 0.5}}

// mix returns a mix of completions of up to 32k tokens, and of orders at the
// given share of all requests.
func (env *Environment) mix(rate float64, duration time.Duration, orderShare float64) arrival.Mix {
	return arrival.Mix{
		Seed: env.Seed, Rate: rate, Duration: duration, Organisations: organisations,
		BandShares: [snipeford.BandCount]float64{0.8, 0.2, 0, 0}, OrderShare: orderShare,
	}
}

// withLoad injects faults while it sends a load, and returns the results that
// clients saw.
func (env *Environment) withLoad(ctx context.Context, mix arrival.Mix, inject func() error) ([]load.Result, error) {
	var results []load.Result
	done := make(chan struct{})
	go func() {
		defer close(done)
		results = load.Run(ctx, env.Client, arrival.Generate(mix), nil)
	}()
	err := inject()
	<-done
	return results, err
}

// sleep waits between the steps of a scenario.
func (env *Environment) sleep(ctx context.Context, d time.Duration) { env.Timer.Sleep(ctx, d) }

// injectTableFault injects a fault into the table; a zero fault clears all.
func (env *Environment) injectTableFault(ctx context.Context, f fault.Fault) error {
	return env.SendControl(ctx, "POST", env.TableAddress, "/control/fault", f)
}

// upstreamsOfKind returns the upstreams of a kind.
func (env *Environment) upstreamsOfKind(k snipeford.UpstreamKind) []snipeford.Upstream {
	var out []snipeford.Upstream
	for _, u := range env.Upstreams {
		if u.Kind == k {
			out = append(out, u)
		}
	}
	return out
}

// homeNode returns the index of the node that is a group's home, or -1.
func (env *Environment) homeNode(ctx context.Context, g snipeford.Group) int {
	for _, i := range env.NodeIndexes() {
		status, err := env.Status(ctx, i)
		if err != nil {
			continue
		}
		for _, owned := range status.Groups {
			if owned.Group == g {
				return i
			}
		}
	}
	return -1
}

// checkResponses checks what must hold in every scenario: no response is corrupt
// or late, and the reported outcomes of orders are true.
func (env *Environment) checkResponses(ctx context.Context, results []load.Result) error {
	var errs []error
	for _, r := range results {
		if r.Corrupt {
			errs = append(errs, fmt.Errorf("request %d: response ended normally with wrong content", r.Request.Number))
		}
		if limit := requestTimeout(r) + deadlineSlack; r.Duration > limit {
			errs = append(errs, fmt.Errorf("request %d took %s, after its deadline", r.Request.Number, r.Duration))
		}
	}
	return errors.Join(append(errs, env.checkOrders(ctx, results))...)
}

// deadlineSlack is how long after its timeout a request may end at the client.
const deadlineSlack = 3 * time.Second

func requestTimeout(r load.Result) time.Duration {
	if r.Request.Kind == arrival.Completion {
		return 120 * time.Second
	}
	return 5 * time.Second
}

// checkOrders compares the outcomes that clients were told with the runs that
// the order service recorded.
func (env *Environment) checkOrders(ctx context.Context, results []load.Result) error {
	runs, err := env.OrderRuns(ctx)
	if err != nil {
		return err
	}
	var errs []error
	for key, n := range runs {
		if n > 1 {
			errs = append(errs, fmt.Errorf("order %s ran %d times", key, n))
		}
	}
	for _, r := range results {
		if r.Request.Kind != arrival.Order {
			continue
		}
		ran := runs[r.IdempotencyKey]
		if r.Outcome == snipeford.NotRun && ran > 0 {
			errs = append(errs, fmt.Errorf("order %s ran, but the client was told NotRun (%s)", r.IdempotencyKey, r.Cause))
		}
		if r.Complete && ran != 1 {
			errs = append(errs, fmt.Errorf("order %s was accepted, but ran %d times", r.IdempotencyKey, ran))
		}
	}
	return errors.Join(errs...)
}

// summarize counts results for the summary of a scenario.
func summarize(results []load.Result) string {
	s := load.Summarize(results)
	return fmt.Sprintf("%d requests, %d whole, %d orders accepted of %d, %d resumed, %d refused", s.Requests, s.Complete, s.OrdersAccepted, s.OrdersSent, s.Resumes, countRefused(s))
}

func countRefused(s load.Summary) int {
	n := 0
	for _, k := range s.RefusedByCause {
		n += k
	}
	return n
}

// setDomainOut takes a failure domain out of service or puts it back, through
// the API of a node.
func (env *Environment) setDomainOut(ctx context.Context, node int, domain snipeford.FailureDomain, out bool) error {
	_, err := env.AdministrationClient(node).SetOut(ctx, &message.OutRequest{Domain: string(domain), Out: out, By: "prove"})
	if err != nil {
		return fmt.Errorf("change whether failure domain is out of service: %w", err)
	}
	return nil
}

// MakeDirectory creates a temporary directory for settings and logs.
func MakeDirectory() (string, error) {
	d, err := os.MkdirTemp("", "snipeford-prove-")
	if err != nil {
		return "", fmt.Errorf("create directory: %w", err)
	}
	return d, nil
}
