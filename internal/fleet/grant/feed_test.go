package grant

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"snipeford/internal/control/timer"
	"snipeford/internal/operate/decision"
)

// TestSubscriptionEndsWithConnection guards against subscriptions that are left
// behind by connections that end while they subscribe.
func TestSubscriptionEndsWithConnection(t *testing.T) {
	ours, theirs := net.Pipe()
	defer theirs.Close()
	f := &feedWriter{conn: newFrameConn(ours, &timer.Clock{}), frames: make(chan Frame, maxQueuedFrames)}
	canceled := 0
	f.start(func(func(Rows)) func() {
		f.stop()
		return func() { canceled++ }
	})
	if canceled != 1 {
		t.Errorf("got %d canceled subscriptions, want 1", canceled)
	}
}

// TestUnusableConnectionIsClosed guards against a connection that stays open, and
// looks healthy, although frames can no longer be written to it.
func TestUnusableConnectionIsClosed(t *testing.T) {
	ours, theirs := net.Pipe()
	defer theirs.Close()
	c := &noDeadlineConn{Conn: ours}
	if err := newFrameConn(c, &timer.Clock{}).send(Frame{Ping: &Ping{1}}); err == nil || !c.closed {
		t.Errorf("got error %v and closed %v, want an error and a closed connection", err, c.closed)
	}
}

// noDeadlineConn is a connection whose write deadline cannot be set.
type noDeadlineConn struct {
	net.Conn
	closed bool
}

func (c *noDeadlineConn) SetWriteDeadline(time.Time) error { return net.ErrClosed }

func (c *noDeadlineConn) Close() error {
	c.closed = true
	return c.Conn.Close()
}

// TestPingDoesNotBlock guards against one peer that does not read and holds up the
// pings to all others.
func TestPingDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ours, theirs := net.Pipe()
		defer theirs.Close()
		clock := &timer.Clock{}
		client := &Client{Timer: clock, Log: decision.New("n", log.InfoLevel, clock)}
		l := &link{client: client, conn: newFrameConn(ours, clock)}
		begin := clock.Now()
		l.ping(begin)
		if took := clock.Now().Sub(begin); took > 0 {
			t.Errorf("ping to a peer that does not read took %v, want no wait", took)
		}
	})
}
