package relay_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"snipeford"
)

func TestSafeRequestsAreRepeated(t *testing.T) {
	for name, first := range map[string]func(*testing.T) *rig{
		"after a reset":           func(t *testing.T) *rig { return newRig(t, reset, whole("ok")) },
		"after a failure":         func(t *testing.T) *rig { return newRig(t, status(500, "Seal: x\r\n"), whole("ok")) },
		"after a success no seal": func(t *testing.T) *rig { return newRig(t, status(200, ""), whole("ok")) },
		"after a refusal":         func(t *testing.T) *rig { return newRig(t, status(503, "Not-Run: 1\r\n"), whole("ok")) },
	} {
		t.Run(name, func(t *testing.T) {
			g := first(t)
			assertAnswer(t, g.call(t, http.MethodGet, "/safe/x"), 200, "ok")
			assertArrivals(t, g, 2)
		})
	}
	t.Run("not beyond the attempts", func(t *testing.T) {
		g := newRig(t, reset, reset, whole("ok"))
		assertAnswer(t, g.call(t, http.MethodGet, "/safe/x"), 502, "")
		assertArrivals(t, g, 2)
	})
	t.Run("not beyond the budget", func(t *testing.T) {
		g := newRig(t, reset, whole("ok"))
		g.fleet.repeats = false
		assertAnswer(t, g.call(t, http.MethodGet, "/safe/x"), 502, "")
		assertArrivals(t, g, 1)
	})
}

func TestUnsafeRequestsRunOnce(t *testing.T) {
	t.Run("a reset promises nothing", func(t *testing.T) {
		g := newRig(t, reset, whole("ok"))
		got := g.call(t, http.MethodPost, "/unsafe/x")
		assertAnswer(t, got, 502, "")
		if got := got.header.Get(snipeford.OutcomeHeader); got != string(snipeford.Unknown) {
			t.Errorf("got outcome %q, want unknown", got)
		}
		assertArrivals(t, g, 1)
	})
	t.Run("a failure is the answer", func(t *testing.T) {
		g := newRig(t, status(500, "Seal: x\r\n"), whole("ok"))
		got := g.call(t, http.MethodPost, "/unsafe/x")
		assertAnswer(t, got, 500, "")
		if got.header.Get("Seal") == "" {
			t.Error("got no seal, want the upstream's own answer")
		}
		assertArrivals(t, g, 1)
	})
	t.Run("a status that promises without the mark is not passed on", func(t *testing.T) {
		g := newRig(t, status(503, "Seal: x\r\n"), whole("ok"))
		assertAnswer(t, g.call(t, http.MethodPost, "/unsafe/x"), 502, "")
		assertArrivals(t, g, 1)
	})
	t.Run("one that did not run goes on", func(t *testing.T) {
		g := newRig(t, status(503, "Not-Run: 1\r\n"), whole("ok"))
		assertAnswer(t, g.call(t, http.MethodPost, "/unsafe/x"), 200, "ok")
	})
	t.Run("refused by all", func(t *testing.T) {
		g := newRig(t, status(503, "Not-Run: 1\r\n"))
		got := g.call(t, http.MethodPost, "/unsafe/x")
		assertAnswer(t, got, 503, "")
		if got.header.Get("Retry-After") == "" || got.header.Get(snipeford.OutcomeHeader) != string(snipeford.NotRun) {
			t.Errorf("got %v, want the promise and when to come back", got.header)
		}
	})
}

func TestKeys(t *testing.T) {
	t.Run("the organisation goes on, the key does not", func(t *testing.T) {
		g := newRig(t, whole("ok"))
		assertAnswer(t, g.call(t, http.MethodGet, "/keyed/x", "Key", "good", "Organisation", "forged"), 200, "ok")
		if got := g.ups.seen[0].Header; got.Get("Organisation") != "o" || got.Get("Key") != "" {
			t.Errorf("got %v, want the organisation o and no key", got)
		}
	})
	t.Run("an unknown key", func(t *testing.T) {
		g := newRig(t, whole("ok"))
		assertAnswer(t, g.call(t, http.MethodGet, "/keyed/x", "Key", "bad"), 401, "")
	})
	t.Run("no key is honoured on old knowledge", func(t *testing.T) {
		g := newRig(t, whole("ok"))
		g.relay.MaxKeyAge = time.Nanosecond
		assertAnswer(t, g.call(t, http.MethodGet, "/keyed/x", "Key", "good"), 503, "")
		assertAnswer(t, g.call(t, http.MethodGet, "/safe/x"), 200, "ok")
		assertArrivals(t, g, 1)
	})
	t.Run("nothing is absent by old knowledge", func(t *testing.T) {
		g := newRig(t, whole("ok"))
		g.relay.MaxNegativeAge = time.Nanosecond
		assertAnswer(t, g.call(t, http.MethodGet, "/keyed/x", "Key", "bad"), 503, "")
		assertAnswer(t, g.call(t, http.MethodGet, "/nowhere/x"), 503, "")
	})
}

func TestRequestsThatAreNotServed(t *testing.T) {
	g := newRig(t, whole("ok"))
	assertAnswer(t, g.call(t, http.MethodGet, "/nowhere/x"), 404, "")
	t.Run("too long", func(t *testing.T) {
		r, err := http.NewRequest(http.MethodPost, g.url+"/safe/x", strings.NewReader(strings.Repeat("x", 2000)))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		if got, want := resp.StatusCode, http.StatusRequestEntityTooLarge; got != want {
			t.Errorf("got %d, want %d", got, want)
		}
	})
	assertArrivals(t, g, 0)
}

func TestTimeLimit(t *testing.T) {
	silent := func(c net.Conn, _ *http.Request) { time.Sleep(4 * time.Second) }
	g := newRig(t, silent)
	start := time.Now()
	assertAnswer(t, g.call(t, http.MethodPost, "/unsafe/x"), 504, "")
	if took := time.Since(start); took > 2500*time.Millisecond {
		t.Errorf("got an answer after %v, want it within half a second of the route's 2 s", took)
	}
}
