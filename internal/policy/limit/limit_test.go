package limit

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"snipeford"
)

const second snipeford.Instant = 1e9

// The fixed seed makes test results reproducible. A -rapid.seed flag overrides
// it, as flags are parsed after init.
func init() { _ = flag.Set("rapid.seed", "1") }

// TestShareAllocator checks that the shares in use never add up to more than
// one, for any demand and any delay of the grants.
func TestShareAllocator(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 8).Draw(t, "nodes")
		a := NewShareAllocator(0)
		inUse := make([]float64, nodes)
		granted := make([]float64, nodes)
		for i := range inUse {
			inUse[i] = EvenShare(nodes)
			granted[i] = inUse[i]
			a.Report(node(i), 0, inUse[i])
		}
		now := snipeford.Instant(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += second
			i := rapid.IntRange(0, nodes-1).Draw(t, "node")
			if rapid.Bool().Draw(t, "heard") {
				inUse[i] = granted[i]
			}
			a.Report(node(i), snipeford.Tokens(rapid.IntRange(0, 1_000_000).Draw(t, "wanted")), inUse[i])
			granted[i] = a.Grant(now, node(i), nodes)
			var sum float64
			for j := range inUse {
				sum += max(inUse[j], granted[j])
			}
			if sum > 1+1e-9 {
				t.Fatalf("got shares %v in use and %v granted, together %.3f, want at most 1", inUse, granted, sum)
			}
		}
	})
}

func node(i int) snipeford.NodeID { return snipeford.NodeID(fmt.Sprint("node-", i)) }

func TestShareAllocatorFollowsDemand(t *testing.T) {
	a := NewShareAllocator(0)
	now := snipeford.Instant(0)
	busy, idle := EvenShare(2), EvenShare(2)
	for range 60 {
		now += second
		a.Report("busy", 100_000, busy)
		a.Report("idle", 0, idle)
		busy, idle = a.Grant(now, "busy", 2), a.Grant(now, "idle", 2)
	}
	if busy < 0.7 || idle < guaranteedShare(2) {
		t.Errorf("got busy %.2f and idle %.2f, want at least 0.70 and %.2f", busy, idle, guaranteedShare(2))
	}
}

func TestLimiter(t *testing.T) {
	rule := Rule{TokensPerSecond: 1_000, RequestsPerSecond: 10, MaxConcurrent: 100, MaxPrompt: 50_000}
	t.Run("requests stay within rate and burst", func(t *testing.T) {
		l := NewLimiter(rule, 0.5)
		admitted := 0
		for i := range 1_000 {
			if cause, _ := l.Admit(second*snipeford.Instant(i)/100, 1); cause == "" {
				admitted++
			}
		}
		if got, want := admitted, 10*5+10; got > want {
			t.Errorf("got %d admitted in 10 s, want at most %d", got, want)
		}
	})
	t.Run("the longest prompt is admitted and uses up its tokens", func(t *testing.T) {
		l := NewLimiter(rule, 1)
		if cause, _ := l.Admit(0, 50_000); cause != "" {
			t.Errorf("got %s, want the longest prompt admitted", cause)
		}
		cause, wait := l.Admit(second, 40_000)
		if cause != snipeford.CauseRateLimit || wait < 30*time.Second {
			t.Errorf("got %s and %s, want RateLimit for at least 30 s", cause, wait)
		}
	})
	t.Run("a request counts as concurrent until it is done", func(t *testing.T) {
		l := NewLimiter(Rule{MaxConcurrent: 1}, 1)
		l.Admit(0, 1)
		if cause, _ := l.Admit(0, 1); cause != snipeford.CauseConcurrencyLimit {
			t.Errorf("got %q, want ConcurrencyLimit", cause)
		}
		l.Done()
		if cause, _ := l.Admit(0, 1); cause != "" {
			t.Errorf("got %s, want none", cause)
		}
	})
}

// TestRefusalTakesNothing checks that a request that is refused for its tokens uses
// up none of the organisation's requests per second, and the other way round.
func TestRefusalTakesNothing(t *testing.T) {
	t.Run("too many tokens", func(t *testing.T) {
		l := NewLimiter(Rule{RequestsPerSecond: 1, TokensPerSecond: 100}, 1)
		admit(t, l, 0, 200, "")
		for range 10 {
			admit(t, l, 0, 200, snipeford.CauseRateLimit)
		}
		for range MinRequestBurst - 1 {
			admit(t, l, 0, 0, "")
		}
	})
	t.Run("too many requests", func(t *testing.T) {
		l := NewLimiter(Rule{RequestsPerSecond: 1, TokensPerSecond: 100}, 1)
		for range MinRequestBurst {
			admit(t, l, 0, 0, "")
		}
		for range 10 {
			admit(t, l, 0, 100, snipeford.CauseRateLimit)
		}
		admit(t, l, second, 200, "")
	})
}

func admit(t *testing.T, l *Limiter, now snipeford.Instant, work snipeford.Tokens, want snipeford.Cause) {
	t.Helper()
	if got, _ := l.Admit(now, work); got != want {
		t.Errorf("got cause %q for %d tokens, want %q", got, work, want)
	}
}
