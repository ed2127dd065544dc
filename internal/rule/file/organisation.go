package file

import (
	"encoding/hex"

	"snipeford"
	"snipeford/internal/rule/document"
)

var organisationKind = kind{
	Table: "Organisation",
	Usage: "the API key, limits, maximum prompt length and queue timeouts of an organisation",
	Parse: parseOrganisation,
}

type organisation = snipeford.OrganisationRule

var organisationFields = []document.Field[organisation]{
	{Name: "KeySHA256", Allowed: "the 64 hexadecimal digits of the key's SHA-256", Required: true, Set: func(r *organisation, v document.Value) error {
		digest, err := v.NonEmptyString()
		r.KeySHA256 = digest
		if raw, decodeErr := hex.DecodeString(digest); err == nil && (decodeErr != nil || len(raw) != 32) {
			return document.ErrValue
		}
		return err
	}},
	{Name: "TokensPerSecond", Allowed: "a number above 0", Required: true, Set: func(r *organisation, v document.Value) error {
		n, err := v.Number(1)
		r.TokensPerSecond = snipeford.TokensPerSecond(n)
		return err
	}},
	{Name: "RequestsPerSecond", Allowed: "a number of at least 0.01", Required: true, Set: func(r *organisation, v document.Value) (err error) {
		r.RequestsPerSecond, err = v.Number(0.01)
		return err
	}},
	{Name: "Concurrent", Allowed: "a whole number of at least 1", Required: true, Set: func(r *organisation, v document.Value) error {
		n, err := v.Integer(1)
		r.MaxConcurrent = int(n)
		return err
	}},
	{Name: "LongestPrompt", Allowed: "a whole number of tokens of at least 1", Required: true, Set: func(r *organisation, v document.Value) error {
		n, err := v.Integer(1)
		r.MaxPrompt = snipeford.Tokens(n)
		return err
	}},
	{Name: "Weight", Allowed: "a number of at least 0.01", Set: func(r *organisation, v document.Value) (err error) {
		r.Weight, err = v.Number(0.01)
		return err
	}},
	{Name: "ShortWait", Allowed: `a duration above 0 such as "2s"`, Set: func(r *organisation, v document.Value) (err error) {
		r.ShortQueueTimeout, err = v.Duration()
		return err
	}},
	{Name: "LongWait", Allowed: `a duration above 0 such as "30s"`, Set: func(r *organisation, v document.Value) (err error) {
		r.LongQueueTimeout, err = v.Duration()
		return err
	}},
}

func parseOrganisation(file string, e document.Entry, rules *snipeford.Rules) document.Faults {
	rule, faults := document.Decode(file, e.Line, e.Value.Fields, organisationFields)
	rule.RequestedBy = e.Comment
	rules.Organisations[snipeford.Organisation(e.Key)] = rule
	return faults
}
