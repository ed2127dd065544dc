package bench

import (
	"fmt"

	"snipeford/internal/experiment/placing"
)

// placementSeeds is how many draws of a load each policy of the table plays.
const placementSeeds = 4

// PlacementTable compares the placement policies on the model of the users'
// engines: the share of credit on each of a site's loads. Short plays the last
// policy, which nodes run, and the baseline.
func PlacementTable(r *Report, site placing.Site, short bool) {
	loads := site.Loads()
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
			share := placing.MeanCreditShare(l.Load, p.New(), placementSeeds)
			r.Add(share, site.Name, "Placement", p.Name, l.Name, "Share")
			row = append(row, fmt.Sprintf("%.3f", share))
		}
		r.Row(row...)
	}
}
