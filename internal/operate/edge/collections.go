package edge

import (
	"errors"
	"time"

	"snipeford"
	"snipeford/internal/control/directory"
	"snipeford/internal/control/freshness"
	"snipeford/internal/fleet/grant"
)

// rowSet holds the rows of one collection at a revision.
type rowSet struct {
	// version is the version, in the follower's era, up to which the rows were read. It
	// is valid if loaded is set: a snapshot of the era has been applied.
	version uint64
	loaded  bool
	// changedAt is the version of the last batch with changes.
	changedAt uint64
	values    map[string][]byte
	// sum is the exclusive or of the hashes of all rows.
	sum uint64
	// origin is where the rows came from last.
	origin directory.Origin
	// whole holds all rows as they are sent to subscribers, as of the change at wholeAt. It
	// is valid if hasWhole is set.
	whole    grant.Rows
	wholeAt  snipeford.Revision
	hasWhole bool
	// ignoring is set while the batches that arrive cannot be applied.
	ignoring bool
}

// continues reports whether a batch of the follower's era can be applied to the rows.
func (r *rowSet) continues(b snipeford.Batch) bool {
	if b.Snapshot {
		return !r.loaded || b.Version >= r.version
	}
	return r.loaded && b.Version >= r.version && r.version >= b.After
}

func (r *rowSet) update(b snipeford.Batch) {
	r.whole, r.hasWhole = grant.Rows{}, false
	if b.Snapshot {
		clear(r.values)
		r.sum = 0
	}
	for _, change := range b.Changes {
		if change.Removed {
			r.remove(change.Key)
			continue
		}
		r.set(change.Key, change.Value)
	}
}

// snapshot returns a batch of all rows.
func (r *rowSet) snapshot() snipeford.Batch {
	b := snipeford.Batch{Snapshot: true, Version: r.version}
	for key, value := range r.values {
		b.Changes = append(b.Changes, snipeford.Change{Key: key, Value: value})
	}
	return b
}

// knownRows is the revision up to which a node has read a collection. It is valid if
// loaded is set; before the first snapshot of an era only its era is.
type knownRows struct {
	snipeford.Revision
	loaded bool
}

// known returns up to where a collection was read.
func (f *follower) known(c snipeford.Collection) knownRows {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.rowsOf(c)
	return knownRows{snipeford.Revision{Era: f.era, Version: r.version}, r.loaded}
}

func (f *follower) rowsOf(c snipeford.Collection) *rowSet {
	if f.collections == nil {
		f.collections = map[snipeford.Collection]*rowSet{}
	}
	if f.collections[c] == nil {
		f.collections[c] = &rowSet{values: map[string][]byte{}}
	}
	return f.collections[c]
}

// applyStoreRows applies a response of the store to a call that was sent at sent, and
// records what it confirms. It reports whether the batch was applied.
func (f *follower) applyStoreRows(c snipeford.Collection, b snipeford.Batch, sent snipeford.Instant) bool {
	received := f.timer.SinceBoot()
	prepared := f.prepareRouting(c, b)
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.usePrepared(prepared)()
	f.endOutage(sent)
	f.checkTold(b.Era, sent)
	if !f.applyBatch(c, b, "", f.reregisterEnd(c)) {
		return false
	}
	if c == snipeford.OperatorRows && f.confirmable() {
		f.tracker.Confirm(freshness.Response{Sent: sent, Received: received, Era: b.Era, StoreTime: b.StoreTime})
		f.noteConfirmed()
	}
	return true
}

// endOutage records that the store has responded to a call that was sent at sent. The
// caller holds mu.
func (f *follower) endOutage(sent snipeford.Instant) {
	f.lastResponded = max(f.lastResponded, sent)
	if f.outage {
		f.outage, f.outageEndedAt = false, f.timer.Now()
	}
}

// reregisterEnd returns until when a response of the store may lack rows of upstreams
// that live, or zero. The caller holds mu.
func (f *follower) reregisterEnd(c snipeford.Collection) snipeford.Instant {
	if c != snipeford.UpstreamRows || !f.mayHaveExpired {
		return 0
	}
	return f.outageEndedAt.Add(directory.ReregisterPeriod)
}

// applyPeerRows applies a batch that another node has applied.
func (f *follower) applyPeerRows(r grant.Rows) {
	prepared := f.prepareRouting(r.Collection, r.Batch)
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.usePrepared(prepared)()
	if f.hasRows(r.Collection, r.Batch) {
		// Rows that the node already has are not passed on, so that they never loop
		// between nodes.
		return
	}
	// A feeder that started after the store's return does not know of it.
	keepMissingUntil := snipeford.Instant(0)
	if f.mayHaveExpired {
		keepMissingUntil = f.reregisteredAt
	}
	rows := f.rowsOf(r.Collection)
	hasReadSince := rows.loaded && r.Batch.Era == f.era && r.ExpiredUpTo > 0 && rows.version >= r.ExpiredUpTo
	if r.KeepMissing > 0 && !hasReadSince {
		keepMissingUntil = max(keepMissingUntil, f.timer.Now().Add(r.KeepMissing))
	}
	f.applyBatch(r.Collection, r.Batch, r.Feeder, keepMissingUntil)
}

