package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Ends and precision of a Latency.
const (
	longestLatency = 10 * time.Minute
	digits         = 3
)

// Latency collects times to three digits.
type Latency struct{ h *hdrhistogram.Histogram }

// NewLatency returns an empty collection.
func NewLatency() *Latency {
	return &Latency{hdrhistogram.New(1, longestLatency.Microseconds(), digits)}
}

// Add takes one time in; times beyond ten minutes count as ten minutes.
func (l *Latency) Add(d time.Duration) {
	// The value lies between the histogram's ends, so that this never fails.
	_ = l.h.RecordValue(min(max(d, 0), longestLatency).Microseconds())
}

// Count returns the number of times.
func (l *Latency) Count() int64 { return l.h.TotalCount() }

// At returns a percentile.
func (l *Latency) At(percent float64) time.Duration {
	return time.Duration(l.h.ValueAtQuantile(percent)) * time.Microsecond
}
