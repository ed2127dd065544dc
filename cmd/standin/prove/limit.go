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

const limitPromise = "limits hold across all nodes together"

var limitScenes = []Scene{
	{Name: "limit-six-nodes", Promise: limitPromise, Fault: "an organisation sends four times its rate through six nodes", Run: func(ctx context.Context, s *Stage) error { return limitHolds(ctx, s, func() {}) }},
	{Name: "limit-node-cut-off", Promise: limitPromise, Fault: "the same with one node cut off from table and peers", Change: func(p *rig.Plan) { p.Relays = true }, Run: func(ctx context.Context, s *Stage) error {
		return limitHolds(ctx, s, func() {
			s.TableRelays[2].Cut()
			s.PeerRelays[2].Cut()
		})
	}},
	{Name: "table-budget", Promise: "the table's budget: under 300 writes and 2,000 reads a second at 390 nodes", Fault: "a load with orders, counted", Run: tableBudget},
}

// limitedRate is what the limited organisation may send, in requests a second.
const limitedRate = 10

func limitedRules(s *Stage) string {
	return fmt.Sprintf("[Organisation]\nCareDesk = { KeySHA256 = \"%s\", TokensPerSecond = 10_000_000, RequestsPerSecond = %d, Concurrent = 100_000, LongestPrompt = 1_000_000 } # asked for by prove\n[Model]\n%s = { Timeout = \"60s\", MaxOutput = 2048 } # asked for by prove\n",
		keyHash, limitedRate, s.Plan.Model)
}

// keyHash is the SHA-256 of "example-key-CareDesk".
const keyHash = "2be6d4db94a26c74fc7def958fbc2263ef44399aa7a7dd6439ff38aa1f1ca908"

func limitHolds(ctx context.Context, s *Stage, cut func()) error {
	if _, err := s.API(0).Apply(ctx, &message.ApplyRequest{RulesToml: limitedRules(s), By: "prove", Wait: true}); err != nil {
		return fmt.Errorf("apply limits: %w", err)
	}
	s.pause(ctx, time.Second)
	cut()
	const length = 25 * time.Second
	mix := arrival.Mix{
		Seed: s.Seed, Rate: 4 * limitedRate, Duration: length, Organisations: []arrival.OrganisationShare{{Name: "CareDesk", Share: 1}},
		BandShares: [snipeford.BandCount]float64{1, 0, 0, 0},
	}
	s.Client.MaxResumes = 0
	results := load.Run(ctx, s.Client, arrival.Generate(mix), nil)
	admitted := 0
	for _, r := range results {
		if r.Complete {
			admitted++
		}
	}
	// The stated bound: the rate over the time, one burst of each node, and the
	// cut off node's even share on top.
	nodes := float64(s.Plan.Nodes)
	burst := max(float64(limit.MinRequestBurst), limitedRate*limit.BurstSeconds/nodes)
	bound := limitedRate*length.Seconds()*(1+1/nodes) + nodes*burst
	fair := limitedRate * length.Seconds()
	s.Notef("%d of %d admitted in %s; rate allows %.0f, stated bound %.0f", admitted, len(results), length, fair, bound)
	var faults []error
	if float64(admitted) > bound {
		faults = append(faults, fmt.Errorf("%d admitted, bound %.0f", admitted, bound))
	}
	if float64(admitted) < 0.7*fair {
		faults = append(faults, fmt.Errorf("%d admitted, the rate allows %.0f", admitted, fair))
	}
	return errors.Join(faults...)
}

// Sizes of the letter for the table's budget.
const (
	letterNodes   = 390
	writesAllowed = 300
	readsAllowed  = 2_000
	countedFor    = 10 * time.Second
)

// tableBudget counts an idle and a loaded stretch: what each node costs by
// itself, and what each order adds.
func tableBudget(ctx context.Context, s *Stage) error {
	before, err := s.TableCounts(ctx)
	if err != nil {
		return err
	}
	s.pause(ctx, countedFor)
	idle, err := s.TableCounts(ctx)
	if err != nil {
		return err
	}
	results := load.Run(ctx, s.Client, arrival.Generate(s.mix(40, countedFor, 0.5)), nil)
	after, err := s.TableCounts(ctx)
	if err != nil {
		return err
	}
	nodes, seconds := float64(s.Plan.Nodes), countedFor.Seconds()
	writes := float64(idle.Writes-before.Writes) / seconds / nodes
	reads := float64(idle.Reads-before.Reads) / seconds / nodes
	orders := load.Summarize(results).OrdersSent
	perOrder := (float64(after.Writes-idle.Writes) - writes*nodes*seconds) / float64(orders)
	s.Notef("a node: %.2f writes/s, %.2f reads/s; an order: %.2f writes; at %d nodes: %.0f writes/s, %.0f reads/s without orders",
		writes, reads, perOrder, letterNodes, writes*letterNodes, reads*letterNodes)
	var faults []error
	if got := writes * letterNodes; got > writesAllowed {
		faults = append(faults, fmt.Errorf("%.0f writes/s at %d nodes, allowed %d", got, letterNodes, writesAllowed))
	}
	if got := reads * letterNodes; got > readsAllowed {
		faults = append(faults, fmt.Errorf("%.0f reads/s at %d nodes, allowed %d", got, letterNodes, readsAllowed))
	}
	if perOrder > 2.5 {
		faults = append(faults, fmt.Errorf("%.2f writes an order, designed for 2", perOrder))
	}
	return errors.Join(faults...)
}
