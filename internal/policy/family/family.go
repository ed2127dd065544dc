// Package family is the shape that all families of policies have: a table of
// members, each with a name, a usage line and a constructor.
package family

import (
	"strings"

	"github.com/gravitational/trace"
)

// Policy is one policy of a family.
type Policy[T any] struct {
	Name  string
	Usage string
	New   func() T
}

// Table lists the members of a family.
type Table[T any] []Policy[T]

// Names returns the members' names, for messages.
func (t Table[T]) Names() string {
	names := make([]string, len(t))
	for i, m := range t {
		names[i] = m.Name
	}
	return strings.Join(names, ", ")
}

// New returns a new policy of the named member.
func (t Table[T]) New(name string) (T, error) {
	for _, m := range t {
		if m.Name == name {
			return m.New(), nil
		}
	}
	var none T
	return none, trace.NotFound("%q is none of %s", name, t.Names())
}
