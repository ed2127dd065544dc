// Package dispatch runs calls at the home of their group: it waits for the
// reducer's decision, runs attempts at upstreams and sends the response to the
// entry node.
package dispatch

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"time"

	"github.com/charmbracelet/log"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"snipeford"
	"snipeford/internal/control/loop"
	"snipeford/internal/control/mailbox"
	"snipeford/internal/control/reducer"
	"snipeford/internal/control/timer"
	"snipeford/internal/operate/record"
	"snipeford/internal/request/prompt"
	"snipeford/internal/request/stream"
	"snipeford/internal/upstream/engine"
	"snipeford/internal/upstream/service"
)

// Payload is the content of a call. It is not passed to the reducer.
type Payload struct {
	// Prompt is the text of the prompt. It is empty for a plain service.
	Prompt string
	// Service is the request to a plain service, or nil.
	Service *service.Request
}

// errLeaseExpired ends an attempt of a node that may no longer be the home.
var errLeaseExpired = errors.New("lease expired before the request was sent")

// Executor runs the calls of the groups whose home is this node.
type Executor struct {
	Loop      *loop.Loop
	Mailboxes *mailbox.Set
	Timer     *timer.Clock
	Engine    *engine.Client
	Service   *service.Client
	Tracer    trace.Tracer
	Log       *log.Logger
	Records   *record.History
}

// NewAttemptID returns an attempt id of 128 random bits, which cannot be guessed.
func NewAttemptID() snipeford.AttemptID {
	var raw [16]byte
	// crypto/rand.Read never fails on the supported operating systems.
	_, _ = rand.Read(raw[:])
	return snipeford.AttemptID(hex.EncodeToString(raw[:]))
}

// Serve runs one call until it ends at this home.
func (x *Executor) Serve(ctx context.Context, c snipeford.Call, group snipeford.Group, payload Payload, sink stream.Sink) stream.End {
	effects := x.Mailboxes.Open(c.ID)
	defer x.Mailboxes.Close(c.ID)
	ctx, span := x.Tracer.Start(ctx, "home.queue", trace.WithAttributes(attribute.String("Group", group.String())))
	defer span.End()
	x.Loop.Send(reducer.CallForwarded{Call: c, Group: group})
	run := &execution{executor: x, call: c, payload: payload, sink: sink, nextOffset: c.Offset}
	done := ctx.Done()
	for {
		select {
		case e := <-effects:
			if end, ended := run.handle(ctx, e); ended {
				return end
			}
		case <-done:
			// The reducer replies with a Cancel effect, which arrives after the
			// effects that it emitted earlier.
			done = nil
			x.Loop.Send(reducer.CallCancelled{Call: c.ID})
		}
	}
}

// execution is the state of one call in Serve.
type execution struct {
	executor   *Executor
	call       snipeford.Call
	payload    Payload
	sink       stream.Sink
	nextOffset snipeford.Tokens
	upstream   snipeford.UpstreamID
	// firstTokenReceived is set by the first token of the current attempt.
	firstTokenReceived bool
}

// handle executes one effect and reports whether the call has ended.
func (r *execution) handle(ctx context.Context, e reducer.Effect) (stream.End, bool) {
	switch e := e.(type) {
	case reducer.ReturnToEntry:
		r.executor.Records.Add(r.call.RequestID, "home sends back: %s, %s", e.Cause, e.Outcome)
		return stream.End{Cause: e.Cause, Outcome: e.Outcome, RetryAfter: e.RetryAfter, Offset: r.nextOffset, Upstream: r.upstream}, true
	case reducer.Complete:
		return stream.End{Done: true, Outcome: snipeford.Ran, Offset: r.nextOffset, Upstream: r.upstream}, true
	case reducer.Cancel:
		return stream.End{Cause: snipeford.CauseCancelled, Outcome: snipeford.Unknown, Offset: r.nextOffset}, true
	case reducer.Dispatch:
		r.dispatch(ctx, e)
	}
	return stream.End{}, false
}

