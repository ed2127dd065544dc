package window

import (
	"testing"
	"time"

	"snipeford"
)

const second snipeford.Instant = 1e9

func assertLimit(t *testing.T, w snipeford.Window, want int) {
	t.Helper()
	if got := w.Limit(); got != want {
		t.Errorf("got window %d in state %s, want %d", got, w.State(), want)
	}
}

// newWarmWindow returns a window at its full size.
func newWarmWindow() snipeford.Window {
	w := New()
	w.LoadReported(snipeford.LoadReport{Incarnation: "a"}, 0)
	for range 20 {
		w.Succeeded(0, time.Millisecond, time.Millisecond)
	}
	return w
}

func TestSlowStart(t *testing.T) {
	t.Run("starts with one and does not grow while the upstream reports that it is cold", func(t *testing.T) {
		w := New()
		w.LoadReported(snipeford.LoadReport{Incarnation: "a", Cold: true}, 0)
		for range 20 {
			w.Succeeded(0, time.Millisecond, time.Millisecond)
		}
		assertLimit(t, w, ColdSize)
	})
	t.Run("grows to its full size by successes", func(t *testing.T) { assertLimit(t, newWarmWindow(), WarmSize) })
	t.Run("is reset by a new incarnation", func(t *testing.T) {
		w := newWarmWindow()
		w.LoadReported(snipeford.LoadReport{Incarnation: "b", Cold: true}, second)
		assertLimit(t, w, ColdSize)
	})
	t.Run("is reset at once when the upstream rejects a request, and ignores stale reports", func(t *testing.T) {
		w := newWarmWindow()
		w.Rejected(second)
		w.LoadReported(snipeford.LoadReport{Incarnation: "a"}, 2*second)
		assertLimit(t, w, ColdSize)
		w.LoadReported(snipeford.LoadReport{Incarnation: "a"}, 4*second)
		assertLimit(t, w, 2)
	})
	t.Run("is reset after slow responses in a row", func(t *testing.T) {
		w := newWarmWindow()
		for range slowResponsesToReset {
			w.Succeeded(second, 10*time.Second, 100*time.Millisecond)
		}
		assertLimit(t, w, ColdSize)
	})
	t.Run("is reset after failures in a row", func(t *testing.T) {
		w := newWarmWindow()
		for range failuresToReset {
			w.Failed(second)
		}
		assertLimit(t, w, ColdSize)
	})
}
