package placement

import "snipeford"

// maxPriority is the least urgent priority that engines know; 0 is the most urgent.
const maxPriority = 9

// setPriority sets the priority that the engine is told. Nodes of earlier versions take
// priority 0 for none, so that only requests with HasPriority get one.
func setPriority(p *snipeford.Placement, req snipeford.PlacementRequest) {
	if req.HasPriority {
		p.Priority, p.HasPriority = min(max(req.Priority, 0), maxPriority), true
	}
}
