package placing

import (
	"slices"

	"snipeford"
	"snipeford/internal/policy/placement"
)

// LeastOutstanding is the baseline: each request goes at once to the engine
// with the fewest requests, and is read there alone.
type LeastOutstanding struct {
	Engines []placement.Candidate
	running map[snipeford.UpstreamID]int
	at      map[snipeford.RequestID]snipeford.UpstreamID
}

// Ask places the request.
func (l *LeastOutstanding) Ask(_ snipeford.Instant, ask snipeford.PlaceAsk) []snipeford.Placement {
	if l.running == nil {
		l.running = map[snipeford.UpstreamID]int{}
		l.at = map[snipeford.RequestID]snipeford.UpstreamID{}
	}
	best := slices.MinFunc(l.Engines, func(a, b placement.Candidate) int { return l.running[a.ID] - l.running[b.ID] })
	l.running[best.ID]++
	l.at[ask.Call] = best.ID
	return []snipeford.Placement{{Call: ask.Call, Upstream: best.ID}}
}

// Next places nothing: no request waits here.
func (l *LeastOutstanding) Next(snipeford.Instant) []snipeford.Placement { return nil }

// First changes nothing.
func (l *LeastOutstanding) First(snipeford.Instant, snipeford.RequestID, snipeford.EngineLoad) {}

// End frees the request's place.
func (l *LeastOutstanding) End(_ snipeford.Instant, call snipeford.RequestID, _ bool, _ snipeford.UpstreamID) {
	l.running[l.at[call]]--
	delete(l.at, call)
}
