package freshness_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"snipeford"
	"snipeford/internal/control/freshness"
)

// TestConfirmedNeverAfterResponse checks that the confirmed instant is never later
// than the local instant at which the store responded, whatever the offset of its
// clock and the network delays are.
func TestConfirmedNeverAfterResponse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offset := time.Duration(rapid.Int64Range(-1e12, 1e12).Draw(t, "offset"))
		var tracker freshness.Tracker
		now := time.Duration(2e12)
		for range rapid.IntRange(1, 20).Draw(t, "calls") {
			sent := now
			responded := sent + time.Duration(rapid.Int64Range(0, 3e9).Draw(t, "wait"))
			now = responded + time.Duration(rapid.Int64Range(0, 2e9).Draw(t, "way"))
			tracker.Confirm(snipeford.Instant(sent), responded+offset)
			if got := time.Duration(tracker.Confirmed()); got > responded {
				t.Fatalf("got confirmed instant %v, want at most %v", got, responded)
			}
		}
	})
}

func TestAge(t *testing.T) {
	var tracker freshness.Tracker
	if _, ok := tracker.Age(5); ok {
		t.Error("got an age before the first confirmation, want none")
	}
	tracker.Confirm(snipeford.Instant(10*time.Second), 100*time.Second)
	tracker.Confirm(snipeford.Instant(11*time.Second), 102500*time.Millisecond)
	if age, _ := tracker.Age(snipeford.Instant(13 * time.Second)); age != 500*time.Millisecond {
		t.Errorf("got %v, want 500ms: the store held the second call for 1.5 s", age)
	}
	tracker.AdvanceTo(snipeford.Instant(3 * time.Second))
	if age, _ := tracker.Age(snipeford.Instant(13 * time.Second)); age != 500*time.Millisecond {
		t.Errorf("got %v after AdvanceTo an earlier instant, want 500ms", age)
	}
}
