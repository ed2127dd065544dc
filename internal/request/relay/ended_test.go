package relay_test

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"snipeford"
)

// crashPlacer is a Placer that records the reports of crashes. It refuses a request
// once its engine has crashed.
type crashPlacer struct {
	stubPlacer
	mu      sync.Mutex
	crashes []snipeford.UpstreamCrash
	ends    []snipeford.RequestEnd
}

func (p *crashPlacer) ReportCrash(c snipeford.UpstreamCrash) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashes = append(p.crashes, c)
}

// reported returns the reports of crashes and of ends.
func (p *crashPlacer) reported() ([]snipeford.UpstreamCrash, []snipeford.RequestEnd) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.crashes), slices.Clone(p.ends)
}

func (p *crashPlacer) ReportEnd(_ snipeford.ServiceName, _ snipeford.RequestID, end snipeford.RequestEnd) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ends = append(p.ends, end)
}

func (p *crashPlacer) Place(ctx context.Context, r snipeford.PlacementRequest) (snipeford.Placement, snipeford.NodeID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashes) > 0 {
		return snipeford.Placement{RequestID: r.RequestID, Refused: true, Cause: snipeford.CauseQuarantined, Part: "bad", RetryAfter: 30 * time.Second}, "here"
	}
	return p.stubPlacer.Place(ctx, r)
}

func TestEngineEnds(t *testing.T) {
	newCrashHarness := func(t *testing.T, handler func(net.Conn, *http.Request)) (*harness, *crashPlacer) {
		h := newHarness(t, handler, streamEvents(1, 3, true))
		p := &crashPlacer{stubPlacer: stubPlacer{h.balancer}}
		h.relay.Placer = p
		return h, p
	}
	crash := func(h **harness, from, to int) func(net.Conn, *http.Request) {
		return func(c net.Conn, r *http.Request) {
			(*h).upstreams.stopListening(0)
			if to >= from {
				streamEvents(from, to, false)(c, r)
			}
			_ = c.Close()
		}
	}
	t.Run("before its response", func(t *testing.T) {
		want := append(slices.Clone(testParts), snipeford.RequestKey("127.0.0.1", "/resumable/x", "", []byte("body")))
		var h *harness
		h, p := newCrashHarness(t, crash(&h, 1, 0))
		assertResponse(t, h.call(t, http.MethodPost, "/resumable/x"), 502, "")
		crashes, _ := p.reported()
		if len(crashes) != 1 || crashes[0].Upstream != "a" || crashes[0].DecodeTime != 0 || !slices.Equal(crashes[0].PrefixParts, want) {
			t.Errorf("got crashes %+v, want one of a with parts %v", crashes, want)
		}
		assertRequestCount(t, h, 1)
	})
	t.Run("in the middle", func(t *testing.T) {
		var h *harness
		h, p := newCrashHarness(t, crash(&h, 1, 2))
		if got := h.call(t, http.MethodPost, "/resumable/x"); got.err == nil {
			t.Errorf("got %q as a complete response, want an error", got.body)
		}
		crashes, _ := p.reported()
		if len(crashes) != 1 || crashes[0].DecodeTime <= 0 {
			t.Errorf("got crashes %+v, want one with a decode time", crashes)
		}
		assertRequestCount(t, h, 1)
	})
	t.Run("not if only the response breaks", func(t *testing.T) {
		h, p := newCrashHarness(t, closeConn)
		assertResponse(t, h.call(t, http.MethodPost, "/resumable/x"), 200, eventText(1, 3))
		crashes, ends := p.reported()
		if len(crashes) != 0 {
			t.Errorf("got crashes %+v, want none", crashes)
		}
		if !ends[len(ends)-1].Completed {
			t.Errorf("got ends %+v, want the last one completed", ends)
		}
	})
	t.Run("a prompt that crashed engines is refused", func(t *testing.T) {
		h, p := newCrashHarness(t, closeConn)
		p.crashes = []snipeford.UpstreamCrash{{Upstream: "z"}}
		got := h.call(t, http.MethodPost, "/resumable/x")
		assertResponse(t, got, 503, "")
		if seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64); err != nil || seconds < 30 {
			t.Errorf("got Retry-After %q, want 30 s", got.header.Get("Retry-After"))
		}
		if got.header.Get(snipeford.OutcomeHeader) != string(snipeford.NotRun) {
			t.Errorf("got %v, want outcome NotRun", got.header)
		}
		assertRequestCount(t, h, 0)
	})
}
