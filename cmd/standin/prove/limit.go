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
	"snipeford/internal/fleet/message"
	"snipeford/internal/policy/limit"
)

const limitGuarantee = "limits hold across all nodes together"

var limitScenarios = []Scenario{
	{Name: "limit-six-nodes", Guarantee: limitGuarantee, Fault: "an organisation sends four times its rate through six nodes", Run: func(ctx context.Context, env *Environment) error { return checkLimit(ctx, env, func() {}) }},
	{Name: "limit-node-cut-off", Guarantee: limitGuarantee, Fault: "the same with one node cut off from table and peers", ModifyPlan: func(p *rig.Plan) { p.Relays = true }, Run: func(ctx context.Context, env *Environment) error {
		return checkLimit(ctx, env, func() {
			env.TableRelays[2].Disconnect()
			env.PeerRelays[2].Disconnect()
		})
	}},
	{Name: "table-budget", Guarantee: "the table's budget: under 300 writes and 2,000 reads a second at 390 nodes", Fault: "a load with orders, counted", Run: tableBudget},
}

// limitedRate is the rate limit of the organisation, in requests per second.
const limitedRate = 10

func limitedRules(env *Environment) string {
	return fmt.Sprintf("[Organisation]\nCareDesk = { KeySHA256 = \"%s\", TokensPerSecond = 10_000_000, RequestsPerSecond = %d, Concurrent = 100_000, LongestPrompt = 1_000_000 } # asked for by prove\n[Model]\n%s = { Timeout = \"60s\", MaxOutput = 2048 } # asked for by prove\n",
		keyHash, limitedRate, env.Plan.Model)
}

// keyHash is the SHA-256 of "example-key-CareDesk".
const keyHash = "2be6d4db94a26c74fc7def958fbc2263ef44399aa7a7dd6439ff38aa1f1ca908"

func checkLimit(ctx context.Context, env *Environment, isolate func()) error {
	if _, err := env.AdministrationClient(0).Apply(ctx, &message.ApplyRequest{RulesToml: limitedRules(env), By: "prove", Wait: true}); err != nil {
		return fmt.Errorf("apply limits: %w", err)
	}
	env.sleep(ctx, time.Second)
	isolate()
	const duration = 25 * time.Second
	mix := arrival.Mix{
		Seed: env.Seed, Rate: 4 * limitedRate, Duration: duration, Organisations: []arrival.OrganisationShare{{Name: "CareDesk", Share: 1}},
		BandShares: [snipeford.BandCount]float64{1, 0, 0, 0},
	}
	env.Client.MaxResumes = 0
	results := load.Run(ctx, env.Client, arrival.Generate(mix), nil)
	admitted := 0
	for _, r := range results {
		if r.Complete {
			admitted++
		}
	}
	// The upper bound is the rate times the duration, plus one burst per node,
	// plus the even share of the rate that an isolated node goes on admitting.
	nodes := float64(env.Plan.Nodes)
	burst := max(float64(limit.MinRequestBurst), limitedRate*limit.BurstSeconds/nodes)
	bound := limitedRate*duration.Seconds()*(1+1/nodes) + nodes*burst
	expected := limitedRate * duration.Seconds()
	env.SetSummaryf("%d of %d admitted in %s; rate allows %.0f, stated bound %.0f", admitted, len(results), duration, expected, bound)
	var errs []error
	if float64(admitted) > bound {
		errs = append(errs, fmt.Errorf("%d requests admitted, upper bound %.0f", admitted, bound))
	}
	if float64(admitted) < 0.7*expected {
		errs = append(errs, fmt.Errorf("%d requests admitted, too few for the %.0f that the rate allows", admitted, expected))
	}
	return errors.Join(errs...)
}

// The table's budget: maximum reads and writes per second at budgetNodes nodes.
const (
	budgetNodes        = 390
	maxWritesPerSecond = 300
	maxReadsPerSecond  = 2_000
	countInterval      = 10 * time.Second
)

// tableBudget counts the table's reads and writes over an idle and a loaded
// interval, for the cost of a node and the added cost of an order.
func tableBudget(ctx context.Context, env *Environment) error {
	before, err := env.TableCounts(ctx)
	if err != nil {
		return err
	}
	env.sleep(ctx, countInterval)
	idle, err := env.TableCounts(ctx)
	if err != nil {
		return err
	}
	results := load.Run(ctx, env.Client, arrival.Generate(env.mix(40, countInterval, 0.5)), nil)
	after, err := env.TableCounts(ctx)
	if err != nil {
		return err
	}
	nodes, seconds := float64(env.Plan.Nodes), countInterval.Seconds()
	writes := float64(idle.Writes-before.Writes) / seconds / nodes
	reads := float64(idle.Reads-before.Reads) / seconds / nodes
	orders := load.Summarize(results).OrdersSent
	perOrder := (float64(after.Writes-idle.Writes) - writes*nodes*seconds) / float64(orders)
	env.SetSummaryf("a node: %.2f writes/s, %.2f reads/s; an order: %.2f writes; at %d nodes: %.0f writes/s, %.0f reads/s without orders",
		writes, reads, perOrder, budgetNodes, writes*budgetNodes, reads*budgetNodes)
	var errs []error
	if got := writes * budgetNodes; got > maxWritesPerSecond {
		errs = append(errs, fmt.Errorf("%.0f writes/s at %d nodes, limit %d", got, budgetNodes, maxWritesPerSecond))
	}
	if got := reads * budgetNodes; got > maxReadsPerSecond {
		errs = append(errs, fmt.Errorf("%.0f reads/s at %d nodes, limit %d", got, budgetNodes, maxReadsPerSecond))
	}
	if perOrder > 2.5 {
		errs = append(errs, fmt.Errorf("%.2f writes per order, expected 2", perOrder))
	}
	return errors.Join(errs...)
}
