package placer

import (
	"slices"

	"snipeford"
	"snipeford/internal/control/directory"
	"snipeford/internal/policy/pace"
	"snipeford/internal/policy/placement"
)

// ServicePaces are the paces of upstreams of a service.
type ServicePaces struct {
	Service snipeford.ServiceName
	Paces   []pace.Stated
}

// PaceChange is a change of the pace of an upstream of a service.
type PaceChange struct {
	Service snipeford.ServiceName
	pace.Change
}

// PaceChanges returns the changes of paces that the last event led to. The returned slice
// is valid until the next call of Apply.
func (s *State) PaceChanges() []PaceChange { return s.paceChanges }

// statedPaces returns the paces that this node knows, to report them to a new home.
func (s *State) statedPaces(now snipeford.Instant) []ServicePaces {
	var out []ServicePaces
	for _, service := range s.sorted {
		if list := service.StatedPaces(now); len(list) > 0 {
			out = append(out, ServicePaces{service.name, list})
		}
	}
	return out
}

func (s *State) mergePaces(now snipeford.Instant, list []ServicePaces) {
	for _, known := range list {
		for _, stated := range known.Paces {
			s.service(known.Service).MergePace(now, stated)
		}
	}
}

// updatePaces gives paces to the upstreams that have started, those of services without
// engines as well.
func (s *State) updatePaces(now snipeford.Instant, v *directory.View) {
	if v.Plan == nil {
		return
	}
	for name, list := range v.Usable {
		profile := v.Plan.Service(name)
		upstreams := s.pacedUpstreams[:0]
		for _, u := range list {
			capacity := pace.Capacity{InFlight: float64(max(u.Slots, pace.Floor)), ColdPerSecond: profile.ColdRequestsPerSecond}
			if profile.Engine != nil {
				capacity = placement.EngineCapacity(profile.Engine.Slots, profile.ColdRequestsPerSecond)
			}
			upstreams = append(upstreams, placement.PacedUpstream{ID: u.ID, Incarnation: u.Incarnation, ColdUntil: u.ColdUntil, Capacity: capacity})
		}
		s.service(name).UpdatePaces(now, upstreams)
		s.pacedUpstreams = upstreams
	}
	for _, service := range s.sorted {
		if _, ok := v.Usable[service.name]; !ok {
			service.UpdatePaces(now, nil)
		}
	}
}

// takePaceChanges collects the changes of the paces of a service, and the list of its paced
// upstreams if that has changed.
func (s *State) takePaceChanges(service *service) (changed bool) {
	changes := service.PaceChanges()
	for _, c := range changes {
		s.paceChanges = append(s.paceChanges, PaceChange{service.name, c})
	}
	if service.hasEngines || len(changes) == 0 && service.PaceCount() == len(service.paced) {
		return false
	}
	paced := service.Paced()
	changed = !slices.Equal(paced, service.paced)
	service.paced = paced
	return changed
}
