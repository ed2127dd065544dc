// Package metric names the counters and histograms of a node. Names are in
// Pascal case and end in their unit.
package metric

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"snipeford"
)

// sampleSize is how many values a histogram keeps.
const sampleSize = 1_028

// Requests counts finished requests.
type Requests struct {
	registry metrics.Registry
	done     metrics.Counter
	first    [snipeford.BandCount]metrics.Histogram
}

// New returns the request metrics of a registry.
func New(registry metrics.Registry) *Requests {
	r := &Requests{registry: registry, done: metrics.GetOrRegisterCounter("Requests.Done", registry)}
	for band := snipeford.BandShort; band < snipeford.BandCount; band++ {
		name := "FirstToken." + band.String() + ".Milliseconds"
		r.first[band] = metrics.GetOrRegisterHistogram(name, registry, metrics.NewExpDecaySample(sampleSize, 0.015))
	}
	return r
}

// Done counts a whole answer. A prompt of zero tokens is a plain service's call.
func (r *Requests) Done(prompt snipeford.Tokens, firstToken time.Duration) {
	r.done.Inc(1)
	if prompt > 0 {
		r.first[snipeford.BandOf(prompt)].Update(firstToken.Milliseconds())
	}
}

// Refused counts a refusal by its cause.
func (r *Requests) Refused(cause snipeford.Cause) {
	metrics.GetOrRegisterCounter("Requests.Refused."+string(cause), r.registry).Inc(1)
}
