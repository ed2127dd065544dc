package placer

import (
	"cmp"

	"snipeford"
	"snipeford/internal/policy/pause"
)

// ServicePauses are the pauses that upstreams of a service have asked of a node.
type ServicePauses struct {
	Service snipeford.ServiceName
	Pauses  []pause.Stated
}

// recordPause records a pause that an upstream has asked of a node, or of this one if the
// report is its own.
func (s *State) recordPause(now snipeford.Instant, e DirectivesReceived) {
	if d := e.Report.Directives.RetryAfter; d > 0 {
		s.service(e.Report.Service).ReportPause(now, cmp.Or(e.Node, s.Node), e.Report.Upstream, d)
	}
}

// ownPauses returns the pauses that upstreams have asked of this node, to report them to
// a new home.
func (s *State) ownPauses(now snipeford.Instant) []ServicePauses {
	var out []ServicePauses
	for _, service := range s.sorted {
		if list := service.Pauses(now, s.Node); len(list) > 0 {
			out = append(out, ServicePauses{service.name, list})
		}
	}
	return out
}

func (s *State) mergePauses(now snipeford.Instant, node snipeford.NodeID, list []ServicePauses) {
	for _, known := range list {
		for _, p := range known.Pauses {
			s.service(known.Service).ReportPause(now, node, p.Upstream, p.Left)
		}
	}
}
