// Package document parses the project's TOML files into entries that keep their
// line number and trailing comment. All faults of a file are reported at once,
// each with its file, line and key.
package document

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Value is the value of a key: a scalar, an array or an inline table.
type Value struct {
	Kind   unstable.Kind
	Text   string
	Items  []Value
	Fields []Entry
}

// Entry is a key with its value.
type Entry struct {
	// Table is the name of the table that contains the entry, or empty.
	Table   string
	Key     string
	Value   Value
	Line    int
	Comment string
}

// Fault is an error in a file: Found was read where Allowed is expected.
type Fault struct {
	File    string
	Line    int
	Key     string
	Found   string
	Allowed string
}

// String formats the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: read %s; allowed: %s", f.File, f.Line, f.Key, f.Found, f.Allowed)
}

// Faults holds all faults of a file. It is an error if it is not empty.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error, or nil if there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Parse returns the entries of a file in order. A syntax error ends parsing and
// is the only fault.
func Parse(file string, data []byte) ([]Entry, Faults) {
	if fault, invalid := checkSyntax(file, data); invalid {
		return nil, Faults{fault}
	}
	p := &unstable.Parser{KeepComments: true}
	p.Reset(data)
	var out []Entry
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = joinKey(e.Key())
		case unstable.KeyValue:
			entry := readEntry(p, e)
			entry.Table = table
			if next := e.Next(); next != nil && next.Kind == unstable.Comment {
				entry.Comment = strings.TrimSpace(strings.TrimLeft(string(next.Data), "#"))
			}
			out = append(out, entry)
		}
	}
	if err := p.Error(); err != nil {
		return out, Faults{{File: file, Line: lastLine(out), Key: "TOML", Found: err.Error(), Allowed: "TOML 1.0"}}
	}
	return out, nil
}

// checkSyntax reports the first error that makes the file invalid TOML, such as
// a duplicate key.
func checkSyntax(file string, data []byte) (Fault, bool) {
	var content map[string]any
	err := toml.Unmarshal(data, &content)
	if err == nil {
		return Fault{}, false
	}
	var decodeErr *toml.DecodeError
	line := 1
	if errors.As(err, &decodeErr) {
		line, _ = decodeErr.Position()
	}
	return Fault{File: file, Line: line, Key: "TOML", Found: err.Error(), Allowed: "TOML 1.0"}, true
}

func lastLine(entries []Entry) int {
	if len(entries) == 0 {
		return 1
	}
	return entries[len(entries)-1].Line
}

func joinKey(it unstable.Iterator) string {
	var parts []string
	for it.Next() {
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, ".")
}

func readEntry(p *unstable.Parser, n *unstable.Node) Entry {
	return Entry{
		Key:   joinKey(n.Key()),
		Value: readValue(p, n.Value()),
		Line:  p.Shape(n.Raw).Start.Line,
	}
}

func readValue(p *unstable.Parser, n *unstable.Node) Value {
	v := Value{Kind: n.Kind, Text: string(n.Data)}
	it := n.Children()
	for it.Next() {
		child := it.Node()
		switch {
		case n.Kind == unstable.InlineTable && child.Kind == unstable.KeyValue:
			v.Fields = append(v.Fields, readEntry(p, child))
		case n.Kind == unstable.Array && child.Kind != unstable.Comment:
			v.Items = append(v.Items, readValue(p, child))
		}
	}
	return v
}
