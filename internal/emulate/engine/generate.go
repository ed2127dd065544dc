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

// StreamFaultKind is a kind of fault in a stream.
type StreamFaultKind string

// Kinds of stream faults.
const (
	StreamFaultTruncate     StreamFaultKind = "Truncate"
	StreamFaultGap          StreamFaultKind = "Gap"
	StreamFaultWrongAttempt StreamFaultKind = "Cross"
	StreamFaultDuplicate    StreamFaultKind = "Duplicate"
)

// StreamFault is a fault in the next Count streams, from the token at Offset.
type StreamFault struct {
	Kind   StreamFaultKind
	Count  int
	Offset snipeford.Tokens
}

// ControlRequest is the body of POST /control/engine.
type ControlRequest struct {
	// Kind is Freeze, Thaw, Restart, Chill or Spoil. Chill makes the engine cold.
	Kind string
	// Spoil is the stream fault to inject if Kind is Spoil.
	Spoil StreamFault
}

func (s *Server) control(w http.ResponseWriter, r *http.Request) {
	var c ControlRequest
	if !readJSON(w, r, &c) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch c.Kind {
	case "Freeze":
		s.frozen = true
	case "Thaw":
		s.frozen = false
		s.signalWork()
	case "Restart":
		s.closeStreams(s.engine.Restart())
	case "Chill":
		s.engine.SetCold()
	case "Spoil":
		s.streamFault = c.Spoil
	default:
		http.Error(w, "unknown kind", http.StatusBadRequest)
	}
}

// generate streams the response to an attempt as server-sent events.
func (s *Server) generate(w http.ResponseWriter, r *http.Request) {
	var body engine.GenerateRequest
	if !readJSON(w, r, &body) {
		return
	}
	_, response, err := answer.Extend(body.Handle, body.Prompt)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	j := &batch.Job{
		ID:       body.Attempt,
		Prompt:   prompt.CountTokens(body.Prompt),
		Output:   response.Length(body.MaxTokens),
		Offset:   body.Offset,
		Priority: body.Priority,
		Prefix:   body.PrefixHashes,
	}
	c, status := s.submit(j, body.FencingToken)
	if status != http.StatusOK {
		http.Error(w, "not taken", status)
		return
	}
	defer s.removeJob(j)
	out := &eventWriter{w: w, controller: http.NewResponseController(w), fault: s.takeStreamFault()}
	out.start()
	s.streamTokens(r, out, j, c, response)
}

func (s *Server) takeStreamFault() StreamFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streamFault.Count == 0 {
		return StreamFault{}
	}
	s.streamFault.Count--
	return s.streamFault
}

// streamTokens writes the job's tokens as they are generated, with periodic keep-alive
// comments.
func (s *Server) streamTokens(r *http.Request, out *eventWriter, j *batch.Job, c chan batch.Event, response answer.Response) {
	keepAlive := s.Timer.Every(r.Context(), keepAliveInterval)
	for {
		select {
		case <-r.Context().Done():
			return
		case <-keepAlive:
			if !s.isFrozen() {
				out.writeComment()
			}
		case e, ok := <-c:
			if !ok {
				panic(http.ErrAbortHandler)
			}
			if e.Offset < j.Output {
				out.writeChunk(stream.Chunk{Attempt: j.ID, Offset: e.Offset, Text: response.Token(e.Offset)})
			}
			if e.Done {
				out.writeChunk(stream.Chunk{Attempt: j.ID, Offset: j.Output, Done: true, Load: s.finalLoad(j)})
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
	l := s.delayedLoad()
	return &l
}

// eventWriter writes server-sent events and injects a stream fault.
type eventWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	fault      StreamFault
}

func (o *eventWriter) start() {
	o.w.Header().Set("Content-Type", "text/event-stream")
	o.w.WriteHeader(http.StatusOK)
	_ = o.controller.Flush()
}

func (o *eventWriter) writeComment() {
	_, _ = fmt.Fprint(o.w, ": running\n\n")
	_ = o.controller.Flush()
}

func (o *eventWriter) writeChunk(c stream.Chunk) {
	if c.Offset >= o.fault.Offset {
		switch o.fault.Kind {
		case StreamFaultTruncate:
			panic(http.ErrAbortHandler)
		case StreamFaultGap:
			o.fault.Kind = ""
			return
		case StreamFaultWrongAttempt:
			c.Attempt = "another"
		case StreamFaultDuplicate:
			o.writeEvent(c)
		}
	}
	o.writeEvent(c)
}

func (o *eventWriter) writeEvent(c stream.Chunk) {
	raw, err := json.Marshal(c)
	if err != nil {
		return
	}
	// If the client has disconnected, the request's context ends the stream.
	_, _ = fmt.Fprintf(o.w, "data: %s\n\n", raw)
	_ = o.controller.Flush()
}
