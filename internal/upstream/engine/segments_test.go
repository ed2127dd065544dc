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

// fakeEngine records the paths of its requests. It rejects requests to rejectedPath
// and does not respond to requests to hangingPath.
type fakeEngine struct {
	mu           sync.Mutex
	paths        []string
	rejectedPath string
	hangingPath  string
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.paths = append(e.paths, r.URL.Path)
	e.mu.Unlock()
	// The server detects that the client has disconnected only after the body is
	// read.
	_, _ = io.Copy(io.Discard, r.Body)
	switch r.URL.Path {
	case e.rejectedPath:
		http.Error(w, "no room", http.StatusServiceUnavailable)
	case e.hangingPath:
		<-r.Context().Done()
	default:
		w.Write([]byte(`{"Handle":"h"}`))
	}
}

func (e *fakeEngine) count(path string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, p := range e.paths {
		if p == path {
			n++
		}
	}
	return n
}

func newSegments(t *testing.T, fakes ...*fakeEngine) []Segment {
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

func assertEnd(t *testing.T, got Result, want snipeford.AttemptEnd) {
	t.Helper()
	if got.End != want {
		t.Errorf("got %s (%v), want %s", got.End, got.Err, want)
	}
}

func TestGenerateSegments(t *testing.T) {
	t.Run("a rejected reservation prefills nothing and releases all", func(t *testing.T) {
		first, second := &fakeEngine{}, &fakeEngine{rejectedPath: PathReserve}
		assertEnd(t, generate(t, newSegments(t, first, second)), snipeford.EndRejected)
		if first.count(PathPrefill) != 0 || first.count(PathRelease) != 1 || second.count(PathRelease) != 1 {
			t.Errorf("got requests %v and %v, want no prefill and one release each", first.paths, second.paths)
		}
	})
	t.Run("a prefill that hangs fails the attempt and releases all", func(t *testing.T) {
		first, second := &fakeEngine{hangingPath: PathPrefill}, &fakeEngine{}
		assertEnd(t, generate(t, newSegments(t, first, second)), snipeford.EndBroken)
		if second.count(PathRelease) != 1 || slices.Contains(second.paths, PathGenerate) {
			t.Errorf("got requests %v, want a release and no generate", second.paths)
		}
	})
	t.Run("a truncated response fails the attempt and releases all", func(t *testing.T) {
		first, second := &fakeEngine{}, &fakeEngine{}
		assertEnd(t, generate(t, newSegments(t, first, second)), snipeford.EndBroken)
		if first.count(PathRelease) != 1 || second.count(PathRelease) != 1 {
			t.Errorf("got requests %v and %v, want one release each", first.paths, second.paths)
		}
	})
}
