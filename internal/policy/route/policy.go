// Package route holds the policies that pick a replica for a request, one a
// file.
package route

import (
	"snipeford"
	"snipeford/internal/policy/family"
)

// Policy is one member of the family.
type Policy = family.Policy[snipeford.Router]

// Table lists the policies.
var Table = family.Table[snipeford.Router]{leastPolicy, fixedPolicy, movingPolicy}

// best returns the fitting replica with the lowest cost, or nil.
func best(w *snipeford.QueuedCall, replicas []*snipeford.Replica, cost func(*snipeford.Replica) float64) *snipeford.Replica {
	var found *snipeford.Replica
	var lowest float64
	for _, r := range replicas {
		if !r.Fits(w) {
			continue
		}
		if c := cost(r); found == nil || c < lowest {
			found, lowest = r, c
		}
	}
	return found
}
