package quarantine

import (
	"cmp"
	"math"
	"slices"

	"snipeford"
)

// candidate is a part that may have caused crashes.
type candidate struct {
	part snipeford.PrefixPart
	// successive is the number of crashes that count one after another, and all the
	// number of all crashes.
	successive, all int
	lastAt          snipeford.Instant
	// lastBegan is when the last response to the part began that went on.
	lastBegan snipeford.Instant
}

// ranking returns the parts that may have caused the crashes up to an instant that no
// quarantine explains, the most probable one first.
func (s *State) ranking(until snipeford.Instant) []candidate {
	byPart := map[snipeford.PrefixPart]*candidate{}
	for _, c := range s.crashes {
		if c.at > until || s.explained(c) {
			continue
		}
		for part, placedAt := range c.placedAt {
			f := byPart[part]
			if f == nil {
				f = &candidate{part: part, lastBegan: s.history.lastBegan(part)}
				byPart[part] = f
			}
			f.all++
			if f.successive == 0 || placedAt > f.lastAt {
				f.successive++
				f.lastAt = c.at
			}
		}
	}
	out := make([]candidate, 0, len(byPart))
	for _, f := range byPart {
		out = append(out, *f)
	}
	slices.SortFunc(out, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.successive, a.successive), cmp.Compare(a.lastBegan, b.lastBegan), cmp.Compare(b.all, a.all), cmp.Compare(a.part, b.part))
	})
	return out
}

// updateSuspects recomputes the suspect parts. Unlike a quarantine, a suspicion counts
// a crash at once: its requests are about to be repeated.
func (s *State) updateSuspects() {
	s.suspects = s.suspects[:0]
	for _, c := range s.ranking(math.MaxInt64) {
		if c.successive >= suspectCrashes {
			s.suspects = append(s.suspects, c.part)
		}
	}
}

// explained reports whether a quarantined part may have caused the crash.
func (s *State) explained(c *crash) bool {
	for part := range c.placedAt {
		if s.quarantined(part) {
			return true
		}
	}
	return false
}

func (s *State) quarantined(part snipeford.PrefixPart) bool {
	r := s.records[part]
	return r != nil && !r.Released
}
