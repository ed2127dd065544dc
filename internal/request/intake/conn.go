package intake

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"snipeford"
)

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener *Listener
	account  *Account
	// kept is set once a request on the connection has ended.
	kept bool
	head headCount
	// charged is what the head of the request has been charged.
	charged   int64
	headStart snipeford.Instant
	// inHead is set while a head arrives or is awaited. The fields above are only used then,
	// or by the one goroutine that reads.
	inHead atomic.Bool
	// ended is set by end, and writingSince while a write blocks.
	ended        atomic.Bool
	writingSince atomic.Int64
	closed       atomic.Bool
	// readAt is when bytes behind a head arrived last. Most of them are charged before, with
	// the space for them.
	readAt atomic.Int64
}

// errRefused means that the request that was arriving on a connection has been refused.
var errRefused = errors.New("request refused while its head arrived")

// readError returns an error of a read, for which net/http closes the connection and writes
// nothing.
func (c *Conn) readError(err error) error {
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: err}
}

// Read reads from the connection. While a head arrives, its bytes and lines are bounded and
// charged before net/http sees them.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.inHead.Load() {
		if n > 0 {
			c.readAt.Store(int64(c.listener.Budget.Timer.Now()))
			c.head.skip(p[:n])
		}
		return n, err
	}
	if n > 0 {
		return c.readHead(p, n, err)
	}
	if c.head.bytes > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		cause := CauseHeadTime
		if c.account.Evicted() {
			cause = CauseMemory
		}
		return 0, c.refuse(cause, p)
	}
	return n, err
}

func (c *Conn) readHead(p []byte, n int, err error) (int, error) {
	limits := c.listener.limits()
	if c.listener.Raw {
		c.inHead.Store(false)
		c.account.SetStage(StageRunning)
		return n, err
	}
	if c.head.bytes == 0 {
		if !c.listener.begin(c) {
			return 0, c.refuse(CauseDescriptors, p)
		}
		c.headStart = c.listener.Budget.Timer.Now()
		// The connection is closed already if this fails.
		_ = c.Conn.SetReadDeadline(c.listener.Budget.Timer.Deadline(limits.HeaderTime))
	}
	c.head.add(p[:n])
	if c.head.bytes > limits.HeaderBytes || c.head.lines > limits.headerLines() {
		return 0, c.refuse(CauseHeadSize, p)
	}
	cost := int64(c.head.bytes) + int64(c.head.lines)*lineBytes + requestBytes
	if !c.account.Charge(cost - c.charged) {
		return 0, c.refuse(CauseMemory, p)
	}
	c.charged = cost
	return n, err
}

// Write writes to the connection, and notes while it blocks.
func (c *Conn) Write(p []byte) (int, error) {
	c.writingSince.Store(int64(c.listener.Budget.Timer.Now()))
	n, err := c.Conn.Write(p)
	c.writingSince.Store(0)
	return n, err
}

// writeBlocked returns how long the present write has lasted.
func (c *Conn) writeBlocked(now snipeford.Instant) time.Duration {
	since := c.writingSince.Load()
	if since == 0 {
		return 0
	}
	return now.Sub(snipeford.Instant(since))
}

// SetReadDeadline sets the deadline of net/http, brought forward to the limits on the time of
// a head and on idle time.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if t.IsZero() || c.listener.Raw || !c.inHead.Load() {
		return trace.Wrap(c.Conn.SetReadDeadline(t))
	}
	limits, clock := c.listener.limits(), c.listener.Budget.Timer
	switch {
	case c.head.bytes > 0:
		t = earlier(t, clock.Deadline(limits.HeaderTime-clock.Now().Sub(c.headStart)))
	case c.kept:
		t = earlier(t, clock.Deadline(limits.IdleTime))
	}
	err := c.Conn.SetReadDeadline(t)
	// end may have set its deadline before the one above.
	if c.ended.Load() {
		err = c.Conn.SetReadDeadline(clock.Deadline(0))
	}
	return trace.Wrap(err)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// CloseWrite closes the sending half, which net/http does before it closes a connection with
// unread data.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return trace.Wrap(half.CloseWrite())
	}
	return nil
}

// SetLinger sets how Close treats data that is not sent.
func (c *Conn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return trace.Wrap(l.SetLinger(seconds))
	}
	return nil
}

// Close closes the connection.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	if !c.closed.Swap(true) {
		c.listener.remove(c)
		c.account.close()
	}
	return err
}

// end ends the connection or its request for the memory or descriptors of others. A request
// that is arriving gets a response.
func (c *Conn) end(s Stage) {
	c.ended.Store(true)
	if s == StageRunning {
		// A read deadline would leave the blocked write.
		_ = c.Conn.Close()
		return
	}
	_ = c.Conn.SetReadDeadline(c.listener.Budget.Timer.Deadline(0))
}

const (
	// refusalTime is how long the client of a refused request may take to read the refusal.
	// Closing the connection before would discard it.
	refusalTime = 200 * time.Millisecond
	// maxDiscarded limits what is read and discarded in that time.
	maxDiscarded = 256 << 10
)

// refuse writes a refusal and returns the error of the read. Nothing of the request has
// reached net/http's handler, so it has not run.
func (c *Conn) refuse(cause Cause, buffer []byte) error {
	c.listener.Budget.counts.add(cause)
	c.inHead.Store(false)
	clock := c.listener.Budget.Timer
	if c.Conn.SetDeadline(clock.Deadline(refusalTime)) == nil {
		if _, err := c.Conn.Write([]byte(cause.response())); err == nil && c.CloseWrite() == nil {
			for discarded := 0; discarded < maxDiscarded; {
				n, err := c.Conn.Read(buffer)
				if err != nil {
					break
				}
				discarded += n
			}
		}
	}
	return c.readError(errRefused)
}

// StateChanged is the part of the server's ConnState function for this connection.
func (c *Conn) StateChanged(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.inHead.Store(false)
		c.account.SetStage(StageRunning)
	case http.StateIdle:
		c.listener.finish(c)
		c.account.reset()
		c.kept, c.charged = true, 0
		c.head.next()
		c.inHead.Store(true)
	}
}

// Inner returns the connection that the server's other hooks know.
func (c *Conn) Inner() net.Conn { return c.Conn }

// response returns the text of a refusal.
func (cause Cause) response() string {
	status, name, retry := http.StatusServiceUnavailable, snipeford.CauseOverload, fmt.Sprintf("Retry-After: %.2f\r\n", RetryAfter.Seconds())
	switch cause {
	case CauseHeadSize:
		status, name, retry = http.StatusRequestHeaderFieldsTooLarge, snipeford.CauseTooLarge, ""
	case CauseHeadTime:
		status, name, retry = http.StatusRequestTimeout, snipeford.CauseDeadline, ""
	}
	body := fmt.Sprintf("{\"Cause\":%q,\"Outcome\":%q}\n", name, snipeford.NotRun)
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n%s: %s\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), snipeford.OutcomeHeader, snipeford.NotRun, retry, len(body), body)
}

// RetryAfter is that of a request that is refused for lack of memory or descriptors. Requests
// that wait in vain are ended after the time of a head, which is a few times as long.
const RetryAfter = 500 * time.Millisecond
