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

// Field describes a key: Set stores its value in a T.
type Field[T any] struct {
	Name     string
	Allowed  string
	Required bool
	Set      func(*T, Value) error
}

// ErrValue is the error that Set returns for a value that is not allowed. Decode
// adds the value and the allowed values to the fault.
var ErrValue = errors.New("value is not allowed")

// Decode sets the fields of a T from entries. Line is reported for missing keys.
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

// String describes the value for messages. Arrays and inline tables are
// summarised.
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

// NonEmptyString returns the value if it is a string that is not empty.
func (v Value) NonEmptyString() (string, error) {
	if v.Kind != unstable.String || v.Text == "" {
		return "", ErrValue
	}
	return v.Text, nil
}

// Number returns the value if it is a finite number of at least minimum.
func (v Value) Number(minimum float64) (float64, error) {
	if v.Kind != unstable.Integer && v.Kind != unstable.Float {
		return 0, ErrValue
	}
	n, err := strconv.ParseFloat(strings.ReplaceAll(v.Text, "_", ""), 64)
	if err != nil || !(n >= minimum) || math.IsInf(n, 0) {
		return 0, ErrValue
	}
	return n, nil
}

// Integer returns the value if it is an integer of at least minimum.
func (v Value) Integer(minimum int64) (int64, error) {
	if v.Kind != unstable.Integer {
		return 0, ErrValue
	}
	n, err := strconv.ParseInt(strings.ReplaceAll(v.Text, "_", ""), 10, 64)
	if err != nil || n < minimum {
		return 0, ErrValue
	}
	return n, nil
}

// Duration returns the value if it is a positive duration such as "30s".
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

// Strings returns the value if it is an array of strings that are not empty and
// that accept allows.
func (v Value) Strings(accept func(string) bool) ([]string, error) {
	if v.Kind != unstable.Array {
		return nil, ErrValue
	}
	var out []string
	for _, item := range v.Items {
		s, err := item.NonEmptyString()
		if err != nil || !accept(s) {
			return nil, ErrValue
		}
		out = append(out, s)
	}
	return out, nil
}

// OneOf returns the value if it is one of the allowed strings.
func (v Value) OneOf(allowed ...string) (string, error) {
	s, err := v.NonEmptyString()
	if err != nil || !slices.Contains(allowed, s) {
		return "", ErrValue
	}
	return s, nil
}
