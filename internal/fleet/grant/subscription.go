package grant

import "snipeford"

// handleOtherBase handles rows with a delta to a value that this node does not have: it
// subscribes again to get the whole row, unless it has newer rows.
func (l *link) handleOtherBase(r Rows, err error) {
	if l.client.BaseMissing != nil {
		l.client.BaseMissing(r.Collection)
	}
	if l.client.KnownRevisions != nil {
		if known, ok := l.client.KnownRevisions()[r.Collection]; ok && known.Compare(r.Batch.Revision()) >= 0 {
			return
		}
	}
	if !l.await(r.Collection) {
		return
	}
	l.client.Log.Info("rows of feeder need another base", "Peer", l.node, "Collection", r.Collection, "Version", r.Batch.Version, "Error", err)
	l.resubscribe()
}

// await records that whole rows of a collection are to arrive. It returns false if they are
// already: the deltas that were on their way have other bases, too, and each subscription
// brings whole rows.
func (l *link) await(c snipeford.Collection) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.awaited[c] {
		return false
	}
	if l.awaited == nil {
		l.awaited = map[snipeford.Collection]bool{}
	}
	l.awaited[c] = true
	return true
}

// subscribe subscribes to the peer's rows, once per connection.
func (l *link) subscribe() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.subscribed || l.conn == nil {
		return
	}
	l.subscribed = true
	l.sendSubscribe()
}

// unsubscribe ends the subscription. Nodes of earlier versions continue to send rows.
func (l *link) unsubscribe() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.subscribed || l.conn == nil || !l.endsFeeds {
		return
	}
	l.subscribed, l.complete, l.received = false, false, map[snipeford.Collection]bool{}
	l.sendSubscribe()
}

// resubscribe subscribes again, to get the rows of which this node does not state a
// revision, or that have changed.
func (l *link) resubscribe() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return
	}
	l.subscribed, l.complete, l.received = true, false, map[snipeford.Collection]bool{}
	l.sendSubscribe()
}

// sendSubscribe sends whether this node is subscribed, and the revisions of the rows that it
// has. The caller holds mu.
func (l *link) sendSubscribe() {
	fc := l.conn
	go func() {
		l.subscribeMu.Lock()
		defer l.subscribeMu.Unlock()
		l.mu.Lock()
		subscribed := l.subscribed
		l.mu.Unlock()
		request := &Subscribe{Ends: true}
		if subscribed {
			request = &Subscribe{AcceptsPacked: true, AcceptsDeltas: l.client.RowValue != nil, ComparesDigests: true}
			if l.client.KnownRevisions != nil {
				request.Revisions = l.client.KnownRevisions()
			}
		}
		if err := fc.send(Frame{Subscribe: request}); err != nil {
			l.client.Log.Warn("cannot subscribe to feeder", err, "Peer", l.node)
		}
		if subscribed {
			// The pong follows the rows, which it confirms.
			l.ping(l.client.Timer.Now())
		}
	}()
}
