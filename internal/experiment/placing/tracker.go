package placing

import (
	"cmp"
	"slices"
	"time"

	"snipeford"
)

// tracker is the state of all policies but Prediction: the requests that were sent
// to each engine and have not ended. These policies place every request immediately.
type tracker struct {
	profile      snipeford.EngineProfile
	engines      []*engineState
	engineOf     map[snipeford.RequestID]*engineState
	gapSensitive map[snipeford.RequestID]bool
}

// engineState is the tracked load of one engine.
type engineState struct {
	id      snipeford.UpstreamID
	running int
	// prefillEnd is the estimated end of all prefill that was sent to the engine.
	prefillEnd snipeford.Instant
}

func newTracker(scenario Scenario) *tracker {
	t := &tracker{profile: scenario.Profile, engineOf: map[snipeford.RequestID]*engineState{}, gapSensitive: map[snipeford.RequestID]bool{}}
	for _, c := range Candidates(scenario.Engines) {
		t.engines = append(t.engines, &engineState{id: c.ID})
	}
	return t
}

// prefillTime returns the time to prefill a prompt on one engine.
func (t *tracker) prefillTime(prompt snipeford.Tokens) time.Duration {
	n := float64(prompt)
	tokens := time.Duration(n / float64(t.profile.PrefillRate) * float64(time.Second))
	return tokens + time.Duration(n*n/2/1e6*float64(t.profile.AttentionTimePerMillionPairs))
}

// estimatedWork returns a cost function for engines: the prefill time ahead of a
// new request in seconds, plus streamCostSeconds per running request.
func estimatedWork(now snipeford.Instant) func(*engineState) float64 {
	return func(e *engineState) float64 {
		return max(0, e.prefillEnd.Sub(now).Seconds()) + float64(e.running)*streamCostSeconds
	}
}

// streamCostSeconds is the cost of a running request in estimatedWork, in seconds
// of prefill.
const streamCostSeconds = 0.005

// place places a request on the engine with the lowest cost and uses the next
// ones as helpers.
func (t *tracker) place(now snipeford.Instant, req snipeford.PlacementRequest, engines []*engineState, helpers int, cost func(*engineState) float64) []snipeford.Placement {
	chosen := slices.Clone(engines)
	slices.SortStableFunc(chosen, func(x, y *engineState) int { return cmp.Compare(cost(x), cost(y)) })
	chosen = chosen[:min(1+helpers, len(chosen))]
	part := t.prefillTime(req.Prompt) / time.Duration(len(chosen))
	p := snipeford.Placement{RequestID: req.RequestID, Upstream: chosen[0].id}
	for i, e := range chosen {
		e.prefillEnd = max(e.prefillEnd, now).Add(part)
		if i > 0 {
			p.Helpers = append(p.Helpers, e.id)
		}
	}
	chosen[0].running++
	t.engineOf[req.RequestID], t.gapSensitive[req.RequestID] = chosen[0], isGapSensitive(req)
	return []snipeford.Placement{p}
}

func isGapSensitive(req snipeford.PlacementRequest) bool {
	return req.EventGapTarget < gapSensitiveTarget
}

// gapSensitiveTarget is the event gap target below which a request is
// gap-sensitive, as in package placement.
const gapSensitiveTarget = 400 * time.Millisecond

// gapSensitiveStreams returns the number of running gap-sensitive streams.
func (t *tracker) gapSensitiveStreams() int {
	n := 0
	for _, sensitive := range t.gapSensitive {
		if sensitive {
			n++
		}
	}
	return n
}

// Next does nothing: there is no queue.
func (t *tracker) Next(snipeford.Instant) []snipeford.Placement { return nil }

// First does nothing.
func (t *tracker) First(snipeford.Instant, snipeford.RequestID, snipeford.EngineLoad) {}

// End removes a request.
func (t *tracker) End(_ snipeford.Instant, id snipeford.RequestID, _ bool, _ snipeford.UpstreamID) {
	if e := t.engineOf[id]; e != nil {
		e.running--
	}
	delete(t.engineOf, id)
	delete(t.gapSensitive, id)
}
