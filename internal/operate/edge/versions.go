package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"snipeford"
	"snipeford/internal/control/directory"
	"snipeford/internal/control/timeslice"
	"snipeford/internal/fleet/grant"
)

const (
	// applyFraction is the part of the configuration bound in which a version should be
	// decoded and indexed at the pace of the VM's share. The rows of a feeder are up to
	// operatorWatchFraction of the bound old when its watch ends, and are used up to
	// maxFeedStalenessFraction; the version takes half of the time between.
	applyFraction = (maxFeedStalenessFraction - operatorWatchFraction) / 2
	// maxPendingRows limits the batches of operators' rows that wait. Feeders send one about
	// every 0.2 s during a series of changes, and a paced version takes 0.2 to 0.3 s.
	maxPendingRows = 8
	// maxPendingConfirmations limits the confirmations that wait: one for each batch that
	// waits or is being applied.
	maxPendingConfirmations = 2 * maxPendingRows
)

// prepareRouting decodes and indexes the routing of a batch, if it has one. The caller does
// not hold mu, which other calls need meanwhile. The first version has no pace, since no
// request is served without it.
func (f *follower) prepareRouting(c snipeford.Collection, b snipeford.Batch) []*directory.PreparedRouting {
	if c != snipeford.OperatorRows || len(b.Changes) == 0 {
		return nil
	}
	// A node that stops does not pause.
	ctx := f.background
	if ctx == nil {
		ctx = context.Background()
	}
	slicer := &timeslice.Slicer{Share: f.processorShare, Now: f.timer.Now, Sleep: func(d time.Duration) { f.timer.Sleep(ctx, d) }}
	if f.current().Plan != nil {
		slicer.Within = time.Duration(applyFraction * float64(f.configurationBound))
	}
	return f.state.PrepareRouting(b, f.decoder, slicer)
}

// usePrepared sets the routings that were prepared for the batch that is applied next, until
// the returned function is called. The caller holds mu.
func (f *follower) usePrepared(list []*directory.PreparedRouting) func() {
	f.prepared = list
	return func() { f.prepared = nil }
}

// costFields returns the cost of a version as fields of a log line.
func costFields(c directory.RoutingCost) []any {
	return []any{
		"ApplyMs", c.Took.Milliseconds(), "BusyMicroseconds", c.Busy.Microseconds(), "LongestSliceMicroseconds", c.LongestSlice.Microseconds(),
		"Bytes", c.RowBytes, "DecodedBytes", c.DecodedBytes, "Reused", c.Reused, "Decoded", c.Decoded, "Skipped", c.Skipped,
	}
}

// pendingRows holds operators' rows that a link has received, until they are applied. The
// link reads on meanwhile: it also carries placements.
type pendingRows struct {
	mu   sync.Mutex
	rows []grant.Rows
	// applying holds those that are being applied.
	applying []grant.Rows
	// added receives a value after rows were added.
	added chan struct{}
	// confirmations holds what feeders have confirmed of rows that wait, in order.
	confirmations []confirmation
}

// confirmation tells that the rows up to a revision are complete until an instant.
type confirmation struct {
	revision snipeford.Revision
	at       snipeford.Instant
}

// confirmLater keeps a confirmation until the rows are applied. While versions arrive faster
// than they are applied, newer rows wait at each pong, and none would confirm.
func (p *pendingRows) confirmLater(c confirmation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.confirmations); n > 0 && p.confirmations[n-1].revision == c.revision {
		p.confirmations[n-1].at = max(p.confirmations[n-1].at, c.at)
		return
	}
	if len(p.confirmations) >= maxPendingConfirmations {
		p.confirmations = slices.Delete(p.confirmations, 0, 1)
	}
	p.confirmations = append(p.confirmations, c)
}

// confirmed removes the confirmations of rows up to a revision, and returns the latest
// instant of those of its era, or zero.
func (p *pendingRows) confirmed(known snipeford.Revision) snipeford.Instant {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := snipeford.Instant(0)
	p.confirmations = slices.DeleteFunc(p.confirmations, func(c confirmation) bool {
		if c.revision.Compare(known) > 0 {
			return false
		}
		if c.revision.Era == known.Era {
			at = max(at, c.at)
		}
		return true
	})
	return at
}

