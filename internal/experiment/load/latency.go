package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of a Histogram.
const (
	maxRecordable     = 10 * time.Minute
	significantDigits = 3
)

// Histogram records durations with a precision of three digits.
type Histogram struct{ h *hdrhistogram.Histogram }

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{hdrhistogram.New(1, maxRecordable.Microseconds(), significantDigits)}
}

// Add records a duration. Durations above ten minutes count as ten minutes.
func (l *Histogram) Add(d time.Duration) {
	// The value is within the range of the histogram, so this never fails.
	_ = l.h.RecordValue(min(max(d, 0), maxRecordable).Microseconds())
}

// Count returns the number of recorded durations.
func (l *Histogram) Count() int64 { return l.h.TotalCount() }

// Percentile returns a percentile of the recorded durations, for example 99.
func (l *Histogram) Percentile(percent float64) time.Duration {
	return time.Duration(l.h.ValueAtQuantile(percent)) * time.Microsecond
}
