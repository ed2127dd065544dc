package placement

import (
	"math"
	"time"

	"snipeford"
)

const (
	// placementRateTime is the time constant of the rates of queueForecast.
	placementRateTime = time.Second
	// minLateShare is the least share of the engines' capacity that late requests are
	// assumed to get, so that some keep waiting and the forecast follows the load.
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

// queueEmpty records that no request is queued: the next ones may get all placements,
// or all that the engines have the capacity for, per second.
func (f *queueForecast) queueEmpty(now snipeford.Instant, capacity float64) {
	f.decay(now)
	f.late = math.Max(f.all, capacity)
}

// perSecond returns how many late short prompts are placed in a second.
func (f *queueForecast) perSecond(now snipeford.Instant, capacity float64) float64 {
	f.decay(now)
	return math.Max(f.late, minLateShare*capacity)
}

// decayFactor returns what is left of an exponentially decaying sum after a time.
func decayFactor(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(timeConstant))
}

func (f *queueForecast) decay(now snipeford.Instant) {
	if f.updatedAt > 0 {
		factor := decayFactor(now.Sub(f.updatedAt), placementRateTime)
		f.all *= factor
		f.late *= factor
	}
	f.updatedAt = now
}
