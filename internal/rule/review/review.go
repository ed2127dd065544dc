// Package review checks a version of the operators' configuration before it is in force.
// The decoder and the index of the nodes decide what is an error; the other checks warn of
// what nodes accept. It has no I/O.
package review

import (
	"fmt"
	"time"

	"snipeford"
	"snipeford/internal/rule/plan"
)

// Severity is the severity of a finding.
type Severity string

// Severities. Nodes report an Error as invalid and do not use the entry, at least in part. A
// Warning is about an entry that they use.
const (
	Error   Severity = "Error"
	Warning Severity = "Warning"
)

// Finding is the result of a check.
type Finding struct {
	Severity Severity
	// List, Index and Name locate the entry. List is empty if the finding is about the
	// whole configuration, and Index is -1 if the entry is in no list.
	List  string
	Index int
	Name  string
	// Field is the name of the field in the configuration, if the finding is about one.
	Field string
	Text  string
}

func (f Finding) String() string {
	place := place(f.List, f.Index, f.Name)
	if f.Field != "" && f.Field != f.List {
		place += " " + f.Field
	}
	if place != "" {
		place += ": "
	}
	return fmt.Sprintf("%s: %s%s", f.Severity, place, f.Text)
}

// maxNameBytes limits the part of a name that is shown, as in the errors of the decoder.
const maxNameBytes = 64

func place(list string, index int, name string) string {
	if index >= 0 {
		list = fmt.Sprintf("%s[%d]", list, index)
	}
	if name != "" {
		list += fmt.Sprintf(" %.*q", maxNameBytes, name)
	}
	return list
}

// Node holds what checks need of the settings of a node.
type Node struct {
	RetryRatio, RetrySlack float64
	ProcessorShare         float64
	ConfigurationBound     time.Duration
	// Capacity is the number of bytes of callers that a node holds.
	Capacity int64
}

// Input is what is checked.
type Input struct {
	Next snipeford.RoutingDocument
	// InForce is the configuration in force. Checks that need it are left out if it is nil.
	InForce *snipeford.RoutingDocument
	// Enforced holds the limits that nodes enforce for the limits of Next.
	Enforced snipeford.CallerLimits
	// Node is nil if the settings are not known. Checks that need them are then left out.
	Node *Node
}

// reviewer runs the checks on an input.
type reviewer struct {
	Input
	plan     *plan.Plan
	findings []Finding
}

// checks lists the checks of a configuration that nodes do not refuse as a whole.
var checks = []func(*reviewer){
	(*reviewer).checkErrors, (*reviewer).checkHiddenRoutes, (*reviewer).checkWeights, (*reviewer).checkServices, (*reviewer).checkKeys,
	(*reviewer).checkTimeouts, (*reviewer).checkAttempts, (*reviewer).checkColdBounds, (*reviewer).checkCallerLimits, (*reviewer).checkBodyCapacity,
	(*reviewer).checkVersion, (*reviewer).checkLastKey, (*reviewer).checkOpenedRoutes, (*reviewer).checkRepeatableRoutes, (*reviewer).checkApplyTime,
}

// Check returns the findings of all checks.
func Check(in Input) []Finding {
	r := &reviewer{Input: in}
	if err := in.Next.Refused; err != nil {
		r.findings = append(r.findings, Finding{Severity: Error, Index: -1, Text: "nodes refuse the whole configuration: " + err.Error()})
		r.checkErrors()
		return r.findings
	}
	r.plan = plan.New(in.Next.Routing)
	for _, check := range checks {
		check(r)
	}
	return r.findings
}

// report adds a finding about a field of an entry, which may be empty.
func (r *reviewer) report(s Severity, e *snipeford.DocumentEntry, field snipeford.EntryField, format string, values ...any) {
	r.findings = append(r.findings, Finding{
		Severity: s, List: e.List, Index: e.Index, Name: e.Name, Field: r.Next.Names[field], Text: fmt.Sprintf(format, values...),
	})
}

// entries returns the entries of a kind.
func entries(d *snipeford.RoutingDocument, kind snipeford.EntryKind) []*snipeford.DocumentEntry {
	var out []*snipeford.DocumentEntry
	for i := range d.Entries {
		if d.Entries[i].Kind == kind {
			out = append(out, &d.Entries[i])
		}
	}
	return out
}

// single returns the entry of a kind that is in no list. A document may lack it.
func single(d *snipeford.RoutingDocument, kind snipeford.EntryKind, list string) *snipeford.DocumentEntry {
	if found := entries(d, kind); len(found) > 0 {
		return found[0]
	}
	return &snipeford.DocumentEntry{EntryPlace: snipeford.EntryPlace{Kind: kind, List: list, Index: -1}}
}
