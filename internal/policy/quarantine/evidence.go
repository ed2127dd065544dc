package quarantine

import (
	"cmp"
	"slices"

	"snipeford"
)

// addPart records that a part may have caused a crash, unless the crash has too many
// parts. It reports whether that is new.
func (s *State) addPart(c *crash, part snipeford.PrefixPart, placedAt snipeford.Instant) bool {
	if first, ok := c.placedAt[part]; ok {
		c.placedAt[part] = min(first, placedAt)
		return placedAt < first
	}
	if len(c.placedAt) >= maxPartsPerCrash {
		return false
	}
	c.placedAt[part] = placedAt
	if s.crashesOf == nil {
		s.crashesOf = map[snipeford.PrefixPart][]*crash{}
	}
	list := s.crashesOf[part]
	i, _ := slices.BinarySearchFunc(list, c.index, func(c *crash, index int) int { return cmp.Compare(c.index, index) })
	s.crashesOf[part] = slices.Insert(list, i, c)
	return true
}

// removePart removes a part from a crash.
func (s *State) removePart(c *crash, part snipeford.PrefixPart) {
	delete(c.placedAt, part)
	list := slices.DeleteFunc(s.crashesOf[part], func(o *crash) bool { return o == c })
	if len(list) == 0 {
		delete(s.crashesOf, part)
		return
	}
	s.crashesOf[part] = list
}

// forgetFirst forgets the oldest crash.
func (s *State) forgetFirst() {
	first := s.crashes[0]
	parts := make([]snipeford.PrefixPart, 0, len(first.placedAt))
	for part := range first.placedAt {
		parts = append(parts, part)
	}
	for _, part := range parts {
		s.removePart(first, part)
	}
	s.crashes = slices.Delete(s.crashes, 0, 1)
	s.renumber()
	s.updateSuspectsOf(parts)
}

// renumber sets the indexes of the crashes after one was inserted or removed.
func (s *State) renumber() {
	for i, c := range s.crashes {
		c.index = i
	}
}
