package bench

import (
	"fmt"

	"snipeford/internal/experiment/placing"
)

// placementSeeds is the number of seeds with which each scenario is simulated.
const placementSeeds = 4

// PlacementTable compares the placement policies on the engine model by their
// share of credit on each scenario of a deployment. If short is set, it runs only
// the baseline and the last policy, which nodes use.
func PlacementTable(r *Report, d placing.Deployment, short bool) {
	scenarios := d.Scenarios()
	r.Title("%s, share of credit by placement policy, %d engines, %d seeds", d.Name, d.Engines, placementSeeds)
	head := []any{"policy"}
	for _, s := range scenarios {
		head = append(head, s.Name)
	}
	r.Head(head...)
	for i, p := range placing.Table {
		if short && i > 0 && i < len(placing.Table)-1 {
			continue
		}
		row := []any{p.Name}
		for _, s := range scenarios {
			share := placing.MeanCreditShare(s.Scenario, p.New(), placementSeeds)
			r.Add(share, d.Name, "Placement", p.Name, s.Name, "Share")
			row = append(row, fmt.Sprintf("%.3f", share))
		}
		r.Row(row...)
	}
}
