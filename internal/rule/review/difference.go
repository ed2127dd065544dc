package review

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"snipeford"
)

// Change is the difference of an entry to the configuration in force.
type Change struct {
	// Kind is Added, Removed or Changed.
	Kind  string
	List  string
	Index int
	Name  string
	// Members says what has changed, one text for each member.
	Members []string
}

var changeSigns = map[string]string{"Added": "+", "Removed": "-", "Changed": "~"}

func (c Change) String() string {
	out := changeSigns[c.Kind] + " " + place(c.List, c.Index, c.Name)
	if len(c.Members) > 0 {
		out += ": " + strings.Join(c.Members, ", ")
	}
	return out
}

// entryKey identifies an entry in both configurations: the nth one of a list with a name.
type entryKey struct {
	list, name string
	n          int
}

func byKey(d *snipeford.RoutingDocument) (map[entryKey]*snipeford.DocumentEntry, []entryKey) {
	out, counts := map[entryKey]*snipeford.DocumentEntry{}, map[entryKey]int{}
	var order []entryKey
	for i := range d.Entries {
		e := &d.Entries[i]
		key := entryKey{list: e.List, name: e.Name}
		counts[key]++
		key.n = counts[key]
		out[key] = e
		order = append(order, key)
	}
	return out, order
}

// Difference returns the entries that differ, in the order of the next configuration, and
// then those that it lacks. An entry is the same if its list and name are.
func Difference(inForce, next *snipeford.RoutingDocument) []Change {
	old, oldOrder := byKey(inForce)
	now, order := byKey(next)
	var out []Change
	add := func(kind string, e *snipeford.DocumentEntry, members []string) {
		out = append(out, Change{Kind: kind, List: e.List, Index: e.Index, Name: e.Name, Members: members})
	}
	for _, key := range order {
		e, before := now[key], old[key]
		if before == nil {
			add("Added", e, nil)
		} else if members := memberChanges(before, e, next.Names[snipeford.FieldKeys]); len(members) > 0 {
			add("Changed", e, members)
		}
	}
	for _, key := range oldOrder {
		if now[key] == nil {
			add("Removed", old[key], nil)
		}
	}
	return out
}

// unchanged returns the entries of next that do not differ from those in force.
func unchanged(inForce, next *snipeford.RoutingDocument) map[*snipeford.DocumentEntry]bool {
	out := map[*snipeford.DocumentEntry]bool{}
	if inForce == nil {
		return out
	}
	old, _ := byKey(inForce)
	now, _ := byKey(next)
	for key, e := range now {
		out[e] = old[key] != nil && len(memberChanges(old[key], e, "")) == 0
	}
	return out
}

// memberChanges says which members differ. It counts API keys and does not show them.
func memberChanges(old, next *snipeford.DocumentEntry, keys string) []string {
	var out []string
	names := maps.Clone(old.Members)
	if names == nil {
		names = map[string]string{}
	}
	maps.Copy(names, next.Members)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		before, had := old.Members[name]
		after, has := next.Members[name]
		switch {
		case !had:
			out = append(out, fmt.Sprintf("%s %s added", name, after))
		case !has:
			out = append(out, fmt.Sprintf("%s %s removed", name, before))
		case before != after:
			out = append(out, fmt.Sprintf("%s %s -> %s", name, before, after))
		}
	}
	added, removed := missing(next.Access, old.Access), missing(old.Access, next.Access)
	if added+removed > 0 {
		out = append(out, fmt.Sprintf("%s %d added, %d removed", keys, added, removed))
	}
	return out
}

// missing returns the number of keys of a that b lacks.
func missing(a, b *snipeford.Access) int {
	if a == nil {
		return 0
	}
	has := map[string]bool{}
	if b != nil {
		for _, key := range b.Keys {
			has[key] = true
		}
	}
	count := 0
	for _, key := range a.Keys {
		if !has[key] {
			count++
		}
	}
	return count
}
