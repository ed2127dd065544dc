// Package metric defines the counters and histograms of a node. Their names are in
// Pascal case and end with the unit.
package metric

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"snipeford"
)

// sampleSize is the number of values that a histogram samples.
const sampleSize = 1_028

// Requests holds the metrics of finished requests.
type Requests struct {
	registry   metrics.Registry
	done       metrics.Counter
	firstToken [snipeford.BandCount]metrics.Histogram
}

// New returns request metrics that are registered in registry.
func New(registry metrics.Registry) *Requests {
	r := &Requests{registry: registry, done: metrics.GetOrRegisterCounter("Requests.Done", registry)}
	for band := snipeford.BandShort; band < snipeford.BandCount; band++ {
		name := "FirstToken." + band.String() + ".Milliseconds"
		r.firstToken[band] = metrics.GetOrRegisterHistogram(name, registry, metrics.NewExpDecaySample(sampleSize, 0.015))
	}
	return r
}

// Done records a complete response. The prompt is zero for requests to plain
// services, which have no first token.
func (r *Requests) Done(prompt snipeford.Tokens, firstToken time.Duration) {
	r.done.Inc(1)
	if prompt > 0 {
		r.firstToken[snipeford.BandOf(prompt)].Update(firstToken.Milliseconds())
	}
}

// Refused counts a refusal by its cause.
func (r *Requests) Refused(cause snipeford.Cause) {
	metrics.GetOrRegisterCounter("Requests.Refused."+string(cause), r.registry).Inc(1)
}
