package route

import (
	"testing"

	"snipeford"
)

// newReplica returns a usable replica with the given prefill backlog.
func newReplica(id snipeford.UpstreamID, dedicated bool, prefill, short snipeford.Tokens) *snipeford.Replica {
	return &snipeford.Replica{ID: id, Usable: true, Memory: 400_000, Window: 48, DedicatedToShort: dedicated, PrefillBacklog: prefill, ShortPrefillBacklog: short, PrefillRate: 70_000}
}

func assertPick(t *testing.T, prompt snipeford.Tokens, replicas []*snipeford.Replica, want snipeford.UpstreamID) {
	t.Helper()
	none := func(snipeford.UpstreamID) snipeford.Tokens { return 0 }
	got := movingSplit{}.Pick(&snipeford.QueuedCall{Prompt: prompt}, replicas, none)
	if got == nil || got.ID != want {
		t.Errorf("got %v, want %s", got, want)
	}
}

// TestBurstOfShortPrompts checks where short prompts of a burst go when few
// replicas are left, as after the loss of a failure domain.
func TestBurstOfShortPrompts(t *testing.T) {
	busy := newReplica("busy", false, 60_000, 0)
	t.Run("a dedicated replica whose running step takes the work ahead of it", func(t *testing.T) {
		assertPick(t, 1_100, []*snipeford.Replica{busy, newReplica("kept", true, 1_500, 1_500)}, "kept")
	})
	t.Run("a dedicated replica that needs two more steps for the work ahead of it", func(t *testing.T) {
		assertPick(t, 1_100, []*snipeford.Replica{busy, newReplica("kept", true, 4_200, 4_200)}, "busy")
	})
}

func TestSlowFirstTokenRisk(t *testing.T) {
	t.Run("work beyond the running step counts", func(t *testing.T) {
		within, beyond := slowFirstTokenRisk(maxStepTokens, 1_100, false), slowFirstTokenRisk(2*maxStepTokens, 1_100, false)
		if beyond != 1 || within >= beyond {
			t.Errorf("got risks %.2f and %.2f, want the second to be 1 and the first below", within, beyond)
		}
	})
}