// hasRows reports whether the node has all rows of a batch. The caller holds mu.
func (f *follower) hasRows(c snipeford.Collection, b snipeford.Batch) bool {
	rows := f.rowsOf(c)
	return rows.loaded && b.Era == f.era && b.Version <= rows.version
}

// confirmPeerRows records that the rows of a feeder were current at an instant, unless
// the node lacks rows that the feeder has. It reports whether the node has them all, or has
// received them and is applying them.
func (f *follower) confirmPeerRows(feeder grant.FeedStatus, at snipeford.Instant) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	waits := false
	for _, c := range snipeford.Collections {
		rows := f.rowsOf(c)
		want, ok := feeder.Revisions[c]
		if ok && rows.loaded && want.Era == f.era && rows.version >= want.Version {
			if d, stated := feeder.Digests[c]; stated && !f.compareDigest(c, rows, d) {
				return false
			}
			continue
		}
		if !ok || !f.waits(c, want) {
			return false
		}
		waits = true
	}
	f.raiseUpstreamsConfirmed(at)
	if waits {
		f.pending.confirmLater(confirmation{feeder.Revisions[snipeford.OperatorRows], at})
		return true
	}
	f.advance(at)
	return true
}

// advance records that the operators' rows that are applied were current at an instant, as a
// feeder states. A feeder confirms nothing before its own wait for the operators has ended.
// The caller holds mu.
func (f *follower) advance(at snipeford.Instant) {
	if f.confirmable() || f.startedInEra() && !f.isBehindPeers() {
		f.tracker.AdvanceTo(at)
	}
}

// applyBatch applies a batch and sends it to the subscribers. It returns false if the
// batch cannot be applied: the node has newer rows, or lacks the rows that the batch
// continues. The feeder is the node that sent the batch, or empty if the store did.
// Upstreams whose rows it removes are kept until keepMissingUntil. The caller holds mu.
func (f *follower) applyBatch(c snipeford.Collection, b snipeford.Batch, feeder snipeford.NodeID, keepMissingUntil snipeford.Instant) bool {
	origin := directory.Origin{Feeder: feeder, Era: b.Era, Version: b.Version}
	if b.Era > f.era {
		if feeder != "" && f.told.isRefuted(b.Era) {
			return false
		}
		f.beginEra(origin)
		keepMissingUntil = max(keepMissingUntil, f.reregisteredAt)
	}
	rows := f.rowsOf(c)
	if f.ignores(c, rows, b, origin) {
		return false
	}
	rows.origin, rows.version, rows.loaded = origin, b.Version, true
	if c == snipeford.UpstreamRows && f.mayHaveExpired {
		// Rows that are removed later were there after the outage.
		f.mayHaveExpired = false
		if f.expiredUpTo == 0 {
			f.expiredUpTo = b.Version
		}
	}
	if c == snipeford.OperatorRows {
		f.operatorRowsOrigin.Store(&origin)
	}
	all := b
	var unchanged []snipeford.Change
	b.Changes, unchanged = f.splitUnchanged(c, rows, b, keepMissingUntil)
	if len(b.Changes) == 0 && !b.Snapshot {
		f.pushUnchanged(c, all, rows.changedAt)
		f.setForwarded()
		return true
	}
	f.pushChanges(c, b, unchanged, rows.changedAt, max(0, keepMissingUntil.Sub(f.timer.Now())))
	rows.update(b)
	rows.changedAt = b.Version
	f.setForwarded()
	f.state.KeepMissing(keepMissingUntil)
	skipped := f.state.ApplyPrepared(f.timer.Now(), c, b, f.decoder, f.prepared)
	f.logSkipped(c, skipped, origin)
	before := f.current().Plan
	f.publish()
	f.noteRewritten(c, b, skipped, before, f.current().Plan)
	f.signalMembers(c, b)
	return true
}

// ignores reports whether a batch cannot be applied to the rows, which it logs when that
// begins and ends. The caller holds mu.
func (f *follower) ignores(c snipeford.Collection, rows *rowSet, b snipeford.Batch, origin directory.Origin) bool {
	ignored := b.Era < f.era || !rows.continues(b)
	if ignored != rows.ignoring {
		message := map[bool]string{true: "rows ignored", false: "rows applied again"}[ignored]
		f.log.Info(message, "Collection", c, "Known", rows.origin, "Loaded", rows.loaded, "Received", origin, "After", b.After, "Snapshot", b.Snapshot)
	}
	rows.ignoring = ignored
	if ignored {
		f.counts.Ignored(c)
	}
	return ignored
}

// pushChanges sends a batch to the subscribers, which have the rows up to the last
// change before it. Nodes of earlier versions also get the unchanged rows.
func (f *follower) pushChanges(c snipeford.Collection, b snipeford.Batch, unchanged []snipeford.Change, lastChange uint64, keepMissing time.Duration) {
	if len(f.subscribers) == 0 {
		return
	}
	b.After = 0
	if !b.Snapshot {
		b.After = lastChange
	}
	pushed, err := grant.NewChange(c, b, keepMissing, func(key string) []byte { return f.rowsOf(c).values[key] })
	pushed = f.completeRows(pushed, err)
	pushed.Unchanged = unchanged
	for _, push := range f.subscribers {
		push(pushed)
	}
}

