package window

import (
	"testing"
	"time"

	"snipeford"
)

const second snipeford.Instant = 1e9

func wantLimit(t *testing.T, w snipeford.Window, want int) {
	t.Helper()
	if got := w.Limit(); got != want {
		t.Errorf("got window %d in state %s, want %d", got, w.State(), want)
	}
}

// warmed returns a window at its full size.
func warmed() snipeford.Window {
	w := New()
	w.LoadReported(snipeford.LoadReport{Incarnation: "a"}, 0)
	for range 20 {
		w.Succeeded(0, time.Millisecond, time.Millisecond)
	}
	return w
}

func TestSlowStart(t *testing.T) {
	t.Run("starts with one and does not grow while the upstream says it is cold", func(t *testing.T) {
		w := New()
		w.LoadReported(snipeford.LoadReport{Incarnation: "a", Cold: true}, 0)
		for range 20 {
			w.Succeeded(0, time.Millisecond, time.Millisecond)
		}
		wantLimit(t, w, ColdSize)
	})
	t.Run("grows to its full size by successes", func(t *testing.T) { wantLimit(t, warmed(), WarmSize) })
	t.Run("falls back with a new incarnation", func(t *testing.T) {
		w := warmed()
		w.LoadReported(snipeford.LoadReport{Incarnation: "b", Cold: true}, second)
		wantLimit(t, w, ColdSize)
	})
	t.Run("falls back at once when the upstream rejects, and distrusts reports from before", func(t *testing.T) {
		w := warmed()
		w.Rejected(second)
		w.LoadReported(snipeford.LoadReport{Incarnation: "a"}, 2*second)
		wantLimit(t, w, ColdSize)
		w.LoadReported(snipeford.LoadReport{Incarnation: "a"}, 4*second)
		wantLimit(t, w, 2)
	})
	t.Run("falls back when the latency jumps", func(t *testing.T) {
		w := warmed()
		for range jumpsInRow {
			w.Succeeded(second, 10*time.Second, 100*time.Millisecond)
		}
		wantLimit(t, w, ColdSize)
	})
	t.Run("falls back after failures in a row", func(t *testing.T) {
		w := warmed()
		for range failuresInRow {
			w.Failed(second)
		}
		wantLimit(t, w, ColdSize)
	})
}
