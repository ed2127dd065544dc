package relay_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"snipeford"
	"snipeford/internal/control/directory"
)

// gatedDetour opens detours to an address. All but the first wait until opened is closed.
type gatedDetour struct {
	detourTo
	count  atomic.Int64
	opened chan struct{}
}

func (d *gatedDetour) Open(ctx context.Context, address string) (net.Conn, snipeford.NodeID, error) {
	if d.count.Add(1) > 1 {
		<-d.opened
	}
	return d.detourTo.Open(ctx, address)
}

// awaitCount waits until a number of detours were asked for.
func (d *gatedDetour) awaitCount(t *testing.T, want int64) {
	t.Helper()
	for start := time.Now(); d.count.Load() < want; time.Sleep(time.Millisecond) {
		if time.Since(start) > time.Second {
			t.Fatalf("got %d connections that are opened, want %d", d.count.Load(), want)
		}
	}
}

// TestPauseBeginsWhileConnectionsOpen guards against requests that wait for a connection
// while their upstream asks for a pause, and are sent in it.
func TestPauseBeginsWhileConnectionsOpen(t *testing.T) {
	for path, serve := range pauseRoutes {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			const waiting = 4
			d := &gatedDetour{opened: make(chan struct{})}
			answered := make(chan struct{})
			h, _ := newPauseHarness(t, func(c net.Conn, r *http.Request) {
				<-answered
				respondPause("3600")(c, r)
			}, serve)
			view := *h.relay.View()
			list := append([]directory.Upstream(nil), view.Usable["s"]...)
			d.detourTo = detourTo(list[0].Address)
			// Nothing listens at this port.
			list[0].Address = "127.0.0.1:1"
			view.Usable = map[snipeford.ServiceName][]directory.Upstream{"s": list}
			h.relay.View = func() *directory.View { return &view }
			h.relay.Pool.Detours = d

			var group sync.WaitGroup
			call := func(id string) { assertResponse(t, h.call(t, http.MethodPost, path, "Id", id), 200, "") }
			first := make(chan struct{})
			group.Go(func() {
				defer close(first)
				call("first")
			})
			d.awaitCount(t, 1)
			for i := range waiting {
				group.Go(func() { call(fmt.Sprint("r", i)) })
			}
			d.awaitCount(t, 1+waiting)
			close(answered)
			<-first
			close(d.opened)
			group.Wait()
			assertSentTo(t, h, "a", 1)
		})
	}
}

// TestPauseOfAddressWithTwoRows guards against requests to an upstream in its pause under the
// name of the one that had its address before, whose row is still there. The upstream turns
// them away as misdirected, but they reach it.
func TestPauseOfAddressWithTwoRows(t *testing.T) {
	for path := range pauseRoutes {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			h, _ := newPauseHarness(t, func(c net.Conn, r *http.Request) {
				if r.Header.Get("Upstream") == "a" {
					respondPause("3600")(c, r)
					return
				}
				respondStatus(421, "Not-Run: 1\r\n")(c, r)
			}, respondOK("unused"))
			view := *h.relay.View()
			list := append([]directory.Upstream(nil), view.Usable["s"]...)
			list[1].Address = list[0].Address
			view.Usable = map[snipeford.ServiceName][]directory.Upstream{"s": list}
			h.relay.View = func() *directory.View { return &view }
			for range 3 {
				assertResponse(t, h.call(t, http.MethodPost, path), 503, "")
			}
			assertSentTo(t, h, "a", 1)
			assertSentTo(t, h, "b", 0)
		})
	}
}
