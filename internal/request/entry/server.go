// Package entry is the callers' side of a node: HTTP requests in, whole answers
// or truthful refusals out.
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

// Headers towards callers.
const (
	// RequestHeader carries the request id; a caller that resumes sends it back.
	RequestHeader = "Snipeford-Request"
	// TimeoutHeader lets a caller shorten its request's deadline, such as "5s".
	TimeoutHeader = "Snipeford-Timeout"
	// KeyHeader marks an order.
	KeyHeader = "Idempotency-Key"
)

// Limits of requests.
const (
	// LongestBody bounds a caller's body, in bytes: a prompt of a million
	// tokens with room for JSON escapes.
	LongestBody = 12 << 20
	// defaultTimeout is a request's deadline where no rule says otherwise.
	defaultTimeout = 120 * time.Second
	// Waits in a queue where no rule says otherwise.
	defaultShortWait = 2 * time.Second
	defaultLongWait  = 30 * time.Second
)

// Forwarder runs a call at a peer that is its group's home.
type Forwarder interface {
	Forward(ctx context.Context, peer snipeford.Member, call snipeford.Call, group snipeford.Group, job dispatch.Job, sink stream.Sink) stream.End
}

// Server takes callers' requests.
type Server struct {
	Node      snipeford.NodeID
	Loop      *loop.Loop
	Boxes     *mailbox.Set
	Timer     *timer.Clock
	Desk      *dispatch.Desk
	Forwarder Forwarder
	// Member finds a peer's address.
	Member  func(snipeford.NodeID) (snipeford.Member, bool)
	Book    *Directory
	Orders  *order.Keeper
	Tracer  trace.Tracer
	Log     *log.Logger
	Metrics *metric.Requests
	Records *record.History
	// Background counts the orders that go on after their caller has left.
	Background *Pending
}

// Handler returns the callers' routes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.complete)
	mux.HandleFunc("/services/{name}/{path...}", s.service)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		writeRefusal(w, "", &snipeford.Refusal{
			Status: http.StatusNotFound, Cause: snipeford.CauseBadRequest, Outcome: snipeford.NotRun, Message: "no such path",
		})
	})
	return mux
}

// visit is what all requests have in common.
type visit struct {
	request      snipeford.RequestID
	organisation snipeford.Organisation
	rule         snipeford.OrganisationRule
	body         []byte
	start        snipeford.Instant
}

// admit authenticates a request and reads its body.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) (*visit, *snipeford.Refusal) {
	v := &visit{start: s.Timer.Now(), request: snipeford.RequestID(r.Header.Get(RequestHeader))}
	if v.request == "" || len(v.request) > 64 {
		v.request = snipeford.RequestID(dispatch.NewAttempt())
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if ok {
		v.organisation, v.rule, ok = s.Book.Find(key)
	}
	if !ok {
		return v, &snipeford.Refusal{Status: http.StatusUnauthorized, Cause: snipeford.CauseUnknownKey, Outcome: snipeford.NotRun, Field: "Authorization", Message: "no organisation has this key"}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, LongestBody))
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return v, &snipeford.Refusal{Status: http.StatusRequestEntityTooLarge, Cause: snipeford.CauseTooLarge, Outcome: snipeford.NotRun, Field: "body", Message: "body is longer than " + strconv.Itoa(LongestBody) + " bytes"}
	}
	if err != nil {
		return v, &snipeford.Refusal{Status: http.StatusBadRequest, Cause: snipeford.CauseBadRequest, Outcome: snipeford.NotRun, Field: "body", Message: "body ended early"}
	}
	v.body = body
	return v, nil
}

// newCall fills what all calls have in common.
func (s *Server) newCall(v *visit, r *http.Request, timeout time.Duration) (snipeford.Call, *snipeford.Refusal) {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if text := r.Header.Get(TimeoutHeader); text != "" {
		asked, err := time.ParseDuration(text)
		if err != nil || asked <= 0 {
			return snipeford.Call{}, &snipeford.Refusal{Status: http.StatusBadRequest, Cause: snipeford.CauseBadRequest, Outcome: snipeford.NotRun, Field: TimeoutHeader, Message: "timeout is not a duration above 0 such as 5s"}
		}
		timeout = min(timeout, asked)
	}
	return snipeford.Call{
		ID:           snipeford.CallID(dispatch.NewAttempt()),
		RequestID:    v.request,
		Organisation: v.organisation,
		Deadline:     v.start.Add(timeout),
		Seed:         rand.Uint64(),
	}, nil
}

