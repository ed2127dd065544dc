// Package service is the client of plain services, the upstreams that are not model
// engines.
package service

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/propagation"

	"snipeford"
	"snipeford/internal/request/stream"
	"snipeford/internal/upstream/engine"
)

// AttemptIDHeader is the header that carries the attempt ID. The service echoes it.
const AttemptIDHeader = "Snipeford-Attempt"

// maxResponseBody is the maximum size of a service's response body, in bytes.
const maxResponseBody = 8 << 20

// Request is a request to a plain service.
type Request struct {
	Method  string
	Path    string
	Header  http.Header
	Body    []byte
	Attempt snipeford.AttemptID
}

// Client calls plain services.
type Client struct{ HTTP *http.Client }

// Call sends the request once. It never retries it.
func (c *Client) Call(ctx context.Context, u snipeford.Upstream, r Request) (stream.Response, snipeford.AttemptEnd, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+u.Address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return stream.Response{}, snipeford.EndUnsent, fmt.Errorf("build service request: %w", trace.Wrap(err))
	}
	req.Header = r.Header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	req.Header.Set(AttemptIDHeader, string(r.Attempt))
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	// Without GetBody, net/http cannot read the body again and never retries the
	// request itself.
	req.GetBody = nil
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return stream.Response{}, engine.AttemptEndOf(err), fmt.Errorf("call service %s: %w", u.ID, err)
	}
	defer resp.Body.Close()
	return readResponse(resp, r.Attempt)
}

func readResponse(resp *http.Response, attempt snipeford.AttemptID) (stream.Response, snipeford.AttemptEnd, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBody+1))
	if err != nil {
		return stream.Response{}, snipeford.EndBroken, fmt.Errorf("read service response: %w", err)
	}
	if len(body) > maxResponseBody {
		return stream.Response{}, snipeford.EndBroken, fmt.Errorf("read service response: %w", trace.LimitExceeded("longer than %d bytes", maxResponseBody))
	}
	// The response is of another attempt, or the service did not echo the attempt id.
	if got := resp.Header.Get(AttemptIDHeader); got != string(attempt) {
		return stream.Response{}, snipeford.EndBroken, fmt.Errorf("check service response: %w", stream.ErrWrongAttempt)
	}
	return stream.Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, snipeford.EndDone, nil
}
