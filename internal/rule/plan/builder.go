package plan

import "snipeford"

// Builder indexes successive versions of the routing. A version costs what has changed
// since the last one, and its Plan shares the rest. Its zero value is ready to use. It is
// not safe for concurrent use.
type Builder struct {
	routes   table[routeKey, snipeford.Route]
	access   table[string, snipeford.Access]
	services table[snipeford.ServiceName, snipeford.ServiceProfile]
}

func (b *Builder) init() {
	if b.routes.keys != nil {
		return
	}
	b.routes = table[routeKey, snipeford.Route]{keys: routeKeys, choose: chooseRoute, index: newRoutes()}
	b.access = table[string, snipeford.Access]{keys: accessKeys, choose: chooseAccess, index: newAccess()}
	b.services = table[snipeford.ServiceName, snipeford.ServiceProfile]{keys: serviceKeys, choose: chooseService, index: newServices()}
}

// prioritiesPerSlice is the number of routes whose priorities are compared between two
// yields, which takes about 0.1 ms.
const prioritiesPerSlice = 2_000

// Build returns the index of r, which is that of New for the same routing. It keeps the
// lists of r. It calls yield between parts of its work that take a fraction of a
// millisecond.
func (b *Builder) Build(r snipeford.RoutingEntries, yield func()) *Plan {
	b.init()
	p := &Plan{
		Version: r.Version, Limits: r.Limits, LacksRoutes: r.LacksRoutes, LacksKeys: r.LacksKeys,
		requiresKey: r.DeclaresOrganisations || len(r.Access) > 0 || r.LacksKeys,
	}
	p.Duplicates = append(p.Duplicates, b.routes.update(r.Routes, yield)...)
	p.Duplicates = append(p.Duplicates, b.access.update(r.Access, yield)...)
	p.Duplicates = append(p.Duplicates, b.services.update(r.Services, yield)...)
	p.routes, p.access, p.services = b.routes.index, b.access.index, b.services.index
	for i, route := range r.Routes {
		if i%prioritiesPerSlice == prioritiesPerSlice-1 {
			yield()
		}
		p.priorities.addRoute(route)
	}
	for _, a := range r.Access {
		p.priorities.addAccess(a)
	}
	return p
}
