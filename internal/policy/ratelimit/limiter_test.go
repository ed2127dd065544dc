package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"snipeford"
)

func at(d time.Duration) snipeford.Instant { return snipeford.Instant(time.Minute + d) }

func limitOf(perSecond float64) snipeford.RequestLimit {
	return snipeford.RequestLimit{Stated: true, PerSecond: perSecond}
}

func assertLimit(t *testing.T, l *Limiter, want float64, wantLimited bool) {
	t.Helper()
	if got, limited := l.Limit("u"); got != want || limited != wantLimited {
		t.Errorf("got limit %v %t, want %v %t", got, limited, want, wantLimited)
	}
}

func TestReport(t *testing.T) {
	type response struct {
		sent, arrived time.Duration
		limit         snipeford.RequestLimit
	}
	stated := response{0, time.Second, limitOf(2)}
	tests := []struct {
		name        string
		then        response
		want        float64
		wantLimited bool
	}{
		{"same", response{time.Second, 2 * time.Second, limitOf(2)}, 2, true},
		{"lower", response{0, 2 * time.Second, limitOf(1)}, 1, true},
		{"higher", response{1100 * time.Millisecond, 2 * time.Second, limitOf(3)}, 3, true},
		{"higher, but overtaken", response{900 * time.Millisecond, 2 * time.Second, limitOf(3)}, 2, true},
		{"none", response{1100 * time.Millisecond, 2 * time.Second, snipeford.RequestLimit{}}, 0, false},
		{"none, but overtaken", response{900 * time.Millisecond, 2 * time.Second, snipeford.RequestLimit{}}, 2, true},
		{"unreadable", response{1100 * time.Millisecond, 2 * time.Second, snipeford.RequestLimit{Unreadable: true}}, 2, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := &Limiter{}
			for _, r := range []response{stated, tt.then} {
				l.Report(at(r.arrived), at(r.sent), "u", r.limit)
			}
			assertLimit(t, l, tt.want, tt.wantLimited)
		})
	}
}

// countSends sends a request every step if the limiter allows it, and returns the times.
func countSends(l *Limiter, from, to, step time.Duration) []snipeford.Instant {
	var sends []snipeford.Instant
	for now := at(from); now < at(to); now = now.Add(step) {
		if l.Wait(now, "u") == 0 {
			l.Sent(now, "u")
			sends = append(sends, now)
		}
	}
	return sends
}

func TestRate(t *testing.T) {
	for _, perSecond := range []float64{0, 0.2, 1.1, 30, 1e9} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			l := &Limiter{}
			l.Report(at(0), at(0), "u", limitOf(perSecond))
			got := len(countSends(l, 0, 10*time.Second, 10*time.Millisecond))
			want := min(1000, int(10*max(perSecond, minPerSecond)))
			if got < want-1 || got > want+1 {
				t.Errorf("got %d requests in 10 s, want %d", got, want)
			}
		})
	}
}

func TestNoBurstAfterIdleTime(t *testing.T) {
	l := &Limiter{}
	l.Report(at(0), at(0), "u", limitOf(2))
	if got, want := len(countSends(l, time.Minute, time.Minute+100*time.Millisecond, time.Millisecond)), 1; got != want {
		t.Errorf("got %d requests at once, want %d", got, want)
	}
}

func TestDebt(t *testing.T) {
	l := &Limiter{}
	l.Report(at(0), at(0), "u", limitOf(2))
	for range 100 {
		l.Sent(at(0), "u")
	}
	if got, limit := l.Wait(at(0), "u"), maxDebtPeriod+2*time.Second; got <= 0 || got > limit {
		t.Errorf("got a wait of %v, want at most %v", got, limit)
	}
}

func TestRetain(t *testing.T) {
	l := &Limiter{}
	l.Report(at(0), at(0), "u", limitOf(2))
	gone := func(snipeford.UpstreamID) bool { return false }
	l.Retain(at(retainTime), gone)
	assertLimit(t, l, 2, true)
	l.Retain(at(retainTime+1), gone)
	assertLimit(t, l, 0, false)
}

// TestLimiterProperties checks, for limits that change at random, that the requests in
// any 4 s stay within what the rule LIMIT allows for the highest limit of that time.
func TestLimiterProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &Limiter{}
		const window = 4 * time.Second
		var sends, changes []snipeford.Instant
		var limits []float64
		now := at(0)
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			perSecond := rapid.Float64Range(0, 20).Draw(t, "limit")
			l.Report(now, now, "u", limitOf(perSecond))
			perSecond, _ = l.Limit("u")
			changes, limits = append(changes, now), append(limits, perSecond)
			for range rapid.IntRange(1, 400).Draw(t, "requests") {
				now = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond)
				if l.Wait(now, "u") == 0 {
					l.Sent(now, "u")
					sends = append(sends, now)
				}
			}
		}
		for i, last := range sends {
			count := 0
			for _, at := range sends[:i+1] {
				if last.Sub(at) < window {
					count++
				}
			}
			highest := 0.0
			for k, from := range changes {
				if from <= last && (k+1 == len(changes) || changes[k+1] > last.Add(-window)) {
					highest = max(highest, limits[k])
				}
			}
			if allowed := 1.5*window.Seconds()*highest + 5; float64(count) > allowed {
				t.Fatalf("got %d requests in %v, want at most %v", count, window, allowed)
			}
		}
	})
}
