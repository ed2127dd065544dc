// Package engine is the client of the model engines' published protocol: JSON over
// HTTP, with responses streamed as server-sent events.
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

// GenerateRequest requests the generation of a response. Prompt is the whole prompt,
// or only its last segment if Handle identifies the exported memory of the
// preceding segments. Seed is the request id, which all attempts of a request share.
// PrefixHashes are the hashes of the leading blocks of the whole prompt.
type GenerateRequest struct {
	Attempt      snipeford.AttemptID
	Prompt       string
	MaxTokens    snipeford.Tokens
	Priority     int
	Offset       snipeford.Tokens
	Seed         string
	FencingToken snipeford.FencingToken `json:"Fence"`
	Handle       string                 `json:",omitempty"`
	PrefixHashes []uint64               `json:"Blocks"`
}

// ReserveRequest reserves memory for an attempt.
type ReserveRequest struct {
	Attempt      snipeford.AttemptID
	Tokens       snipeford.Tokens
	Seconds      float64
	FencingToken snipeford.FencingToken `json:"Fence"`
}

// PrefillRequest prefills one segment of a prompt and exports its memory under the
// handle in the PrefillResponse.
type PrefillRequest struct {
	Attempt      snipeford.AttemptID
	Prompt       string
	Handle       string
	Priority     int
	FencingToken snipeford.FencingToken `json:"Fence"`
}

// PrefillResponse holds the handle of the exported memory of all segments so far.
type PrefillResponse struct{ Handle string }

// ReleaseRequest releases the memory that is reserved for an attempt.
type ReleaseRequest struct {
	Attempt      snipeford.AttemptID
	FencingToken snipeford.FencingToken `json:"Fence"`
}

// Reservation is the memory that is reserved for one attempt, with the fencing
// token of the request that reserved it.
type Reservation struct {
	Attempt      snipeford.AttemptID
	Tokens       snipeford.Tokens
	FencingToken snipeford.FencingToken `json:"Fence"`
}

// EvictionEvent reports that an engine evicted a block from its prefix cache.
type EvictionEvent struct {
	Sequence uint64
	Block    uint64
}

const controlCallTimeout = 2 * time.Second

// maxLineBytes is the maximum length of one line of an engine's stream, in bytes.
const maxLineBytes = 1 << 20

// Client sends requests to engines.
type Client struct {
	HTTP  *http.Client
	Timer *timer.Clock
	// PrefillGrace is the part of a segment's prefill timeout that does not depend
	// on the memory reserved for the segment. Zero means 10 s.
	PrefillGrace time.Duration
}

// Result is the result of an attempt at an engine.
type Result struct {
	End        snipeford.AttemptEnd
	NextOffset snipeford.Tokens
	Load       *snipeford.LoadReport
	Err        error
}

// Generate runs one attempt and calls deliver for each of its verified chunks. It
// ends the attempt if no data arrives for StallTimeout.
func (c *Client) Generate(ctx context.Context, u snipeford.Upstream, g GenerateRequest, deliver func(stream.Chunk) error) Result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := c.Timer.StartWatchdog(snipeford.StallTimeout, func() { cancel(errStalled) })
	defer watchdog.Stop()
	resp, err := c.post(ctx, u, PathGenerate, g)
	if err != nil {
		return Result{End: AttemptEndOf(err), NextOffset: g.Offset, Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		err := trace.LimitExceeded("engine responded with status %d", resp.StatusCode)
		return Result{End: snipeford.EndRejected, NextOffset: g.Offset, Err: err}
	}
	v := &stream.Verifier{Attempt: g.Attempt, NextOffset: g.Offset}
	load, err := copyChunks(resp, v, watchdog, deliver)
	result := Result{End: snipeford.EndDone, NextOffset: v.NextOffset, Load: load, Err: err}
	if err != nil {
		result.End = snipeford.EndBroken
	}
	return result
}

var errStalled = errors.New("engine sent no data within the stall timeout")