// pushUnchanged sends a batch of unchanged rows to the subscribers of earlier versions.
func (f *follower) pushUnchanged(c snipeford.Collection, b snipeford.Batch, lastChange uint64) {
	if len(b.Changes) == 0 {
		return
	}
	unchanged := b.Changes
	b.Changes, b.After = nil, lastChange
	for _, push := range f.subscribers {
		push(grant.Rows{Collection: c, Batch: b, Unchanged: unchanged})
	}
}

// logSkipped logs and counts the rows of a batch that were not applied.
func (f *follower) logSkipped(c snipeford.Collection, skipped []directory.InvalidRow, origin directory.Origin) {
	for _, row := range skipped {
		if errors.Is(row.Err, directory.ErrOlderRouting) {
			f.counts.RoutingRefused()
			f.log.Warn("routing refused", row.Err, "RowsFrom", origin)
			continue
		}
		f.counts.Undecodable(c)
		f.log.Warn("cannot decode row", row.Err, "Collection", c, "Key", row.Key)
	}
}

func (f *follower) newRows(c snipeford.Collection, b snipeford.Batch, keepMissing time.Duration) grant.Rows {
	return f.completeRows(grant.NewRows(c, b, keepMissing))
}

// completeRows sets in rows to send what the node knows of expired rows.
func (f *follower) completeRows(r grant.Rows, err error) grant.Rows {
	if err != nil {
		f.log.Warn("rows are sent uncompressed", err, "Collection", r.Collection)
	}
	if r.KeepMissing > 0 {
		r.ExpiredUpTo = f.expiredUpTo
	}
	return r
}

// revisions returns the revisions of the collections that have been read.
func (f *follower) revisions() map[snipeford.Collection]snipeford.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[snipeford.Collection]snipeford.Revision{}
	for c, r := range f.collections {
		if r.loaded {
			out[c] = snipeford.Revision{Era: f.era, Version: r.version}
		}
	}
	return out
}

// feedStatus returns what the node, as a feeder, has sent to its subscribers: the
// revision of the last change of each collection, and the age of the rows of operators and
// upstreams.
func (f *follower) feedStatus() grant.FeedStatus {
	s := grant.FeedStatus{}
	if plan := f.current().Plan; plan != nil {
		s.RoutingVersion = plan.Version
		// The confirmation is read before the revisions, which then include what it confirms.
		now := f.timer.SinceBoot()
		s.Staleness, s.Confirmed = f.tracker.Age(now)
		s.Staleness = max(s.Staleness, f.upstreamStaleness(now))
	}
	if forwarded := f.forwarded.Load(); forwarded != nil {
		s.Revisions, s.Digests = forwarded.revisions, forwarded.digests
	}
	return s
}

// forwardedRows states which rows were sent to the subscribers.
type forwardedRows struct {
	// revisions holds the revisions of the last changes, and digests those of the rows that
	// have been read since, which are the same.
	revisions map[snipeford.Collection]snipeford.Revision
	digests   map[snipeford.Collection]grant.Digest
}

// setForwarded publishes which rows were sent to the subscribers. The caller holds mu.
func (f *follower) setForwarded() {
	out := &forwardedRows{map[snipeford.Collection]snipeford.Revision{}, map[snipeford.Collection]grant.Digest{}}
	for c, r := range f.collections {
		if r.loaded {
			out.revisions[c] = snipeford.Revision{Era: f.era, Version: r.changedAt}
			out.digests[c] = grant.Digest{Version: r.version, Sum: r.sum}
		}
	}
	f.forwarded.Store(out)
}

// subscribe calls push with the rows that this node has, except for collections that
// have not changed since the known revision, and then with each change, until the
// returned function is called.
func (f *follower) subscribe(known map[snipeford.Collection]snipeford.Revision, push func(grant.Rows)) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c, r := range f.collections {
		if !r.loaded {
			continue
		}
		if k, ok := known[c]; ok && k.Era == f.era && k.Version >= r.changedAt {
			push(f.newRows(c, snipeford.Batch{Era: f.era, Version: r.version, After: r.changedAt}, f.keepMissing()))
			continue
		}
		push(f.wholeRows(c, r))
	}
	if f.subscribers == nil {
		f.subscribers = map[int]func(grant.Rows){}
	}
	f.lastSubscriberID++
	id := f.lastSubscriberID
	f.subscribers[id] = push
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.subscribers, id)
	}
}

// keepMissing returns how much longer the node keeps upstreams with missing rows
// after an outage of the store. The caller holds mu.
func (f *follower) keepMissing() time.Duration {
	if f.outageEndedAt == 0 {
		return 0
	}
	return max(0, f.outageEndedAt.Add(directory.ReregisterPeriod).Sub(f.timer.Now()))
}
