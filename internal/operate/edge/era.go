package edge

import (
	"context"
	"slices"
	"time"

	"snipeford"
	"snipeford/internal/control/directory"
	"snipeford/internal/rule/plan"
)

// beginEra prepares for the rows of a store that has come back from a copy: all
// collections are read anew, beginning with a snapshot. What the node knows stays in
// force meanwhile. The caller holds mu.
func (f *follower) beginEra(seen directory.Origin) {
	known, first := f.operatorOrigin(), f.era == 0
	f.noteTold(seen)
	f.readAnew(seen.Era)
	if first {
		// The node has just started, or the store has begun to state eras. A return from a
		// copy may have been shortly before, and all peers may have started anew as well.
		now := f.timer.Now()
		f.rewriteEnd, f.peersRespondedBy = now.Add(directory.ReregisterPeriod), now.Add(peerResponseTime)
		if f.firstStart {
			f.rewriteEnd = f.peersRespondedBy
		}
		return
	}
	f.log.Info("store came back from a copy", "Known", known, "Received", seen)
	f.counts.EraBegan()
	now := f.timer.Now()
	f.outage, f.outageEndedAt, f.mayHaveExpired, f.expiredUpTo = false, now, true, 1
	f.reregisteredAt = now.Add(directory.ReregisterPeriod)
	f.rewriteEnd, f.peersRespondedBy = f.reregisteredAt, 0
	f.state.BeginEra(now)
}

// readAnew sets the era, and has all collections read again, beginning with a snapshot. The
// caller holds mu.
func (f *follower) readAnew(era snipeford.Era) {
	for _, r := range f.collections {
		r.loaded, r.version, r.changedAt = false, 0, 0
	}
	f.era = era
	f.setForwarded()
	if f.endEra != nil {
		f.endEra()
	}
	f.eraContext, f.endEra = context.WithCancel(context.Background())
}

// learnEra begins an era that a response without rows states. It reports whether the era
// is new.
func (f *follower) learnEra(era snipeford.Era) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if era <= f.era {
		return false
	}
	f.beginEra(directory.Origin{Era: era})
	return true
}

// watchContext returns a context that also ends when the node learns of a new era, since
// a call that waits for changes after a version of the old one is in vain.
func (f *follower) watchContext(ctx context.Context) (context.Context, context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.eraContext == nil {
		f.eraContext, f.endEra = context.WithCancel(context.Background())
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(f.eraContext, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// noteRewritten ends the wait for operators to write again what a copy lacks: they have if
// a routing comes as a change, or is newer than the one in force before. The caller holds
// mu.
func (f *follower) noteRewritten(c snipeford.Collection, b snipeford.Batch, skipped []directory.InvalidRow, before, after *plan.Plan) {
	if c != snipeford.OperatorRows || f.timer.Now() >= f.rewriteEnd {
		return
	}
	isRouting := func(change snipeford.Change) bool { return f.decoder.IsRoutingKey(change.Key) }
	isTaken := after != before || len(skipped) == 0
	isChange := !b.Snapshot && slices.ContainsFunc(b.Changes, isRouting)
	if isChange && isTaken || before != nil && after.Version > before.Version {
		f.rewriteEnd = f.timer.Now()
	}
}

// signalMembers tells that a snapshot of the nodes' rows has been applied. The caller holds
// mu.
func (f *follower) signalMembers(c snipeford.Collection, b snipeford.Batch) {
	if c != snipeford.MemberRows || !b.Snapshot {
		return
	}
	select {
	case f.membersRead <- struct{}{}:
	default:
		// A signal that has not been received yet covers this snapshot.
	}
}

// value returns the value of a row, or nil if there is none.
func (f *follower) value(c snipeford.Collection, key string) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rowsOf(c).values[key]
}

const (
	// peerResponseTime is the time for the first pong of a peer: a connection and the
	// interval of pings, 0.1 s.
	peerResponseTime = 300 * time.Millisecond
	// behindPeriod is how long a peer's newer routing keeps the store's from being
	// confirmed. Operators write again what a copy lacks long before.
	behindPeriod = 5 * time.Second
)

// isBehindPeers reports whether a peer has a newer routing in force. A store without eras
// loses nothing, so that a peer's knowledge tells nothing about it. The caller holds mu.
func (f *follower) isBehindPeers() bool {
	current := f.current().Plan
	return f.era > 0 && f.newestRouting != nil && current != nil && f.newestRouting() > current.Version
}

// confirmable reports whether the operators' rows in the store confirm the routing in
// force. For a while, a copy may lack changes that operators have yet to write again, such
// as a revoked key, and that this node has not seen either. The caller holds mu.
func (f *follower) confirmable() bool {
	now, end := f.timer.Now(), f.rewriteEnd
	if f.startedInEra() && f.current().MarkedEra == f.era {
		// The return was long before. Peers that know more respond within this time.
		end = min(end, f.peersRespondedBy)
	}
	if !f.isBehindPeers() {
		f.behindSince = 0
		return now >= end
	}
	if f.behindSince == 0 {
		f.behindSince = now
	}
	return now >= max(end, f.behindSince.Add(behindPeriod))
}

// startedInEra reports whether the node has started in the present era. It does not know
// when the store has come back then. The caller holds mu.
func (f *follower) startedInEra() bool { return f.peersRespondedBy > 0 }

// noteConfirmed tells that the routing was confirmed in an era without an era mark. The
// caller holds mu.
func (f *follower) noteConfirmed() {
	if f.era == 0 || f.current().MarkedEra == f.era {
		return
	}
	select {
	case f.unmarkedEras <- f.era:
	default:
		// The era before has not been marked yet. The next response of the store tells again.
	}
}
