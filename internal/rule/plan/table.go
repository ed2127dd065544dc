package plan

const (
	// yieldEntries is the number of unchanged entries after which an update yields. One
	// takes about 10 ns.
	yieldEntries = 1024
	// changedEntries is the same for entries that changed. One takes about 1.3 µs.
	changedEntries = 16
)

// table indexes successive versions of a list of entries by their keys. An update costs
// what has changed, and a pass over the list that follows pointers only.
type table[K comparable, E any] struct {
	// keys returns the keys of an entry.
	keys func(*E) []K
	// choose decides between the entry that a key has and the next one of the list: whether
	// the next one replaces it, and the error if that is a duplicate.
	choose func(first, next *E) (replaces bool, duplicate error)
	index  shards[K, *E]

	// entries and records are those of the last version.
	entries []*E
	records []*record[K, E]
	byEntry map[*E]*record[K, E]
	groups  map[K]*group[K, E]
	version uint64
	// spare is memory for the records of the next version, and changed and chosen are for the
	// groups of an update.
	spare           []*record[K, E]
	changed, chosen []*group[K, E]
}

// record is an entry with the groups of its keys.
type record[K comparable, E any] struct {
	entry  *E
	groups []*group[K, E]
	// places is the number of places of the list that the entry has.
	places int
}

// group holds what entries with one key have in common.
type group[K comparable, E any] struct {
	key K
	// members is the number of entries with the key, and used the one in the index.
	members int
	used    *E
	// changed, seen and first belong to the update with the number in changed or seen: the
	// group has other members, and first is its first one.
	changed, seen uint64
	first         *E
}

// update indexes the next version of the list. It returns the errors of duplicates.
func (t *table[K, E]) update(next []*E, yield func()) []error {
	t.version++
	if t.byEntry == nil {
		t.byEntry, t.groups = make(map[*E]*record[K, E], len(next)), make(map[K]*group[K, E], len(next))
	}
	edit := &editor[K, *E]{shards: t.index}
	before, after := t.middle(next, yield)
	t.replace(before, after, yield)
	duplicates := t.chooseAll(edit, yield)
	for _, g := range t.changed {
		if g.members == 0 && t.groups[g.key] == g {
			delete(t.groups, g.key)
			edit.remove(g.key)
		}
	}
	t.index = edit.shards
	// What was removed is not kept in memory.
	clear(t.spare)
	clear(t.changed)
	clear(t.chosen)
	return duplicates
}

// middle sets the entries of the next version, and returns the records of the last one
// without those that both have at the beginning or the end, and the place of the others.
func (t *table[K, E]) middle(next []*E, yield func()) (before, after []*record[K, E]) {
	start, shorter := 0, min(len(t.entries), len(next))
	for start < shorter && t.entries[start] == next[start] {
		start++
	}
	end := 0
	for end < shorter-start && t.entries[len(t.entries)-1-end] == next[len(next)-1-end] {
		end++
	}
	records := append(t.spare[:0], t.records[:start]...)
	for i, entry := range next[start : len(next)-end] {
		if i%changedEntries == 0 {
			yield()
		}
		r := t.byEntry[entry]
		if r == nil {
			r = &record[K, E]{entry: entry}
			t.byEntry[entry] = r
		}
		records = append(records, r)
	}
	records = append(records, t.records[len(t.records)-end:]...)
	before, after = t.records[start:len(t.records)-end], records[start:len(records)-end]
	t.spare, t.records, t.entries = t.records, records, next
	return before, after
}

// replace changes the members of groups.
func (t *table[K, E]) replace(before, after []*record[K, E], yield func()) {
	t.changed = t.changed[:0]
	change := func(r *record[K, E], difference int) {
		for _, g := range r.groups {
			if g.members += difference; g.changed != t.version {
				g.changed = t.version
				t.changed = append(t.changed, g)
			}
		}
		r.places += difference
	}
	for i, r := range after {
		if r.groups == nil {
			t.addGroups(r, yield)
		}
		change(r, 1)
		if i%changedEntries == 0 {
			yield()
		}
	}
	for i, r := range before {
		if change(r, -1); r.places == 0 {
			delete(t.byEntry, r.entry)
		}
		if i%changedEntries == 0 {
			yield()
		}
	}
}

func (t *table[K, E]) addGroups(r *record[K, E], yield func()) {
	for i, key := range t.keys(r.entry) {
		if i%changedEntries == changedEntries-1 {
			yield()
		}
		g := t.groups[key]
		if g == nil {
			g = &group[K, E]{key: key}
			t.groups[key] = g
		}
		r.groups = append(r.groups, g)
	}
}

// chooseAll sets the entry that each changed key has, and returns the errors of duplicates
// in the order of the list.
func (t *table[K, E]) chooseAll(edit *editor[K, *E], yield func()) []error {
	var duplicates []error
	t.chosen = t.chosen[:0]
	for i, r := range t.records {
		for _, g := range r.groups {
			switch {
			case g.members == 1 && g.changed != t.version:
			case g.seen != t.version:
				g.seen, g.first = t.version, r.entry
				t.chosen = append(t.chosen, g)
			default:
				replaces, err := t.choose(g.first, r.entry)
				if replaces {
					g.first = r.entry
				}
				if err != nil {
					duplicates = append(duplicates, err)
				}
			}
		}
		if i%yieldEntries == 0 {
			yield()
		}
	}
	for i, g := range t.chosen {
		if g.used != g.first {
			g.used = g.first
			edit.set(g.key, g.first)
		}
		g.first = nil
		if i%changedEntries == 0 {
			yield()
		}
	}
	return duplicates
}
