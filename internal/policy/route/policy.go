// Package route holds the policies that pick a replica for a request, one a
// file. A policy is a name, a usage line and a constructor.
package route

import (
	"fmt"
	"strings"

	"snipeford"
)

// Policy is one member of the family.
type Policy struct {
	Name  string
	Usage string
	New   func() snipeford.Router
}

// Table lists the policies.
var Table = []Policy{leastPolicy, fixedPolicy, movingPolicy}

// Names returns the policies' names, for messages.
func Names() string {
	var out []string
	for _, p := range Table {
		out = append(out, p.Name)
	}
	return strings.Join(out, ", ")
}

// New returns a router of the named policy.
func New(name string) (snipeford.Router, error) {
	for _, p := range Table {
		if p.Name == name {
			return p.New(), nil
		}
	}
	return nil, fmt.Errorf("route policy %q is not one of the table", name)
}

// best returns the fitting replica with the lowest cost, or nil.
func best(w *snipeford.Waiting, replicas []*snipeford.Replica, cost func(*snipeford.Replica) float64) *snipeford.Replica {
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
