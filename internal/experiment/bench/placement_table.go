package bench

import (
	"fmt"

	"snipeford/internal/experiment/placing"
)

// placementSeeds is the number of seeds with which each load is simulated.
const placementSeeds = 4

// PlacementTable compares the placement policies on the engine model by their
// share of credit on each load of a site. If short is set, it runs only the
// baseline and the last policy, which nodes use.
func PlacementTable(r *Report, site placing.Deployment, short bool) {
	loads := site.Scenarios()
	r.Title("%s, share of credit by placement policy, %d engines, %d seeds", site.Name, site.Engines, placementSeeds)
	head := []any{"policy"}
	for _, l := range loads {
		head = append(head, l.Name)
	}
	r.Head(head...)
	for i, p := range placing.Table {
		if short && i > 0 && i < len(placing.Table)-1 {
			continue
		}
		row := []any{p.Name}
		for _, l := range loads {
			share := placing.MeanCreditShare(l.Scenario, p.New(), placementSeeds)
			r.Add(share, site.Name, "Placement", p.Name, l.Name, "Share")
			row = append(row, fmt.Sprintf("%.3f", share))
		}
		r.Row(row...)
	}
}
