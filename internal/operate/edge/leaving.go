package edge

import "snipeford"

// initLeaving connects the directory with the responses of upstreams that say that they
// leave, and with the other nodes.
func (n *Node) initLeaving() {
	// This incarnation of an upstream does not return to its address either way.
	n.relay.UpstreamLeaves, n.relay.UpstreamReplaced = n.upstreamLeaves, n.upstreamLeaves
	n.peerClient.MarkLeaving, n.peerServer.MarkLeaving = n.markLeavingTold, n.markLeavingTold
	n.peerServer.Leaving = func() []snipeford.LeavingUpstream { return n.follower.current().Leaving }
	if r, ok := n.platform.Reservations.(snipeford.LeavingNotifier); ok {
		r.NotifyLeaving(n.leavingSaidToReservation)
	}
}

// leavingSaidToReservation records that an upstream has said that it leaves in its response
// to a call for a reservation, and tells the other nodes.
func (n *Node) leavingSaidToReservation(u snipeford.Upstream) {
	if !n.upstreamLeaves(snipeford.LeavingUpstream{Upstream: u.ID, Incarnation: u.Incarnation}) {
		return
	}
	n.log.Info("upstream leaves, as its response says", "Upstream", u.ID, "Incarnation", u.Incarnation, "Service", u.Service)
	n.peerClient.ReportDirectives(snipeford.DirectivesReport{
		Service: u.Service, Upstream: u.ID, Incarnation: u.Incarnation,
		// Such a response states no request limit, and does not end one.
		Directives: snipeford.Directives{Leaving: true, RequestLimit: snipeford.RequestLimit{Unreadable: true}},
	})
}

// upstreamLeaves records that an upstream has said in a response that it leaves, and tells
// the connected nodes. It reports whether that is new.
func (n *Node) upstreamLeaves(u snipeford.LeavingUpstream) bool {
	if n.follower.current().IsLeaving(u) {
		return false
	}
	added := n.follower.markLeaving([]snipeford.LeavingUpstream{u})
	if len(added) == 0 {
		return false
	}
	n.counts.LeavingSeen()
	n.peerServer.TellLeaving(added)
	return true
}

// markLeavingTold records upstreams that leave as another node tells, and returns those
// that are new.
func (n *Node) markLeavingTold(node snipeford.NodeID, list []snipeford.LeavingUpstream) []snipeford.LeavingUpstream {
	added := n.follower.markLeaving(list)
	for _, u := range added {
		n.counts.LeavingTold()
		n.log.Info("upstream leaves, as another node tells", "Upstream", u.Upstream, "Incarnation", u.Incarnation, "Peer", node)
	}
	return added
}

// markLeaving records upstreams that leave, and returns those that are new. When it
// returns, no new request goes to them.
func (f *follower) markLeaving(list []snipeford.LeavingUpstream) []snipeford.LeavingUpstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	added := f.state.MarkLeaving(f.timer.Now(), list)
	if len(added) > 0 {
		f.publish()
	}
	return added
}
