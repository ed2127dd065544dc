// Package prove runs the faults that the promises have to stand, on separate
// processes: kill -9, SIGSTOP, connection cuts, outages of the platform and
// races of operators. A promise's scenes are one file; the table lists them.
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

// Scene is one fault and the promise that has to stand it.
type Scene struct {
	Name    string
	Promise string
	Fault   string
	// Change adapts the plan of the rig.
	Change func(*rig.Plan)
	Run    func(context.Context, *Stage) error
}

// Table lists the scenes.
var Table = concat(orderScenes, answerScenes, memoryScenes, upstreamScenes, stopScenes, configurationScenes, limitScenes, edgeScenes, operatorScenes)

func concat(lists ...[]Scene) []Scene {
	var out []Scene
	for _, l := range lists {
		out = append(out, l...)
	}
	return out
}

// Stage is a running rig with a caller.
type Stage struct {
	*rig.Rig
	Client   *load.Client
	Balancer *load.Balancer
	Seed     uint64
	// Note is what the scene saw, for its line.
	Note string
	mu   sync.Mutex
}

// Notef sets what the scene's line says.
func (s *Stage) Notef(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Note = fmt.Sprintf(format, values...)
}

// Base is the plan that scenes change.
func Base(snipefordProgram, standin, directory string) rig.Plan {
	return rig.Plan{
		Snipeford: snipefordProgram, Standin: standin, Directory: directory,
		Domains: []snipeford.FailureDomain{"Armenia", "Manizales", "Pereira"},
		Nodes:   6, Engines: 9, Services: 3, Model: "OilReader", Service: "Orders",
		FencesEvery: 2, ListLag: 500 * time.Millisecond, LoadLag: 300 * time.Millisecond, LeaveDelay: time.Second,
	}
}

// settleTime lets the nodes hear of all homes before a scene begins.
const settleTime = 2500 * time.Millisecond

// sceneTimeout bounds one scene.
const sceneTimeout = 120 * time.Second

// Play runs one scene on a rig of its own and returns what it saw.
func Play(ctx context.Context, scene Scene, plan rig.Plan, rules []byte, seed uint64) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, sceneTimeout)
	defer cancel()
	plan.Directory = filepath.Join(plan.Directory, scene.Name)
	if scene.Change != nil {
		scene.Change(&plan)
	}
	r, err := rig.Start(ctx, plan)
	if err != nil {
		return "", fmt.Errorf("start rig: %w", err)
	}
	defer r.Close()
	if err := r.Apply(ctx, rules, "prove"); err != nil {
		return "", err
	}
	if err := r.AwaitHomes(ctx, 30*time.Second, r.AllNodes()...); err != nil {
		return "", err
	}
	r.Timer.Sleep(ctx, settleTime)
	stage := &Stage{Rig: r, Seed: seed}
	stage.Client, stage.Balancer = r.Client(fmt.Sprintf("prove-%d", seed))
	stage.Client.MaxResumes = 5
	go stage.Balancer.Run(ctx)
	if err := r.Await(ctx, 10*time.Second, stage.allReady); err != nil {
		return "", err
	}
	err = scene.Run(ctx, stage)
	return stage.Note, err
}

func (s *Stage) allReady() error {
	if got := s.Balancer.ReadyCount(); got < s.Plan.Nodes {
		return fmt.Errorf("%d of %d nodes are ready", got, s.Plan.Nodes)
	}
	return nil
}

// organisations send in scenes.
var organisations = []arrival.OrganisationShare{{Name: "CareDesk", Share: 0.5}, {Name: "MarketStalls", Share: 0.5}}

// mix returns completions of up to 32k tokens, orders and lookups.
func (s *Stage) mix(rate float64, length time.Duration, orders float64) arrival.Mix {
	return arrival.Mix{
		Seed: s.Seed, Rate: rate, Duration: length, Organisations: organisations,
		BandShares: [snipeford.BandCount]float64{0.8, 0.2, 0, 0}, OrderShare: orders,
	}
}

// during sends a load and runs the fault beside it, and returns what callers saw.
func (s *Stage) during(ctx context.Context, mix arrival.Mix, fault func() error) ([]load.Result, error) {
	var results []load.Result
	done := make(chan struct{})
	go func() {
		defer close(done)
		results = load.Run(ctx, s.Client, arrival.Generate(mix), nil)
	}()
	err := fault()
	<-done
	return results, err
}

