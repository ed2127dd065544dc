package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"sync/atomic"

	"snipeford"
)

// ConfigurationIndex looks up organisations by API key, and the rules, in the
// configuration in force. Its zero value is an empty configuration.
type ConfigurationIndex struct{ current atomic.Pointer[snapshot] }

type snapshot struct {
	byKeyHash map[string]snipeford.Organisation
	rules     snipeford.Rules
}

// Set replaces the configuration in force.
func (d *ConfigurationIndex) Set(c snipeford.Configuration) {
	next := &snapshot{byKeyHash: map[string]snipeford.Organisation{}, rules: c.Rules}
	for name, rule := range c.Rules.Organisations {
		next.byKeyHash[rule.KeySHA256] = name
	}
	d.current.Store(next)
}

// OrganisationByKey returns the organisation that has the API key, and its rule.
func (d *ConfigurationIndex) OrganisationByKey(key string) (snipeford.Organisation, snipeford.OrganisationRule, bool) {
	snap := d.current.Load()
	if snap == nil {
		return "", snipeford.OrganisationRule{}, false
	}
	sum := sha256.Sum256([]byte(key))
	name, ok := snap.byKeyHash[hex.EncodeToString(sum[:])]
	return name, snap.rules.Organisations[name], ok
}

// Model returns a model's rule.
func (d *ConfigurationIndex) Model(m snipeford.Model) (snipeford.ModelRule, bool) {
	snap := d.current.Load()
	if snap == nil {
		return snipeford.ModelRule{}, false
	}
	rule, ok := snap.rules.Models[m]
	return rule, ok
}

// Service returns a plain service's rule.
func (d *ConfigurationIndex) Service(s snipeford.ServiceName) (snipeford.ServiceRule, bool) {
	snap := d.current.Load()
	if snap == nil {
		return snipeford.ServiceRule{}, false
	}
	rule, ok := snap.rules.Services[s]
	return rule, ok
}
