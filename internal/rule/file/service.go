package file

import (
	"regexp"

	"snipeford"
	"snipeford/internal/rule/document"
)

var serviceKind = kind{
	Table: "Service",
	Usage: "which plain services are served, and which of their calls must never run twice",
	Parse: parseService,
}

type service = snipeford.ServiceRule

// callPattern matches a method and a path, such as "POST /dispatch".
var callPattern = regexp.MustCompile(`^(GET|POST|PUT|PATCH|DELETE) /[^ ?#]*$`)

var serviceFields = []document.Field[service]{
	{Name: "Timeout", Allowed: `a duration above 0 such as "10s"`, Required: true, Set: func(r *service, v document.Value) (err error) {
		r.Timeout, err = v.Duration()
		return err
	}},
	{Name: "Once", Allowed: `an array of calls such as ["POST /dispatch"]`, Set: func(r *service, v document.Value) (err error) {
		r.AtMostOnce, err = v.Strings(callPattern.MatchString)
		return err
	}},
}

func parseService(file string, e document.Entry, rules *snipeford.Rules) document.Faults {
	rule, faults := document.Decode(file, e.Line, e.Value.Fields, serviceFields)
	rule.RequestedBy = e.Comment
	rules.Services[snipeford.ServiceName(e.Key)] = rule
	return faults
}
