// Package entry implements the callers' HTTP API of `snipeford serve`. A caller gets
// either a complete response or a refusal that states whether the request ran.
// Package relay implements the HTTP handler of `snipeford edge`.
package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"go.opentelemetry.io/otel/trace"

	"snipeford"
	"snipeford/internal/control/loop"
	"snipeford/internal/control/mailbox"
	"snipeford/internal/control/reducer"
	"snipeford/internal/control/timer"
	"snipeford/internal/operate/metric"
	"snipeford/internal/operate/record"
	"snipeford/internal/request/dispatch"
	"snipeford/internal/request/order"
	"snipeford/internal/request/stream"
)

// Headers of callers' requests and responses.
const (
	// RequestIDHeader carries the request id. A caller that resumes a stream sends
	// it back.
	RequestIDHeader = "Snipeford-Request"
	// TimeoutHeader carries a timeout, such as "5s", that shortens the deadline
	// of the request.
	TimeoutHeader = "Snipeford-Timeout"
	// IdempotencyKeyHeader marks a request as an order.
	IdempotencyKeyHeader = "Idempotency-Key"
)

// Limits of requests.
const (
	// MaxBodyBytes limits the body of a caller's request. It leaves room for a
	// prompt of a million tokens with JSON escapes.
	MaxBodyBytes = 12 << 20
	// defaultTimeout is the timeout of a request if no rule sets one.
	defaultTimeout = 120 * time.Second
	// Timeouts in a queue if no rule sets them.
	defaultShortQueueTimeout = 2 * time.Second
	defaultLongQueueTimeout  = 30 * time.Second
)

// Forwarder runs a call at the peer that is the home of the call's group.
type Forwarder interface {
	Forward(ctx context.Context, peer snipeford.Member, call snipeford.Call, group snipeford.Group, payload dispatch.Payload, sink stream.Sink) stream.End
}

// Server serves callers' requests.
type Server struct {
	Node      snipeford.NodeID
	Loop      *loop.Loop
	Mailboxes *mailbox.Set
	Timer     *timer.Clock
	Executor  *dispatch.Executor
	Forwarder Forwarder
	// Member looks up a peer, for its address.
	Member        func(snipeford.NodeID) (snipeford.Member, bool)
	Configuration *ConfigurationIndex
	Orders        *order.Coordinator
	Tracer        trace.Tracer
	Log           *log.Logger
	Metrics       *metric.Requests
	Records       *record.History
	// Background runs the orders, which continue after their callers disconnect.
	Background *TaskGroup
}

// Handler returns the handler of the callers' routes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.serveCompletion)
	mux.HandleFunc("/services/{name}/{path...}", s.serveService)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		writeRefusal(w, "", &snipeford.Refusal{
			Status: http.StatusNotFound, Cause: snipeford.CauseBadRequest, Outcome: snipeford.NotRun, Message: "no such path",
		})
	})
	return mux
}

// callerRequest holds what all kinds of requests have in common.
type callerRequest struct {
	requestID    snipeford.RequestID
	organisation snipeford.Organisation
	rule         snipeford.OrganisationRule
	body         []byte
	start        snipeford.Instant
}

// readRequest authenticates a request and reads its body.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request) (*callerRequest, *snipeford.Refusal) {
	cr := &callerRequest{start: s.Timer.Now(), requestID: snipeford.RequestID(r.Header.Get(RequestIDHeader))}
	if cr.requestID == "" || len(cr.requestID) > 64 {
		cr.requestID = snipeford.RequestID(dispatch.NewAttemptID())
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if ok {
		cr.organisation, cr.rule, ok = s.Configuration.OrganisationByKey(key)
	}
	if !ok {
		return cr, &snipeford.Refusal{Status: http.StatusUnauthorized, Cause: snipeford.CauseUnknownKey, Outcome: snipeford.NotRun, Field: "Authorization", Message: "no organisation has this key"}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return cr, &snipeford.Refusal{Status: http.StatusRequestEntityTooLarge, Cause: snipeford.CauseTooLarge, Outcome: snipeford.NotRun, Field: "body", Message: "body is longer than " + strconv.Itoa(MaxBodyBytes) + " bytes"}
	}
	if err != nil {
		return cr, &snipeford.Refusal{Status: http.StatusBadRequest, Cause: snipeford.CauseBadRequest, Outcome: snipeford.NotRun, Field: "body", Message: "body ended early"}
	}
	cr.body = body
	return cr, nil
}

// newCall returns a call with the fields that all kinds of requests set.
func (s *Server) newCall(cr *callerRequest, r *http.Request, timeout time.Duration) (snipeford.Call, *snipeford.Refusal) {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if text := r.Header.Get(TimeoutHeader); text != "" {
		requested, err := time.ParseDuration(text)
		if err != nil || requested <= 0 {
			return snipeford.Call{}, &snipeford.Refusal{Status: http.StatusBadRequest, Cause: snipeford.CauseBadRequest, Outcome: snipeford.NotRun, Field: TimeoutHeader, Message: "timeout is not a duration above 0 such as 5s"}
		}
		timeout = min(timeout, requested)
	}
	return snipeford.Call{
		ID:           snipeford.CallID(dispatch.NewAttemptID()),
		RequestID:    cr.requestID,
		Organisation: cr.organisation,
		Deadline:     cr.start.Add(timeout),
		Seed:         rand.Uint64(),
	}, nil
}

