// Package service is the client of the plain services beside the engines.
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

// AttemptIDHeader carries the attempt id; the service echoes it.
const AttemptIDHeader = "Snipeford-Attempt"

// longestAnswer bounds a service's answer, in bytes.
const longestAnswer = 8 << 20

// Request is one call of a plain service.
type Request struct {
	Method  string
	Path    string
	Header  http.Header
	Body    []byte
	Attempt snipeford.AttemptID
}

// Client calls plain services.
type Client struct{ HTTP *http.Client }

// Call sends the request once. It never repeats it.
func (c *Client) Call(ctx context.Context, u snipeford.Upstream, r Request) (stream.Response, snipeford.AttemptEnd, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+u.Address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return stream.Response{}, snipeford.EndUnsent, fmt.Errorf("build service call: %w", trace.Wrap(err))
	}
	req.Header = r.Header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	req.Header.Set(AttemptIDHeader, string(r.Attempt))
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	// Without a body to read again, net/http never repeats the request itself.
	req.GetBody = nil
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return stream.Response{}, engine.AttemptEndOf(err), fmt.Errorf("call service %s: %w", u.ID, err)
	}
	defer resp.Body.Close()
	return readResponse(resp, r.Attempt)
}

func readResponse(resp *http.Response, attempt snipeford.AttemptID) (stream.Response, snipeford.AttemptEnd, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, longestAnswer+1))
	if err != nil {
		return stream.Response{}, snipeford.EndBroken, fmt.Errorf("read service answer: %w", err)
	}
	if len(body) > longestAnswer {
		return stream.Response{}, snipeford.EndBroken, fmt.Errorf("read service answer: %w", trace.LimitExceeded("longer than %d bytes", longestAnswer))
	}
	if got := resp.Header.Get(AttemptIDHeader); got != string(attempt) {
		return stream.Response{}, snipeford.EndBroken, fmt.Errorf("check service answer: %w", stream.ErrWrongAttempt)
	}
	return stream.Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, snipeford.EndDone, nil
}
