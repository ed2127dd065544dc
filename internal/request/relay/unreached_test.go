package relay_test

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"snipeford"
	"snipeford/internal/control/directory"
)

// slowDetours asks nodes that are cut off themselves, which takes a while.
type slowDetours struct{ delay time.Duration }

func (d slowDetours) Open(ctx context.Context, _ string) (net.Conn, snipeford.NodeID, error) {
	select {
	case <-time.After(d.delay):
	case <-ctx.Done():
	}
	return nil, "", snipeford.ErrNoDetour
}

// closedAddress returns an address at which nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func (slowDetours) Reaches(context.Context, snipeford.NodeID, string) error {
	return snipeford.ErrNoDetour
}

// TestRequestWithoutReachableUpstreamIsRefusedSoon guards against requests that are held
// for the sum of all attempts while neither the node nor those that it asks for detours
// reach an upstream, and an open connection still delivers.
func TestRequestWithoutReachableUpstreamIsRefusedSoon(t *testing.T) {
	const maxHeld = 1700 * time.Millisecond
	for _, path := range []string{"/safe/x", "/unsafe/x", "/once/x", "/resumable/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			streaming := make(chan struct{})
			handlers := []func(net.Conn, *http.Request){func(c net.Conn, r *http.Request) {
				writeStreamHead(c, r)
				close(streaming)
				for n := 1; n < 40; n++ {
					writeChunk(c, eventText(n, n))
					time.Sleep(50 * time.Millisecond)
				}
			}}
			for range 6 {
				handlers = append(handlers, respondOK("unused"))
			}
			h := newHarness(t, handlers...)
			h.relay.Pool.Detours = slowDetours{370 * time.Millisecond}
			view := atomic.Pointer[directory.View]{}
			view.Store(h.relay.View())
			h.relay.View = view.Load
			var group sync.WaitGroup
			defer group.Wait()
			group.Go(func() { h.call(t, http.MethodPost, "/once/x", "Id", "stream") })
			<-streaming
			cut := *view.Load()
			cut.Usable = map[snipeford.ServiceName][]directory.Upstream{"s": slices.Clone(cut.Usable["s"])}
			for i := range cut.Usable["s"] {
				cut.Usable["s"][i].Address = closedAddress(t)
			}
			view.Store(&cut)
			start := time.Now()
			got := h.call(t, http.MethodPost, path)
			assertResponse(t, got, 503, "")
			if held := time.Since(start); held > maxHeld {
				t.Errorf("got a refusal after %v, want at most %v", held, maxHeld)
			}
			if outcome := got.header.Get(snipeford.OutcomeHeader); outcome != string(snipeford.NotRun) {
				t.Errorf("got outcome %q, want not run", outcome)
			}
		})
	}
}
