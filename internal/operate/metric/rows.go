package metric

import (
	"github.com/rcrowley/go-metrics"

	"snipeford"
)

// Rows counts what a node does with the rows that it reads. The zero value registers its
// counters in the default registry.
type Rows struct{ Registry metrics.Registry }

func (r Rows) count(c snipeford.Collection, what string) {
	metrics.GetOrRegisterCounter("Rows."+string(c)+"."+what, r.Registry).Inc(1)
}

// SnapshotRead counts a snapshot of a collection that was read from the store.
func (r Rows) SnapshotRead(c snipeford.Collection) { r.count(c, "Snapshots") }

// Ignored counts a response of the store or of a feeder that does not continue the rows
// that the node has: its rows are older, or rows in between are missing.
func (r Rows) Ignored(c snipeford.Collection) { r.count(c, "Ignored") }

// Undecodable counts a row that cannot be decoded.
func (r Rows) Undecodable(c snipeford.Collection) { r.count(c, "Undecodable") }

// Unchanged counts rows that were written again as they were and are not applied.
func (r Rows) Unchanged(c snipeford.Collection, rows int) {
	metrics.GetOrRegisterCounter("Rows."+string(c)+".Unchanged", r.Registry).Inc(int64(rows))
}

// Called counts a call to the store by its outcome: Answered, HistoryGone, Interrupted or
// Failed.
func (r Rows) Called(c snipeford.Collection, outcome string) { r.count(c, "Calls."+outcome) }

// Sent counts the bytes of rows that are sent to other nodes, as deltas or as whole rows.
func (r Rows) Sent(c snipeford.Collection, asDelta bool, bytes int) {
	form := map[bool]string{true: "DeltaBytes", false: "WholeBytes"}[asDelta]
	metrics.GetOrRegisterCounter("Rows."+string(c)+".Sent."+form, r.Registry).Inc(int64(bytes))
}

// BaseMissing counts a delta for a value that the node does not have.
func (r Rows) BaseMissing(c snipeford.Collection) { r.count(c, "BaseMissing") }

// Diverged counts a collection whose rows differed from those of the feeder.
func (r Rows) Diverged(c snipeford.Collection) { r.count(c, "Diverged") }

// EraBegan counts a return of the store from a copy.
func (r Rows) EraBegan() { metrics.GetOrRegisterCounter("Store.Eras", r.Registry).Inc(1) }

// RoutingRefused counts a routing that did not replace the one in force.
func (r Rows) RoutingRefused() { r.count(snipeford.OperatorRows, "RoutingRefused") }

// Current sets the gauges of the routing in force: its version, the age of the node's
// knowledge in milliseconds, or -1 before the first confirmation, and the era and the
// version of the store up to which it was read.
func (r Rows) Current(routing snipeford.Version, ageMilliseconds int64, era snipeford.Era, version uint64) {
	for name, value := range map[string]int64{
		"Routing.Version": int64(routing), "Routing.AgeMilliseconds": ageMilliseconds, "Store.Era": int64(era), "Store.Version": int64(version),
	} {
		metrics.GetOrRegisterGauge(name, r.Registry).Update(value)
	}
}
