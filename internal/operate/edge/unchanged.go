package edge

import (
	"bytes"

	"github.com/cespare/xxhash/v2"

	"snipeford"
	"snipeford/internal/fleet/grant"
)

// splitUnchanged splits the changes of a batch into those to apply and those that wrote a
// row of an upstream or a node again as it was, without an effect on what the node knows.
// Upstreams write their rows about once a second, and each applied batch costs a new view
// and an event to the control goroutine. After an outage of the store all changes are
// applied, since they tell which rows have not expired. The caller holds mu.
func (f *follower) splitUnchanged(c snipeford.Collection, rows *rowSet, b snipeford.Batch, keepMissingUntil snipeford.Instant) (changed, unchanged []snipeford.Change) {
	if b.Snapshot || c == snipeford.OperatorRows || keepMissingUntil > f.timer.Now() || f.keepMissing() > 0 {
		return b.Changes, nil
	}
	// A row may occur twice in a batch, and the known value is that before the batch.
	seen := map[string]bool{}
	for _, change := range b.Changes {
		value, known := rows.values[change.Key]
		if known && !change.Removed && !seen[change.Key] && bytes.Equal(value, change.Value) && f.state.Settled(c, change.Key) {
			unchanged = append(unchanged, change)
			continue
		}
		seen[change.Key] = true
		changed = append(changed, change)
	}
	f.counts.Unchanged(c, len(unchanged))
	return changed, unchanged
}

// rowSum is the contribution of a row to rowSet.sum.
func rowSum(key string, value []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(value)
	return d.Sum64()
}

// set replaces the value of a row, and remove deletes it.
func (r *rowSet) set(key string, value []byte) {
	r.remove(key)
	r.values[key] = value
	r.sum ^= rowSum(key, value)
}

func (r *rowSet) remove(key string) {
	if old, ok := r.values[key]; ok {
		r.sum ^= rowSum(key, old)
		delete(r.values, key)
	}
}

// compareDigest compares the rows with those that a feeder had at a version, which it has
// not sent since they were written again as they were. Between two reads of the feeder, a
// row may have been removed and written again, and a node that read the store itself then
// still lacks it. It reports whether the rows are the same as far as is known; otherwise
// they have to be sent as a whole. The caller holds mu.
func (f *follower) compareDigest(c snipeford.Collection, rows *rowSet, d grant.Digest) bool {
	switch {
	case d.Version < rows.version:
		// The node has newer rows than the feeder.
		return true
	case d.Sum == rows.sum:
		rows.version = d.Version
		f.setForwarded()
		return true
	}
	f.log.Info("rows differ from those of the feeder", "Collection", c, "Known", rows.version, "Feeder", d.Version)
	f.counts.Diverged(c)
	rows.loaded, f.diverged = false, true
	f.setForwarded()
	return false
}

// hasDiverged reports whether rows differed from those of the feeder since the last call.
func (f *follower) hasDiverged() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	diverged := f.diverged
	f.diverged = false
	return diverged
}

// wholeRows returns all rows of a collection to send to a subscriber. They are compressed
// once for all subscribers that begin between two changes: after the start of a feeder these
// are all nodes of its domain. The caller holds mu.
func (f *follower) wholeRows(c snipeford.Collection, r *rowSet) grant.Rows {
	at := snipeford.Revision{Era: f.era, Version: r.changedAt}
	if !r.hasWhole || r.wholeAt != at {
		b := r.snapshot()
		b.Era = f.era
		r.whole, r.wholeAt, r.hasWhole = f.newRows(c, b, 0), at, true
	}
	whole := r.whole
	whole.KeepMissing = f.keepMissing()
	return f.completeRows(whole, nil)
}
