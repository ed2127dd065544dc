// Package plan compiles one version of the operators' routing for lookups.
package plan

import (
	"net"
	"strings"

	"snipeford"
)

// Plan answers lookups in one version of the routing. It never changes.
type Plan struct {
	Version  snipeford.Version
	Limits   snipeford.CallerLimits
	routes   map[location]*snipeford.Route
	access   map[string]*snipeford.Access
	services map[snipeford.ServiceName]*snipeford.ServiceProfile
}

type location struct{ host, prefix string }

// New compiles the routing.
func New(r snipeford.Routing) *Plan {
	p := &Plan{
		Version:  r.Version,
		Limits:   r.Limits,
		routes:   make(map[location]*snipeford.Route, len(r.Routes)),
		access:   map[string]*snipeford.Access{},
		services: map[snipeford.ServiceName]*snipeford.ServiceProfile{},
	}
	for i := range r.Routes {
		route := &r.Routes[i]
		p.routes[location{strings.ToLower(route.Host), route.Prefix}] = route
	}
	for i := range r.Access {
		for _, key := range r.Access[i].Keys {
			p.access[key] = &r.Access[i]
		}
	}
	for i := range r.Services {
		p.services[r.Services[i].Name] = &r.Services[i]
	}
	return p
}

// Route returns the route of a host with the longest prefix that begins the
// path, or nil.
func (p *Plan) Route(host, path string) *snipeford.Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	host = strings.ToLower(host)
	for end := len(path); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if route, ok := p.routes[location{host, path[:end]}]; ok {
			return route
		}
	}
	return nil
}

// AccessForKey returns the organisation that holds the key, or nil.
func (p *Plan) AccessForKey(key string) *snipeford.Access { return p.access[key] }

// RequiresKey reports whether requests need a key at all.
func (p *Plan) RequiresKey() bool { return len(p.access) > 0 }

// Service returns what operators say of a service; it is never nil.
func (p *Plan) Service(name snipeford.ServiceName) *snipeford.ServiceProfile {
	if s, ok := p.services[name]; ok {
		return s
	}
	return &snipeford.ServiceProfile{Name: name}
}

// Pick returns the route's service for a draw from 0 to 1.
func Pick(r *snipeford.Route, draw float64) snipeford.ServiceName {
	total := 0.0
	for _, s := range r.WeightedServices {
		total += s.Weight
	}
	left := draw * total
	for _, s := range r.WeightedServices {
		left -= s.Weight
		if left < 0 {
			return s.Service
		}
	}
	return r.WeightedServices[len(r.WeightedServices)-1].Service
}
