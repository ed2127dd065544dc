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

// evaluation holds what the candidates of one ranking have in common: what the crashes up
// to an instant say.
type evaluation struct {
	*State
	until snipeford.Instant
	// explained has a bit for each crash that a quarantined part may have caused, and
	// quarantined holds for each such part the number of successive crashes that it may
	// have caused.
	explained   uint64
	quarantined map[snipeford.PrefixPart]int
}

func (s *State) evaluate(until snipeford.Instant) evaluation {
	e := evaluation{State: s, until: until}
	for part := range s.records {
		if !s.quarantined(part) {
			continue
		}
		for _, c := range s.crashesOf[part] {
			e.explained |= 1 << c.index
			if c.at <= until && e.quarantined[part] == 0 {
				if e.quarantined == nil {
					e.quarantined = map[snipeford.PrefixPart]int{}
				}
				e.quarantined[part] = s.candidate(part, until, func(*crash) bool { return true }).successive
			}
		}
	}
	return e
}

// candidate returns what the crashes say of a part, and false if a quarantine explains
// them all.
func (e evaluation) candidate(part snipeford.PrefixPart) (candidate, bool) {
	unexplained := slices.ContainsFunc(e.crashesOf[part], func(c *crash) bool { return c.at <= e.until && e.explained&(1<<c.index) == 0 })
	if !unexplained {
		return candidate{}, false
	}
	all := e.State.candidate(part, e.until, func(*crash) bool { return true })
	if len(e.quarantined) == 0 {
		return all, true
	}
	return e.State.candidate(part, e.until, func(c *crash) bool { return !explainedAsWell(c, all.successive, e.quarantined) }), true
}

// ranking returns the parts that may have caused at least a number of crashes, one of them
// up to an instant and explained by no quarantine, the most probable one first. Crashes that
// one explains count, too, for a part that may have caused more successive ones than the
// quarantined part: sound parts can be quarantined before it.
func (s *State) ranking(now, until snipeford.Instant, least int) []candidate {
	e := s.evaluate(until)
	var out []candidate
	for part, crashes := range s.crashesOf {
		if len(crashes) < least {
			continue
		}
		c, ok := e.candidate(part)
		if !ok {
			continue
		}
		c.score = c.successive
		if c.lastBegan > 0 && now.Sub(c.lastBegan) < provenTime {
			c.score -= provenCrashes
		}
		out = append(out, c)
	}
	slices.SortFunc(out, compareCandidates)
	return out
}

// compareCandidates orders the more probable candidate first.
func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.lastBegan, b.lastBegan), cmp.Compare(b.all, a.all), requestFirst(a.part, b.part), cmp.Compare(a.part, b.part))
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
	s.suspects = map[snipeford.PrefixPart]candidate{}
	e := s.evaluate(math.MaxInt64)
	s.someExplained = len(e.quarantined) > 0
	for part, crashes := range s.crashesOf {
		if len(crashes) >= suspectCrashes {
			s.updateSuspect(e, part)
		}
	}
}

// updateSuspectsOf does the same for parts whose crashes have changed. What is quarantined
// explains crashes of other parts as well, so that all are recomputed then.
func (s *State) updateSuspectsOf(parts []snipeford.PrefixPart) {
	e := s.evaluate(math.MaxInt64)
	if len(e.quarantined) > 0 || s.someExplained || s.suspects == nil {
		s.updateSuspects()
		return
	}
	s.watchChanged = true
	for _, part := range parts {
		s.updateSuspect(e, part)
	}
}

func (s *State) updateSuspect(e evaluation, part snipeford.PrefixPart) {
	c, ok := e.candidate(part)
	if !ok || c.successive < suspectCrashes {
		delete(s.suspects, part)
		return
	}
	s.suspects[part] = c
}

// suspectsAmong returns the suspect parts of a request, the most probable one first.
func (s *State) suspectsAmong(parts []snipeford.PrefixPart) []snipeford.PrefixPart {
	var found []candidate
	for _, part := range parts {
		c, ok := s.suspects[part]
		if !ok || slices.ContainsFunc(found, func(o candidate) bool { return o.part == part }) {
			continue
		}
		// Parts that are proven by a response are ranked by the history as it is now.
		c.lastBegan, c.score = s.history.lastBegan(part), c.successive
		found = append(found, c)
	}
	slices.SortFunc(found, compareCandidates)
	out := make([]snipeford.PrefixPart, 0, len(found))
	for _, c := range found {
		out = append(out, c.part)
	}
	return out
}

// candidate returns what the crashes up to an instant say of a part, as far as they count.
func (s *State) candidate(part snipeford.PrefixPart, until snipeford.Instant, counts func(*crash) bool) candidate {
	f := candidate{part: part, lastBegan: s.history.lastBegan(part)}
	for _, c := range s.crashesOf[part] {
		if c.at > until || !counts(c) {
			continue
		}
		f.all++
		f.crashes |= 1 << c.index
		if placedAt := c.placedAt[part]; f.successive == 0 || placedAt > f.lastAt {
			f.successive++
			f.lastAt = c.at
		}
	}
	return f
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
	for part := range s.records {
		if _, ok := c.placedAt[part]; ok && s.quarantined(part) {
			return true
		}
	}
	return false
}

func (s *State) quarantined(part snipeford.PrefixPart) bool {
	r := s.records[part]
	return r != nil && !r.Released
}
