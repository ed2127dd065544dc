// Package forward carries a call from its entry node to the home of its group
// and the answer back: one HTTP exchange, the prompt as its body, the answer as
// a stream of JSON lines.
package forward

import (
	"bufio"
	"context"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/propagation"

	"snipeford"
	"snipeford/internal/control/timer"
	"snipeford/internal/request/dispatch"
	"snipeford/internal/request/stream"
	"snipeford/internal/upstream/engine"
	"snipeford/internal/upstream/service"
)

// Path is where homes take calls.
const Path = "/peer/forward"

const (
	envelopeHeader = "Snipeford-Call"
	// PeerKeyHeader carries the key that peers share.
	PeerKeyHeader = "Snipeford-Peer-Key"
	// longestFrame bounds one line of the answer, in bytes.
	longestFrame = 16 << 20
	// longestBody bounds a forwarded prompt, in bytes.
	longestBody = 16 << 20
	// aliveEvery is the time between signs of life to the entry node while a
	// call waits, and silence the time without any after which the entry node
	// gives the home up.
	aliveEvery = 1 * time.Second
	silence    = 4 * time.Second
)

// envelope is what goes with the body. Times are relative, as nodes' clocks
// are never compared.
type envelope struct {
	Call    snipeford.Call
	Group   snipeford.Group
	GiveUp  time.Duration
	Remains time.Duration
	Service *service.Request `json:",omitempty"`
}

// Client forwards calls to other nodes.
type Client struct {
	HTTP  *http.Client
	Timer *timer.Clock
	Key   string
}

// Forward runs a call at the peer. The answer goes to the sink.
func (c *Client) Forward(ctx context.Context, peer snipeford.Member, call snipeford.Call, group snipeford.Group, job dispatch.Payload, sink stream.Sink) stream.End {
	end, err := c.exchange(ctx, peer, call, group, job, sink)
	if err == nil {
		return end
	}
	if engine.EndOf(err) == snipeford.EndUnsent {
		return stream.End{Cause: snipeford.CauseNotHome, Outcome: snipeford.NotRun, Offset: end.Offset}
	}
	return stream.End{Cause: snipeford.CauseUpstreamFailed, Outcome: snipeford.Unknown, Offset: end.Offset}
}

func (c *Client) exchange(ctx context.Context, peer snipeford.Member, call snipeford.Call, group snipeford.Group, job dispatch.Payload, sink stream.Sink) (stream.End, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := stream.End{Offset: call.Offset}
	req, err := c.request(ctx, peer, call, group, job)
	if err != nil {
		return start, err
	}
	watch := c.Timer.StartWatchdog(silence, cancel)
	defer watch.Stop()
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return start, fmt.Errorf("forward to %s: %w", peer.Node, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return start, fmt.Errorf("forward to %s: %w", peer.Node, trace.ConnectionProblem(nil, "status %d", resp.StatusCode))
	}
	return copyFrames(resp.Body, watch, call.Offset, sink)
}

func (c *Client) request(ctx context.Context, peer snipeford.Member, call snipeford.Call, group snipeford.Group, job dispatch.Payload) (*http.Request, error) {
	now := c.Timer.Now()
	e := envelope{Call: call, Group: group, GiveUp: call.QueueDeadline.Sub(now), Remains: call.Deadline.Sub(now)}
	body := job.Prompt
	if job.Service != nil {
		copied := *job.Service
		body = string(copied.Body)
		copied.Body = nil
		e.Service = &copied
	}
	raw, err := json.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode call: %w", trace.Wrap(err))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer.PeerAddress+Path, strings.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build forward: %w", trace.Wrap(err))
	}
	req.Header.Set(envelopeHeader, string(raw))
	req.Header.Set(PeerKeyHeader, c.Key)
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	return req, nil
}

func copyFrames(body io.Reader, watch *timer.Watchdog, next snipeford.Tokens, sink stream.Sink) (stream.End, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, longestFrame)
	end := stream.End{Offset: next}
	for lines.Scan() {
		watch.Reset()
		var f stream.Frame
		if err := json.Unmarshal(lines.Bytes(), &f); err != nil {
			return end, fmt.Errorf("decode frame: %w", trace.Wrap(err))
		}
		if f.End != nil {
			return *f.End, nil
		}
		if err := passFrame(f, sink); err != nil {
			return end, err
		}
		if f.Chunk != nil {
			end.Offset = f.Chunk.Offset + 1
		}
	}
	return end, fmt.Errorf("read frames: %w", stream.ErrTruncated)
}

func passFrame(f stream.Frame, sink stream.Sink) error {
	var err error
	switch {
	case f.Chunk != nil:
		err = sink.Chunk(*f.Chunk)
	case f.Response != nil:
		err = sink.Response(*f.Response)
	}
	if err != nil {
		return fmt.Errorf("pass frame on: %w", err)
	}
	return nil
}

// Server takes calls for this home.
type Server struct {
	Executor *dispatch.Executor
	Timer    *timer.Clock
	Key      string
}

// ServeHTTP runs one forwarded call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(PeerKeyHeader)), []byte(s.Key)) != 1 {
		http.Error(w, "peer key differs", http.StatusForbidden)
		return
	}
	var e envelope
	if err := json.Unmarshal([]byte(r.Header.Get(envelopeHeader)), &e); err != nil {
		http.Error(w, "envelope is not JSON", http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, longestBody))
	if err != nil {
		return
	}
	now := s.Timer.Now()
	e.Call.QueueDeadline, e.Call.Deadline = now.Add(e.GiveUp), now.Add(e.Remains)
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, cancel := context.WithTimeout(ctx, e.Remains)
	defer cancel()
	out := &frameWriter{w: w, flush: http.NewResponseController(w)}
	stop := out.keepAlive(ctx, s.Timer)
	end := s.Executor.Serve(ctx, e.Call, e.Group, e.job(body), out)
	stop()
	// Where the entry node is gone there is nobody to tell.
	_ = out.write(stream.Frame{End: &end})
}

func (e *envelope) job(body []byte) dispatch.Payload {
	if e.Service == nil {
		return dispatch.Payload{Prompt: string(body)}
	}
	e.Service.Body = body
	return dispatch.Payload{Service: e.Service}
}
