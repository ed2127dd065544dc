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
	// lastBegan is when the last response to the part began that went on, and score the
	// number of successive crashes that count against the part.
	lastBegan snipeford.Instant
	score     int
	// crashes has a bit for each crash of State that the part may have caused.
	crashes uint64
}

// ranking returns the parts that may have caused the crashes up to an instant that no
// quarantine explains, the most probable one first.
func (s *State) ranking(now, until snipeford.Instant) []candidate {
	byPart := map[snipeford.PrefixPart]*candidate{}
	for i, c := range s.crashes {
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
			f.crashes |= 1 << i
			if f.successive == 0 || placedAt > f.lastAt {
				f.successive++
				f.lastAt = c.at
			}
		}
	}
	out := make([]candidate, 0, len(byPart))
	for _, f := range byPart {
		f.score = f.successive
		if f.lastBegan > 0 && now.Sub(f.lastBegan) < provenTime {
			f.score -= provenCrashes
		}
		out = append(out, *f)
	}
	slices.SortFunc(out, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.lastBegan, b.lastBegan), cmp.Compare(b.all, a.all), requestFirst(a.part, b.part), cmp.Compare(a.part, b.part))
	})
	return out
}

// requestFirst orders keys of requests before parts.
func requestFirst(a, b snipeford.PrefixPart) int {
	switch {
	case a.IsRequest() == b.IsRequest():
		return 0
	case a.IsRequest():
		return -1
	}
	return 1
}

// dominated reports whether another part may have caused all crashes of the candidate
// and further ones. Such a candidate only was beside the other part.
func (c candidate) dominated(all []candidate) bool {
	return slices.ContainsFunc(all, func(o candidate) bool { return o.crashes&c.crashes == c.crashes && o.crashes != c.crashes })
}

// updateSuspects recomputes the suspect parts. Unlike a quarantine, a suspicion counts
// a crash at once: its requests are about to be repeated.
func (s *State) updateSuspects() {
	s.watchChanged = true
	s.suspects = s.suspects[:0]
	for _, c := range s.ranking(math.MaxInt64, math.MaxInt64) {
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
