package review

import (
	"snipeford"
	"snipeford/internal/rule/plan"
)

// checkVersion reports a version that nodes do not take, or not for newer.
func (r *reviewer) checkVersion() {
	if r.InForce == nil {
		return
	}
	if next, old := r.Next.Routing.Version, r.InForce.Routing.Version; next <= old {
		r.report(Warning, single(&r.Next, snipeford.EntryVersion, "version"), snipeford.FieldVersion, "version %d is not newer than version %d in force", next, old)
	}
}

// checkLastKey reports that the last key is removed, and that requests need none any more.
func (r *reviewer) checkLastKey() {
	if r.InForce == nil || r.InForce.Refused != nil {
		return
	}
	old := plan.New(r.InForce.Routing)
	if old.RequiresKey() && !r.plan.RequiresKey() {
		r.findings = append(r.findings, Finding{Severity: Warning, Index: -1, Text: "no organisation is declared any more: requests on all routes need no key"})
		return
	}
	if old.KeyCount() > 0 && r.plan.KeyCount() == 0 {
		r.findings = append(r.findings, Finding{Severity: Warning, Index: -1, Text: "the last API key is removed: only requests on anonymous routes are served"})
	}
}

// checkOpenedRoutes reports routes that have become anonymous.
func (r *reviewer) checkOpenedRoutes() {
	r.changedRoutes(func(e *snipeford.DocumentEntry, old *snipeford.Route) {
		if e.Route.Anonymous && !old.Anonymous {
			r.report(Warning, e, snipeford.FieldAnonymous, "requests need no key any more")
		}
	})
}

// checkRepeatableRoutes reports routes whose requests may run more than once from now on.
func (r *reviewer) checkRepeatableRoutes() {
	r.changedRoutes(func(e *snipeford.DocumentEntry, old *snipeford.Route) {
		if e.Route.Idempotent() && !old.Idempotent() {
			r.report(Warning, e, snipeford.FieldKind, "requests may run more than once from now on")
		}
	})
}

// changedRoutes calls check with each valid route, and with the route in force for the
// requests on its prefix.
func (r *reviewer) changedRoutes(check func(*snipeford.DocumentEntry, *snipeford.Route)) {
	if r.InForce == nil || r.InForce.Refused != nil {
		return
	}
	old := plan.New(r.InForce.Routing)
	for _, e := range entries(&r.Next, snipeford.EntryRoute) {
		if e.Route == nil || e.Route.Err != nil {
			continue
		}
		if before := old.Route(e.Route.Host, e.Route.Prefix); before != nil && before.Err == nil {
			check(e, before)
		}
	}
}
