// Package document reads TOML files of this project's own formats line by line,
// so that each fault is told with its file, line and key, all faults in one run,
// and so that the comment behind a line can be kept.
package document

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Value is what stands behind a key: a text, an array or an inline table.
type Value struct {
	Kind   unstable.Kind
	Text   string
	Items  []Value
	Fields []Entry
}

// Entry is one key with its value.
type Entry struct {
	// Table is the name of the table that the entry stands in, or empty.
	Table   string
	Key     string
	Value   Value
	Line    int
	Comment string
}

// Fault is one thing wrong in a file.
type Fault struct {
	File    string
	Line    int
	Key     string
	Found   string
	Allowed string
}

// String returns the fault as a line for people.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: read %s; allowed: %s", f.File, f.Line, f.Key, f.Found, f.Allowed)
}

// Faults are all faults of one file. It is an error where it is not empty.
type Faults []Fault

// Error returns one line a fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error, or nil where there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Parse returns the entries of a file in their order. The syntax fault, if any,
// ends the reading.
func Parse(file string, data []byte) ([]Entry, Faults) {
	if fault, bad := checkSyntax(file, data); bad {
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

// checkSyntax finds what is no TOML at all, duplicate keys included.
func checkSyntax(file string, data []byte) (Fault, bool) {
	var all map[string]any
	err := toml.Unmarshal(data, &all)
	if err == nil {
		return Fault{}, false
	}
	var decode *toml.DecodeError
	line := 1
	if errors.As(err, &decode) {
		line, _ = decode.Position()
	}
	return Fault{File: file, Line: line, Key: "TOML", Found: err.Error(), Allowed: "TOML 1.0"}, true
}

func lastLine(list []Entry) int {
	if len(list) == 0 {
		return 1
	}
	return list[len(list)-1].Line
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
