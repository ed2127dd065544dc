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

// orderGracePeriod is how long an order continues after its caller's deadline, so
// that a late response is still recorded.
const orderGracePeriod = 30 * time.Second

// forwardedHeaders are the request headers that are sent to plain services.
var forwardedHeaders = []string{"Content-Type", "Accept", IdempotencyKeyHeader}

// serveService serves /services/NAME/...
func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	cr, refused := s.readRequest(w, r)
	if refused != nil {
		s.refuse(w, cr, "service", refused)
		return
	}
	name := snipeford.ServiceName(r.PathValue("name"))
	rule, ok := s.Configuration.Service(name)
	if !ok {
		s.refuse(w, cr, "service", &snipeford.Refusal{Status: http.StatusNotFound, Cause: snipeford.CauseUnknownService, Outcome: snipeford.NotRun, Field: "name", Message: "no rule names this service"})
		return
	}
	call, refused := s.newCall(cr, r, rule.Timeout)
	if refused != nil {
		s.refuse(w, cr, "service", refused)
		return
	}
	call.Model = snipeford.ServiceModel(name)
	call.QueueDeadline = min(cr.start.Add(queueTimeout(cr.rule, 0)), call.Deadline)
	path := "/" + r.PathValue("path")
	request := &service.Request{Method: r.Method, Path: path, Header: http.Header{}, Body: cr.body}
	if r.URL.RawQuery != "" {
		request.Path += "?" + r.URL.RawQuery
	}
	for _, h := range forwardedHeaders {
		if value := r.Header.Get(h); value != "" {
			request.Header.Set(h, value)
		}
	}
	key := r.Header.Get(IdempotencyKeyHeader)
	atMostOnce := key != "" || slices.Contains(rule.AtMostOnce, r.Method+" "+path)
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := s.Tracer.Start(ctx, "entry", trace.WithAttributes(attribute.String("Request", string(cr.requestID))))
	defer span.End()
	if atMostOnce {
		s.serveOrder(ctx, w, cr, call, request, order.ID{Organisation: cr.organisation, Key: snipeford.IdempotencyKey(key)})
		return
	}
	call.Idempotent = r.Method == http.MethodGet || r.Method == http.MethodHead
	sink := &responseSink{}
	end, refused := s.run(ctx, call, dispatch.Payload{Service: request}, sink)
	s.recordRequest(cr, "service", 0, 0, end, refused)
	sink.write(w, cr.requestID, refused)
}

// maxKeyBytes limits the length of an idempotency key.
const maxKeyBytes = 200

// serveOrder serves a request that must run at most once.
func (s *Server) serveOrder(ctx context.Context, w http.ResponseWriter, cr *callerRequest, call snipeford.Call, request *service.Request, id order.ID) {
	if id.Key == "" || len(id.Key) > maxKeyBytes {
		s.refuse(w, cr, "order", &snipeford.Refusal{Status: http.StatusBadRequest, Cause: snipeford.CauseKeyMissing, Outcome: snipeford.NotRun, Field: IdempotencyKeyHeader, Message: "this call must never run twice and needs an idempotency key of 1 to 200 bytes"})
		return
	}
	results := make(chan orderResult, 1)
	// The order continues after its caller disconnects, because its outcome must
	// be recorded.
	s.Background.Go(func() {
		results <- s.dispatchOrder(context.WithoutCancel(ctx), cr, call, request, id)
	})
	wait, cancel := context.WithTimeout(ctx, call.Deadline.Sub(s.Timer.Now()))
	defer cancel()
	var result orderResult
	select {
	case result = <-results:
	case <-wait.Done():
		result.refused = s.contextRefusal(wait, true)
	}
	s.recordRequest(cr, "order", 0, 0, result.end, result.refused)
	result.sink.write(w, cr.requestID, result.refused)
}

// orderResult is the result of an order.
type orderResult struct {
	sink    responseSink
	end     stream.End
	refused *snipeford.Refusal
}

// dispatchOrder claims the order's key, dispatches the order and records its
// outcome in the background.
func (s *Server) dispatchOrder(ctx context.Context, cr *callerRequest, call snipeford.Call, request *service.Request, id order.ID) orderResult {
	var result orderResult
	hash := order.Hash(request.Method, request.Path, request.Body)
	beginCtx, cancel := context.WithTimeout(ctx, call.Deadline.Sub(s.Timer.Now()))
	claim, stored, err := s.Orders.Begin(beginCtx, id, hash, dispatch.NewAttemptID())
	cancel()
	if err != nil {
		result.refused = asRefusal(err)
		return result
	}
	if stored != nil {
		s.Records.Add(cr.requestID, "stored answer of an earlier dispatch")
		result.sink.response = stored
		return result
	}
	if err := s.Orders.StartDispatch(claim); err != nil {
		result.refused = asRefusal(err)
		return result
	}
	request.Attempt = claim.Attempt()
	call.Deadline = call.Deadline.Add(orderGracePeriod)
	result.end, result.refused = s.run(ctx, call, dispatch.Payload{Service: request}, &result.sink)
	s.Background.Go(func() { s.recordOutcome(ctx, claim, result) })
	return result
}

// recordOutcome records how a dispatched order ended.
func (s *Server) recordOutcome(ctx context.Context, claim *order.Claim, result orderResult) {
	var err error
	switch {
	case result.refused == nil && result.sink.response != nil:
		err = s.Orders.Finish(ctx, claim, *result.sink.response)
	case result.refused != nil && result.refused.Outcome == snipeford.NotRun:
		s.Orders.Release(ctx, claim)
	default:
		err = s.Orders.FinishUnknown(ctx, claim)
	}
	if err != nil {
		s.Log.Error("order outcome not recorded", "Attempt", claim.Attempt(), "Error", err)
	}
}

func asRefusal(err error) *snipeford.Refusal {
	if r, ok := err.(*snipeford.Refusal); ok {
		return r
	}
	return &snipeford.Refusal{Status: http.StatusInternalServerError, Cause: snipeford.CauseUpstreamFailed, Outcome: snipeford.Unknown, Message: err.Error()}
}

// responseSink holds a plain service's response.
type responseSink struct{ response *stream.Response }

// Chunk implements stream.Sink. Plain services do not send chunks.
func (o *responseSink) Chunk(stream.Chunk) error { return nil }

// Response stores the response.
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
	// The error is ignored, as the caller may have disconnected.
	_, _ = w.Write(o.response.Body)
}
