package placement

import (
	"math"
	"time"

	"snipeford"
)

// The prediction for an engine that is slower than its profile is corrected by the mean ratio
// of observed to predicted times until first events. Only paired samples count: those of
// requests without helpers on engines that had no other prefill until the first event. Their predicted
// time is that without the correction, so that the correction does not enter what it is
// computed from, and cannot amplify itself.
const (
	// speedTime is the time constant with which samples are forgotten.
	speedTime = 10 * time.Second
	// speedPrior is the number of samples with a ratio of one that are assumed before those
	// that are counted.
	speedPrior = 2
	// minSampleRatio and maxSampleRatio limit the weight of a single sample.
	minSampleRatio = 0.5
	maxSampleRatio = 3
	// minSlowRatio is the mean ratio up to which an engine counts as of normal speed.
	// Predictions err by half a pass.
	minSlowRatio = 1.2
	// maxSlowRatio limits the correction.
	maxSlowRatio = 2
)

// speed is the decaying mean of the ratios of an engine.
type speed struct {
	weight, sum float64
	updatedAt   snipeford.Instant
}

func (p *speed) decay(now snipeford.Instant) {
	factor := decayFactor(now.Sub(p.updatedAt), speedTime)
	p.weight *= factor
	p.sum *= factor
	p.updatedAt = now
}

// add records a paired sample.
func (p *speed) add(now snipeford.Instant, observed, predicted float64) {
	if predicted <= 0 {
		return
	}
	p.decay(now)
	p.weight++
	p.sum += math.Max(minSampleRatio, math.Min(observed/predicted, maxSampleRatio))
}

// slowdown returns the factor by which the predictions are multiplied: one, unless the
// engine is clearly slow.
func (p *speed) slowdown(now snipeford.Instant) float64 {
	if p.weight == 0 {
		return 1
	}
	p.decay(now)
	mean := (p.sum + speedPrior) / (p.weight + speedPrior)
	if mean < minSlowRatio {
		return 1
	}
	return math.Min(mean, maxSlowRatio)
}

// sampleOf returns the predicted time until the first event without the correction, if the
// request is placed on an engine without other prefill, or zero.
func (s *State) sampleOf(now snipeford.Instant, p snipeford.Placement, firstEvent float64) float64 {
	r := s.replica(p.Upstream)
	backlog, _ := r.prefillBacklog(now)
	if len(p.Helpers) > 0 || backlog > 0 || r.awaited() > 0 || len(r.helperJobs) > 0 || len(r.jobs)+r.untrackedRequests(now) >= s.profile.Slots {
		return 0
	}
	return (firstEvent - callerRoundTripMs) / r.speed.slowdown(now)
}

// spoilSamples drops the samples of the jobs that await their first events on the engines of
// a new job: its prefill delays them.
func (s *State) spoilSamples(added *job) {
	for _, j := range s.replica(added.placement.Upstream).jobs {
		if j != added {
			j.sample = 0
		}
	}
	for _, id := range added.placement.Helpers {
		for _, j := range s.replica(id).jobs {
			j.sample = 0
		}
	}
}

// sampleSpeed records the sample of a job whose first event has arrived.
func (s *State) sampleSpeed(now snipeford.Instant, j *job) {
	if j.sample > 0 {
		s.replica(j.placement.Upstream).speed.add(now, ms(now.Sub(j.start))-callerRoundTripMs, j.sample)
	}
}
