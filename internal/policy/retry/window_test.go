package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"snipeford"
	"snipeford/internal/policy/retry"
)

// TestWindowBound checks that the retries of all nodes in any window stay within
// the limit: the ratio of the requests in it and in the window before, plus the
// slack.
func TestWindowBound(t *testing.T) {
	const nodes, length = 6, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		var budgets [nodes]retry.WindowBudget
		for i := range budgets {
			budgets[i] = retry.WindowBudget{Length: length, Ratio: 0.2, Slack: 100, SlackShare: 1.0 / nodes}
		}
		var requests, retries []snipeford.Instant
		now := snipeford.Instant(0)
		for range rapid.IntRange(0, 2000).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "gap")) * time.Millisecond)
			b := &budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			b.RecordRequest(now)
			requests = append(requests, now)
			for range rapid.IntRange(0, 3).Draw(t, "repeats") {
				if b.Take(now) {
					retries = append(retries, now)
				}
			}
		}
		for _, from := range retries {
			got := between(retries, from, from.Add(length))
			want := 0.2*float64(between(requests, from.Add(-length), from.Add(length))) + 100
			if float64(got) > want {
				t.Fatalf("got %d retries in a window, want at most %.0f", got, want)
			}
		}
	})
}

func between(list []snipeford.Instant, from, to snipeford.Instant) int {
	n := 0
	for _, at := range list {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

func TestWindowExpiry(t *testing.T) {
	b := retry.WindowBudget{Length: 10 * time.Second, Slack: 12, SlackShare: 1}
	taken := 0
	for b.Take(0) {
		taken++
	}
	if taken == 0 || b.Take(snipeford.Instant(5*time.Second)) {
		t.Errorf("got %d retries before a refusal, or another one in the same window, want at least 1 and no other", taken)
	}
	if !b.Take(snipeford.Instant(30 * time.Second)) {
		t.Error("got no retry in a later window, want one")
	}
}