func copyChunks(resp *http.Response, v *stream.Verifier, watchdog *timer.Watchdog, deliver func(stream.Chunk) error) (*snipeford.LoadReport, error) {
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		watchdog.Reset()
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		var chunk stream.Chunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return nil, fmt.Errorf("decode chunk: %w", trace.Wrap(err))
		}
		isNew, err := v.Check(chunk)
		if err != nil {
			return nil, fmt.Errorf("check chunk: %w", err)
		}
		if isNew {
			err = deliver(chunk)
		}
		if err != nil {
			return nil, fmt.Errorf("deliver chunk: %w", err)
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

// AttemptEndOf returns how an attempt ended that failed with err before any response
// arrived: EndUnsent if the connection could not be opened, otherwise EndBroken.
func AttemptEndOf(err error) snipeford.AttemptEnd {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return snipeford.EndUnsent
	}
	return snipeford.EndBroken
}

func (c *Client) post(ctx context.Context, u snipeford.Upstream, path string, body any) (*http.Response, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode engine request: %w", trace.Wrap(err))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.Address+path, bytes.NewReader(raw))
	if err != nil {
		return nil, fmt.Errorf("build engine request: %w", trace.Wrap(err))
	}
	req.Header.Set("Content-Type", "application/json")
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, fmt.Errorf("call engine %s: %w", u.ID, err)
	}
	return resp, nil
}

// call posts a body and decodes the response into out, unless out is nil.
func (c *Client) call(ctx context.Context, u snipeford.Upstream, path string, body, out any) error {
	resp, err := c.post(ctx, u, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("engine request %s: %w", path, trace.LimitExceeded("status %d", resp.StatusCode))
	}
	return decodeResponse(resp, out)
}

func decodeResponse(resp *http.Response, out any) error {
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return fmt.Errorf("decode engine response: %w", trace.Wrap(err))
	}
	return nil
}

// Reserve reserves memory for an attempt.
func (c *Client) Reserve(ctx context.Context, u snipeford.Upstream, r ReserveRequest) error {
	ctx, cancel := context.WithTimeout(ctx, controlCallTimeout)
	defer cancel()
	return c.call(ctx, u, PathReserve, r, nil)
}

// Release releases the memory that is reserved for an attempt.
func (c *Client) Release(ctx context.Context, u snipeford.Upstream, r ReleaseRequest) error {
	ctx, cancel := context.WithTimeout(ctx, controlCallTimeout)
	defer cancel()
	return c.call(ctx, u, PathRelease, r, nil)
}

// Prefill prefills one segment and returns the handle of all segments so far.
func (c *Client) Prefill(ctx context.Context, u snipeford.Upstream, p PrefillRequest) (string, error) {
	var response PrefillResponse
	err := c.call(ctx, u, PathPrefill, p, &response)
	return response.Handle, err
}

// Load returns the load that the engine reports.
func (c *Client) Load(ctx context.Context, u snipeford.Upstream) (snipeford.LoadReport, error) {
	var l snipeford.LoadReport
	err := c.get(ctx, u, PathLoad, &l)
	l.Upstream = u.ID
	return l, err
}

// Reservations returns the engine's current reservations.
func (c *Client) Reservations(ctx context.Context, u snipeford.Upstream) ([]Reservation, error) {
	var reservations []Reservation
	err := c.get(ctx, u, PathReservations, &reservations)
	return reservations, err
}

// EvictionEvents returns the events whose sequence numbers are greater than after.
func (c *Client) EvictionEvents(ctx context.Context, u snipeford.Upstream, after uint64) ([]EvictionEvent, error) {
	var events []EvictionEvent
	err := c.get(ctx, u, fmt.Sprintf("%s?after=%d", PathEvents, after), &events)
	return events, err
}

func (c *Client) get(ctx context.Context, u snipeford.Upstream, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, controlCallTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Address+path, nil)
	if err != nil {
		return fmt.Errorf("build engine request: %w", trace.Wrap(err))
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("call engine %s: %w", u.ID, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("engine request %s: %w", path, trace.ConnectionProblem(nil, "status %d", resp.StatusCode))
	}
	return decodeResponse(resp, out)
}
