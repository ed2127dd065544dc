package metric

import (
	"github.com/rcrowley/go-metrics"

	"snipeford"
	"snipeford/internal/control/directory"
)

// RoutingApplied records the cost of a version of the routing that has come into force.
func (r Rows) RoutingApplied(c directory.RoutingCost) {
	for name, value := range map[string]int64{
		"Routing.Apply.Microseconds": c.Took.Microseconds(), "Routing.Busy.Microseconds": c.Busy.Microseconds(),
		"Routing.LongestSlice.Microseconds": c.LongestSlice.Microseconds(),
	} {
		metrics.GetOrRegisterHistogram(name, r.Registry, metrics.NewExpDecaySample(sampleSize, 0.015)).Update(value)
	}
	for name, value := range map[string]int{
		"Routing.Versions": 1, "Routing.Versions.Skipped": c.Skipped, "Routing.Entries.Reused": c.Reused, "Routing.Entries.Decoded": c.Decoded,
		"Routing.Bytes": c.RowBytes, "Routing.Bytes.Decoded": c.DecodedBytes,
	} {
		metrics.GetOrRegisterCounter(name, r.Registry).Inc(int64(value))
	}
}

// Dropped counts a batch of a feeder that was dropped since too many waited.
func (r Rows) Dropped(c snipeford.Collection) { r.count(c, "Dropped") }
