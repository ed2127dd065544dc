package placement

import (
	"math"
	"time"

	"snipeford"
)

const (
	// demandRateTime is the time constant of the rates of arrivals and ends. It is a fraction
	// of the shortest swings of the load, 3 s, and spans about ten arrivals in calm traffic.
	demandRateTime = 500 * time.Millisecond
	// demandHorizon is how far ahead the streams are expected: about the time until a request
	// that is placed now has its first event, beside the prefill that the split puts there.
	demandHorizon = 500 * time.Millisecond
)

// demand follows the arrivals and the ends of gap-sensitive requests, per second, as
// exponentially decaying averages at updatedAt.
type demand struct {
	arrivals, ends float64
	updatedAt      snipeford.Instant
}

func (d *demand) decay(now snipeford.Instant) {
	if d.updatedAt > 0 {
		factor := decayFactor(now.Sub(d.updatedAt), demandRateTime)
		d.arrivals *= factor
		d.ends *= factor
	}
	d.updatedAt = now
}

func (d *demand) arrived(now snipeford.Instant, req snipeford.PlacementRequest) {
	if gapSensitive(req) {
		d.decay(now)
		d.arrivals += 1 / demandRateTime.Seconds()
	}
}

func (d *demand) ended(now snipeford.Instant, req snipeford.PlacementRequest) {
	if gapSensitive(req) {
		d.decay(now)
		d.ends += 1 / demandRateTime.Seconds()
	}
}

// expectedStreams returns how many gap-sensitive streams there will be soon: those that run,
// those that are queued, and by how much more arrive than end.
func (s *State) expectedStreams(now snipeford.Instant, streams int) float64 {
	s.demand.decay(now)
	n := float64(streams)
	for _, q := range s.queued {
		if gapSensitive(q.req) {
			n++
		}
	}
	return n + math.Max(0, s.demand.arrivals-s.demand.ends)*demandHorizon.Seconds()
}
