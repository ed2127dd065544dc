package grant

import (
	"snipeford"
	"snipeford/internal/control/placer"
)

// markReported records an upstream that leaves as another node reports in the directives
// of a response.
func (s *Server) markReported(node snipeford.NodeID, r snipeford.DirectivesReport) {
	if r.Directives.Leaving {
		s.markLeaving(node, []snipeford.LeavingUpstream{{Upstream: r.Upstream, Incarnation: r.Incarnation}})
	}
}

// markKnown records what another node knows of upstreams that leave.
func (s *Server) markKnown(node snipeford.NodeID, known placer.Known) {
	s.markLeaving(node, known.Leaving)
}

// markLeaving records upstreams that leave as another node reports to this one, and tells
// those that are new to all connected nodes. It returns once the directory has them, so
// that the control goroutine learns of them before it gets later frames of the node.
func (s *Server) markLeaving(node snipeford.NodeID, list []snipeford.LeavingUpstream) {
	if len(list) == 0 || s.MarkLeaving == nil {
		return
	}
	if added := s.MarkLeaving(node, list); len(added) > 0 {
		s.TellLeaving(added)
	}
}

// TellLeaving tells upstreams that leave to all connected nodes.
func (s *Server) TellLeaving(list []snipeford.LeavingUpstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for node, fc := range s.peers {
		go s.sendLeaving(node, fc, list)
	}
}

// sendKnownLeaving tells a node that has just connected which upstreams leave.
func (s *Server) sendKnownLeaving(node snipeford.NodeID, fc *frameConn) {
	if s.Leaving == nil {
		return
	}
	if list := s.Leaving(); len(list) > 0 {
		s.sendLeaving(node, fc, list)
	}
}

func (s *Server) sendLeaving(node snipeford.NodeID, fc *frameConn, list []snipeford.LeavingUpstream) {
	if err := fc.send(Frame{Leaving: list}); err != nil {
		s.Log.Warn("cannot tell which upstreams leave", err, "Peer", node)
	}
}

// handleLeaving records upstreams that leave as the peer tells. They are not told further:
// the peer, a home or a standby, tells all nodes.
func (l *link) handleLeaving(list []snipeford.LeavingUpstream) {
	if l.client.MarkLeaving != nil {
		l.client.MarkLeaving(l.node, list)
	}
}
