// Package file parses the operators' rules file. The file is TOML with one rule
// a line, each followed by a comment that names who requested it. Each kind of
// rule has a source file in this package with its table name and fields.
package file

import (
	"fmt"

	"github.com/pelletier/go-toml/v2/unstable"

	"snipeford"
	"snipeford/internal/rule/document"
)

// kind describes a kind of rule and its table in the rules file.
type kind struct {
	Table string
	Usage string
	// Parse decodes a rule and adds it to rules.
	Parse func(file string, e document.Entry, rules *snipeford.Rules) document.Faults
}

// kinds lists the kinds of rules.
var kinds = []kind{organisationKind, modelKind, serviceKind}

// Usage returns a line for each kind of rule.
func Usage() []string {
	var out []string
	for _, k := range kinds {
		out = append(out, fmt.Sprintf("[%s] %s", k.Table, k.Usage))
	}
	return out
}

// Parse parses a rules file. The error holds all faults of the file.
func Parse(name string, data []byte) (snipeford.Rules, error) {
	rules := snipeford.Rules{
		Organisations: map[snipeford.Organisation]snipeford.OrganisationRule{},
		Models:        map[snipeford.Model]snipeford.ModelRule{},
		Services:      map[snipeford.ServiceName]snipeford.ServiceRule{},
	}
	entries, faults := document.Parse(name, data)
	for _, e := range entries {
		faults = append(faults, parseRule(name, e, &rules)...)
	}
	faults = append(faults, checkDuplicateKeys(name, entries, rules)...)
	return rules, faults.Err()
}

func parseRule(name string, e document.Entry, rules *snipeford.Rules) document.Faults {
	k, ok := findKind(e.Table)
	if !ok {
		return document.Faults{{File: name, Line: e.Line, Key: e.Key, Found: "a rule in table " + tableHeader(e.Table), Allowed: "tables " + tableHeaders()}}
	}
	if e.Value.Kind != unstable.InlineTable {
		return document.Faults{{File: name, Line: e.Line, Key: e.Key, Found: e.Value.String(), Allowed: "an inline table { ... } on one line"}}
	}
	var faults document.Faults
	if e.Comment == "" {
		faults = append(faults, document.Fault{File: name, Line: e.Line, Key: e.Key, Found: "no comment", Allowed: "a comment after the rule that names who requested it"})
	}
	return append(faults, k.Parse(name, e, rules)...)
}

func findKind(table string) (kind, bool) {
	for _, k := range kinds {
		if k.Table == table {
			return k, true
		}
	}
	return kind{}, false
}

func tableHeaders() string {
	out := ""
	for i, k := range kinds {
		if i > 0 {
			out += ", "
		}
		out += "[" + k.Table + "]"
	}
	return out
}

func tableHeader(table string) string {
	if table == "" {
		return "none"
	}
	return "[" + table + "]"
}

// checkDuplicateKeys reports organisations that share an API key.
func checkDuplicateKeys(name string, entries []document.Entry, rules snipeford.Rules) document.Faults {
	var faults document.Faults
	organisationByHash := map[string]string{}
	for _, e := range entries {
		if e.Table != organisationKind.Table {
			continue
		}
		hash := rules.Organisations[snipeford.Organisation(e.Key)].KeySHA256
		if other, ok := organisationByHash[hash]; ok && hash != "" {
			faults = append(faults, document.Fault{File: name, Line: e.Line, Key: "KeySHA256", Found: "the key of " + other, Allowed: "a different key for each organisation"})
		}
		organisationByHash[hash] = e.Key
	}
	return faults
}
