package engine

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"snipeford"
	"snipeford/internal/control/timer"
	"snipeford/internal/request/stream"
)

// upstream is a fake engine that notes its calls and may hang or refuse.
type upstream struct {
	mu      sync.Mutex
	calls   []string
	refuses string
	hangs   string
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	u.calls = append(u.calls, r.URL.Path)
	u.mu.Unlock()
	// The server notices that the caller has left once the body is read.
	_, _ = io.Copy(io.Discard, r.Body)
	switch r.URL.Path {
	case u.refuses:
		http.Error(w, "no room", http.StatusServiceUnavailable)
	case u.hangs:
		<-r.Context().Done()
	default:
		w.Write([]byte(`{"Handle":"h"}`))
	}
}

func (u *upstream) count(path string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, c := range u.calls {
		if c == path {
			n++
		}
	}
	return n
}

func segments(t *testing.T, fakes ...*upstream) []Segment {
	t.Helper()
	var out []Segment
	for _, f := range fakes {
		server := httptest.NewServer(f)
		t.Cleanup(server.Close)
		u := snipeford.Upstream{ID: "fake", Address: strings.TrimPrefix(server.URL, "http://")}
		out = append(out, Segment{Upstream: u, Prompt: "part", ReservedMemory: 1})
	}
	return out
}

func generate(t *testing.T, list []Segment) Result {
	t.Helper()
	c := &Client{HTTP: http.DefaultClient, Timer: &timer.Clock{}, PrefillGrace: 50 * time.Millisecond}
	return c.GenerateSegments(t.Context(), list, GenerateRequest{Attempt: "a"}, func(int) {}, func(stream.Chunk) error { return nil })
}

func wantEnd(t *testing.T, got Result, want snipeford.AttemptEnd) {
	t.Helper()
	if got.End != want {
		t.Errorf("got %s (%v), want %s", got.End, got.Err, want)
	}
}

func TestGenerateSegments(t *testing.T) {
	t.Run("a refused reservation computes nothing and releases all", func(t *testing.T) {
		first, second := &upstream{}, &upstream{refuses: PathReserve}
		wantEnd(t, generate(t, segments(t, first, second)), snipeford.EndRejected)
		if first.count(PathPrefill) != 0 || first.count(PathRelease) != 1 || second.count(PathRelease) != 1 {
			t.Errorf("got calls %v and %v, want no prefill and one release each", first.calls, second.calls)
		}
	})
	t.Run("an engine that hangs in a segment is given up and all released", func(t *testing.T) {
		first, second := &upstream{hangs: PathPrefill}, &upstream{}
		wantEnd(t, generate(t, segments(t, first, second)), snipeford.EndBroken)
		if second.count(PathRelease) != 1 || slices.Contains(second.calls, PathGenerate) {
			t.Errorf("got calls %v, want a release and no generate", second.calls)
		}
	})
	t.Run("an answer that ends early is broken and all released", func(t *testing.T) {
		first, second := &upstream{}, &upstream{}
		wantEnd(t, generate(t, segments(t, first, second)), snipeford.EndBroken)
		if first.count(PathRelease) != 1 || second.count(PathRelease) != 1 {
			t.Errorf("got calls %v and %v, want one release each", first.calls, second.calls)
		}
	})
}
