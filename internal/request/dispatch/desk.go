// Package dispatch is the home's side of a call: it waits for the reducer's
// decision, runs attempts at upstreams and passes the answer to the entry node.
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

// Job is the content of a call, which the reducer never sees.
type Job struct {
	// Prompt is the prompt's text; it is empty for a plain service.
	Prompt string
	// Service is the call of a plain service, or nil.
	Service *service.Request
}

// errLeaseLapsed ends an attempt whose node may no longer be the home.
var errLeaseLapsed = errors.New("lease lapsed before the send")

// Desk runs the calls whose group has its home here.
type Desk struct {
	Loop    *loop.Loop
	Boxes   *mailbox.Set
	Timer   *timer.Clock
	Engine  *engine.Client
	Service *service.Client
	Tracer  trace.Tracer
	Log     *log.Logger
	Book    *record.History
}

// NewAttempt returns an unguessable attempt id.
func NewAttempt() snipeford.AttemptID {
	var raw [16]byte
	// crypto/rand.Read never fails on the systems that this project runs on.
	_, _ = rand.Read(raw[:])
	return snipeford.AttemptID(hex.EncodeToString(raw[:]))
}

// Serve runs one call to its end at this home.
func (d *Desk) Serve(ctx context.Context, c snipeford.Call, group snipeford.Group, job Job, sink stream.Sink) stream.End {
	box := d.Boxes.Open(c.ID)
	defer d.Boxes.Close(c.ID)
	ctx, span := d.Tracer.Start(ctx, "home.queue", trace.WithAttributes(attribute.String("Group", group.String())))
	defer span.End()
	d.Loop.Send(reducer.CallForwarded{Call: c, Group: group})
	run := &serving{desk: d, call: c, job: job, sink: sink, next: c.Offset}
	done := ctx.Done()
	for {
		select {
		case e := <-box:
			if end, ended := run.handle(ctx, e); ended {
				return end
			}
		case <-done:
			// The reducer answers with Cancel, after what it sent before.
			done = nil
			d.Loop.Send(reducer.CallCancelled{Call: c.ID})
		}
	}
}

// serving is one call on its way through the desk.
type serving struct {
	desk     *Desk
	call     snipeford.Call
	job      Job
	sink     stream.Sink
	next     snipeford.Tokens
	upstream snipeford.UpstreamID
	// started is set by the first token of the running attempt.
	started bool
}

// handle carries out one effect and reports whether the call has ended.
func (r *serving) handle(ctx context.Context, e reducer.Effect) (stream.End, bool) {
	switch e := e.(type) {
	case reducer.ReturnToEntry:
		r.desk.Book.Add(r.call.RequestID, "home sends back: %s, %s", e.Cause, e.Outcome)
		return stream.End{Cause: e.Cause, Outcome: e.Outcome, RetryAfter: e.RetryAfter, Offset: r.next, Upstream: r.upstream}, true
	case reducer.Complete:
		return stream.End{Done: true, Outcome: snipeford.Ran, Offset: r.next, Upstream: r.upstream}, true
	case reducer.Cancel:
		return stream.End{Cause: snipeford.CauseCancelled, Outcome: snipeford.Unknown, Offset: r.next}, true
	case reducer.Dispatch:
		r.dispatch(ctx, e)
	}
	return stream.End{}, false
}

// dispatch runs one attempt and tells the reducer how it ended.
func (r *serving) dispatch(ctx context.Context, e reducer.Dispatch) {
	last := e.Parts[len(e.Parts)-1].Upstream
	r.upstream = last.ID
	r.started = false
	r.desk.Book.Add(r.call.RequestID, "dispatched to %s, attempt %d, %d part(s), waited %s, offset %d",
		last.ID, e.Attempt, len(e.Parts), e.QueueTime.Round(time.Microsecond), r.next)
	ctx, span := r.desk.Tracer.Start(ctx, "dispatch", trace.WithAttributes(attribute.String("Upstream", string(last.ID))))
	defer span.End()
	end, err := r.attempt(ctx, e)
	if ctx.Err() != nil && end != snipeford.EndDone {
		end = snipeford.EndCancelled
	}
	if err != nil {
		r.desk.Book.Add(r.call.RequestID, "attempt at %s ended: %s", last.ID, end)
		r.desk.Log.Warn("attempt failed", "Request", r.call.RequestID, "Upstream", last.ID, "End", end, "Error", err)
	}
	r.desk.Loop.Send(reducer.AttemptEnded{Call: r.call.ID, End: end, Offset: r.next})
}

func (r *serving) attempt(ctx context.Context, e reducer.Dispatch) (snipeford.AttemptEnd, error) {
	if ctx.Err() != nil {
		return snipeford.EndCancelled, ctx.Err()
	}
	// A process that was paused wakes up here with a lapsed lease.
	if r.desk.Timer.Now() >= e.StartBefore {
		return snipeford.EndUnsent, errLeaseLapsed
	}
	if r.job.Service != nil {
		return r.callService(ctx, e)
	}
	result := r.generate(ctx, e)
	r.next = max(r.next, result.Next)
	if result.Load != nil {
		r.desk.Loop.Send(reducer.LoadReported{Load: *result.Load})
	}
	return result.End, result.Err
}

func (r *serving) callService(ctx context.Context, e reducer.Dispatch) (snipeford.AttemptEnd, error) {
	ctx, span := r.desk.Tracer.Start(ctx, "upstream.service")
	defer span.End()
	request := *r.job.Service
	if request.Attempt == "" {
		request.Attempt = NewAttempt()
	}
	response, end, err := r.desk.Service.Call(ctx, e.Parts[0].Upstream, request)
	if err != nil {
		return end, err
	}
	r.desk.Loop.Send(reducer.FirstTokenReceived{Call: r.call.ID})
	if err := r.sink.Response(response); err != nil {
		return snipeford.EndCancelled, err
	}
	return snipeford.EndDone, nil
}

func (r *serving) generate(ctx context.Context, e reducer.Dispatch) engine.Result {
	ctx, span := r.desk.Tracer.Start(ctx, "upstream.engine")
	defer span.End()
	g := engine.Generate{
		Attempt:   NewAttempt(),
		Prompt:    r.job.Prompt,
		MaxTokens: r.call.MaxOutput,
		Priority:  e.Priority,
		Offset:    r.next,
		Seed:      string(r.call.RequestID),
		Fence:     e.Fence,
		Blocks:    r.call.Prefix,
	}
	if len(e.Parts) == 1 {
		return r.desk.Engine.Generate(ctx, e.Parts[0].Upstream, g, r.pass)
	}
	started := func(part int) { r.desk.Loop.Send(reducer.PromptPartStarted{Call: r.call.ID, Part: part}) }
	return r.desk.Engine.GenerateSegments(ctx, r.segments(e), g, started, r.pass)
}

func (r *serving) segments(e reducer.Dispatch) []engine.Segment {
	memory := (r.call.Prompt+r.call.MaxOutput)/snipeford.Tokens(len(e.Parts)) + 1
	var out []engine.Segment
	for _, p := range e.Parts {
		out = append(out, engine.Segment{Upstream: p.Upstream, Prompt: prompt.Cut(r.job.Prompt, p.From, p.To), Memory: memory})
	}
	return out
}

// pass hands one verified chunk on.
func (r *serving) pass(c stream.Chunk) error {
	if !r.started {
		r.started = true
		r.desk.Loop.Send(reducer.FirstTokenReceived{Call: r.call.ID})
	}
	r.next = max(r.next, c.Offset+1)
	return r.sink.Chunk(c)
}
