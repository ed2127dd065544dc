package relay_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"snipeford"
)

func TestStreamIsPassedOn(t *testing.T) {
	g := newRig(t, events(1, 5, true))
	assertAnswer(t, g.call(t, http.MethodPost, "/once/x"), 200, stream(1, 5))
}

func TestStreamIsResumed(t *testing.T) {
	t.Run("after the last whole event", func(t *testing.T) {
		g := newRig(t, events(1, 3, false), events(4, 6, true))
		assertAnswer(t, g.call(t, http.MethodPost, "/resumable/x"), 200, stream(1, 6))
		if got := g.ups.seen[1].Header.Get("Last"); got != "3" {
			t.Errorf("got last event %q, want 3", got)
		}
	})
	t.Run("without repeats", func(t *testing.T) {
		g := newRig(t, events(1, 3, false), events(2, 6, true))
		assertAnswer(t, g.call(t, http.MethodPost, "/resumable/x"), 200, stream(1, 6))
	})
	t.Run("from where the caller was", func(t *testing.T) {
		g := newRig(t, reset, events(8, 9, true))
		assertAnswer(t, g.call(t, http.MethodPost, "/resumable/x", "Last", "7"), 200, stream(8, 9))
		if got := g.ups.seen[1].Header.Get("Last"); got != "7" {
			t.Errorf("got last event %q, want 7", got)
		}
	})
	t.Run("looks broken where no upstream goes on", func(t *testing.T) {
		g := newRig(t, events(1, 3, false), reset, events(4, 6, true))
		got := g.call(t, http.MethodPost, "/resumable/x")
		if got.err == nil || got.body != stream(1, 3) {
			t.Errorf("got %q %v, want three events and an error", got.body, got.err)
		}
		assertArrivals(t, g, 2)
	})
}

func TestStreamThatMustNotRunTwice(t *testing.T) {
	t.Run("broken in the middle", func(t *testing.T) {
		g := newRig(t, events(1, 2, false), events(3, 4, true))
		if got := g.call(t, http.MethodPost, "/once/x"); got.err == nil {
			t.Errorf("got %q as whole, want an error", got.body)
		}
		assertArrivals(t, g, 1)
	})
	t.Run("broken before its head", func(t *testing.T) {
		g := newRig(t, reset, events(1, 4, true))
		assertAnswer(t, g.call(t, http.MethodPost, "/once/x"), 502, "")
		assertArrivals(t, g, 1)
	})
	t.Run("not run", func(t *testing.T) {
		g := newRig(t, status(503, "Not-Run: 1\r\n"), events(1, 4, true))
		assertAnswer(t, g.call(t, http.MethodPost, "/once/x"), 200, stream(1, 4))
	})
}

func TestLeavingNode(t *testing.T) {
	g := newRig(t, events(1, 2, true))
	g.relay.Leave()
	got := g.call(t, http.MethodPost, "/once/x")
	assertAnswer(t, got, 200, stream(1, 2))
	time.Sleep(2800 * time.Millisecond)
	got = g.call(t, http.MethodPost, "/once/x")
	assertAnswer(t, got, 503, "")
	if got.header.Get("Retry-After") == "" {
		t.Error("got no Retry-After, want one")
	}
	assertArrivals(t, g, 1)
}

// TestUnsentAttemptsAreNoRepeats answers a home that names upstreams which this
// node does not know any more: nothing was sent, so that the budget of repeats
// is not touched.
func TestUnsentAttemptsAreNoRepeats(t *testing.T) {
	g := newRig(t, events(1, 2, true))
	g.fleet.order = []snipeford.UpstreamID{"gone", "left", "a"}
	g.fleet.repeats = false
	assertAnswer(t, g.call(t, http.MethodPost, "/once/x"), 200, stream(1, 2))
}

// TestSilentEngine answers an engine that hangs, with its connection open: the
// stream goes on elsewhere before its caller leaves.
func TestSilentEngine(t *testing.T) {
	hangs := func(from, to int) func(net.Conn, *http.Request) {
		return func(c net.Conn, r *http.Request) {
			if to >= from {
				events(from, to, true)(unended{c}, r)
			}
			time.Sleep(20 * time.Second)
		}
	}
	t.Run("before its first event", func(t *testing.T) {
		g := newRig(t, hangs(1, 0), events(1, 3, true))
		assertAnswer(t, g.call(t, http.MethodPost, "/quick/x"), 200, stream(1, 3))
	})
	t.Run("in the middle", func(t *testing.T) {
		g := newRig(t, hangs(1, 2), events(3, 4, true))
		assertAnswer(t, g.call(t, http.MethodPost, "/quick/x"), 200, stream(1, 4))
	})
	t.Run("of a stream that must not run twice", func(t *testing.T) {
		g := newRig(t, hangs(1, 2), events(3, 4, true))
		if got := g.call(t, http.MethodPost, "/once/x"); got.err == nil {
			t.Errorf("got %q as whole, want an error", got.body)
		}
		assertArrivals(t, g, 1)
	})
}

// unended is a connection on which the last chunk is never written.
type unended struct{ net.Conn }

func (u unended) Write(b []byte) (int, error) {
	if string(b) == "0\r\n\r\n" {
		return len(b), nil
	}
	return u.Conn.Write(b)
}

// TestStreamOfALostEngine answers engines that are gone without a word, as half
// of them in a burst: callers leave long before the connection times out.
func TestStreamOfALostEngine(t *testing.T) {
	var g *rig
	hang := make(chan struct{})
	defer close(hang)
	silent := func(c net.Conn, r *http.Request) {
		open(c, r)
		for i := 1; i <= 3; i++ {
			chunk(c, stream(i, i))
		}
		g.ups.close(0)
		<-hang
	}
	g = newRig(t, silent, events(4, 6, true))
	begin := time.Now()
	assertAnswer(t, g.call(t, http.MethodPost, "/quick/x"), 200, stream(1, 6))
	if took := time.Since(begin); took > 2*time.Second {
		t.Errorf("got the answer after %v, want it before callers leave, 2 s", took)
	}
	t.Run("one that accepts connections goes on", func(t *testing.T) {
		slow := func(c net.Conn, r *http.Request) {
			open(c, r)
			chunk(c, stream(1, 1))
			time.Sleep(1200 * time.Millisecond)
			chunk(c, stream(2, 2))
			fmt.Fprint(c, "0\r\n\r\n")
		}
		g := newRig(t, slow, events(2, 2, true))
		assertAnswer(t, g.call(t, http.MethodPost, "/quick/x"), 200, stream(1, 2))
		assertArrivals(t, g, 1)
	})
}
