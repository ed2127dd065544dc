package queue

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"snipeford"
)

const second snipeford.Instant = 1e9

// The fixed seed makes test results reproducible. A -rapid.seed flag overrides
// it, as flags are parsed after init.
func init() { _ = flag.Set("rapid.seed", "1") }

func queuedCall(id snipeford.CallID, o snipeford.Organisation, prompt snipeford.Tokens, arrival snipeford.Instant) *snipeford.QueuedCall {
	return &snipeford.QueuedCall{ID: id, Organisation: o, Weight: 1, Prompt: prompt, Arrival: arrival, QueueDeadline: arrival + 30*second}
}

func accept(*snipeford.QueuedCall) bool { return true }

func assertPopFirst(t *testing.T, q snipeford.Queue, now snipeford.Instant, want snipeford.CallID) {
	t.Helper()
	got := q.PopFirst(now, accept)
	if got == nil || got.ID != want {
		t.Errorf("got %+v, want %s", got, want)
	}
}

func TestFifo(t *testing.T) {
	t.Run("a request without room holds up those behind it", func(t *testing.T) {
		q := fifoPolicy.New()
		q.Push(queuedCall("long", "a", 90_000, 0))
		q.Push(queuedCall("short", "a", 1_000, 0))
		got := q.PopFirst(0, func(c *snipeford.QueuedCall) bool { return c.ID == "short" })
		if got != nil {
			t.Errorf("got %s, want none", got.ID)
		}
	})
}

func TestShortest(t *testing.T) {
	q := shortestPolicy.New()
	q.Push(queuedCall("long", "a", 90_000, 0))
	q.Push(queuedCall("short", "a", 1_000, 0))
	assertPopFirst(t, q, 0, "short")
	assertPopFirst(t, q, 0, "long")
}

func TestFair(t *testing.T) {
	t.Run("a light organisation waits for at most a quantum of a heavy one's backlog", func(t *testing.T) {
		q := fairPolicy.New()
		for i := range 60 {
			q.Push(queuedCall(snipeford.CallID(fmt.Sprint("heavy-", i)), "heavy", 30_000, 0))
		}
		for range 10 {
			q.PopFirst(0, accept)
		}
		q.Push(queuedCall("light", "light", 32_000, 0))
		var before snipeford.Tokens
		for c := q.PopFirst(0, accept); c.ID != "light"; c = q.PopFirst(0, accept) {
			before += c.Work()
		}
		if got, want := before, snipeford.Tokens(quantumTokens); got > want {
			t.Errorf("got %d tokens served before, want at most %d", got, want)
		}
	})
	t.Run("an aged long prompt goes before younger ones", func(t *testing.T) {
		q := fairPolicy.New()
		q.Push(queuedCall("old", "a", 95_000, 0))
		q.Push(queuedCall("young", "a", 40_000, 25*second))
		assertPopFirst(t, q, 25*second, "old")
	})
	t.Run("a retry waits for its time", func(t *testing.T) {
		q := fairPolicy.New()
		c := queuedCall("retry", "a", 1_000, 0)
		c.NotBefore = second
		q.Push(c)
		if got := q.PopFirst(0, accept); got != nil {
			t.Errorf("got %s, want none", got.ID)
		}
		assertPopFirst(t, q, second, "retry")
	})
}

// TestQueues checks for every policy that each request is popped at most once
// and that Len and Work match the queued requests.
func TestQueues(t *testing.T) {
	for _, p := range Table {
		t.Run(p.Name, rapid.MakeCheck(func(t *rapid.T) {
			q := p.New()
			queued := map[snipeford.CallID]snipeford.Tokens{}
			var work snipeford.Tokens
			for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
				if rapid.Bool().Draw(t, "push") {
					c := queuedCall(snipeford.CallID(fmt.Sprint(i)), snipeford.Organisation(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation")), snipeford.Tokens(rapid.IntRange(1, 300_000).Draw(t, "prompt")), 0)
					q.Push(c)
					queued[c.ID] = c.Work()
					work += c.Work()
				} else if c := q.PopFirst(0, accept); c != nil {
					if _, ok := queued[c.ID]; !ok {
						t.Fatalf("got %s, which is not queued", c.ID)
					}
					delete(queued, c.ID)
					work -= c.Work()
				}
				if got, want := q.Len(), len(queued); got != want {
					t.Fatalf("got length %d, want %d", got, want)
				}
				if got, want := q.Work(), work; got != want {
					t.Fatalf("got work %d, want %d", got, want)
				}
			}
		}))
	}
}
