package metric

import (
	"slices"
	"sync"

	"github.com/rcrowley/go-metrics"

	"snipeford"
)

const (
	// maxOrganisations limits the organisations with counters of their own. A node of the
	// largest deployments sees up to 24 of them.
	maxOrganisations = 64
	// otherOrganisations names the counters of all others.
	otherOrganisations = "Others"
)

// Contention counts the requests that competed with others, by organisation. The zero value
// registers its counters in the default registry.
type Contention struct {
	Registry metrics.Registry

	mu    sync.Mutex
	known []snipeford.Organisation
}

// Count counts a request that was placed after a wait, or refused.
func (c *Contention) Count(org snipeford.Organisation, refused bool) {
	what := ".Waited"
	if refused {
		what = ".Refused"
	}
	metrics.GetOrRegisterCounter("Organisations."+c.name(org)+what, c.Registry).Inc(1)
}

func (c *Contention) name(org snipeford.Organisation) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case org == "":
		return "Anonymous"
	case slices.Contains(c.known, org):
	case len(c.known) < maxOrganisations:
		c.known = append(c.known, org)
	default:
		return otherOrganisations
	}
	return string(org)
}
