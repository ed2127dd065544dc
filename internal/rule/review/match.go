package review

import "snipeford"

// checkErrors reports what the decoder of the nodes could not decode.
func (r *reviewer) checkErrors() {
	for _, e := range r.Next.Errors {
		r.findings = append(r.findings, Finding{
			Severity: Error, List: e.Place.List, Index: e.Place.Index, Name: e.Place.Name, Field: e.Member, Text: e.Err.Error(),
		})
	}
}

// checkHiddenRoutes reports routes that the index does not find by their own host and prefix.
func (r *reviewer) checkHiddenRoutes() {
	for _, e := range entries(&r.Next, snipeford.EntryRoute) {
		if e.Route == nil {
			continue
		}
		if first := r.plan.Route(e.Route.Host, e.Route.Prefix); first != e.Route && first != nil {
			r.report(Error, e, snipeford.FieldPrefix, "never matches: route %.64q has the same host and prefix and is used", first.Name)
		}
	}
}

// checkWeights reports services of a route that get no requests, as plan.Pick selects them.
func (r *reviewer) checkWeights() {
	for _, e := range entries(&r.Next, snipeford.EntryRoute) {
		if e.Route == nil || e.Route.Err != nil {
			continue
		}
		total := 0.0
		for _, s := range e.Route.WeightedServices {
			total += s.Weight
		}
		list := e.Route.WeightedServices
		if total == 0 {
			r.report(Warning, e, snipeford.FieldWeightedServices, "all weights are 0: service %.64q gets all requests", list[len(list)-1].Service)
			continue
		}
		for _, s := range list {
			if s.Weight == 0 {
				r.report(Warning, e, snipeford.FieldWeightedServices, "service %.64q has weight 0 and gets no requests", s.Service)
			}
		}
	}
}

// checkServices reports services that are there twice, that no route uses, and that routes
// use without a profile.
func (r *reviewer) checkServices() {
	used, known := map[snipeford.ServiceName]bool{}, map[snipeford.ServiceName]bool{}
	services, routes := entries(&r.Next, snipeford.EntryService), entries(&r.Next, snipeford.EntryRoute)
	for _, e := range services {
		known[snipeford.ServiceName(e.Name)] = true
	}
	for _, e := range routes {
		if e.Route == nil {
			continue
		}
		for _, s := range e.Route.WeightedServices {
			used[s.Service] = true
			if e.Route.Err == nil && !known[s.Service] {
				r.report(Warning, e, "", "service %.64q has no entry, so that nodes use a profile without limits for it", s.Service)
			}
		}
	}
	for _, e := range services {
		switch {
		case e.Service == nil:
		case r.plan.Service(e.Service.Name) != e.Service:
			r.report(Error, e, snipeford.FieldName, "never used: an earlier entry has the same name")
		case !used[e.Service.Name]:
			r.report(Warning, e, "", "no route uses the service")
		}
	}
}

// checkKeys reports organisations whose keys do not lead to them. It shows no keys.
func (r *reviewer) checkKeys() {
	for _, e := range entries(&r.Next, snipeford.EntryOrganisation) {
		if e.Access == nil {
			continue
		}
		if len(e.Access.Keys) == 0 {
			r.report(Warning, e, snipeford.FieldKeys, "organisation has no key, so that no request is its")
		}
		seen := map[string]bool{}
		for i, key := range e.Access.Keys {
			holder := r.plan.AccessForKey(key)
			switch {
			case holder == e.Access && !seen[key]:
			case holder != nil && holder.Organisation != e.Access.Organisation:
				r.report(Error, e, snipeford.FieldKeys, "key %d belongs to organisation %.64q, which has it first", i, holder.Organisation)
			default:
				r.report(Warning, e, snipeford.FieldKeys, "key %d is a key of the organisation already", i)
			}
			seen[key] = true
		}
	}
}
