// Package forward sends a call from its entry node to the home of its group and
// returns the response. A call is one HTTP request with the prompt as its body;
// the response is a stream of JSON lines.
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

// Path is the HTTP path of forwarded calls.
const Path = "/peer/forward"

const (
	envelopeHeader = "Snipeford-Call"
	// PeerKeyHeader carries the key that all nodes share.
	PeerKeyHeader = "Snipeford-Peer-Key"
	// maxFrameBytes limits one line of the response.
	maxFrameBytes = 16 << 20
	// maxBodyBytes limits a forwarded prompt or service request body.
	maxBodyBytes = 16 << 20
	// keepAliveInterval is the time between empty frames, which the home sends
	// until the call ends. The entry node cancels the exchange if it receives no
	// frame for keepAliveTimeout.
	keepAliveInterval = 1 * time.Second
	keepAliveTimeout  = 4 * time.Second
)

// envelope is the JSON value of envelopeHeader. QueueTimeLeft is the time left until
// Call.QueueDeadline, and TimeLeft until Call.Deadline: they are durations because
// the clocks of different nodes are not comparable.
type envelope struct {
	Call          snipeford.Call
	Group         snipeford.Group
	QueueTimeLeft time.Duration    `json:"GiveUp"`
	TimeLeft      time.Duration    `json:"Remains"`
	Service       *service.Request `json:",omitempty"`
}

// Client forwards calls to other nodes.
type Client struct {
	HTTP  *http.Client
	Timer *timer.Clock
	Key   string
}

// Forward runs a call at the peer and passes the response to the sink.
func (c *Client) Forward(ctx context.Context, peer snipeford.Member, call snipeford.Call, group snipeford.Group, payload dispatch.Payload, sink stream.Sink) stream.End {
	end, err := c.exchange(ctx, peer, call, group, payload, sink)
	if err == nil {
		return end
	}
	if engine.AttemptEndOf(err) == snipeford.EndUnsent {
		return stream.End{Cause: snipeford.CauseNotHome, Outcome: snipeford.NotRun, Offset: end.Offset}
	}
	return stream.End{Cause: snipeford.CauseUpstreamFailed, Outcome: snipeford.Unknown, Offset: end.Offset}
}

func (c *Client) exchange(ctx context.Context, peer snipeford.Member, call snipeford.Call, group snipeford.Group, payload dispatch.Payload, sink stream.Sink) (stream.End, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	initialEnd := stream.End{Offset: call.Offset}
	req, err := c.newRequest(ctx, peer, call, group, payload)
	if err != nil {
		return initialEnd, err
	}
	watchdog := c.Timer.StartWatchdog(keepAliveTimeout, cancel)
	defer watchdog.Stop()
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return initialEnd, fmt.Errorf("forward to %s: %w", peer.Node, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return initialEnd, fmt.Errorf("forward to %s: %w", peer.Node, trace.ConnectionProblem(nil, "status %d", resp.StatusCode))
	}
	return copyFrames(resp.Body, watchdog, call.Offset, sink)
}

func (c *Client) newRequest(ctx context.Context, peer snipeford.Member, call snipeford.Call, group snipeford.Group, payload dispatch.Payload) (*http.Request, error) {
	now := c.Timer.Now()
	e := envelope{Call: call, Group: group, QueueTimeLeft: call.QueueDeadline.Sub(now), TimeLeft: call.Deadline.Sub(now)}
	body := payload.Prompt
	if payload.Service != nil {
		copied := *payload.Service
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
		return nil, fmt.Errorf("build forward request: %w", trace.Wrap(err))
	}
	req.Header.Set(envelopeHeader, string(raw))
	req.Header.Set(PeerKeyHeader, c.Key)
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	return req, nil
}

func copyFrames(body io.Reader, watchdog *timer.Watchdog, offset snipeford.Tokens, sink stream.Sink) (stream.End, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxFrameBytes)
	end := stream.End{Offset: offset}
	for lines.Scan() {
		watchdog.Reset()
		var f stream.Frame
		if err := json.Unmarshal(lines.Bytes(), &f); err != nil {
			return end, fmt.Errorf("decode frame: %w", trace.Wrap(err))
		}
		if f.End != nil {
			return *f.End, nil
		}
		if err := deliverFrame(f, sink); err != nil {
			return end, err
		}
		if f.Chunk != nil {
			end.Offset = f.Chunk.Offset + 1
		}
	}
	return end, fmt.Errorf("read frames: %w", stream.ErrTruncated)
}

func deliverFrame(f stream.Frame, sink stream.Sink) error {
	var err error
	switch {
	case f.Chunk != nil:
		err = sink.Chunk(*f.Chunk)
	case f.Response != nil:
		err = sink.Response(*f.Response)
	}
	if err != nil {
		return fmt.Errorf("deliver frame: %w", err)
	}
	return nil
}

// Server runs the calls that other nodes forward to this node.
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
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	now := s.Timer.Now()
	e.Call.QueueDeadline, e.Call.Deadline = now.Add(e.QueueTimeLeft), now.Add(e.TimeLeft)
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, cancel := context.WithTimeout(ctx, e.TimeLeft)
	defer cancel()
	out := &frameWriter{w: w, flush: http.NewResponseController(w)}
	stopKeepAlive := out.keepAlive(ctx, s.Timer)
	end := s.Executor.Serve(ctx, e.Call, e.Group, e.payload(body), out)
	stopKeepAlive()
	// The error is ignored, as the entry node may have disconnected.
	_ = out.write(stream.Frame{End: &end})
}

func (e *envelope) payload(body []byte) dispatch.Payload {
	if e.Service == nil {
		return dispatch.Payload{Prompt: string(body)}
	}
	e.Service.Body = body
	return dispatch.Payload{Service: e.Service}
}
