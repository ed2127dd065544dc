package grant_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"snipeford/internal/fleet/grant"
)

// lateListener accepts a connection in the moment in which its context ends, and takes a
// while to close.
type lateListener struct {
	net.Listener
	ctx    context.Context
	closed atomic.Bool
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.ctx.Done()
	c, _ := net.Pipe()
	return c, nil
}

func (l *lateListener) Close() error {
	time.Sleep(20 * time.Millisecond)
	l.closed.Store(true)
	return nil
}

// TestListenerIsClosedWhenServeReturns guards against a node that cannot start again on
// its address because the listener of its last run is still open.
func TestListenerIsClosedWhenServeReturns(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	l := &lateListener{ctx: ctx}
	time.AfterFunc(10*time.Millisecond, cancel)
	if err := (&grant.Server{}).Serve(ctx, l); err != nil || !l.closed.Load() {
		t.Errorf("got %v and closed %v, want a closed listener", err, l.closed.Load())
	}
}