// waitOf returns how long a prompt may wait in a queue.
func waitOf(rule snipeford.OrganisationRule, prompt snipeford.Tokens) time.Duration {
	short, long := rule.ShortQueueTimeout, rule.LongQueueTimeout
	if short <= 0 {
		short = defaultShortWait
	}
	if long <= 0 {
		long = defaultLongWait
	}
	if prompt <= snipeford.MaxShortPrompt {
		return short
	}
	return long
}

// run brings a call to its end: it asks the reducer and forwards the call to
// the home that it names, as often as the reducer says so.
func (s *Server) run(ctx context.Context, c snipeford.Call, job dispatch.Job, sink stream.Sink) (stream.End, *snipeford.Refusal) {
	box := s.Boxes.Open(c.ID)
	defer s.Boxes.Close(c.ID)
	defer s.Loop.Send(reducer.CallEnded{Call: c.ID})
	ctx, cancel := context.WithTimeout(ctx, c.Deadline.Sub(s.Timer.Now()))
	defer cancel()
	s.Loop.Send(reducer.CallArrived{Call: c})
	forwarded := false
	for {
		select {
		case <-ctx.Done():
			return stream.End{}, s.timedOut(ctx, forwarded)
		case e := <-box:
			switch e := e.(type) {
			case reducer.Refuse:
				return stream.End{}, &e.Refusal
			case reducer.Forward:
				c.Offset = max(c.Offset, e.Offset)
				end := s.forward(ctx, c, e, job, sink)
				forwarded = forwarded || end.Outcome != snipeford.NotRun
				if end.Done {
					return end, nil
				}
				if ctx.Err() != nil {
					return end, s.timedOut(ctx, forwarded)
				}
				s.Loop.Send(reducer.CallReturned{Call: c.ID, Group: e.Group, Cause: end.Cause, Outcome: end.Outcome, RetryAfter: end.RetryAfter, Offset: end.Offset})
			}
		}
	}
}

func (s *Server) forward(ctx context.Context, c snipeford.Call, e reducer.Forward, job dispatch.Job, sink stream.Sink) stream.End {
	s.Records.Add(c.RequestID, "entry %s forwards to home %s of %s", s.Node, e.Node, e.Group)
	if e.Node == s.Node {
		return s.Desk.Serve(ctx, c, e.Group, job, sink)
	}
	peer, ok := s.Member(e.Node)
	if !ok {
		return stream.End{Cause: snipeford.CauseNotHome, Outcome: snipeford.NotRun, Offset: c.Offset}
	}
	return s.Forwarder.Forward(ctx, peer, c, e.Group, job, sink)
}

// timedOut says what is known of a call whose caller left or whose deadline
// has passed.
func (s *Server) timedOut(ctx context.Context, forwarded bool) *snipeford.Refusal {
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

// errorBody is what callers get in place of an answer.
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

func detailOf(id snipeford.RequestID, r *snipeford.Refusal) errorBody {
	return errorBody{errorDetail{r.Cause, r.Message, r.Field, r.Outcome, id}}
}

func writeRefusal(w http.ResponseWriter, id snipeford.RequestID, r *snipeford.Refusal) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(snipeford.OutcomeHeader, string(r.Outcome))
	if id != "" {
		h.Set(RequestHeader, string(id))
	}
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(seconds(r.RetryAfter)))
	}
	w.WriteHeader(r.Status)
	// Where the caller has left there is nobody to tell.
	_ = json.NewEncoder(w).Encode(detailOf(id, r))
}

// seconds rounds up, as Retry-After has whole seconds.
func seconds(d time.Duration) int { return int((d + time.Second - 1) / time.Second) }

// finish logs and counts one request.
func (s *Server) finish(v *visit, what string, prompt snipeford.Tokens, firstToken time.Duration, end stream.End, refused *snipeford.Refusal) {
	took := s.Timer.Now().Sub(v.start)
	fields := []any{
		"Request", v.request, "Organisation", v.organisation, "What", what, "PromptTokens", prompt,
		"Milliseconds", took.Milliseconds(), "FirstTokenMilliseconds", firstToken.Milliseconds(), "Upstream", end.Upstream,
	}
	if refused == nil {
		s.Metrics.Done(prompt, firstToken)
		s.Log.Info("request done", append(fields, "Outcome", snipeford.Ran)...)
		return
	}
	s.Metrics.Refused(refused.Cause)
	s.Records.Add(v.request, "refused: %s, %s", refused.Cause, refused.Outcome)
	s.Log.Info("request refused", append(fields, "Cause", refused.Cause, "Outcome", refused.Outcome)...)
}
