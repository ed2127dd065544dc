package placer

import (
	"snipeford"
	"snipeford/internal/policy/placement"
)

// ServiceUsage is what organisations used of a service lately by requests of one node.
type ServiceUsage struct {
	Service snipeford.ServiceName
	Usage   []placement.OrganisationUsage
}

// ownUsage returns what organisations used by requests of this node, to report it to a new
// home.
func (s *State) ownUsage(now snipeford.Instant) []ServiceUsage {
	var out []ServiceUsage
	for _, service := range s.sorted {
		if usage := service.Usage(now, s.Node); len(usage) > 0 {
			out = append(out, ServiceUsage{service.name, usage})
		}
	}
	return out
}

// mergeUsage adds what organisations used by requests of another node. The running requests
// of the node have to be known before: they are a part of it.
func (s *State) mergeUsage(now snipeford.Instant, node snipeford.NodeID, list []ServiceUsage) {
	for _, known := range list {
		s.service(known.Service).MergeUsage(now, node, known.Usage)
	}
}
