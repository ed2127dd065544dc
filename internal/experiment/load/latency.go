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

// Histogram collects times to three digits.
type Histogram struct{ h *hdrhistogram.Histogram }

// NewHistogram returns an empty collection.
func NewHistogram() *Histogram {
	return &Histogram{hdrhistogram.New(1, longestLatency.Microseconds(), digits)}
}

// Add takes one time in; times beyond ten minutes count as ten minutes.
func (l *Histogram) Add(d time.Duration) {
	// The value lies between the histogram's ends, so that this never fails.
	_ = l.h.RecordValue(min(max(d, 0), longestLatency).Microseconds())
}

// Count returns the number of times.
func (l *Histogram) Count() int64 { return l.h.TotalCount() }

// Percentile returns a percentile.
func (l *Histogram) Percentile(percent float64) time.Duration {
	return time.Duration(l.h.ValueAtQuantile(percent)) * time.Microsecond
}
