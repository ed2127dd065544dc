package file

import (
	"snipeford"
	"snipeford/internal/rule/document"
)

var modelKind = kind{
	Table: "Model",
	Usage: "which models are served, for how long a request may run and how long an answer may be",
	Parse: parseModel,
}

type model = snipeford.ModelRule

var modelFields = []document.Field[model]{
	{Name: "Timeout", Allowed: `a duration above 0 such as "120s"`, Required: true, Set: func(r *model, v document.Value) (err error) {
		r.Timeout, err = v.Duration()
		return err
	}},
	{Name: "MaxOutput", Allowed: "a whole number of tokens of at least 1", Required: true, Set: func(r *model, v document.Value) error {
		n, err := v.Integer(1)
		r.MaxOutput = snipeford.Tokens(n)
		return err
	}},
}

func parseModel(file string, e document.Entry, rules *snipeford.Rules) document.Faults {
	rule, faults := document.Decode(file, e.Line, e.Value.Fields, modelFields)
	rule.RequestedBy = e.Comment
	rules.Models[snipeford.Model(e.Key)] = rule
	return faults
}