// queueTimeout returns how long a call with the prompt length may be queued.
func queueTimeout(rule snipeford.OrganisationRule, prompt snipeford.Tokens) time.Duration {
	short, long := rule.ShortQueueTimeout, rule.LongQueueTimeout
	if short <= 0 {
		short = defaultShortQueueTimeout
	}
	if long <= 0 {
		long = defaultLongQueueTimeout
	}
	if prompt <= snipeford.MaxShortPrompt {
		return short
	}
	return long
}

// run runs a call until it ends. It forwards the call to the home that the
// reducer names. If the home returns the call, the reducer decides whether it is
// forwarded again.
func (s *Server) run(ctx context.Context, c snipeford.Call, payload dispatch.Payload, sink stream.Sink) (stream.End, *snipeford.Refusal) {
	effects := s.Mailboxes.Open(c.ID)
	defer s.Mailboxes.Close(c.ID)
	defer s.Loop.Send(reducer.CallEnded{Call: c.ID})
	ctx, cancel := context.WithTimeout(ctx, c.Deadline.Sub(s.Timer.Now()))
	defer cancel()
	s.Loop.Send(reducer.CallArrived{Call: c})
	forwarded := false
	for {
		select {
		case <-ctx.Done():
			return stream.End{}, s.contextRefusal(ctx, forwarded)
		case e := <-effects:
			switch e := e.(type) {
			case reducer.Refuse:
				return stream.End{}, &e.Refusal
			case reducer.Forward:
				c.Offset = max(c.Offset, e.Offset)
				end := s.forward(ctx, c, e, payload, sink)
				forwarded = forwarded || end.Outcome != snipeford.NotRun
				if end.Done {
					return end, nil
				}
				if ctx.Err() != nil {
					return end, s.contextRefusal(ctx, forwarded)
				}
				s.Loop.Send(reducer.CallReturned{Call: c.ID, Group: e.Group, Cause: end.Cause, Outcome: end.Outcome, RetryAfter: end.RetryAfter, Offset: end.Offset})
			}
		}
	}
}

func (s *Server) forward(ctx context.Context, c snipeford.Call, e reducer.Forward, payload dispatch.Payload, sink stream.Sink) stream.End {
	s.Records.Add(c.RequestID, "entry %s forwards to home %s of %s", s.Node, e.Node, e.Group)
	if e.Node == s.Node {
		return s.Executor.Serve(ctx, c, e.Group, payload, sink)
	}
	peer, ok := s.Member(e.Node)
	if !ok {
		return stream.End{Cause: snipeford.CauseNotHome, Outcome: snipeford.NotRun, Offset: c.Offset}
	}
	return s.Forwarder.Forward(ctx, peer, c, e.Group, payload, sink)
}

// contextRefusal returns the refusal of a call whose caller has disconnected or
// whose deadline has passed. Its outcome is Unknown if the call may have run.
func (s *Server) contextRefusal(ctx context.Context, forwarded bool) *snipeford.Refusal {
	r := &snipeford.Refusal{Status: http.StatusGatewayTimeout, Cause: snipeford.CauseDeadline, Outcome: snipeford.NotRun, RetryAfter: time.Second, Message: "deadline has passed"}
	if errors.Is(ctx.Err(), context.Canceled) {
		r.Cause = snipeford.CauseCancelled
		r.Message = "caller has left"
	}
	if forwarded {
		r.Outcome = snipeford.Unknown
	}
	return r
}

// errorBody is the body of a refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Cause   snipeford.Cause     `json:"cause"`
	Message string              `json:"message"`
	Field   string              `json:"field,omitempty"`
	Outcome snipeford.Outcome   `json:"outcome"`
	Request snipeford.RequestID `json:"request,omitempty"`
}

func newErrorBody(id snipeford.RequestID, r *snipeford.Refusal) errorBody {
	return errorBody{errorDetail{r.Cause, r.Message, r.Field, r.Outcome, id}}
}

func writeRefusal(w http.ResponseWriter, id snipeford.RequestID, r *snipeford.Refusal) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(snipeford.OutcomeHeader, string(r.Outcome))
	if id != "" {
		h.Set(RequestIDHeader, string(id))
	}
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(ceilSeconds(r.RetryAfter)))
	}
	w.WriteHeader(r.Status)
	// The error is ignored, as the caller may have disconnected.
	_ = json.NewEncoder(w).Encode(newErrorBody(id, r))
}

// ceilSeconds rounds up, because Retry-After is in whole seconds here. Package relay
// sends fractions of a second.
func ceilSeconds(d time.Duration) int { return int((d + time.Second - 1) / time.Second) }

// recordRequest logs a finished request and counts it in the metrics.
func (s *Server) recordRequest(cr *callerRequest, kind string, prompt snipeford.Tokens, firstToken time.Duration, end stream.End, refused *snipeford.Refusal) {
	took := s.Timer.Now().Sub(cr.start)
	fields := []any{
		"Request", cr.requestID, "Organisation", cr.organisation, "What", kind, "PromptTokens", prompt,
		"Milliseconds", took.Milliseconds(), "FirstTokenMilliseconds", firstToken.Milliseconds(), "Upstream", end.Upstream,
	}
	if refused == nil {
		s.Metrics.Done(prompt, firstToken)
		s.Log.Info("request done", append(fields, "Outcome", snipeford.Ran)...)
		return
	}
	s.Metrics.Refused(refused.Cause)
	s.Records.Add(cr.requestID, "refused: %s, %s", refused.Cause, refused.Outcome)
	s.Log.Info("request refused", append(fields, "Cause", refused.Cause, "Outcome", refused.Outcome)...)
}
