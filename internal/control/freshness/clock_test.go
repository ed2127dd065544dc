package freshness_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"snipeford"
	"snipeford/internal/control/freshness"
)

// TestNeverTooFresh checks that the clock never says that rows are known up to
// a later instant than the one at which the store really answered.
func TestNeverTooFresh(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offset := time.Duration(rapid.Int64Range(-1e12, 1e12).Draw(t, "offset"))
		var c freshness.Tracker
		now := time.Duration(2e12)
		for range rapid.IntRange(1, 20).Draw(t, "calls") {
			sent := now
			answered := sent + time.Duration(rapid.Int64Range(0, 3e9).Draw(t, "wait"))
			now = answered + time.Duration(rapid.Int64Range(0, 2e9).Draw(t, "way"))
			c.Confirm(snipeford.Instant(sent), answered+offset)
			if got := time.Duration(c.Confirmed()); got > answered {
				t.Fatalf("got known up to %v, want at most %v", got, answered)
			}
		}
	})
}

func TestAge(t *testing.T) {
	var c freshness.Tracker
	if _, ok := c.Age(5); ok {
		t.Error("got an age without any answer, want none")
	}
	c.Confirm(snipeford.Instant(10*time.Second), 100*time.Second)
	c.Confirm(snipeford.Instant(11*time.Second), 102500*time.Millisecond)
	if age, _ := c.Age(snipeford.Instant(13 * time.Second)); age != 500*time.Millisecond {
		t.Errorf("got %v, want 500ms: the second call waited 1.5 s", age)
	}
	c.AdvanceTo(snipeford.Instant(3 * time.Second))
	if age, _ := c.Age(snipeford.Instant(13 * time.Second)); age != 500*time.Millisecond {
		t.Errorf("got %v after an older word, want 500ms", age)
	}
}
