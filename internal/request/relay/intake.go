package relay

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"snipeford"
	"snipeford/internal/request/event"
	"snipeford/internal/request/intake"
)

const (
	// firstBodyBytes is the first buffer of a body whose length is not known. Most requests
	// are shorter.
	firstBodyBytes = 4 << 10
	// maxDeclaredBytes limits the first buffer of a body with a length, which the caller
	// only claims.
	maxDeclaredBytes = 32 << 10
	// defaultBodySilence is how long the bytes of a body may stay away if the configuration
	// has no idle time. It is the deadline of requests without one.
	defaultBodySilence = defaultTimeout
)

// discardTime limits the time that net/http takes to read the rest of the body of a request
// that was refused. Ordinary callers have sent it.
const discardTime = 2 * time.Second

// limitDiscard limits the time to discard a body that has not been read.
func (c *requestState) limitDiscard() {
	if c.r.ContentLength != 0 {
		c.setReadDeadline(c.Timer.Deadline(discardTime))
	}
}

// errBodyTime means that a request's body stood still or missed the request's deadline.
var errBodyTime = errors.New("request body did not arrive in time")

// receiveBody reads a request's body. Its bytes are charged to the connection as they
// arrive.
func (c *requestState) receiveBody(r io.Reader, limit int64) ([]byte, error) {
	size := int64(firstBodyBytes)
	if c.r.ContentLength > 0 {
		size = min(c.r.ContentLength, maxDeclaredBytes)
	}
	if !c.account.Charge(size) {
		return nil, errNoMemory
	}
	c.account.SetStage(intake.StageBody)
	defer c.account.SetStage(intake.StageRunning)
	body := make([]byte, 0, size)
	// Only what follows a full body needs more space.
	var next [1]byte
	for setAt := snipeford.Instant(0); ; {
		// The deadline is not set for each read, so it allows for the time since it was set.
		if now, resetAfter := c.Timer.Now(), c.bodySilence()/4; setAt == 0 || now.Sub(setAt) > resetAfter {
			setAt = now
			c.setReadDeadline(c.Timer.Deadline(min(c.bodySilence()+resetAfter, c.timeLeft())))
		}
		into := body[len(body):cap(body)]
		if len(into) == 0 {
			into = next[:]
		}
		n, err := r.Read(into)
		if len(body)+n > cap(body) {
			if body, err = c.grow(body, limit, err); err != nil && err != io.EOF {
				return nil, err
			}
			body = append(body, next[:n]...)
		} else {
			body = body[:len(body)+n]
		}
		switch {
		case c.account.Evicted():
			return nil, errNoMemory
		case err == io.EOF:
			// Behind the body, net/http reads to notice that the caller disconnects. After an
			// error the deadline stays, since net/http reads on to discard the body.
			c.setReadDeadline(time.Time{})
			return body, nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, errors.Join(errBodyTime, err)
		case err != nil:
			return nil, err
		}
	}
}

// grow returns a body with twice the space, up to its length or the limit. It returns the
// error of the read, or that of the growth.
func (c *requestState) grow(body []byte, limit int64, readErr error) ([]byte, error) {
	size := min(2*int64(cap(body)), limit)
	if c.r.ContentLength > 0 {
		size = min(size, c.r.ContentLength)
	}
	size = max(size, int64(len(body))+1)
	if !c.account.Charge(size) {
		return nil, errNoMemory
	}
	out := append(make([]byte, 0, size), body...)
	c.account.Release(int64(cap(body)))
	return out, readErr
}

// bodySilence returns how long the bytes of a body may stay away.
func (c *requestState) bodySilence() time.Duration {
	if idle := c.view.Plan.Limits.IdleTimeout; idle > 0 {
		return idle
	}
	return defaultBodySilence
}

// setReadDeadline sets the deadline of the body. A request that is to end keeps the deadline
// that ends it.
func (c *requestState) setReadDeadline(t time.Time) {
	controller := http.NewResponseController(c.w)
	err := controller.SetReadDeadline(t)
	if c.ctx.Err() != nil || c.account.Evicted() {
		err = controller.SetReadDeadline(c.Timer.Deadline(0))
	}
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		c.Log.Decided("no read deadline", c.head.RequestID, "Error", err)
	}
}

// noMemory returns the refusal of a request whose body does not fit into the memory. Nothing
// was sent to an upstream.
func (c *requestState) noMemory() *refusal {
	c.account.Count(intake.CauseMemory)
	c.w.Header().Set("Connection", "close")
	f := overloaded(intake.RetryAfter)
	f.reason = "requests use too much memory"
	return f
}

// holdEvent charges the buffer of a stream's events to the connection, of which held bytes
// have been charged. Up to minBufferBytes are held in any case, since the request may have
// run.
func (s *streamRequest) holdEvent(events *event.Reader, held *int64) bool {
	more := int64(events.Held()) - *held
	if more <= 0 {
		return true
	}
	if !s.account.Charge(more) {
		if *held+more > minBufferBytes {
			return false
		}
		s.account.Force(more)
	}
	*held += more
	return true
}
