package pass_test

import (
	"testing"
	"time"

	"snipeford"
	"snipeford/internal/emulate/pass"
)

var profile = snipeford.EngineProfile{
	Slots: 2, Memory: 100_000, StepTime: time.Millisecond, PrefillRate: 200_000, PrefillChunk: 2_000, DecodeStepsPerPass: 50,
}

// runUntilIdle runs passes until all jobs are finished and returns the time of the
// first event of each.
func runUntilIdle(engines ...*pass.Engine) map[snipeford.RequestID]time.Duration {
	first := map[snipeford.RequestID]time.Duration{}
	now := make([]time.Duration, len(engines))
	for range 10_000 {
		next := 0
		for i, e := range engines {
			if !e.Idle() && (engines[next].Idle() || now[i] < now[next]) {
				next = i
			}
		}
		if engines[next].Idle() {
			return first
		}
		took, events := engines[next].RunPass()
		now[next] += took
		for _, e := range events {
			if _, ok := first[e.Job.ID]; !ok {
				first[e.Job.ID] = now[next]
			}
		}
	}
	return first
}

func TestPrefillLengthensPass(t *testing.T) {
	e := &pass.Engine{Profile: profile}
	e.Submit(&pass.Job{ID: "a", Prompt: 2_000, Output: 100}, nil, 0)
	alone := runUntilIdle(e)["a"]
	if want := 11*time.Millisecond + 50*time.Millisecond; alone != want {
		t.Errorf("got %v, want %v: one prefill chunk and one decode pass", alone, want)
	}
}

func TestSharedPrefill(t *testing.T) {
	engines := []*pass.Engine{{Profile: profile}, {Profile: profile}, {Profile: profile}, {Profile: profile}}
	engines[0].Submit(&pass.Job{ID: "a", Prompt: 80_000, Output: 50}, engines[1:], 0)
	shared := runUntilIdle(engines...)["a"]
	single := &pass.Engine{Profile: profile}
	single.Submit(&pass.Job{ID: "a", Prompt: 80_000, Output: 50}, nil, 0)
	if alone := runUntilIdle(single)["a"]; shared > alone/2 {
		t.Errorf("got %v with helpers and %v without, want less than half", shared, alone)
	}
}

func TestMemoryAndSlots(t *testing.T) {
	e := &pass.Engine{Profile: profile}
	for _, id := range []snipeford.RequestID{"a", "b", "c"} {
		e.Submit(&pass.Job{ID: id, Prompt: 60_000, Output: 50}, nil, 0)
	}
	e.RunPass()
	if e.Running() != 1 || e.Waiting() != 2 {
		t.Errorf("got %d running and %d waiting, want 1 and 2: memory suffices for one", e.Running(), e.Waiting())
	}
	if got := len(runUntilIdle(e)); got != 3 {
		t.Errorf("got %d jobs with events, want 3", got)
	}
}
