package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"sync/atomic"

	"snipeford"
)

// Directory finds organisations by key, and the rules, as of the configuration
// in force. Its zero value knows nobody.
type Directory struct{ current atomic.Pointer[directory] }

type directory struct {
	byKey map[string]snipeford.Organisation
	rules snipeford.Rules
}

// Set puts a configuration into force.
func (d *Directory) Set(c snipeford.Configuration) {
	next := &directory{byKey: map[string]snipeford.Organisation{}, rules: c.Rules}
	for name, rule := range c.Rules.Organisations {
		next.byKey[rule.KeySHA256] = name
	}
	d.current.Store(next)
}

// Find returns the organisation that has the key.
func (d *Directory) Find(key string) (snipeford.Organisation, snipeford.OrganisationRule, bool) {
	c := d.current.Load()
	if c == nil {
		return "", snipeford.OrganisationRule{}, false
	}
	sum := sha256.Sum256([]byte(key))
	name, ok := c.byKey[hex.EncodeToString(sum[:])]
	return name, c.rules.Organisations[name], ok
}

// Model returns a model's rule.
func (d *Directory) Model(m snipeford.Model) (snipeford.ModelRule, bool) {
	c := d.current.Load()
	if c == nil {
		return snipeford.ModelRule{}, false
	}
	rule, ok := c.rules.Models[m]
	return rule, ok
}

// Service returns a plain service's rule.
func (d *Directory) Service(s snipeford.ServiceName) (snipeford.ServiceRule, bool) {
	c := d.current.Load()
	if c == nil {
		return snipeford.ServiceRule{}, false
	}
	rule, ok := c.rules.Services[s]
	return rule, ok
}
