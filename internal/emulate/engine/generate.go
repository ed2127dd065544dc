package engine

import (
	"encoding/json"
	"fmt"
	"net/http"

	"snipeford"
	"snipeford/internal/emulate/answer"
	"snipeford/internal/emulate/batch"
	"snipeford/internal/request/prompt"
	"snipeford/internal/request/stream"
	"snipeford/internal/upstream/engine"
)

// StreamFaultKind is a way in which the next streams go wrong.
type StreamFaultKind string

// Kinds of spoiled streams.
const (
	StreamFaultTruncate     StreamFaultKind = "Truncate"
	StreamFaultGap          StreamFaultKind = "Gap"
	StreamFaultWrongAttempt StreamFaultKind = "Cross"
	StreamFaultDuplicate    StreamFaultKind = "Duplicate"
)

// StreamFault spoils the next Count streams after the token at Offset.
type StreamFault struct {
	Kind   StreamFaultKind
	Count  int
	Offset snipeford.Tokens
}

// ControlRequest is an order to the stand-in.
type ControlRequest struct {
	// Kind is Freeze, Thaw, Restart, Chill or Spoil.
	Kind  string
	Spoil StreamFault
}

func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	var c ControlRequest
	if !read(w, r, &c) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch c.Kind {
	case "Freeze":
		s.frozen = true
	case "Thaw":
		s.frozen = false
		s.nudge()
	case "Restart":
		s.fail(s.engine.Restart())
	case "Chill":
		s.engine.SetCold()
	case "Spoil":
		s.spoil = c.Spoil
	default:
		http.Error(w, "unknown kind", http.StatusBadRequest)
	}
}

// generate answers one attempt as server-sent events.
func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	var body engine.GenerateRequest
	if !read(w, r, &body) {
		return
	}
	_, text, err := answer.Extend(body.Handle, body.Prompt)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	j := &batch.Job{
		ID:       body.Attempt,
		Prompt:   prompt.Count(body.Prompt),
		Output:   text.Length(body.MaxTokens),
		Offset:   body.Offset,
		Priority: body.Priority,
		Prefix:   body.Blocks,
	}
	c, status := s.submit(j, body.Fence)
	if status != http.StatusOK {
		http.Error(w, "not taken", status)
		return
	}
	defer s.leave(j)
	out := &eventWriter{w: w, flush: http.NewResponseController(w), spoil: s.takeSpoil()}
	out.start()
	s.follow(r, out, j, c, text)
}

func (s *Server) takeSpoil() StreamFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.spoil.Count == 0 {
		return StreamFault{}
	}
	s.spoil.Count--
	return s.spoil
}

// follow writes the job's tokens as they come, and signs of life between them.
func (s *Server) follow(r *http.Request, out *eventWriter, j *batch.Job, c chan batch.Event, text answer.Answer) {
	alive := s.Timer.Every(r.Context(), aliveEvery)
	for {
		select {
		case <-r.Context().Done():
			return
		case <-alive:
			if !s.isFrozen() {
				out.comment()
			}
		case e, ok := <-c:
			if !ok {
				panic(http.ErrAbortHandler)
			}
			if e.Offset < j.Output {
				out.chunk(stream.Chunk{Attempt: j.ID, Offset: e.Offset, Text: text.Token(e.Offset)})
			}
			if e.Done {
				out.chunk(stream.Chunk{Attempt: j.ID, Offset: j.Output, Done: true, Load: s.finalLoad(j)})
				return
			}
		}
	}
}

func (s *Server) isFrozen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.frozen
}

func (s *Server) finalLoad(j *batch.Job) *snipeford.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, j)
	l := s.lagging()
	return &l
}

// eventWriter writes server-sent events, spoiled where a test wants it.
type eventWriter struct {
	w     http.ResponseWriter
	flush *http.ResponseController
	spoil StreamFault
}

func (o *eventWriter) start() {
	o.w.Header().Set("Content-Type", "text/event-stream")
	o.w.WriteHeader(http.StatusOK)
	_ = o.flush.Flush()
}

func (o *eventWriter) comment() {
	_, _ = fmt.Fprint(o.w, ": running\n\n")
	_ = o.flush.Flush()
}

func (o *eventWriter) chunk(c stream.Chunk) {
	if c.Offset >= o.spoil.Offset {
		switch o.spoil.Kind {
		case StreamFaultTruncate:
			panic(http.ErrAbortHandler)
		case StreamFaultGap:
			o.spoil.Kind = ""
			return
		case StreamFaultWrongAttempt:
			c.Attempt = "another"
		case StreamFaultDuplicate:
			o.send(c)
		}
	}
	o.send(c)
}

func (o *eventWriter) send(c stream.Chunk) {
	raw, err := json.Marshal(c)
	if err != nil {
		return
	}
	// Where the asker has left the request's context ends the stream.
	_, _ = fmt.Fprintf(o.w, "data: %s\n\n", raw)
	_ = o.flush.Flush()
}
