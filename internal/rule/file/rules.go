// Package file reads the operators' rules file: TOML, one rule a line, each
// with a comment behind it that names who asked for it. A kind of rule is one
// file of this package: its table name, its fields and where it goes.
package file

import (
	"fmt"

	"github.com/pelletier/go-toml/v2/unstable"

	"snipeford"
	"snipeford/internal/rule/document"
)

// kind is one kind of rule.
type kind struct {
	Table string
	Usage string
	// Parse reads one rule's fields and puts the rule into the rules.
	Parse func(file string, e document.Entry, into *snipeford.Rules) document.Faults
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

// Parse reads a rules file. All faults are told in one run.
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
	faults = append(faults, checkKeys(name, entries, rules)...)
	return rules, faults.Err()
}

func parseRule(name string, e document.Entry, rules *snipeford.Rules) document.Faults {
	k, ok := kindOf(e.Table)
	if !ok {
		return document.Faults{{File: name, Line: e.Line, Key: e.Key, Found: "a rule in table " + quoted(e.Table), Allowed: "tables " + tables()}}
	}
	if e.Value.Kind != unstable.InlineTable {
		return document.Faults{{File: name, Line: e.Line, Key: e.Key, Found: e.Value.String(), Allowed: "an inline table { ... } on one line"}}
	}
	var faults document.Faults
	if e.Comment == "" {
		faults = append(faults, document.Fault{File: name, Line: e.Line, Key: e.Key, Found: "no comment", Allowed: "a comment behind the rule that names who asked for it"})
	}
	return append(faults, k.Parse(name, e, rules)...)
}

func kindOf(table string) (kind, bool) {
	for _, k := range kinds {
		if k.Table == table {
			return k, true
		}
	}
	return kind{}, false
}

func tables() string {
	out := ""
	for i, k := range kinds {
		if i > 0 {
			out += ", "
		}
		out += "[" + k.Table + "]"
	}
	return out
}

func quoted(table string) string {
	if table == "" {
		return "none"
	}
	return "[" + table + "]"
}

// checkKeys finds two organisations with one key.
func checkKeys(name string, entries []document.Entry, rules snipeford.Rules) document.Faults {
	var faults document.Faults
	owner := map[string]string{}
	for _, e := range entries {
		if e.Table != organisationKind.Table {
			continue
		}
		hash := rules.Organisations[snipeford.Organisation(e.Key)].KeySHA256
		if other, ok := owner[hash]; ok && hash != "" {
			faults = append(faults, document.Fault{File: name, Line: e.Line, Key: "KeySHA256", Found: "the key of " + other, Allowed: "a key of its own for each organisation"})
		}
		owner[hash] = e.Key
	}
	return faults
}
