// Package plan indexes a version of the routing configuration for lookups.
package plan

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"strings"

	"snipeford"
)

// Plan is an index of one version of the routing configuration: its routes by host
// and path prefix, the organisations' access by API key, and the service profiles
// by name. It is immutable.
type Plan struct {
	Version snipeford.Version
	Limits  snipeford.CallerLimits
	// LacksRoutes and LacksKeys are those of the routing.
	LacksRoutes, LacksKeys bool
	// Duplicates holds the errors of entries that are not used, since the first one of
	// several is.
	Duplicates []error

	routes   shards[routeKey, *snipeford.Route]
	access   shards[string, *snipeford.Access]
	services shards[snipeford.ServiceName, *snipeford.ServiceProfile]

	requiresKey bool
	priorities  priorities
}

type routeKey struct{ host, prefix string }

func newRoutes() shards[routeKey, *snipeford.Route] {
	return shards[routeKey, *snipeford.Route]{hash: hashRouteKey}
}

func newAccess() shards[string, *snipeford.Access] {
	return shards[string, *snipeford.Access]{hash: hashText[string]}
}

func newServices() shards[snipeford.ServiceName, *snipeford.ServiceProfile] {
	return shards[snipeford.ServiceName, *snipeford.ServiceProfile]{hash: hashText[snipeford.ServiceName]}
}

// New returns the index of r.
func New(r snipeford.Routing) *Plan {
	p := &Plan{
		Version:     r.Version,
		Limits:      r.Limits,
		LacksRoutes: r.LacksRoutes,
		LacksKeys:   r.LacksKeys,
		requiresKey: r.DeclaresOrganisations || len(r.Access) > 0 || r.LacksKeys,
	}
	p.routes = indexAll(p, newRoutes(), r.Routes, routeKeys, chooseRoute)
	p.access = indexAll(p, newAccess(), r.Access, accessKeys, chooseAccess)
	p.services = indexAll(p, newServices(), r.Services, serviceKeys, chooseService)
	for i := range r.Routes {
		p.priorities.addRoute(&r.Routes[i])
	}
	for i := range r.Access {
		p.priorities.addAccess(&r.Access[i])
	}
	return p
}

// indexAll indexes a list of entries by their keys, and adds the errors of duplicates to
// the plan. Choose decides between the entry that a key has and the next one.
func indexAll[K comparable, E any](p *Plan, empty shards[K, *E], list []E, keys func(*E) []K, choose func(first, next *E) (bool, error)) shards[K, *E] {
	edit := &editor[K, *E]{shards: empty}
	for i := range list {
		next := &list[i]
		for _, key := range keys(next) {
			first, ok := edit.get(key)
			if !ok {
				edit.set(key, next)
				continue
			}
			replaces, err := choose(first, next)
			if replaces {
				edit.set(key, next)
			}
			if err != nil {
				p.Duplicates = append(p.Duplicates, err)
			}
		}
	}
	return edit.shards
}

func routeKeys(route *snipeford.Route) []routeKey {
	return []routeKey{{canonicalHost(route.Host), canonicalPath(route.Prefix)}}
}

// chooseRoute prefers the first route with a host and prefix that can be served.
func chooseRoute(first, next *snipeford.Route) (bool, error) {
	if first.Err == nil || next.Err != nil {
		return false, fmt.Errorf("route %.64q has the host and prefix of route %.64q: %w", next.Name, first.Name, errDuplicate)
	}
	return true, nil
}

func accessKeys(a *snipeford.Access) []string { return a.Keys }

// chooseAccess prefers the first organisation with a key, which may have the key twice.
func chooseAccess(first, next *snipeford.Access) (bool, error) {
	if first.Organisation != next.Organisation {
		return false, fmt.Errorf("organisation %.64q has a key of organisation %.64q: %w", next.Organisation, first.Organisation, errDuplicate)
	}
	return false, nil
}

func serviceKeys(s *snipeford.ServiceProfile) []snipeford.ServiceName {
	return []snipeford.ServiceName{s.Name}
}

// chooseService prefers the first entry of a service.
func chooseService(_, next *snipeford.ServiceProfile) (bool, error) {
	return false, fmt.Errorf("service %.64q: %w", next.Name, errDuplicate)
}

// errDuplicate is the error of an entry that is not used, since an earlier one takes its
// place.
var errDuplicate = errors.New("entry is there twice")

// canonicalHost returns a host without port, in lower case and without the dot that may
// end a fully qualified name.
func canonicalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	host = strings.TrimSuffix(strings.TrimPrefix(host, "["), "]")
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// canonicalPath escapes each segment of a path in one way, so that equivalent paths are
// equal. An escaped slash stays escaped: it separates no segments.
func canonicalPath(path string) string {
	segments := strings.Split(path, "/")
	for i, segment := range segments {
		// A percent sign that begins no escape stands for itself.
		if plain, err := url.PathUnescape(segment); err == nil {
			segment = plain
		}
		segments[i] = url.PathEscape(segment)
	}
	return strings.Join(segments, "/")
}

// Route returns the route of the host with the longest prefix of the path, or nil. The
// path is escaped, as in a request.
func (p *Plan) Route(host, path string) *snipeford.Route {
	host, path = canonicalHost(host), canonicalPath(path)
	for end := len(path); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if route, ok := p.routes.get(routeKey{host, path[:end]}); ok {
			return route
		}
	}
	return nil
}

// AccessForKey returns the access of the organisation that the API key belongs
// to, or nil.
func (p *Plan) AccessForKey(key string) *snipeford.Access {
	a, _ := p.access.get(key)
	return a
}

// KeyCount returns the number of known API keys.
func (p *Plan) KeyCount() int { return p.access.count }

// RequiresKey reports whether requests need an API key, which they do if the routing
// declares organisations, even if it has none or these have no keys.
func (p *Plan) RequiresKey() bool { return p.requiresKey }

// Service returns the profile of a service. It is never nil: a service that is
// not configured has a profile with only its name.
func (p *Plan) Service(name snipeford.ServiceName) *snipeford.ServiceProfile {
	if s, ok := p.services.get(name); ok {
		return s
	}
	return &snipeford.ServiceProfile{Name: name}
}

// Pick returns a service of the route, selected by weight. Draw is a random
// number, uniform in [0, 1).
func Pick(r *snipeford.Route, draw float64) snipeford.ServiceName {
	total := 0.0
	for _, s := range r.WeightedServices {
		total += s.Weight
	}
	remaining := draw * total
	for _, s := range r.WeightedServices {
		remaining -= s.Weight
		if remaining < 0 {
			return s.Service
		}
	}
	return r.WeightedServices[len(r.WeightedServices)-1].Service
}
