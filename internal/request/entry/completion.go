package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"snipeford"
	"snipeford/internal/request/dispatch"
	"snipeford/internal/request/prompt"
	"snipeford/internal/request/stream"
)

// serveCompletion serves POST /v1/completions.
func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	cr, refused := s.readRequest(w, r)
	if refused != nil {
		s.refuse(w, cr, "completion", refused)
		return
	}
	body, refused := prompt.Parse(cr.body)
	if refused != nil {
		s.refuse(w, cr, "completion", refused)
		return
	}
	rule, ok := s.Configuration.Model(snipeford.Model(body.Model))
	if !ok {
		s.refuse(w, cr, "completion", &snipeford.Refusal{Status: http.StatusNotFound, Cause: snipeford.CauseUnknownModel, Outcome: snipeford.NotRun, Field: "model", Message: "no rule names this model"})
		return
	}
	call, refused := s.newCall(cr, r, rule.Timeout)
	if refused != nil {
		s.refuse(w, cr, "completion", refused)
		return
	}
	call.Model = snipeford.Model(body.Model)
	call.Prompt = prompt.CountTokens(body.Prompt)
	call.MaxOutput = body.MaxOutput(rule.MaxOutput)
	call.Prefix = prompt.BlockHashes(body.Prompt)
	call.Idempotent = true
	call.QueueDeadline = min(cr.start.Add(queueTimeout(cr.rule, call.Prompt)), call.Deadline)
	if refused := resume(r, cr, &call); refused != nil {
		s.refuse(w, cr, "completion", refused)
		return
	}
	s.runCompletion(w, r, cr, body, call)
}

// resume continues a stream after the event that Last-Event-ID names as
// "request/offset".
func resume(r *http.Request, cr *callerRequest, call *snipeford.Call) *snipeford.Refusal {
	last := r.Header.Get("Last-Event-ID")
	if last == "" {
		return nil
	}
	id, offset, ok := strings.Cut(last, "/")
	n, err := strconv.ParseInt(offset, 10, 64)
	if !ok || err != nil || n < 0 || id == "" || snipeford.Tokens(n) >= call.MaxOutput {
		return &snipeford.Refusal{Status: http.StatusBadRequest, Cause: snipeford.CauseBadRequest, Outcome: snipeford.NotRun, Field: "Last-Event-ID", Message: "event id is not one of this service's"}
	}
	cr.requestID = snipeford.RequestID(id)
	call.RequestID = cr.requestID
	call.Offset = snipeford.Tokens(n) + 1
	return nil
}

func (s *Server) runCompletion(w http.ResponseWriter, r *http.Request, cr *callerRequest, body prompt.Completion, call snipeford.Call) {
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := s.Tracer.Start(ctx, "entry", trace.WithAttributes(
		attribute.String("Request", string(cr.requestID)), attribute.Int64("PromptTokens", int64(call.Prompt))))
	defer span.End()
	sink := &completionSink{server: s, callerRequest: cr, model: body.Model, w: w, nextOffset: call.Offset}
	if body.Stream {
		sink.controller = http.NewResponseController(w)
	}
	end, refused := s.run(ctx, call, dispatch.Payload{Prompt: body.Prompt}, sink)
	s.recordRequest(cr, "completion", call.Prompt, sink.firstToken, end, refused)
	if refused != nil {
		sink.fail(refused)
		return
	}
	sink.close(call)
}

func (s *Server) refuse(w http.ResponseWriter, cr *callerRequest, kind string, refused *snipeford.Refusal) {
	s.recordRequest(cr, kind, 0, 0, stream.End{}, refused)
	writeRefusal(w, cr.requestID, refused)
}

// completionSink writes a response as completions JSON or, if controller is set,
// as server-sent events.
type completionSink struct {
	server        *Server
	callerRequest *callerRequest
	model         string
	w             http.ResponseWriter
	controller    *http.ResponseController
	text          strings.Builder
	nextOffset    snipeford.Tokens
	headWritten   bool
	firstToken    time.Duration
}

type completionBody struct {
	ID      snipeford.RequestID `json:"id"`
	Object  string              `json:"object"`
	Created int64               `json:"created"`
	Model   string              `json:"model"`
	Choices []choice            `json:"choices"`
	Usage   *usage              `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type usage struct {
	PromptTokens     snipeford.Tokens `json:"prompt_tokens"`
	CompletionTokens snipeford.Tokens `json:"completion_tokens"`
	TotalTokens      snipeford.Tokens `json:"total_tokens"`
}

// Chunk writes one token. It drops tokens that it has written already, which
// another home may send again after a retry.
func (o *completionSink) Chunk(c stream.Chunk) error {
	if c.Offset < o.nextOffset {
		return nil
	}
	if c.Offset > o.nextOffset {
		return stream.ErrGap
	}
	o.nextOffset++
	if o.firstToken == 0 {
		o.firstToken = o.server.Timer.Now().Sub(o.callerRequest.start)
	}
	if o.controller == nil {
		o.text.WriteString(c.Text)
		return nil
	}
	return o.writeEvent(string(o.callerRequest.requestID)+"/"+strconv.FormatInt(int64(c.Offset), 10), o.newBody(c.Text, nil))
}

// Response implements stream.Sink. Completions arrive as chunks only.
func (o *completionSink) Response(stream.Response) error { return nil }

func (o *completionSink) newBody(text string, reason *string) completionBody {
	return completionBody{
		ID:      o.callerRequest.requestID,
		Object:  "text_completion",
		Created: o.server.Timer.Wall().Unix(),
		Model:   o.model,
		Choices: []choice{{Text: text, FinishReason: reason}},
	}
}

func (o *completionSink) writeEvent(id string, body any) error {
	if !o.headWritten {
		o.headWritten = true
		o.w.Header().Set("Content-Type", "text/event-stream")
		o.w.Header().Set(RequestIDHeader, string(o.callerRequest.requestID))
		o.w.WriteHeader(http.StatusOK)
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	var lines strings.Builder
	if id != "" {
		lines.WriteString("id: " + id + "\n")
	}
	lines.WriteString("data: " + string(raw) + "\n\n")
	if _, err := o.w.Write([]byte(lines.String())); err != nil {
		return err
	}
	return o.controller.Flush()
}

// close ends a complete response.
func (o *completionSink) close(call snipeford.Call) {
	reason := "stop"
	last := o.newBody("", &reason)
	last.Usage = &usage{call.Prompt, o.nextOffset, call.Prompt + o.nextOffset}
	if o.controller != nil {
		// The error is ignored, as the caller may have disconnected.
		_ = o.writeEvent("", last)
		_, _ = o.w.Write([]byte("data: [DONE]\n\n"))
		_ = o.controller.Flush()
		return
	}
	last.Choices[0].Text = o.text.String()
	o.w.Header().Set("Content-Type", "application/json")
	o.w.Header().Set(RequestIDHeader, string(o.callerRequest.requestID))
	_ = json.NewEncoder(o.w).Encode(last)
}

// fail ends a response that is incomplete. If events have been sent, the error is
// sent as the last event, so that the caller does not take the response for
// complete.
func (o *completionSink) fail(refused *snipeford.Refusal) {
	if !o.headWritten {
		writeRefusal(o.w, o.callerRequest.requestID, refused)
		return
	}
	// The error is ignored, as the caller may have disconnected.
	_, _ = o.w.Write([]byte("event: error\n"))
	_ = o.writeEvent("", newErrorBody(o.callerRequest.requestID, refused))
}
