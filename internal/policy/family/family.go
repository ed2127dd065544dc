// Package family implements a registry of the policies of one kind, each with a
// name, a usage line and a constructor.
package family

import (
	"strings"

	"github.com/gravitational/trace"
)

// Policy is an entry of a Table.
type Policy[T any] struct {
	Name  string
	Usage string
	New   func() T
}

// Table lists the policies of one kind.
type Table[T any] []Policy[T]

// Names returns the names of the policies, separated by commas, for messages.
func (t Table[T]) Names() string {
	names := make([]string, len(t))
	for i, p := range t {
		names[i] = p.Name
	}
	return strings.Join(names, ", ")
}

// New constructs the named policy.
func (t Table[T]) New(name string) (T, error) {
	for _, p := range t {
		if p.Name == name {
			return p.New(), nil
		}
	}
	var zero T
	return zero, trace.NotFound("unknown policy %q: want one of %s", name, t.Names())
}
