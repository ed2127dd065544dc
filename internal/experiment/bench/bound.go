package bench

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"

	"snipeford/internal/rule/document"
)

// Bound is one regression bound of a figure.
type Bound struct {
	Name    string
	AtMost  *float64
	AtLeast *float64
	// PartOf names another figure that AtLeast is a part of.
	PartOf string
	Target string
}

var boundFields = []document.Field[Bound]{
	{Name: "AtMost", Allowed: "a number", Set: func(b *Bound, v document.Value) error {
		n, err := v.Number(0)
		b.AtMost = &n
		return err
	}},
	{Name: "AtLeast", Allowed: "a number", Set: func(b *Bound, v document.Value) error {
		n, err := v.Number(0)
		b.AtLeast = &n
		return err
	}},
	{Name: "PartOf", Allowed: "a figure's name", Set: func(b *Bound, v document.Value) (err error) {
		b.PartOf, err = v.NonEmptyString()
		return err
	}},
}

// ParseBounds reads a bounds file. Each bound needs a comment with its target.
func ParseBounds(file string, data []byte) ([]Bound, error) {
	entries, faults := document.Parse(file, data)
	var out []Bound
	for _, e := range entries {
		b, bad := document.Decode(file, e.Line, e.Value.Fields, boundFields)
		faults = append(faults, bad...)
		if e.Comment == "" {
			faults = append(faults, document.Fault{File: file, Line: e.Line, Key: e.Key, Found: "no comment", Allowed: "the target that the bound comes from"})
		}
		b.Name, b.Target = e.Key, e.Comment
		out = append(out, b)
	}
	return out, faults.Err()
}

// Check compares the figures with the bounds and prints a line for each bound
// that is broken or has no figure. Bounds in red are printed and passed over.
// It returns how many bounds held, and how many were broken and are not red.
func Check(out io.Writer, figures []Figure, bounds []Bound, red map[string]bool) (held, broken int) {
	values := map[string]float64{}
	for _, f := range figures {
		values[f.Name] = f.Value
	}
	for _, b := range bounds {
		fault := b.fault(values)
		switch {
		case fault == "":
			held++
		case red[b.Name]:
			fmt.Fprintf(out, "known red: %s: %s (%s)\n", b.Name, fault, b.Target)
		default:
			broken++
			fmt.Fprintf(out, "BROKEN: %s: %s (%s)\n", b.Name, fault, b.Target)
		}
	}
	return held, broken
}

func (b Bound) fault(values map[string]float64) string {
	got, ok := values[b.Name]
	if !ok {
		return "no such figure"
	}
	if b.AtMost != nil && got > *b.AtMost {
		return fmt.Sprintf("got %.3f, allowed at most %.3f", got, *b.AtMost)
	}
	if b.AtLeast == nil {
		return ""
	}
	least := *b.AtLeast
	if b.PartOf != "" {
		least *= values[b.PartOf]
	}
	if got < least {
		return fmt.Sprintf("got %.3f, allowed at least %.3f", got, least)
	}
	return ""
}

// ParseKnownFailures reads the names of the checks that are known to fail with a seed from
// KNOWN-RED.txt: the first word of each line that is no comment and whose
// command names the seed.
func ParseKnownFailures(in io.Reader, seed uint64) map[string]bool {
	out := map[string]bool{}
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		words := strings.Fields(lines.Text())
		if len(words) > 0 && !strings.HasPrefix(words[0], "#") && namesSeed(words, seed) {
			out[words[0]] = true
		}
	}
	return out
}

// namesSeed reports whether a command among the words takes the seed.
func namesSeed(words []string, seed uint64) bool {
	at := slices.Index(words, "-seed")
	return at >= 0 && at+1 < len(words) && words[at+1] == fmt.Sprint(seed)
}
