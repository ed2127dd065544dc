package plan

import "snipeford"

// priorities tells which services have requests of unlike priorities.
type priorities struct {
	// routes holds the priority of each service's routes, and mixed the services whose
	// routes differ.
	routes map[snipeford.ServiceName]int
	mixed  map[snipeford.ServiceName]bool
	// own is the priority of the organisations that have one. ownCount is 0 if there is
	// none, 1 if they all have the same one, and 2 otherwise.
	own, ownCount int
}

func (p *priorities) addRoute(route *snipeford.Route) {
	if p.routes == nil {
		p.routes, p.mixed = map[snipeford.ServiceName]int{}, map[snipeford.ServiceName]bool{}
	}
	for _, s := range route.WeightedServices {
		if first, ok := p.routes[s.Service]; !ok {
			p.routes[s.Service] = route.Priority
		} else if first != route.Priority {
			p.mixed[s.Service] = true
		}
	}
}

func (p *priorities) addAccess(a *snipeford.Access) {
	switch {
	case !a.HasPriority:
	case p.ownCount == 0:
		p.own, p.ownCount = a.Priority, 1
	case p.own != a.Priority:
		p.ownCount = 2
	}
}

// HasPriorities reports whether the routing gives requests of a service unlike priorities,
// by their routes or organisations. Engines otherwise need not be told of any.
func (p *Plan) HasPriorities(service snipeford.ServiceName) bool {
	route, ok := p.priorities.routes[service]
	if !ok {
		return false
	}
	return p.priorities.mixed[service] || p.priorities.ownCount > 1 || p.priorities.ownCount == 1 && p.priorities.own != route
}
