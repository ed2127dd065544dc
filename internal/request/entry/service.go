package entry

import (
	"context"
	"net/http"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"snipeford"
	"snipeford/internal/request/dispatch"
	"snipeford/internal/request/order"
	"snipeford/internal/request/stream"
	"snipeford/internal/upstream/service"
)

// recordFor is how long an order goes on after its caller's deadline, so that
// a late answer is still recorded.
const recordFor = 30 * time.Second

// passedHeaders are the request headers that plain services get.
var passedHeaders = []string{"Content-Type", "Accept", IdempotencyKeyHeader}

// service serves /services/NAME/...
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	v, refused := s.admit(w, r)
	if refused != nil {
		s.refuse(w, v, "service", refused)
		return
	}
	name := snipeford.ServiceName(r.PathValue("name"))
	rule, ok := s.Directory.Service(name)
	if !ok {
		s.refuse(w, v, "service", &snipeford.Refusal{Status: http.StatusNotFound, Cause: snipeford.CauseUnknownService, Outcome: snipeford.NotRun, Field: "name", Message: "no rule names this service"})
		return
	}
	call, refused := s.newCall(v, r, rule.Timeout)
	if refused != nil {
		s.refuse(w, v, "service", refused)
		return
	}
	call.Model = snipeford.ServiceModel(name)
	call.QueueDeadline = min(v.start.Add(waitOf(v.rule, 0)), call.Deadline)
	path := "/" + r.PathValue("path")
	request := &service.Request{Method: r.Method, Path: path, Header: http.Header{}, Body: v.body}
	if r.URL.RawQuery != "" {
		request.Path += "?" + r.URL.RawQuery
	}
	for _, h := range passedHeaders {
		if value := r.Header.Get(h); value != "" {
			request.Header.Set(h, value)
		}
	}
	key := r.Header.Get(IdempotencyKeyHeader)
	once := key != "" || slices.Contains(rule.AtMostOnce, r.Method+" "+path)
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := s.Tracer.Start(ctx, "entry", trace.WithAttributes(attribute.String("Request", string(v.request))))
	defer span.End()
	if once {
		s.order(ctx, w, v, call, request, order.ID{Organisation: v.organisation, Key: snipeford.IdempotencyKey(key)})
		return
	}
	call.Idempotent = r.Method == http.MethodGet || r.Method == http.MethodHead
	sink := &responseSink{}
	end, refused := s.run(ctx, call, dispatch.Payload{Service: request}, sink)
	s.finish(v, "service", 0, 0, end, refused)
	sink.write(w, v.request, refused)
}

// longestKey bounds an idempotency key, in bytes.
const longestKey = 200

// order serves a request that must run at most once.
func (s *Server) order(ctx context.Context, w http.ResponseWriter, v *visit, call snipeford.Call, request *service.Request, name order.ID) {
	if name.Key == "" || len(name.Key) > longestKey {
		s.refuse(w, v, "order", &snipeford.Refusal{Status: http.StatusBadRequest, Cause: snipeford.CauseKeyMissing, Outcome: snipeford.NotRun, Field: IdempotencyKeyHeader, Message: "this call must never run twice and needs an idempotency key of 1 to 200 bytes"})
		return
	}
	answered := make(chan orderAnswer, 1)
	// The order goes on when its caller leaves: its outcome must be recorded.
	s.Background.Go(func() {
		answered <- s.place(context.WithoutCancel(ctx), v, call, request, name)
	})
	wait, cancel := context.WithTimeout(ctx, call.Deadline.Sub(s.Timer.Now()))
	defer cancel()
	var got orderAnswer
	select {
	case got = <-answered:
	case <-wait.Done():
		got.refused = s.timedOut(wait, true)
	}
	s.finish(v, "order", 0, 0, got.end, got.refused)
	got.sink.write(w, v.request, got.refused)
}

// orderAnswer is how an order ended.
type orderAnswer struct {
	sink    responseSink
	end     stream.End
	refused *snipeford.Refusal
}

// place dispatches an order under a ticket and records its outcome.
func (s *Server) place(ctx context.Context, v *visit, call snipeford.Call, request *service.Request, name order.ID) orderAnswer {
	var out orderAnswer
	hash := order.Hash(request.Method, request.Path, request.Body)
	begin, cancel := context.WithTimeout(ctx, call.Deadline.Sub(s.Timer.Now()))
	ticket, stored, err := s.Orders.Begin(begin, name, hash, dispatch.NewAttemptID())
	cancel()
	if err != nil {
		out.refused = asRefusal(err)
		return out
	}
	if stored != nil {
		s.Records.Add(v.request, "stored answer of an earlier dispatch")
		out.sink.response = stored
		return out
	}
	if err := s.Orders.StartDispatch(ticket); err != nil {
		out.refused = asRefusal(err)
		return out
	}
	request.Attempt = ticket.Attempt()
	call.Deadline = call.Deadline.Add(recordFor)
	out.end, out.refused = s.run(ctx, call, dispatch.Payload{Service: request}, &out.sink)
	s.Background.Go(func() { s.conclude(ctx, ticket, out) })
	return out
}

// conclude records how a dispatched order ended.
func (s *Server) conclude(ctx context.Context, ticket *order.Claim, out orderAnswer) {
	var err error
	switch {
	case out.refused == nil && out.sink.response != nil:
		err = s.Orders.Finish(ctx, ticket, *out.sink.response)
	case out.refused != nil && out.refused.Outcome == snipeford.NotRun:
		s.Orders.Release(ctx, ticket)
	default:
		err = s.Orders.FinishUnknown(ctx, ticket)
	}
	if err != nil {
		s.Log.Error("order outcome not recorded", "Attempt", ticket.Attempt(), "Error", err)
	}
}

func asRefusal(err error) *snipeford.Refusal {
	if r, ok := err.(*snipeford.Refusal); ok {
		return r
	}
	return &snipeford.Refusal{Status: http.StatusInternalServerError, Cause: snipeford.CauseUpstreamFailed, Outcome: snipeford.Unknown, Message: err.Error()}
}

// responseSink keeps a plain service's answer.
type responseSink struct{ response *stream.Response }

// Chunk is not for plain services.
func (o *responseSink) Chunk(stream.Chunk) error { return nil }

// Response keeps the answer.
func (o *responseSink) Response(r stream.Response) error {
	o.response = &r
	return nil
}

func (o *responseSink) write(w http.ResponseWriter, id snipeford.RequestID, refused *snipeford.Refusal) {
	if refused != nil || o.response == nil {
		if refused == nil {
			refused = &snipeford.Refusal{Status: http.StatusBadGateway, Cause: snipeford.CauseUpstreamFailed, Outcome: snipeford.Unknown, Message: "no answer"}
		}
		writeRefusal(w, id, refused)
		return
	}
	h := w.Header()
	for _, name := range []string{"Content-Type", order.ReplayedHeader} {
		if value := o.response.Header.Get(name); value != "" {
			h.Set(name, value)
		}
	}
	h.Set(RequestIDHeader, string(id))
	h.Set(snipeford.OutcomeHeader, string(snipeford.Ran))
	w.WriteHeader(o.response.Status)
	// Where the caller has left there is nobody to tell.
	_, _ = w.Write(o.response.Body)
}
