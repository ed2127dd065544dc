package document

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Field says how one key is read into a T.
type Field[T any] struct {
	Name     string
	Allowed  string
	Required bool
	Set      func(*T, Value) error
}

// ErrValue is what Set returns where the value is not allowed; the fault tells
// what was read and what is allowed.
var ErrValue = errors.New("value is not allowed")

// Decode reads the entries into a T by the table of fields.
func Decode[T any](file string, line int, entries []Entry, fields []Field[T]) (T, Faults) {
	var out T
	var faults Faults
	seen := map[string]bool{}
	for _, e := range entries {
		i := slices.IndexFunc(fields, func(f Field[T]) bool { return f.Name == e.Key })
		if i < 0 {
			faults = append(faults, Fault{file, e.Line, e.Key, "an unknown key", "one of " + names(fields)})
			continue
		}
		seen[e.Key] = true
		if err := fields[i].Set(&out, e.Value); err != nil {
			faults = append(faults, Fault{file, e.Line, e.Key, e.Value.String(), fields[i].Allowed})
		}
	}
	for _, f := range fields {
		if f.Required && !seen[f.Name] {
			faults = append(faults, Fault{file, line, f.Name, "nothing", f.Allowed})
		}
	}
	return out, faults
}

func names[T any](fields []Field[T]) string {
	var out []string
	for _, f := range fields {
		out = append(out, f.Name)
	}
	return strings.Join(out, ", ")
}

// String returns the value as people wrote it, nearly.
func (v Value) String() string {
	switch v.Kind {
	case unstable.String:
		return strconv.Quote(v.Text)
	case unstable.Array:
		return fmt.Sprintf("an array of %d", len(v.Items))
	case unstable.InlineTable:
		return "an inline table"
	}
	return v.Text
}

// NonEmptyString reads a text that is not empty.
func (v Value) NonEmptyString() (string, error) {
	if v.Kind != unstable.String || v.Text == "" {
		return "", ErrValue
	}
	return v.Text, nil
}

// Number reads a number of at least least.
func (v Value) Number(least float64) (float64, error) {
	if v.Kind != unstable.Integer && v.Kind != unstable.Float {
		return 0, ErrValue
	}
	n, err := strconv.ParseFloat(strings.ReplaceAll(v.Text, "_", ""), 64)
	if err != nil || !(n >= least) || math.IsInf(n, 0) {
		return 0, ErrValue
	}
	return n, nil
}

// Integer reads a whole number of at least least.
func (v Value) Integer(least int64) (int64, error) {
	if v.Kind != unstable.Integer {
		return 0, ErrValue
	}
	n, err := strconv.ParseInt(strings.ReplaceAll(v.Text, "_", ""), 10, 64)
	if err != nil || n < least {
		return 0, ErrValue
	}
	return n, nil
}

// Duration reads a duration above zero, such as "30s".
func (v Value) Duration() (time.Duration, error) {
	if v.Kind != unstable.String {
		return 0, ErrValue
	}
	d, err := time.ParseDuration(v.Text)
	if err != nil || d <= 0 {
		return 0, ErrValue
	}
	return d, nil
}

// Strings reads an array of texts that accept allows.
func (v Value) Strings(accept func(string) bool) ([]string, error) {
	if v.Kind != unstable.Array {
		return nil, ErrValue
	}
	var out []string
	for _, item := range v.Items {
		w, err := item.NonEmptyString()
		if err != nil || !accept(w) {
			return nil, ErrValue
		}
		out = append(out, w)
	}
	return out, nil
}

// OneOf reads a text that is one of the list.
func (v Value) OneOf(list ...string) (string, error) {
	w, err := v.NonEmptyString()
	if err != nil || !slices.Contains(list, w) {
		return "", ErrValue
	}
	return w, nil
}
