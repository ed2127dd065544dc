package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"snipeford"
	"snipeford/internal/experiment/placing"
	"snipeford/internal/policy/placement"
)

func candidateID(i int) snipeford.UpstreamID { return placing.Candidates(i + 1)[i].ID }

// limitEngines has engines state a request limit, and returns their ids.
func limitEngines(s *placement.State, perSecond float64, numbers ...int) []snipeford.UpstreamID {
	var ids []snipeford.UpstreamID
	for _, i := range numbers {
		id := candidateID(i)
		s.ReportLimit(0, 0, id, snipeford.RequestLimit{Stated: true, PerSecond: perSecond})
		ids = append(ids, id)
	}
	return ids
}

// TestShortPromptsBesideLimitedEngines guards against engines that get more requests
// than they stated to take, in a load that the others can bear.
func TestShortPromptsBesideLimitedEngines(t *testing.T) {
	s := newState(6)
	limited := limitEngines(s, 2, 0, 1)
	sent, unplaced := map[snipeford.UpstreamID]int{}, 0
	for i := range 200 {
		now := at(time.Duration(i) * 50 * time.Millisecond)
		request := shortRequest(fmt.Sprint(i))
		placed := s.Ask(now, request)
		if len(placed) == 0 || placed[0].Refused {
			unplaced++
			continue
		}
		sent[placed[0].Upstream]++
		if got, want := placed[0].Limited, slices.Contains(limited, placed[0].Upstream); got != want {
			t.Errorf("got limited %t for %s, want %t", got, placed[0].Upstream, want)
		}
		s.End(now, request.RequestID, false, "")
	}
	for _, id := range limited {
		if got, want := sent[id], 21; got > want {
			t.Errorf("%s: got %d requests in 10 s, want at most %d", id, got, want)
		}
	}
	if unplaced > 0 {
		t.Errorf("got %d requests that were not placed, want none", unplaced)
	}
}

// TestAllEnginesLimited checks that requests beyond all limits wait, and that the
// forecast for those that are refused follows the limits.
func TestAllEnginesLimited(t *testing.T) {
	s := newState(2)
	limitEngines(s, 1, 0, 1)
	placed, refused := 0, 0
	for i := range 400 {
		now := at(time.Duration(i) * 25 * time.Millisecond)
		replies := append(s.Ask(now, shortRequest(fmt.Sprint(i))), s.Next(now)...)
		for _, p := range replies {
			if p.Refused {
				refused++
				continue
			}
			placed++
			s.End(now, p.RequestID, false, "")
		}
	}
	if placed < 16 || placed > 21 {
		t.Errorf("got %d requests placed in 10 s, want about 20", placed)
	}
	if want := 250; refused < want {
		t.Errorf("got %d requests refused, want at least %d: no engine takes them", refused, want)
	}
}

func TestLongPromptUsesNoLimitedEngine(t *testing.T) {
	for _, request := range []snipeford.PlacementRequest{longRequest("a", 154_000), longRequest("b", 600_000)} {
		s := newState(18)
		limited := limitEngines(s, 100, 0, 1, 2, 3, 4, 5, 6, 7, 8)
		p := placementOf(t, s.Ask(at(time.Second), request), request.RequestID)
		for _, id := range append(p.Helpers, p.Upstream) {
			if slices.Contains(limited, id) {
				t.Errorf("request %s: got engine %s, want none with a limit", request.RequestID, id)
			}
		}
	}
}

// TestSubstituteUsesNoLimitedEngine checks that a node without a reachable home, which
// does not know the requests of the other nodes, spares engines with a limit.
func TestSubstituteUsesNoLimitedEngine(t *testing.T) {
	s := newState(2)
	limitEngines(s, 100, 0)
	for i := range 5 {
		request := shortRequest(fmt.Sprint(i))
		request.Substitute = true
		p := placementOf(t, s.Ask(at(time.Second), request), request.RequestID)
		if got, want := p.Upstream, candidateID(1); got != want {
			t.Errorf("got engine %s, want %s", got, want)
		}
	}
}
