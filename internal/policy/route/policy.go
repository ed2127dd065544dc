// Package route implements the policies that pick a replica for a request.
package route

import (
	"snipeford"
	"snipeford/internal/policy/family"
)

// Policy is a routing policy.
type Policy = family.Policy[snipeford.Router]

// Table lists the policies.
var Table = family.Table[snipeford.Router]{leastOutstandingPolicy, fixedSplitPolicy, movingSplitPolicy}

// cheapest returns the replica with the lowest cost that fits the request, or nil.
func cheapest(c *snipeford.QueuedCall, replicas []*snipeford.Replica, cost func(*snipeford.Replica) float64) *snipeford.Replica {
	var found *snipeford.Replica
	var lowest float64
	for _, r := range replicas {
		if !r.Fits(c) {
			continue
		}
		if value := cost(r); found == nil || value < lowest {
			found, lowest = r, value
		}
	}
	return found
}
