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
// quarantine explains, the most probable one first. Crashes that one explains count, too,
// for a part that may have caused more successive ones than the quarantined part: sound
// parts can be quarantined before it.
func (s *State) ranking(now, until snipeford.Instant) []candidate {
	byPart := map[snipeford.PrefixPart]*candidate{}
	var explained []int
	for i, c := range s.crashes {
		switch {
		case c.at > until:
		case s.isExplained(c):
			explained = append(explained, i)
		default:
			for part := range c.placedAt {
				byPart[part] = nil
			}
		}
	}
	quarantined := s.quarantinedSuccessive(explained, until)
	for part := range byPart {
		all := s.candidate(part, until, func(*crash) bool { return true })
		if len(quarantined) == 0 {
			byPart[part] = all
			continue
		}
		byPart[part] = s.candidate(part, until, func(c *crash) bool { return !explainedAsWell(c, all.successive, quarantined) })
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

// candidate returns what the crashes up to an instant say of a part, as far as they count.
func (s *State) candidate(part snipeford.PrefixPart, until snipeford.Instant, counts func(*crash) bool) *candidate {
	f := &candidate{part: part, lastBegan: s.history.lastBegan(part)}
	for i, c := range s.crashes {
		placedAt, ok := c.placedAt[part]
		if !ok || c.at > until || !counts(c) {
			continue
		}
		f.all++
		f.crashes |= 1 << i
		if f.successive == 0 || placedAt > f.lastAt {
			f.successive++
			f.lastAt = c.at
		}
	}
	return f
}

// quarantinedSuccessive returns for each quarantined part of some crashes the number of
// successive crashes that it may have caused.
func (s *State) quarantinedSuccessive(explained []int, until snipeford.Instant) map[snipeford.PrefixPart]int {
	out := map[snipeford.PrefixPart]int{}
	for part := range s.records {
		if s.quarantined(part) && slices.ContainsFunc(explained, func(i int) bool { _, ok := s.crashes[i].placedAt[part]; return ok }) {
			out[part] = s.candidate(part, until, func(*crash) bool { return true }).successive
		}
	}
	return out
}

// explainedAsWell reports whether a quarantined part may have caused the crash, and at
// least as many successive ones as another part with a number of them.
func explainedAsWell(c *crash, successive int, quarantined map[snipeford.PrefixPart]int) bool {
	for part, count := range quarantined {
		if _, ok := c.placedAt[part]; ok && count >= successive {
			return true
		}
	}
	return false
}

// isExplained reports whether a quarantined part may have caused the crash.
func (s *State) isExplained(c *crash) bool {
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
