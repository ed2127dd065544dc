package relay

import (
	"errors"
	"fmt"
	"net/http"
	"slices"

	"snipeford"
	"snipeford/internal/upstream/connection"
)

// maxSelectedUpstreams limits the upstreams that are selected for one request, including
// those that did not run it. Route.MaxAttempts limits those that may have run it.
const maxSelectedUpstreams = 6

// response is the complete response of an upstream.
type response struct {
	status int
	header http.Header
	head   snipeford.ResponseHeader
	body   *body
}

var errNeverPassedOn = errors.New("response can never be passed on")

// servePlain buffers the complete response before it passes any of it on, so
// that a safe request can be retried.
func (c *requestState) servePlain(service snipeford.ServiceName) {
	for c.selectedUpstreams < maxSelectedUpstreams {
		if c.finishIfDone() {
			return
		}
		if c.noWay(service) {
			c.unreachable = true
			break
		}
		id, ok := c.pick(service)
		if !ok {
			break
		}
		if !c.allowSend(service) {
			c.Balancer.Ended(id, false)
			c.reportWatched(service, false, c.Timer.Now())
			break
		}
		if !c.mayUse(id) {
			c.withdraw(service, id)
			continue
		}
		resp, err := c.attemptPlain(service, id)
		if c.handleResponse(service, resp, err) {
			return
		}
		if !errors.Is(err, connection.ErrLinkLost) && !errors.Is(err, errPaused) {
			c.excluded = append(c.excluded, id)
		}
	}
	c.finishPlain(service)
}

// attemptPlain sends the request to one upstream and reads its response.
func (c *requestState) attemptPlain(service snipeford.ServiceName, id snipeford.UpstreamID) (*response, error) {
	c.selectedUpstreams++
	traced, span := c.Tracer.Start(c.ctx, "upstream")
	defer span.End()
	u, ok := c.findUpstream(service, id)
	if !ok {
		c.Balancer.Ended(id, false)
		c.reportWatched(service, false, c.Timer.Now())
		return nil, fmt.Errorf("%w: %s", errUnknownUpstream, id)
	}
	sentAt := c.Timer.Now()
	mayFailOver := c.route.Idempotent() && c.possibleRuns+1 < c.route.MaxAttempts
	request := c.upstreamRequest(snipeford.AttemptHeader{Upstream: id}, mayFailOver)
	request.Check = c.requireUsable(service, u)
	x, err := c.Pool.Do(traced, u.Address, request, c.Codec)
	if err != nil {
		var f *connection.ExchangeError
		verdict := connection.VerdictUnknown
		switch {
		case errors.As(err, &f) && f.Sent:
			c.possibleRuns++
			c.countReceipt()
			verdict = c.checkCrash(service, id, err, sentAt)
		case !errors.Is(err, errUnknownUpstream) && !errors.Is(err, errPaused):
			c.countUnreached(sentAt)
		}
		c.reportWatched(service, false, sentAt)
		return nil, c.endFailed(service, id, verdict, err, sentAt)
	}
	defer x.Close()
	c.logThrough(id, x)
	c.reportDirectives(service, id, false, x, sentAt)
	c.countReceipt()
	resp, err := c.readPlainResponse(x)
	verdict := connection.VerdictUnknown
	if err != nil && !errors.Is(err, errNeverPassedOn) && !errors.Is(err, errResponseTooLong) && !errors.Is(err, errNoMemory) {
		verdict = c.checkCrash(service, id, err, sentAt)
	}
	c.reportWatched(service, err == nil && !x.Decoded.NotRun, sentAt)
	if x.Decoded.HasLoad {
		c.Balancer.ReportLoad(id, x.Decoded.Running+x.Decoded.Waiting)
	}
	if !x.Decoded.NotRun {
		c.possibleRuns++
	}
	if err != nil {
		return nil, c.endFailed(service, id, verdict, err, sentAt)
	}
	refused := x.Decoded.NotRun && c.ctx.Err() == nil
	c.Balancer.Ended(id, refused)
	// An upstream that says for how long it wants no requests needs no pace after that.
	c.paceEnded(service, id, sentAt, refused && x.Decoded.Directives.RetryAfter == 0, x.Status)
	return resp, nil
}

// endFailed reports an attempt without a complete response to the balancer, and returns
// its error. If the context has ended, the caller disconnected or the deadline passed,
// which is no fault of the upstream, nor is a link that is lost, a pause or that it leaves.
func (c *requestState) endFailed(service snipeford.ServiceName, id snipeford.UpstreamID, verdict connection.Verdict, err error, sentAt snipeford.Instant) error {
	linkLost := verdict == connection.VerdictLinkLost
	atFault := !linkLost && !errors.Is(err, errUnknownUpstream) && !errors.Is(err, errPaused)
	c.Balancer.Ended(id, c.ctx.Err() == nil && atFault)
	c.paceEnded(service, id, sentAt, c.ctx.Err() == nil && atFault, 0)
	if linkLost && !errors.Is(err, connection.ErrLinkLost) {
		return fmt.Errorf("%w: %w", connection.ErrLinkLost, err)
	}
	return err
}

