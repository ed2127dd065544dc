package placement

import (
	"math"
	"time"

	"snipeford"
)

const (
	// placementRateTime is the time constant of the rates of queueForecast.
	placementRateTime = time.Second
	// minLateShare is the least share of the placements that late requests are assumed
	// to get, so that some of them keep waiting and the forecast follows the load.
	minLateShare = 0.05
)

// queueForecast predicts how many late short prompts the queue places. All short
// prompts are placed at the rate all, and those that were queued and late at the rate
// late, per second, as exponentially decaying averages at updatedAt.
type queueForecast struct {
	all, late float64
	updatedAt snipeford.Instant
}

// record counts a placed short prompt.
func (f *queueForecast) record(now snipeford.Instant, late bool) {
	f.decay(now)
	f.all += 1 / placementRateTime.Seconds()
	if late {
		f.late += 1 / placementRateTime.Seconds()
	}
}

// queueEmpty records that no request is queued: the next ones may get all placements.
func (f *queueForecast) queueEmpty(now snipeford.Instant) {
	f.decay(now)
	f.late = f.all
}

// perSecond returns how many late short prompts are placed in a second.
func (f *queueForecast) perSecond(now snipeford.Instant) float64 {
	f.decay(now)
	return math.Max(f.late, minLateShare*f.all)
}

func (f *queueForecast) decay(now snipeford.Instant) {
	if f.updatedAt > 0 {
		factor := math.Exp(-float64(now.Sub(f.updatedAt)) / float64(placementRateTime))
		f.all *= factor
		f.late *= factor
	}
	f.updatedAt = now
}
