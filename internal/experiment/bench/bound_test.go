package bench

import (
	"io"
	"strings"
	"testing"
)

func TestCheck(t *testing.T) {
	const file = "[Bound]\n\"a\" = { AtMost = 2.0 } # target\n\"b\" = { AtLeast = 0.95, PartOf = \"a\" } # target\n"
	bounds, err := ParseBounds("bounds.toml", []byte(file))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name           string
		figures        []Figure
		knownFailures  string
		held, violated int
	}{
		{"both hold", []Figure{{"a", 2}, {"b", 1.9}}, "", 2, 0},
		{"one above", []Figure{{"a", 2.1}, {"b", 2.1}}, "", 1, 1},
		{"one below its fraction of another figure", []Figure{{"a", 2}, {"b", 1.8}}, "", 1, 1},
		{"a missing figure is a violation", []Figure{{"a", 1}}, "", 1, 1},
		{"a known failure is not counted", []Figure{{"a", 2.1}, {"b", 2.1}}, "# comment\na | bench -seed 1 | seen 2.1\n", 1, 0},
		{"a known failure with another seed is counted", []Figure{{"a", 2.1}, {"b", 2.1}}, "a | bench -seed 12 | seen 2.1\n", 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			held, violated := Check(io.Discard, c.figures, bounds, ParseKnownFailures(strings.NewReader(c.knownFailures), 1))
			if held != c.held || violated != c.violated {
				t.Errorf("got %d held and %d violated, want %d and %d", held, violated, c.held, c.violated)
			}
		})
	}
	t.Run("a bound without a target is reported with its line", func(t *testing.T) {
		_, err := ParseBounds("bounds.toml", []byte("[Bound]\n\"a\" = { AtMost = 2.0 }\n"))
		if err == nil || !strings.Contains(err.Error(), "bounds.toml:2") {
			t.Errorf("got %v, want an error at bounds.toml:2", err)
		}
	})
}
