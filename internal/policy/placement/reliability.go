package placement

import (
	"time"

	"snipeford"
)

const (
	// reliabilityTime is the time constant with which an engine's ended requests are
	// forgotten.
	reliabilityTime = 5 * time.Second
	// priorEnds is the number of requests without a failure that an engine is assumed
	// to have ended before those that are counted.
	priorEnds = 2
)

// reliability estimates the share of an engine's requests that fail, from
// exponentially decaying counts. An engine that fails some of its requests looks
// healthy between two failures.
type reliability struct {
	ends, failures float64
	updatedAt      snipeford.Instant
}

// record counts a request that ended.
func (r *reliability) record(now snipeford.Instant, failed bool) {
	r.decay(now)
	r.ends++
	if failed {
		r.failures++
	}
}

// failureShare returns the expected share of failures.
func (r *reliability) failureShare(now snipeford.Instant) float64 {
	r.decay(now)
	return r.failures / (r.ends + priorEnds)
}

func (r *reliability) decay(now snipeford.Instant) {
	factor := decayFactor(now.Sub(r.updatedAt), reliabilityTime)
	r.ends *= factor
	r.failures *= factor
	r.updatedAt = now
}