// dispatch runs one attempt and reports its result to the reducer.
func (r *execution) dispatch(ctx context.Context, e reducer.Dispatch) {
	last := e.Parts[len(e.Parts)-1].Upstream
	r.upstream = last.ID
	r.firstTokenReceived = false
	r.executor.Records.Add(r.call.RequestID, "dispatched to %s, attempt %d, %d part(s), waited %s, offset %d",
		last.ID, e.Attempt, len(e.Parts), e.QueueTime.Round(time.Microsecond), r.nextOffset)
	ctx, span := r.executor.Tracer.Start(ctx, "dispatch", trace.WithAttributes(attribute.String("Upstream", string(last.ID))))
	defer span.End()
	end, err := r.attempt(ctx, e)
	if ctx.Err() != nil && end != snipeford.EndDone {
		end = snipeford.EndCancelled
	}
	if err != nil {
		r.executor.Records.Add(r.call.RequestID, "attempt at %s ended: %s", last.ID, end)
		r.executor.Log.Warn("attempt failed", "Request", r.call.RequestID, "Upstream", last.ID, "End", end, "Error", err)
	}
	r.executor.Loop.Send(reducer.AttemptEnded{Call: r.call.ID, End: end, Offset: r.nextOffset})
}

func (r *execution) attempt(ctx context.Context, e reducer.Dispatch) (snipeford.AttemptEnd, error) {
	if ctx.Err() != nil {
		return snipeford.EndCancelled, ctx.Err()
	}
	// The lease may have expired if the process was suspended after the decision.
	if r.executor.Timer.Now() >= e.StartBefore {
		return snipeford.EndUnsent, errLeaseExpired
	}
	if r.payload.Service != nil {
		return r.callService(ctx, e)
	}
	result := r.generate(ctx, e)
	r.nextOffset = max(r.nextOffset, result.NextOffset)
	if result.Load != nil {
		r.executor.Loop.Send(reducer.LoadReported{Load: *result.Load})
	}
	return result.End, result.Err
}

func (r *execution) callService(ctx context.Context, e reducer.Dispatch) (snipeford.AttemptEnd, error) {
	ctx, span := r.executor.Tracer.Start(ctx, "upstream.service")
	defer span.End()
	request := *r.payload.Service
	if request.Attempt == "" {
		request.Attempt = NewAttemptID()
	}
	response, end, err := r.executor.Service.Call(ctx, e.Parts[0].Upstream, request)
	if err != nil {
		return end, err
	}
	r.executor.Loop.Send(reducer.FirstTokenReceived{Call: r.call.ID})
	if err := r.sink.Response(response); err != nil {
		return snipeford.EndCancelled, err
	}
	return snipeford.EndDone, nil
}

func (r *execution) generate(ctx context.Context, e reducer.Dispatch) engine.Result {
	ctx, span := r.executor.Tracer.Start(ctx, "upstream.engine")
	defer span.End()
	g := engine.GenerateRequest{
		Attempt:      NewAttemptID(),
		Prompt:       r.payload.Prompt,
		MaxTokens:    r.call.MaxOutput,
		Priority:     e.Priority,
		Offset:       r.nextOffset,
		Seed:         string(r.call.RequestID),
		FencingToken: e.Fence,
		PrefixHashes: r.call.Prefix,
	}
	if len(e.Parts) == 1 {
		return r.executor.Engine.Generate(ctx, e.Parts[0].Upstream, g, r.sendChunk)
	}
	onSegmentStart := func(segment int) { r.executor.Loop.Send(reducer.PromptPartStarted{Call: r.call.ID, Part: segment}) }
	return r.executor.Engine.GenerateSegments(ctx, r.segments(e), g, onSegmentStart, r.sendChunk)
}

func (r *execution) segments(e reducer.Dispatch) []engine.Segment {
	memory := (r.call.Prompt+r.call.MaxOutput)/snipeford.Tokens(len(e.Parts)) + 1
	var out []engine.Segment
	for _, p := range e.Parts {
		out = append(out, engine.Segment{Upstream: p.Upstream, Prompt: prompt.Slice(r.payload.Prompt, p.From, p.To), ReservedMemory: memory})
	}
	return out
}

// sendChunk passes a verified chunk to the sink.
func (r *execution) sendChunk(c stream.Chunk) error {
	if !r.firstTokenReceived {
		r.firstTokenReceived = true
		r.executor.Loop.Send(reducer.FirstTokenReceived{Call: r.call.ID})
	}
	r.nextOffset = max(r.nextOffset, c.Offset+1)
	return r.sink.Chunk(c)
}
