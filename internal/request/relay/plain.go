package relay

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"

	"snipeford"
	"snipeford/internal/upstream/connection"
)

const (
	// longestAnswer bounds the answer of a plain service, in bytes.
	longestAnswer = 8 << 20
	// mostTries bounds the upstreams that are asked for one request, those that
	// did not run it included.
	mostTries = 6
)

// answer is an upstream's whole answer.
type answer struct {
	status int
	header http.Header
	head   snipeford.ResponseHeader
	body   []byte
}

var errLongAnswer = errors.New("answer is too long")

// servePlain gets the whole answer before any of it is passed on, so that a
// safe request can be repeated.
func (c *call) servePlain(name snipeford.ServiceName) {
	for c.tries < mostTries {
		if c.over() {
			return
		}
		id, ok := c.Balancer.Pick(c.view, name, c.excluded)
		if !ok {
			break
		}
		if !c.mayArrive(name) {
			c.Balancer.Ended(id, false)
			break
		}
		a, err := c.tryPlain(name, id)
		if c.settled(a, err) {
			return
		}
		c.excluded = append(c.excluded, id)
	}
	c.finishPlain()
}

// tryPlain sends the request to one upstream.
func (c *call) tryPlain(name snipeford.ServiceName, id snipeford.UpstreamID) (*answer, error) {
	c.tries++
	if c.arrivals > 0 {
		c.Metrics.Repeated(c.route.Kind)
	}
	traced, span := c.Tracer.Start(c.ctx, "upstream")
	defer span.End()
	x, err := c.Pool.Do(traced, c.address(name, id), c.request(snipeford.AttemptHeader{Upstream: id}), c.Codec)
	if err != nil {
		var f *connection.ExchangeError
		if errors.As(err, &f) && f.Sent {
			c.attempts++
			c.arrivals++
		}
		c.Balancer.Ended(id, c.ctx.Err() == nil)
		return nil, err
	}
	defer x.Close()
	c.arrivals++
	a, err := readAnswer(x)
	if x.Decoded.HasLoad {
		c.Balancer.ReportLoad(id, x.Decoded.Running+x.Decoded.Waiting)
	}
	if !x.Decoded.NotRun {
		c.attempts++
	}
	c.Balancer.Ended(id, (err != nil || x.Decoded.NotRun) && c.ctx.Err() == nil)
	return a, err
}

func readAnswer(x *connection.Exchange) (*answer, error) {
	body, err := io.ReadAll(io.LimitReader(x, longestAnswer+1))
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if len(body) > longestAnswer {
		return nil, errLongAnswer
	}
	return &answer{x.Status, x.Header, x.Decoded, body}, nil
}

// settled passes an answer on, or reports that another upstream may be asked.
func (c *call) settled(a *answer, err error) bool {
	if err != nil {
		return c.settleFailure(err)
	}
	if a.head.NotRun {
		c.Log.Decided("upstream did not run the request", c.head.RequestID, "Status", a.status)
		return false
	}
	good := a.status < http.StatusInternalServerError
	if good && (a.head.Signed || a.status >= http.StatusMultipleChoices) {
		c.pass(a)
		return true
	}
	c.Log.Decided("upstream failed the request", c.head.RequestID, "Status", a.status, "Sealed", a.head.Signed, "Attempts", c.attempts)
	c.last = a
	return !c.mayRepeat() && c.finishPlain()
}

// settleFailure handles an exchange without an answer.
func (c *call) settleFailure(err error) bool {
	if c.over() {
		return true
	}
	c.Log.Decided("upstream gave no answer", c.head.RequestID, "Error", err, "Attempts", c.attempts)
	if c.attempts == 0 {
		return false
	}
	return !c.mayRepeat() && c.finishPlain()
}

// mayRepeat reports whether a request that may have run may run again.
func (c *call) mayRepeat() bool {
	return c.route.Idempotent() && c.attempts < c.route.MaxAttempts
}

// finishPlain gives the final answer where no upstream gave a good one.
func (c *call) finishPlain() bool {
	switch {
	case c.last != nil && !promises(c.last.status) && c.last.status >= http.StatusInternalServerError:
		c.pass(c.last)
	case c.attempts > 0:
		c.refuse(failed("no upstream answered"))
	default:
		c.refuse(overloaded(soon))
	}
	return true
}

// promises reports whether a status says that the request did not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// pass passes an upstream's answer on unchanged.
func (c *call) pass(a *answer) {
	took := c.Timer.Now().Sub(c.start)
	c.Metrics.Answered(c.route.Kind, took, took)
	copyHeader(c.w.Header(), a.header)
	c.w.WriteHeader(a.status)
	if _, err := c.w.Write(a.body); err != nil {
		c.Log.Decided("caller left before its answer", c.head.RequestID, "Error", err)
	}
}

// connectionHeaders concern one connection alone.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(connectionHeaders, name) {
			to[name] = values
		}
	}
}

// address returns where the upstream listens.
func (c *call) address(name snipeford.ServiceName, id snipeford.UpstreamID) string {
	for _, u := range c.view.Usable[name] {
		if u.ID == id {
			return u.Address
		}
	}
	return ""
}