// confirmApplied records what feeders have confirmed of the rows that are now applied.
func (f *follower) confirmApplied() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if rows := f.rowsOf(snipeford.OperatorRows); rows.loaded {
		if at := f.pending.confirmed(snipeford.Revision{Era: f.era, Version: rows.version}); at > 0 {
			f.advance(at)
		}
	}
}

func (p *pendingRows) signal() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.added == nil {
		p.added = make(chan struct{}, 1)
	}
	return p.added
}

// add adds rows, and returns false if too many wait.
func (p *pendingRows) add(r grant.Rows) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.rows) >= maxPendingRows {
		return false
	}
	p.rows = append(p.rows, r)
	return true
}

// take returns the rows that wait, which are then being applied.
func (p *pendingRows) take() []grant.Rows {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applying, p.rows = mergeRows(p.rows), nil
	return p.applying
}

// has reports whether rows up to a revision wait or are being applied.
func (p *pendingRows) has(want snipeford.Revision) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range [][]grant.Rows{p.applying, p.rows} {
		for _, r := range list {
			if r.Batch.Era == want.Era && r.Batch.Version >= want.Version {
				return true
			}
		}
	}
	return false
}

// value returns the value of a row in the rows that wait or are being applied, and false if
// they do not have it.
func (p *pendingRows) value(key string) ([]byte, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range [][]grant.Rows{p.rows, p.applying} {
		for _, r := range slices.Backward(list) {
			for _, change := range slices.Backward(r.Batch.Changes) {
				if change.Key == key {
					return change.Value, true
				}
			}
		}
	}
	return nil, false
}

// receivedValue returns the value of a row as it was received last, also if that has not
// been applied yet: the next delta is one to this value.
func (f *follower) receivedValue(c snipeford.Collection, key string) []byte {
	if c == snipeford.OperatorRows {
		if value, ok := f.pending.value(key); ok {
			return value
		}
	}
	return f.value(c, key)
}

// mergeRows merges batches of changes of which each continues the one before, so that of
// several versions of the routing only the highest one is decoded.
func mergeRows(list []grant.Rows) []grant.Rows {
	var out []grant.Rows
	for _, r := range list {
		if len(out) > 0 && continues(out[len(out)-1], r) {
			last := &out[len(out)-1]
			merged := append([]snipeford.Change(nil), last.Batch.Changes...)
			r.Batch.Changes, r.Batch.After = append(merged, r.Batch.Changes...), last.Batch.After
			*last = r
			continue
		}
		out = append(out, r)
	}
	return out
}

// continues reports whether the changes of a batch follow those of another one.
func continues(a, b grant.Rows) bool {
	return !a.Batch.Snapshot && !b.Batch.Snapshot && a.Feeder == b.Feeder && a.Batch.Era == b.Batch.Era &&
		b.Batch.After <= a.Batch.Version && a.Batch.Version <= b.Batch.Version
}

// receivePeerRows applies rows of a feeder, operators' rows in another goroutine. If too
// many of these wait, it drops the rows: those that follow are then ignored, and the node
// reads the store.
func (f *follower) receivePeerRows(r grant.Rows) {
	if r.Collection != snipeford.OperatorRows {
		f.applyPeerRows(r)
		return
	}
	if !f.pending.add(r) {
		f.counts.Dropped(r.Collection)
		return
	}
	select {
	case f.pending.signal() <- struct{}{}:
	default:
		// A signal that has not been received yet covers these rows.
	}
}

// applyPending applies the rows that wait until ctx ends.
func (f *follower) applyPending(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.pending.signal():
		}
		for _, r := range f.pending.take() {
			f.applyPeerRows(r)
			f.confirmApplied()
		}
		f.pending.applied()
	}
}

func (p *pendingRows) applied() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applying = nil
}

// waits reports whether the rows of a collection up to a revision have been received and
// are not applied yet.
func (f *follower) waits(c snipeford.Collection, want snipeford.Revision) bool {
	return c == snipeford.OperatorRows && f.pending.has(want)
}
