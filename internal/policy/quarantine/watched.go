package quarantine

import (
	"slices"

	"snipeford"
)

// Watched returns the keys of requests that may have caused a crash or are quarantined,
// and false if there was no change since the last call. Requests with these keys have
// to be admitted one at a time.
func (s *State) Watched() ([]snipeford.PrefixPart, bool) {
	if !s.watchChanged {
		return nil, false
	}
	s.watchChanged = false
	var out []snipeford.PrefixPart
	for part := range s.records {
		if part.IsRequest() && s.quarantined(part) {
			out = append(out, part)
		}
	}
	for _, c := range slices.Backward(s.crashes) {
		if s.isExplained(c) {
			continue
		}
		keys := c.requestKeys()
		out = append(out, keys[:min(len(keys), max(0, maxWatched-len(out)))]...)
	}
	slices.Sort(out)
	out = slices.Compact(out)
	if slices.Equal(out, s.watched) {
		return nil, false
	}
	s.watched = out
	return out, true
}

// requestKeys returns the sorted keys of the requests that may have caused the crash.
func (c *crash) requestKeys() []snipeford.PrefixPart {
	var out []snipeford.PrefixPart
	for part := range c.placedAt {
		if part.IsRequest() {
			out = append(out, part)
		}
	}
	slices.Sort(out)
	return out
}

// hasCrashed reports whether a part may have caused a crash that no quarantine explains.
func (s *State) hasCrashed(part snipeford.PrefixPart) bool {
	return slices.ContainsFunc(s.crashesOf[part], func(c *crash) bool { return !s.isExplained(c) })
}
