package edge

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// callerConns tracks the callers' connections, so that a stopping node can close the
// idle ones. http.Server can close a connection on which a request has just arrived:
// it takes it for idle until the whole header is parsed, and the request then runs
// without a response. Its zero value is ready to use.
type callerConns struct {
	mu    sync.Mutex
	conns map[net.Conn]*callerConn
}

// callerConn is a connection that knows whether it is idle.
type callerConn struct {
	net.Conn
	mu   sync.Mutex
	idle bool
}

// Read marks the connection as not idle if it returns data.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.idle = false
	}
	return n, err
}

// CloseWrite closes the sending half, which http.Server does before it closes a
// connection with unread data.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return trace.Wrap(half.CloseWrite())
	}
	return nil
}

func (c *callerConn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = true
}

// closeIfIdle ends the wait for the next request, so that http.Server closes the
// connection, unless part of a request has been read since the last response. If data
// was read in this instant, Read still returns it, and http.Server sets a new deadline
// for the rest of the request. The deadline must therefore be set before Read returns.
func (c *callerConn) closeIfIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		// If this fails, the connection is closed already.
		_ = c.SetReadDeadline(now)
	}
}

// wrap returns a listener whose connections are tracked.
func (l *callerConns) wrap(listener net.Listener) net.Listener {
	return &callerListener{Listener: listener, conns: l}
}

type callerListener struct {
	net.Listener
	conns *callerConns
}

// Accept waits for the next connection.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c}, nil
}

// stateChanged is the ConnState function of the callers' server.
func (l *callerConns) stateChanged(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew:
		if l.conns == nil {
			l.conns = map[net.Conn]*callerConn{}
		}
		l.conns[conn] = c
	case http.StateIdle:
		c.setIdle()
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, conn)
	}
}

// open returns the number of open connections.
func (l *callerConns) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// closeIdle closes the idle connections. It can miss one that has just become idle,
// because http.Server then sets a deadline of its own; the next call closes that one.
func (l *callerConns) closeIdle(now time.Time) {
	l.mu.Lock()
	conns := make([]*callerConn, 0, len(l.conns))
	for _, c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		c.closeIfIdle(now)
	}
}
