package bench

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"

	"snipeford/internal/rule/document"
)

// Bound is a regression bound on a figure.
type Bound struct {
	Name    string
	AtMost  *float64
	AtLeast *float64
	// PartOf names another figure. If it is set, AtLeast is a fraction of that
	// figure.
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

// ParseBounds parses a bounds file. Each bound needs a comment that states its
// target.
func ParseBounds(file string, data []byte) ([]Bound, error) {
	entries, faults := document.Parse(file, data)
	var out []Bound
	for _, e := range entries {
		b, fieldFaults := document.Decode(file, e.Line, e.Value.Fields, boundFields)
		faults = append(faults, fieldFaults...)
		if e.Comment == "" {
			faults = append(faults, document.Fault{File: file, Line: e.Line, Key: e.Key, Found: "no comment", Allowed: "the target that the bound comes from"})
		}
		b.Name, b.Target = e.Key, e.Comment
		out = append(out, b)
	}
	return out, faults.Err()
}

// Check compares the figures with the bounds and prints a line for each bound
// that is violated or has no figure. Violations of the bounds in known are
// printed but not counted. It returns the number of bounds that hold and the
// number of violated bounds that are not in known.
func Check(out io.Writer, figures []Figure, bounds []Bound, known map[string]bool) (held, violated int) {
	values := map[string]float64{}
	for _, f := range figures {
		values[f.Name] = f.Value
	}
	for _, b := range bounds {
		violation := b.violation(values)
		switch {
		case violation == "":
			held++
		case known[b.Name]:
			fmt.Fprintf(out, "known red: %s: %s (%s)\n", b.Name, violation, b.Target)
		default:
			violated++
			fmt.Fprintf(out, "BROKEN: %s: %s (%s)\n", b.Name, violation, b.Target)
		}
	}
	return held, violated
}

func (b Bound) violation(values map[string]float64) string {
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

// ParseKnownFailures parses KNOWN-RED.txt and returns the names of the checks
// that are known to fail with a seed. The name is the first word of a line.
// Comment lines and lines whose command does not contain the seed are skipped.
func ParseKnownFailures(in io.Reader, seed uint64) map[string]bool {
	out := map[string]bool{}
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		words := strings.Fields(lines.Text())
		if len(words) > 0 && !strings.HasPrefix(words[0], "#") && hasSeed(words, seed) {
			out[words[0]] = true
		}
	}
	return out
}

// hasSeed reports whether the words contain a -seed flag with the given seed.
func hasSeed(words []string, seed uint64) bool {
	at := slices.Index(words, "-seed")
	return at >= 0 && at+1 < len(words) && words[at+1] == fmt.Sprint(seed)
}