// pause waits, as scenes need moments between faults.
func (s *Stage) pause(ctx context.Context, d time.Duration) { s.Timer.Sleep(ctx, d) }

// tableFault orders the table to fail.
func (s *Stage) tableFault(ctx context.Context, f fault.Fault) error {
	return s.Control(ctx, "POST", s.TableAt, "/control/fault", f)
}

// upstreamsOf returns the upstreams of a kind.
func (s *Stage) upstreamsOf(k snipeford.UpstreamKind) []snipeford.Upstream {
	var out []snipeford.Upstream
	for _, u := range s.Upstreams {
		if u.Kind == k {
			out = append(out, u)
		}
	}
	return out
}

// homeOf returns the number of the node that is a group's home, or -1.
func (s *Stage) homeOf(ctx context.Context, g snipeford.Group) int {
	for _, i := range s.AllNodes() {
		status, err := s.Status(ctx, i)
		if err != nil {
			continue
		}
		for _, one := range status.Groups {
			if one.Group == g {
				return i
			}
		}
	}
	return -1
}

// checkAnswers checks what holds in every scene: no answer is broken, none
// comes late, and what a refusal says of orders is true.
func (s *Stage) checkAnswers(ctx context.Context, results []load.Result) error {
	var faults []error
	for _, r := range results {
		if r.Corrupt {
			faults = append(faults, fmt.Errorf("request %d: broken answer", r.Request.Number))
		}
		if limit := timeoutOf(r) + lateBy; r.Took > limit {
			faults = append(faults, fmt.Errorf("request %d ended after %s", r.Request.Number, r.Took))
		}
	}
	return errors.Join(append(faults, s.checkOrders(ctx, results))...)
}

// lateBy is how much later than its deadline a caller may see the end.
const lateBy = 3 * time.Second

func timeoutOf(r load.Result) time.Duration {
	if r.Request.Kind == arrival.Completion {
		return 120 * time.Second
	}
	return 5 * time.Second
}

// checkOrders compares what callers were told with the application's ledger.
func (s *Stage) checkOrders(ctx context.Context, results []load.Result) error {
	ledger, err := s.Ledger(ctx)
	if err != nil {
		return err
	}
	var faults []error
	for key, n := range ledger {
		if n > 1 {
			faults = append(faults, fmt.Errorf("order %s ran %d times", key, n))
		}
	}
	for _, r := range results {
		if r.Request.Kind != arrival.Order {
			continue
		}
		ran := ledger[r.IdempotencyKey]
		if r.Outcome == snipeford.NotRun && ran > 0 {
			faults = append(faults, fmt.Errorf("order %s ran, the caller was told NotRun (%s)", r.IdempotencyKey, r.Cause))
		}
		if r.Complete && ran != 1 {
			faults = append(faults, fmt.Errorf("order %s was accepted and ran %d times", r.IdempotencyKey, ran))
		}
	}
	return errors.Join(faults...)
}

// tally counts results for a scene's line.
func tally(results []load.Result) string {
	s := load.Summarize(results)
	return fmt.Sprintf("%d requests, %d whole, %d orders accepted of %d, %d resumed, %d refused", s.Requests, s.Complete, s.OrdersAccepted, s.OrdersSent, s.Resumes, refusedCount(s))
}

func refusedCount(s load.Summary) int {
	n := 0
	for _, k := range s.RefusedByCause {
		n += k
	}
	return n
}

// setOut takes a failure domain out or back through a node.
func (s *Stage) setOut(ctx context.Context, node int, domain snipeford.FailureDomain, out bool) error {
	_, err := s.API(node).SetOut(ctx, &message.OutRequest{Domain: string(domain), Out: out, By: "prove"})
	if err != nil {
		return fmt.Errorf("set out: %w", err)
	}
	return nil
}

// MakeDirectory returns a directory for a run's settings and logs.
func MakeDirectory() (string, error) {
	d, err := os.MkdirTemp("", "snipeford-prove-")
	if err != nil {
		return "", fmt.Errorf("make directory: %w", err)
	}
	return d, nil
}
