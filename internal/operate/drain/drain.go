// Package drain closes the connections of an http.Server without cutting off requests.
package drain

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"snipeford/internal/control/timer"
)

// Conns tracks the connections of an http.Server, so that a stopping node can close the
// idle ones. http.Server can close a connection on which a request has just arrived:
// it takes it for idle until the whole header is parsed, and the request then runs
// without a response. Its zero value is ready to use.
type Conns struct {
	mu    sync.Mutex
	conns map[net.Conn]*conn
}

// conn is a connection that knows whether it is idle or busy. A new one is neither.
type conn struct {
	net.Conn
	mu sync.Mutex
	// idle is set from the end of a response until the next request begins, and busy
	// from then on until the end of its response.
	idle, busy bool
	// closing is set by closeIfIdle.
	closing bool
}

// Read marks the connection as busy if it returns data.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.idle, c.busy = false, true
	}
	return n, err
}

// setActive marks the connection as busy with a request that may have been read together
// with the one before it, so that no Read precedes it. The deadline of closeIfIdle would
// end this request.
func (c *conn) setActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.busy = false, true
	if c.closing {
		c.closing = false
		// If this fails, the connection is closed already.
		_ = c.SetReadDeadline(time.Time{})
	}
}

// CloseWrite closes the sending half, which http.Server does before it closes a
// connection with unread data.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return trace.Wrap(half.CloseWrite())
	}
	return nil
}

func (c *conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.busy = true, false
}

// closeIfIdle ends the wait for the next request, so that http.Server closes the
// connection, unless part of a request has been read since the last response. If data
// was read in this instant, Read still returns it, and http.Server sets a new deadline
// for the rest of the request. The deadline must therefore be set before Read returns.
func (c *conn) closeIfIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		c.closing = true
		// If this fails, the connection is closed already.
		_ = c.SetReadDeadline(now)
	}
}

func (c *conn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy
}

// Wrap returns a listener whose connections are tracked.
func (l *Conns) Wrap(listener net.Listener) net.Listener {
	return trackedListener{listener}
}

type trackedListener struct{ net.Listener }

// Accept waits for the next connection.
func (l trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// StateChanged is the ConnState function of the server.
func (l *Conns) StateChanged(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*conn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew:
		if l.conns == nil {
			l.conns = map[net.Conn]*conn{}
		}
		l.conns[raw] = c
	case http.StateActive:
		c.setActive()
	case http.StateIdle:
		c.setIdle()
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, raw)
	}
}

// Open returns the number of open connections.
func (l *Conns) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Busy returns the number of connections from which part of a request has been read
// whose response has not ended.
func (l *Conns) Busy() int {
	busy := 0
	for _, c := range l.list() {
		if c.isBusy() {
			busy++
		}
	}
	return busy
}

// CloseIdle closes the idle connections. It can miss one that has just become idle,
// because http.Server then sets a deadline of its own; the next call closes that one.
func (l *Conns) CloseIdle(now time.Time) {
	for _, c := range l.list() {
		c.closeIfIdle(now)
	}
}

func (l *Conns) list() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*conn, 0, len(l.conns))
	for _, c := range l.conns {
		out = append(out, c)
	}
	return out
}

const (
	// ArrivalTime is how long a server waits, after it has closed its listener, for
	// requests that have begun to arrive.
	ArrivalTime = 400 * time.Millisecond
	// PollInterval is how often a draining server checks its connections.
	PollInterval = 50 * time.Millisecond
)

// Shutdown stops a server like its own method of this name, but does not close
// connections on which a request is arriving. It returns an error if ctx ends first.
func (l *Conns) Shutdown(ctx context.Context, t *timer.Clock, listener net.Listener, server *http.Server) error {
	if err := listener.Close(); err != nil {
		return fmt.Errorf("close listener: %w", trace.Wrap(err))
	}
	arrivalsEnd := t.Now().Add(ArrivalTime)
	for t.Now() < arrivalsEnd || l.Busy() > 0 {
		l.CloseIdle(t.Deadline(0))
		if !t.Sleep(ctx, PollInterval) {
			return fmt.Errorf("wait for active requests: %w", ctx.Err())
		}
	}
	return trace.Wrap(server.Close())
}
