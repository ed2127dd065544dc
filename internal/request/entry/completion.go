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

// complete serves POST /v1/completions.
func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	v, refused := s.admit(w, r)
	if refused != nil {
		s.refuse(w, v, "completion", refused)
		return
	}
	body, refused := prompt.Parse(v.body)
	if refused != nil {
		s.refuse(w, v, "completion", refused)
		return
	}
	rule, ok := s.Directory.Model(snipeford.Model(body.Model))
	if !ok {
		s.refuse(w, v, "completion", &snipeford.Refusal{Status: http.StatusNotFound, Cause: snipeford.CauseUnknownModel, Outcome: snipeford.NotRun, Field: "model", Message: "no rule names this model"})
		return
	}
	call, refused := s.newCall(v, r, rule.Timeout)
	if refused != nil {
		s.refuse(w, v, "completion", refused)
		return
	}
	call.Model = snipeford.Model(body.Model)
	call.Prompt = prompt.CountTokens(body.Prompt)
	call.MaxOutput = body.MaxOutput(rule.MaxOutput)
	call.Prefix = prompt.BlockHashes(body.Prompt)
	call.Idempotent = true
	call.QueueDeadline = min(v.start.Add(waitOf(v.rule, call.Prompt)), call.Deadline)
	if refused := resume(r, v, &call); refused != nil {
		s.refuse(w, v, "completion", refused)
		return
	}
	s.answer(w, r, v, body, call)
}

// resume takes up a stream after its last event, which "request/offset" names.
func resume(r *http.Request, v *visit, call *snipeford.Call) *snipeford.Refusal {
	last := r.Header.Get("Last-Event-ID")
	if last == "" {
		return nil
	}
	id, offset, ok := strings.Cut(last, "/")
	n, err := strconv.ParseInt(offset, 10, 64)
	if !ok || err != nil || n < 0 || id == "" || snipeford.Tokens(n) >= call.MaxOutput {
		return &snipeford.Refusal{Status: http.StatusBadRequest, Cause: snipeford.CauseBadRequest, Outcome: snipeford.NotRun, Field: "Last-Event-ID", Message: "event id is not one of this service's"}
	}
	v.request = snipeford.RequestID(id)
	call.RequestID = v.request
	call.Offset = snipeford.Tokens(n) + 1
	return nil
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, v *visit, body prompt.Completion, call snipeford.Call) {
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := s.Tracer.Start(ctx, "entry", trace.WithAttributes(
		attribute.String("Request", string(v.request)), attribute.Int64("PromptTokens", int64(call.Prompt))))
	defer span.End()
	out := &completionSink{server: s, visit: v, model: body.Model, w: w, next: call.Offset}
	if body.Stream {
		out.events = http.NewResponseController(w)
	}
	end, refused := s.run(ctx, call, dispatch.Payload{Prompt: body.Prompt}, out)
	s.finish(v, "completion", call.Prompt, out.firstToken, end, refused)
	if refused != nil {
		out.fail(refused)
		return
	}
	out.close(call)
}

func (s *Server) refuse(w http.ResponseWriter, v *visit, what string, refused *snipeford.Refusal) {
	s.finish(v, what, 0, 0, stream.End{}, refused)
	writeRefusal(w, v.request, refused)
}

// completionSink writes an answer as completions JSON, plain or, where events
// is set, as server-sent events.
type completionSink struct {
	server     *Server
	visit      *visit
	model      string
	w          http.ResponseWriter
	events     *http.ResponseController
	text       strings.Builder
	next       snipeford.Tokens
	started    bool
	firstToken time.Duration
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

// Chunk passes one token on. A token that a second home sends again is dropped.
func (o *completionSink) Chunk(c stream.Chunk) error {
	if c.Offset < o.next {
		return nil
	}
	if c.Offset > o.next {
		return stream.ErrGap
	}
	o.next++
	if o.firstToken == 0 {
		o.firstToken = o.server.Timer.Now().Sub(o.visit.start)
	}
	if o.events == nil {
		o.text.WriteString(c.Text)
		return nil
	}
	return o.event(string(o.visit.request)+"/"+strconv.FormatInt(int64(c.Offset), 10), o.body(c.Text, nil))
}

// Response is not for completions.
func (o *completionSink) Response(stream.Response) error { return nil }

func (o *completionSink) body(text string, reason *string) completionBody {
	return completionBody{
		ID:      o.visit.request,
		Object:  "text_completion",
		Created: o.server.Timer.Wall().Unix(),
		Model:   o.model,
		Choices: []choice{{Text: text, FinishReason: reason}},
	}
}

func (o *completionSink) event(id string, body any) error {
	if !o.started {
		o.started = true
		o.w.Header().Set("Content-Type", "text/event-stream")
		o.w.Header().Set(RequestIDHeader, string(o.visit.request))
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
	return o.events.Flush()
}

// close ends a whole answer.
func (o *completionSink) close(call snipeford.Call) {
	reason := "stop"
	last := o.body("", &reason)
	last.Usage = &usage{call.Prompt, o.next, call.Prompt + o.next}
	if o.events != nil {
		// Where the caller has left there is nobody to tell.
		_ = o.event("", last)
		_, _ = o.w.Write([]byte("data: [DONE]\n\n"))
		_ = o.events.Flush()
		return
	}
	last.Choices[0].Text = o.text.String()
	o.w.Header().Set("Content-Type", "application/json")
	o.w.Header().Set(RequestIDHeader, string(o.visit.request))
	_ = json.NewEncoder(o.w).Encode(last)
}

// fail ends an answer that can't be whole. A started stream gets the error as
// its last event, so that nobody takes it for whole.
func (o *completionSink) fail(refused *snipeford.Refusal) {
	if !o.started {
		writeRefusal(o.w, o.visit.request, refused)
		return
	}
	// Where the caller has left there is nobody to tell.
	_, _ = o.w.Write([]byte("event: error\n"))
	_ = o.event("", detailOf(o.visit.request, refused))
}
