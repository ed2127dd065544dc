package reducer

import (
	"math"
	"time"

	"snipeford"
)

const (
	// usageHalfLife is the time in which an organisation's usage decays by
	// half.
	usageHalfLife = 10 * time.Second
	// lowUsageShare is the share of the mean usage below which an organisation
	// has low usage.
	lowUsageShare = 0.5
	// minCountedUsage is the usage, in tokens, below which an organisation is
	// not counted in the mean.
	minCountedUsage = 1_000
)

// usage is the work that an organisation recently offered, with exponential
// decay.
type usage struct {
	tokens    float64
	updatedAt snipeford.Instant
}

// decayed returns the usage as of now.
func (u *usage) decayed(now snipeford.Instant) float64 {
	halfLives := float64(now.Sub(u.updatedAt)) / float64(usageHalfLife)
	return u.tokens * math.Exp2(-halfLives)
}

// recordUsage adds a call to its organisation's usage and reports whether the
// organisation has low usage: less than half of the mean of all organisations
// that recently offered work. Calls of such organisations also go first on the
// engines.
func (d *dispatcher) recordUsage(now snipeford.Instant, q *snipeford.QueuedCall) bool {
	own := d.usageOf(q.Organisation)
	own.tokens = own.decayed(now) + float64(q.Work())
	own.updatedAt = now
	var total float64
	counted := 0
	for _, u := range d.usages {
		if tokens := u.decayed(now); tokens >= minCountedUsage {
			total += tokens
			counted++
		}
	}
	return counted > 1 && own.tokens < lowUsageShare*total/float64(counted)
}

// usageOf returns the usage of an organisation, which is zero at first.
func (d *dispatcher) usageOf(o snipeford.Organisation) *usage {
	u, ok := d.usage[o]
	if !ok {
		u = &usage{}
		d.usage[o] = u
		d.usages = append(d.usages, u)
	}
	return u
}
