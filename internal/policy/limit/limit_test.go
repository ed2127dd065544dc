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

// The seed is fixed so that the verdict is the same every time; flags of the
// command line come after and override it.
func init() { _ = flag.Set("rapid.seed", "1") }

// TestLender checks that the shares in force never exceed one together,
// whatever the nodes want and however late they hear of their shares.
func TestLender(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 8).Draw(t, "nodes")
		l := NewShareAllocator(0)
		inForce := make([]float64, nodes)
		granted := make([]float64, nodes)
		for i := range inForce {
			inForce[i] = EvenShare(nodes)
			granted[i] = inForce[i]
			l.Report(node(i), 0, inForce[i])
		}
		now := snipeford.Instant(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += second
			i := rapid.IntRange(0, nodes-1).Draw(t, "node")
			if rapid.Bool().Draw(t, "heard") {
				inForce[i] = granted[i]
			}
			l.Report(node(i), snipeford.Tokens(rapid.IntRange(0, 1_000_000).Draw(t, "wanted")), inForce[i])
			granted[i] = l.Grant(now, node(i), nodes)
			var sum float64
			for j := range inForce {
				sum += max(inForce[j], granted[j])
			}
			if sum > 1+1e-9 {
				t.Fatalf("got shares %v in force and %v granted, together %.3f, want at most 1", inForce, granted, sum)
			}
		}
	})
}

func node(i int) snipeford.NodeID { return snipeford.NodeID(fmt.Sprint("node-", i)) }

func TestLenderFollowsUse(t *testing.T) {
	l := NewShareAllocator(0)
	now := snipeford.Instant(0)
	busy, idle := EvenShare(2), EvenShare(2)
	for range 60 {
		now += second
		l.Report("busy", 100_000, busy)
		l.Report("idle", 0, idle)
		busy, idle = l.Grant(now, "busy", 2), l.Grant(now, "idle", 2)
	}
	if busy < 0.7 || idle < floor(2) {
		t.Errorf("got busy %.2f and idle %.2f, want at least 0.70 and %.2f", busy, idle, floor(2))
	}
}

func TestAccount(t *testing.T) {
	rule := Rule{TokensPerSecond: 1_000, RequestsPerSecond: 10, MaxConcurrent: 100, MaxPrompt: 50_000}
	t.Run("requests stay within rate and burst", func(t *testing.T) {
		a := NewLimiter(rule, 0.5, 0)
		admitted := 0
		for i := range 1_000 {
			if cause, _ := a.Admit(second*snipeford.Instant(i)/100, 1); cause == "" {
				admitted++
			}
		}
		if got, want := admitted, 10*5+10; got > want {
			t.Errorf("got %d admitted in 10 s, want at most %d", got, want)
		}
	})
	t.Run("the longest prompt is admitted and paid for", func(t *testing.T) {
		a := NewLimiter(rule, 1, 0)
		if cause, _ := a.Admit(0, 50_000); cause != "" {
			t.Errorf("got %s, want the longest prompt admitted", cause)
		}
		cause, wait := a.Admit(second, 40_000)
		if cause != snipeford.CauseRateLimit || wait < 30*time.Second {
			t.Errorf("got %s and %s, want RateLimit for at least 30 s", cause, wait)
		}
	})
	t.Run("concurrent requests are counted in and out", func(t *testing.T) {
		a := NewLimiter(Rule{MaxConcurrent: 1}, 1, 0)
		a.Admit(0, 1)
		if cause, _ := a.Admit(0, 1); cause != snipeford.CauseConcurrencyLimit {
			t.Errorf("got %q, want ConcurrencyLimit", cause)
		}
		a.Done()
		if cause, _ := a.Admit(0, 1); cause != "" {
			t.Errorf("got %s, want none", cause)
		}
	})
}
