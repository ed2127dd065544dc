// Package engine is the client of the model engines' published protocol: JSON
// over HTTP, answers as server-sent events.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/propagation"

	"snipeford"
	"snipeford/internal/control/timer"
	"snipeford/internal/request/stream"
)

// Paths of the protocol.
const (
	PathGenerate     = "/v1/generate"
	PathReserve      = "/v1/reserve"
	PathPrefill      = "/v1/prefill"
	PathRelease      = "/v1/release"
	PathReservations = "/v1/reservations"
	PathLoad         = "/v1/load"
	PathEvents       = "/v1/events"
)

// Generate asks for an answer. Prompt is the whole prompt, or the last segment
// where Handle names the exported memory of the segments before it.
type Generate struct {
	Attempt   snipeford.AttemptID
	Prompt    string
	MaxTokens snipeford.Tokens
	Priority  int
	Offset    snipeford.Tokens
	Seed      string
	Fence     snipeford.FencingToken
	Handle    string `json:",omitempty"`
	Blocks    []uint64
}

// Reserve holds memory for an attempt.
type Reserve struct {
	Attempt snipeford.AttemptID
	Tokens  snipeford.Tokens
	Seconds float64
	Fence   snipeford.FencingToken
}

// Prefill computes one segment and exports its memory under the answered handle.
type Prefill struct {
	Attempt  snipeford.AttemptID
	Prompt   string
	Handle   string
	Priority int
	Fence    snipeford.FencingToken
}

// PrefillReply names the exported memory of all segments so far.
type PrefillReply struct{ Handle string }

// Release frees what is held for an attempt.
type Release struct {
	Attempt snipeford.AttemptID
	Fence   snipeford.FencingToken
}

// Reservation is one attempt's hold on memory, with the fence it was made under.
type Reservation struct {
	Attempt snipeford.AttemptID
	Tokens  snipeford.Tokens
	Fence   snipeford.FencingToken
}

// Event is one cache event: the block was dropped.
type Event struct {
	Sequence uint64
	Block    uint64
}

const callTimeout = 2 * time.Second

// longestLine bounds one line of an engine's stream, in bytes.
const longestLine = 1 << 20

// Client calls engines.
type Client struct {
	HTTP  *http.Client
	Timer *timer.Clock
	// PrefillGrace is allowed for a segment beside its work; zero means 10 s.
	PrefillGrace time.Duration
}

// Result is the end of an attempt at an engine.
type Result struct {
	End  snipeford.AttemptEnd
	Next snipeford.Tokens
	Load *snipeford.LoadReport
	Err  error
}

// Generate runs one attempt and passes its verified chunks on. A silence of
// StallTimeout breaks the attempt.
func (c *Client) Generate(ctx context.Context, u snipeford.Upstream, g Generate, pass func(stream.Chunk) error) Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := c.Timer.StartWatchdog(snipeford.StallTimeout, func() { cancel(errStalled) })
	defer watch.Stop()
	resp, err := c.post(ctx, u, PathGenerate, g)
	if err != nil {
		return Result{End: EndOf(err), Next: g.Offset, Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		err := trace.LimitExceeded("engine answered status %d", resp.StatusCode)
		return Result{End: snipeford.EndRejected, Next: g.Offset, Err: err}
	}
	v := &stream.Verifier{Attempt: g.Attempt, NextOffset: g.Offset}
	load, err := copyChunks(resp, v, watch, pass)
	result := Result{End: snipeford.EndDone, Next: v.NextOffset, Load: load, Err: err}
	if err != nil {
		result.End = snipeford.EndBroken
	}
	return result
}

var errStalled = errors.New("engine fell silent")

func copyChunks(resp *http.Response, v *stream.Verifier, watch *timer.Watchdog, pass func(stream.Chunk) error) (*snipeford.LoadReport, error) {
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, longestLine)
	for lines.Scan() {
		watch.Reset()
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		var chunk stream.Chunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return nil, fmt.Errorf("decode chunk: %w", trace.Wrap(err))
		}
		fresh, err := v.Check(chunk)
		if err != nil {
			return nil, fmt.Errorf("check chunk: %w", err)
		}
		if fresh {
			err = pass(chunk)
		}
		if err != nil {
			return nil, fmt.Errorf("pass chunk on: %w", err)
		}
		if chunk.Done {
			return chunk.Load, nil
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read stream: %w", err)
	}
	return nil, v.Finish()
}

// EndOf returns how an attempt ended that got no answer: unsent where the
// connection was never made.
func EndOf(err error) snipeford.AttemptEnd {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return snipeford.EndUnsent
	}
	return snipeford.EndBroken
}

func (c *Client) post(ctx context.Context, u snipeford.Upstream, path string, body any) (*http.Response, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode engine call: %w", trace.Wrap(err))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.Address+path, bytes.NewReader(raw))
	if err != nil {
		return nil, fmt.Errorf("build engine call: %w", trace.Wrap(err))
	}
	req.Header.Set("Content-Type", "application/json")
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, fmt.Errorf("call engine %s: %w", u.ID, err)
	}
	return resp, nil
}

// call posts a body and decodes the answer into reply, which may be nil.
func (c *Client) call(ctx context.Context, u snipeford.Upstream, path string, body, reply any) error {
	resp, err := c.post(ctx, u, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("engine %s: %w", path, trace.LimitExceeded("status %d", resp.StatusCode))
	}
	return decode(resp, reply)
}

func decode(resp *http.Response, reply any) error {
	if reply == nil {
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(reply); err != nil {
		return fmt.Errorf("decode engine answer: %w", trace.Wrap(err))
	}
	return nil
}

// Reserve holds memory for an attempt.
func (c *Client) Reserve(ctx context.Context, u snipeford.Upstream, r Reserve) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.call(ctx, u, PathReserve, r, nil)
}

// Release frees what is held for an attempt.
func (c *Client) Release(ctx context.Context, u snipeford.Upstream, r Release) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.call(ctx, u, PathRelease, r, nil)
}

// Prefill computes one segment and returns the handle of all so far.
func (c *Client) Prefill(ctx context.Context, u snipeford.Upstream, p Prefill) (string, error) {
	var reply PrefillReply
	err := c.call(ctx, u, PathPrefill, p, &reply)
	return reply.Handle, err
}

// Load asks for the engine's own report.
func (c *Client) Load(ctx context.Context, u snipeford.Upstream) (snipeford.LoadReport, error) {
	var l snipeford.LoadReport
	err := c.get(ctx, u, PathLoad, &l)
	l.Upstream = u.ID
	return l, err
}

// Reservations lists what holds memory.
func (c *Client) Reservations(ctx context.Context, u snipeford.Upstream) ([]Reservation, error) {
	var list []Reservation
	err := c.get(ctx, u, PathReservations, &list)
	return list, err
}

// Events returns the cache events after the sequence number.
func (c *Client) Events(ctx context.Context, u snipeford.Upstream, after uint64) ([]Event, error) {
	var list []Event
	err := c.get(ctx, u, fmt.Sprintf("%s?after=%d", PathEvents, after), &list)
	return list, err
}

func (c *Client) get(ctx context.Context, u snipeford.Upstream, path string, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Address+path, nil)
	if err != nil {
		return fmt.Errorf("build engine call: %w", trace.Wrap(err))
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("call engine %s: %w", u.ID, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("engine %s: %w", path, trace.ConnectionProblem(nil, "status %d", resp.StatusCode))
	}
	return decode(resp, reply)
}
