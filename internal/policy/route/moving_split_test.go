package route

import (
	"testing"

	"snipeford"
)

// replicaWith returns a usable replica with prompt work before a newcomer.
func replicaWith(id snipeford.UpstreamID, kept bool, prefill, short snipeford.Tokens) *snipeford.Replica {
	return &snipeford.Replica{ID: id, Usable: true, Memory: 400_000, Window: 48, DedicatedToShort: kept, PrefillBacklog: prefill, ShortPrefillBacklog: short, PrefillRate: 70_000}
}

func assertPick(t *testing.T, prompt snipeford.Tokens, replicas []*snipeford.Replica, want snipeford.UpstreamID) {
	t.Helper()
	none := func(snipeford.UpstreamID) snipeford.Tokens { return 0 }
	got := movingSplit{}.Pick(&snipeford.QueuedCall{Prompt: prompt}, replicas, none)
	if got == nil || got.ID != want {
		t.Errorf("got %v, want %s", got, want)
	}
}

// TestBurstOfShortPrompts answers a burst of short prompts on few replicas, as
// after the loss of a failure domain.
func TestBurstOfShortPrompts(t *testing.T) {
	busy := replicaWith("busy", false, 60_000, 0)
	t.Run("a kept replica whose running step takes the work before it", func(t *testing.T) {
		assertPick(t, 1_100, []*snipeford.Replica{busy, replicaWith("kept", true, 1_500, 1_500)}, "kept")
	})
	t.Run("a kept replica that needs two more steps for the work before it", func(t *testing.T) {
		assertPick(t, 1_100, []*snipeford.Replica{busy, replicaWith("kept", true, 4_200, 4_200)}, "busy")
	})
}

func TestRiskBeside(t *testing.T) {
	t.Run("work beyond the running step counts", func(t *testing.T) {
		within, beyond := riskBeside(fullStep, 1_100, false), riskBeside(2*fullStep, 1_100, false)
		if beyond != 1 || within >= beyond {
			t.Errorf("got risks %.2f and %.2f, want the second to be 1 and the first below", within, beyond)
		}
	})
}
