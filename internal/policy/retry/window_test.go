package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"snipeford"
	"snipeford/internal/policy/retry"
)

// TestWindowBound checks that the repeats of all nodes in any span keep to the
// bound: the ratio of what was offered in it and before, and the slack.
func TestWindowBound(t *testing.T) {
	const nodes, length = 6, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		var windows [nodes]retry.WindowBudget
		for i := range windows {
			windows[i] = retry.WindowBudget{Length: length, Ratio: 0.2, Slack: 100, SlackShare: 1.0 / nodes}
		}
		var offered, repeated []snipeford.Instant
		now := snipeford.Instant(0)
		for range rapid.IntRange(0, 2000).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "gap")) * time.Millisecond)
			w := &windows[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			w.RecordRequest(now)
			offered = append(offered, now)
			for range rapid.IntRange(0, 3).Draw(t, "repeats") {
				if w.Take(now) {
					repeated = append(repeated, now)
				}
			}
		}
		for _, from := range repeated {
			got := between(repeated, from, from.Add(length))
			want := 0.2*float64(between(offered, from.Add(-length), from.Add(length))) + 100
			if float64(got) > want {
				t.Fatalf("got %d repeats in a span, want at most %.0f", got, want)
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

func TestWindowForgets(t *testing.T) {
	w := retry.WindowBudget{Length: 10 * time.Second, Slack: 12, SlackShare: 1}
	taken := 0
	for w.Take(0) {
		taken++
	}
	if taken == 0 || w.Take(snipeford.Instant(5*time.Second)) {
		t.Errorf("got %d repeats and one more in the same window, want some and none", taken)
	}
	if !w.Take(snipeford.Instant(30 * time.Second)) {
		t.Error("got no repeat in a later window, want one")
	}
}
