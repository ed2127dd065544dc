package reducer

import (
	"math"
	"time"

	"snipeford"
)

const (
	// usageHalfLife is the time in which an organisation's usage is halved.
	usageHalfLife = 10 * time.Second
	// lightShare is the part of an even share of the usage below which an
	// organisation counts as light.
	lightShare = 0.5
	// leastUsage is the usage, in tokens, below which an organisation is not
	// counted among those that share.
	leastUsage = 1_000
)

// usage is the work that an organisation offered lately.
type usage struct {
	tokens float64
	at     snipeford.Instant
}

// decayed returns the usage as of now.
func (u *usage) decayed(now snipeford.Instant) float64 {
	halves := float64(now.Sub(u.at)) / float64(usageHalfLife)
	return u.tokens * math.Exp2(-halves)
}

// favoured counts a request into its organisation's usage and reports whether
// the organisation is light: below half of an even share of all that was
// offered lately. Favoured requests go before those of heavy organisations at
// the engines, too.
func (d *dispatcher) favoured(now snipeford.Instant, w *snipeford.QueuedCall) bool {
	own, ok := d.usage[w.Organisation]
	if !ok {
		own = &usage{}
		d.usage[w.Organisation] = own
	}
	own.tokens = own.decayed(now) + float64(w.Work())
	own.at = now
	var all float64
	sharing := 0
	for _, u := range d.usage {
		if tokens := u.decayed(now); tokens >= leastUsage {
			all += tokens
			sharing++
		}
	}
	return sharing > 1 && own.tokens < lightShare*all/float64(sharing)
}