// logThrough logs the node that an attempt's connection leads through.
func (c *requestState) logThrough(id snipeford.UpstreamID, x *connection.Exchange) {
	if x.Through != "" {
		c.Metrics.Detoured()
		c.Log.Decided("sent through another node", c.head.RequestID, "Upstream", id, "Through", x.Through)
	}
}

// readPlainResponse reads a response, unless only its header is needed. A body that
// is never passed on may have no end. If it has a length, it is read so that the
// connection can be reused, except after an unsigned success, which is a fault.
func (c *requestState) readPlainResponse(x *connection.Exchange) (*response, error) {
	unsigned := x.Status < http.StatusMultipleChoices && !x.Decoded.Signed
	switch {
	case x.Decoded.NotRun && !x.SelfDelimited:
		return &response{status: x.Status, header: x.Header, head: x.Decoded, body: &body{}}, nil
	case unsigned && !x.Decoded.NotRun, x.Status == http.StatusServiceUnavailable && !x.SelfDelimited:
		return nil, fmt.Errorf("%w: status %d, signed %t", errNeverPassedOn, x.Status, x.Decoded.Signed)
	}
	return c.readResponse(x)
}

// readResponse reads a response, whose memory is free after the request.
func (c *requestState) readResponse(x *connection.Exchange) (*response, error) {
	b, err := c.responses.readBody(x, c.account)
	if err != nil {
		return nil, err
	}
	c.bodies = append(c.bodies, b)
	return &response{x.Status, x.Header, x.Decoded, b}, nil
}

// freeBodies frees the memory of the request's responses.
func (c *requestState) freeBodies() {
	for _, b := range c.bodies {
		b.free()
	}
}

// handleResponse handles the result of one attempt. It returns true once the
// request has its final response, and false if another upstream may be tried.
func (c *requestState) handleResponse(service snipeford.ServiceName, resp *response, err error) bool {
	if err != nil {
		return c.handleFailure(service, err)
	}
	if resp.head.NotRun {
		c.Log.Decided("upstream did not run the request", c.head.RequestID, "Status", resp.status)
		return false
	}
	good := resp.status < http.StatusInternalServerError && !impliesNotRun(resp.status)
	if good && (resp.head.Signed || resp.status >= http.StatusMultipleChoices) {
		c.writeResponse(resp)
		return true
	}
	c.Log.Decided("upstream failed the request", c.head.RequestID, "Status", resp.status, "Sealed", resp.head.Signed, "Attempts", c.possibleRuns)
	c.lastResponse = resp
	return !c.mayRetry() && c.finishPlain(service)
}

// handleFailure handles an attempt without a response, and returns the same as
// handleResponse.
func (c *requestState) handleFailure(service snipeford.ServiceName, err error) bool {
	if c.finishIfDone() {
		return true
	}
	c.Log.Decided("upstream gave no answer", c.head.RequestID, "Error", err, "Attempts", c.possibleRuns)
	if c.possibleRuns == 0 {
		return false
	}
	return !c.mayRetry() && c.finishPlain(service)
}

// mayRetry reports whether a request that may have run may be sent again.
func (c *requestState) mayRetry() bool {
	return c.route.Idempotent() && c.possibleRuns < c.route.MaxAttempts
}

// finishPlain writes the final response if no upstream returned a successful
// one. It always returns true.
func (c *requestState) finishPlain(service snipeford.ServiceName) bool {
	switch {
	case c.lastResponse != nil && !impliesNotRun(c.lastResponse.status) && c.lastResponse.status >= http.StatusInternalServerError:
		c.writeResponse(c.lastResponse)
	case c.possibleRuns > 0:
		c.refuse(upstreamFailed("no upstream answered"))
	case c.unreachable:
		c.refuse(unreachable())
	case c.suspected != nil:
		c.refuse(c.suspected)
	default:
		c.refuse(overloaded(c.retryAfterLimit(service)))
	}
	return true
}

// impliesNotRun reports whether a status tells the caller that the request did
// not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// writeResponse passes on an upstream's response without its hop-by-hop headers.
func (c *requestState) writeResponse(resp *response) {
	took := c.Timer.Now().Sub(c.start)
	c.Metrics.Completed(c.route.Kind, took, took)
	copyHeader(c.w.Header(), resp.header)
	c.writeHead(resp.status)
	if err := resp.body.writeTo(c.w); err != nil {
		c.Log.Decided("caller disconnected before the response was written", c.head.RequestID, "Error", err)
	}
}

// writeHead writes the status and the header. The response of a leaving node closes
// its connection.
func (c *requestState) writeHead(status int) {
	c.progress.startResponse()
	if c.Leaving() {
		c.w.Header().Set("Connection", "close")
	}
	c.w.WriteHeader(status)
}

// hopByHopHeaders apply to a single connection and are not passed on.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(hopByHopHeaders, name) {
			to[name] = values
		}
	}
}
