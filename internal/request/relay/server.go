// Package relay implements the HTTP handler for callers of the users' platform,
// which runs in `snipeford edge`. It resolves the route and the organisation of a
// request, forwards the request to an upstream and relays the response. Package
// entry implements the callers' HTTP API of `snipeford serve`.
package relay

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/trace"

	"snipeford"
	"snipeford/internal/control/directory"
	"snipeford/internal/control/freshness"
	"snipeford/internal/control/timer"
	"snipeford/internal/operate/decision"
	"snipeford/internal/request/intake"
	"snipeford/internal/rule/plan"
	"snipeford/internal/upstream/connection"
)

// Placer selects engines for requests and tracks the requests that run there.
type Placer interface {
	// Place selects an engine, or refuses the request. It also returns the node
	// that made the decision.
	Place(ctx context.Context, request snipeford.PlacementRequest) (snipeford.Placement, snipeford.NodeID)
	// ReportFirstEvent reports the first event of a response and the engine's load.
	ReportFirstEvent(service snipeford.ServiceName, id snipeford.RequestID, load snipeford.EngineLoad)
	// ReportEnd reports the end of an attempt.
	ReportEnd(service snipeford.ServiceName, id snipeford.RequestID, end snipeford.RequestEnd)
	// ReportCrash reports an attempt whose engine ended while it ran.
	ReportCrash(crash snipeford.UpstreamCrash)
	// Watched reports whether a request with a key needs a permit, since upstreams of its
	// service have crashed under it.
	Watched(service snipeford.ServiceName, key snipeford.PrefixPart) bool
	// ReportDirectives reports what an upstream asks in a response.
	ReportDirectives(report snipeford.DirectivesReport)
}

// Balancer selects upstreams of services without engines and keeps a retry budget
// per service.
type Balancer interface {
	// Pick selects an upstream and counts a request as outstanding there.
	Pick(v *directory.View, service snipeford.ServiceName, excluded []snipeford.UpstreamID) (snipeford.UpstreamID, bool)
	// Ended reports the end of a request that Pick counted.
	Ended(id snipeford.UpstreamID, failed bool)
	// ReportLoad passes on the number of running and waiting requests that the
	// upstream reported.
	ReportLoad(id snipeford.UpstreamID, outstanding int)
	// CountRequest adds a caller's request to the retry budget.
	CountRequest(service snipeford.ServiceName)
	// AllowRetry takes one retry from the retry budget, and returns false if the
	// budget is exhausted.
	AllowRetry(service snipeford.ServiceName) bool
	// ReportDirectives records what an upstream asks in a response, and returns whether
	// its request limit has changed for this node. The request was sent at sentAt.
	ReportDirectives(id snipeford.UpstreamID, d snipeford.Directives, sentAt snipeford.Instant) (changed bool)
	// Limited reports whether the upstream limits its requests, as far as this node
	// knows.
	Limited(id snipeford.UpstreamID) bool
	// HoldBack undoes a Pick of an upstream that may get no request for a while.
	HoldBack(id snipeford.UpstreamID, d time.Duration)
	// HeldBack returns how long it takes until the first of the upstreams that are held
	// back may be picked again, or zero if none is.
	HeldBack(v *directory.View, service snipeford.ServiceName) time.Duration
}

// Metrics records the outcome of requests.
type Metrics interface {
	// Completed records a complete response with its time to first byte and its
	// total time.
	Completed(kind snipeford.RouteKind, firstByte, total time.Duration)
	// Refused records a request that got an error response from this node.
	Refused(kind snipeford.RouteKind, cause snipeford.Cause)
	// Aborted records a response that was aborted.
	Aborted(kind snipeford.RouteKind)
	// Retried records a retry at another upstream.
	Retried(kind snipeford.RouteKind)
	// EngineEnded records a request whose engine ended while it ran.
	EngineEnded()
	// Detoured records a request that was sent through another node.
	Detoured()
	// LimitChanged records an upstream that states a request limit, another one than
	// before, or none any more.
	LimitChanged(stated bool)
	PauseMetrics
}

// Server is the HTTP handler for callers' requests.
type Server struct {
	Node      snipeford.NodeID
	Domain    snipeford.FailureDomain
	View      func() *directory.View
	Freshness *freshness.Tracker
	// Origin returns where the operators' rows were read last, for the log. It may be nil.
	Origin   func() directory.Origin
	Timer    *timer.Clock
	Pool     *connection.Pool
	Codec    snipeford.HeaderCodec
	Placer   Placer
	Balancer Balancer
	// Paces paces the upstreams of services without engines. Nil means no paces.
	Paces        Paces
	Reservations snipeford.Reservations
	Metrics      Metrics
	Log          *decision.Log
	// Contended counts a request of an organisation that waited for an engine, or was
	// refused. It may be nil.
	Contended func(org snipeford.Organisation, refused bool)
	// Tracer records a span for each request and for each attempt at an upstream.
	Tracer trace.Tracer
	// MaxKeyAge is the maximum staleness of the routing, the time since it was last
	// known to be current, at which keys are accepted. MaxNegativeAge is the one at
	// which an unknown service or key is reported as such. SetMaxAges replaces them while
	// the server runs.
	MaxKeyAge      time.Duration
	MaxNegativeAge time.Duration
	maxAges        atomic.Pointer[maxAges]
	// UpstreamLeaves records an upstream whose response says that it leaves, and returns
	// whether that is new. When it returns, View has no such upstream. It may be nil.
	UpstreamLeaves func(u snipeford.LeavingUpstream) bool
	// UpstreamReplaced does the same for an upstream at whose address another one responds.
	UpstreamReplaced func(u snipeford.LeavingUpstream) bool
	// DrainTimeout is the time from Leave until requests without a response are ended.
	// Zero means no limit.
	DrainTimeout time.Duration
	unfinished   unfinished
	pauses       pauses
	responses    budget
	// leavingAt is when Leave was called, or zero.
	leavingAt atomic.Int64
}

const (
	// defaultTimeout applies to requests whose header sets no timeout.
	defaultTimeout = 10 * time.Second
	// defaultMaxBodyBytes limits the request body if the routing sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// leavingRetryAfter is the Retry-After of a leaving node. It is short because
	// another node can serve the request now.
	leavingRetryAfter = 50 * time.Millisecond
	// writeGrace is how long after its deadline a response may still be written.
	writeGrace = 500 * time.Millisecond
	// defaultRetryAfter is the Retry-After of errors that affect only this node,
	// and the minimum one when no upstream has capacity.
	defaultRetryAfter = 300 * time.Millisecond
)

// Leave starts draining: the next response on each connection closes it, new requests
// that may not end in time are refused after leavingPeriod, and requests without a
// response get an error response after DrainTimeout.
func (s *Server) Leave() {
	s.leavingAt.Store(int64(max(s.Timer.Now(), 1)))
	if s.DrainTimeout > 0 {
		s.Timer.StartWatchdog(s.DrainTimeout, s.unfinished.end)
	}
}

// Leaving reports whether Leave was called.
func (s *Server) Leaving() bool { return s.leavingAt.Load() > 0 }

// leavingPeriod is how long after Leave the node accepts all new requests. Later ones
// might not end before the process exits. By then the load balancer in front of the
// nodes knows that this node is leaving, so that callers who retry reach another node.
const leavingPeriod = 2700 * time.Millisecond

// refusesNew reports whether the node is too close to its exit to accept a new request:
// a stream, or one whose deadline is after the end of the drain.
func (s *Server) refusesNew(kind snipeford.RouteKind, deadline snipeford.Instant) bool {
	at := snipeford.Instant(s.leavingAt.Load())
	if at == 0 {
		return false
	}
	now, drainEnd := s.Timer.Now(), s.drainEnd()
	if now >= drainEnd {
		return true
	}
	return now.Sub(at) > leavingPeriod && (kind == snipeford.RouteStream || deadline > drainEnd)
}

// drainEnd returns when requests without a response are ended, which is never unless
// the node is leaving.
func (s *Server) drainEnd() snipeford.Instant {
	at := snipeford.Instant(s.leavingAt.Load())
	if at == 0 || s.DrainTimeout == 0 {
		return math.MaxInt64
	}
	return at.Add(s.DrainTimeout)
}

// Active returns the number of requests in progress.
func (s *Server) Active() int64 { return s.unfinished.count() }

// requestState is the state of one request.
type requestState struct {
	*Server
	w http.ResponseWriter
	r *http.Request
	// account is what the request's connection holds, or nil for no bound.
	account  *intake.Account
	ctx      context.Context
	head     snipeford.CallHeader
	view     *directory.View
	route    *snipeford.Route
	org      snipeford.Organisation
	priority int
	body     []byte
	// key identifies all requests with the same target, caller and body.
	key      snipeford.PrefixPart
	start    snipeford.Instant
	deadline snipeford.Instant
	// possibleRuns counts the upstreams that may have run the request,
	// possibleReceipts those that may have received it, and attempts all that were
	// selected for it. The log key Attempts holds possibleRuns.
	possibleRuns      int
	possibleReceipts  int
	selectedUpstreams int
	// hasRetry is set while the request has a retry from the budget that no upstream has
	// received.
	hasRetry bool
	excluded []snipeford.UpstreamID
	// lastResponse is the response of the last upstream that failed the request.
	lastResponse *response
	// bodies are those of all responses that were read completely.
	bodies   []*body
	progress progress
	pauseState
	paceState
	// watched is set while an attempt with a permit for a watched request runs, and
	// suspected is the refusal of such a permit, or that of a request that only
	// upstreams with pauses could serve.
	watched   bool
	suspected *refusal
	// unreachable is set if no upstream is reachable at all.
	unreachable bool
	// unreached counts the upstreams to which no connection could be opened, and
	// unreachedFor is the time that this took.
	unreached    int
	unreachedFor time.Duration
}

// ServeHTTP handles one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &requestState{Server: s, w: w, r: r, head: s.Codec.DecodeCall(r.Header), view: s.View(), start: s.Timer.Now(), account: intake.FromContext(r.Context())}
	ctx, end := context.WithCancelCause(r.Context())
	defer end(nil)
	c.ctx = ctx
	c.progress.id, c.progress.start, c.progress.cancel = c.head.RequestID, c.start, func() { c.cancel(end) }
	s.unfinished.add(&c.progress)
	defer s.unfinished.remove(&c.progress)
	if refusal := c.admit(); refusal != nil {
		c.limitDiscard()
		c.refuse(refusal)
		return
	}
	traced, span := s.Tracer.Start(c.ctx, "entry")
	defer span.End()
	ctx, cancel := context.WithTimeoutCause(traced, c.deadline.Sub(c.start), errDeadline)
	defer cancel()
	c.ctx = ctx
	c.serve()
}

// cancel ends the request's context with errLeaving, and the wait for its body.
func (c *requestState) cancel(end context.CancelCauseFunc) {
	end(errLeaving)
	if err := http.NewResponseController(c.w).SetReadDeadline(c.Timer.Deadline(0)); err != nil {
		c.Log.Decided("no read deadline", c.head.RequestID, "Error", err)
	}
}

// errDeadline is the cancellation cause of a context whose request reached its
// deadline.
var errDeadline = errors.New("request deadline exceeded")

// errLeaving is the cancellation cause of a context whose request has no response at
// the end of the drain.
var errLeaving = errors.New("node is leaving")

// admit resolves the route, the organisation and the deadline, and reads the
// body.
func (c *requestState) admit() *refusal {
	if c.view.Plan == nil {
		return notReady("no routing known")
	}
	c.route = c.view.Plan.Route(c.r.Host, c.r.URL.EscapedPath())
	if c.route == nil {
		return c.unknown(http.StatusNotFound, snipeford.CauseUnknownService, c.view.Plan.LacksRoutes)
	}
	if c.route.Err != nil {
		return notReady("route could not be decoded")
	}
	if refusal := c.authenticate(); refusal != nil {
		return refusal
	}
	timeout := c.head.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if c.route.Timeout > 0 {
		timeout = min(timeout, c.route.Timeout)
	}
	c.deadline = c.start.Add(timeout)
	if c.refusesNew(c.route.Kind, c.deadline) {
		return c.leaving()
	}
	return c.readBody()
}

// unknown returns the refusal for a service or key that the routing does not
// contain. If the staleness of the routing is above MaxNegativeAge, it may lack
// recently added rows, and if it was decoded only in part, it lacks others. The refusal
// is then notReady.
func (c *requestState) unknown(status int, cause snipeford.Cause, partial bool) *refusal {
	age, ok := c.Freshness.Age(c.Timer.SinceBoot())
	if !ok || age > c.ages().negative {
		return notReady("knowledge of what is not there is too old")
	}
	if partial {
		return notReady("routing was decoded only in part")
	}
	return &refusal{status: status, cause: cause}
}

// authenticate sets the organisation that the key belongs to and the priority.
func (c *requestState) authenticate() *refusal {
	if c.route.Anonymous || !c.view.Plan.RequiresKey() {
		c.priority = c.route.Priority
		return nil
	}
	if age, ok := c.Freshness.Age(c.Timer.SinceBoot()); !ok || age > c.ages().key {
		return notReady("knowledge of keys is too old")
	}
	holder := c.view.Plan.AccessForKey(c.head.APIKey)
	if holder == nil {
		return c.unknown(http.StatusUnauthorized, snipeford.CauseUnknownKey, c.view.Plan.LacksKeys)
	}
	c.org, c.priority = holder.Organisation, c.route.Priority
	c.account.SetOrganisation(c.org)
	if holder.HasPriority {
		c.priority = holder.Priority
	}
	return nil
}

// BodyLimit returns the limit on the body of a request for an operators' configuration.
func BodyLimit(l snipeford.CallerLimits) int64 {
	if l.BodyBytes <= 0 {
		return defaultMaxBodyBytes
	}
	return l.BodyBytes
}

func (c *requestState) readBody() *refusal {
	limit := BodyLimit(c.view.Plan.Limits)
	if c.r.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, cause: snipeford.CauseTooLarge}
	}
	if c.account.Evicted() {
		return c.noMemory()
	}
	if c.r.ContentLength == 0 {
		return nil
	}
	body, err := c.receiveBody(http.MaxBytesReader(c.w, c.r.Body, limit), limit)
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return &refusal{status: http.StatusRequestEntityTooLarge, cause: snipeford.CauseTooLarge}
	case errors.Is(context.Cause(c.ctx), errLeaving):
		return c.leaving()
	case errors.Is(err, errNoMemory):
		return c.noMemory()
	case errors.Is(err, errBodyTime):
		c.account.Count(intake.CauseBody)
		c.w.Header().Set("Connection", "close")
		return &refusal{status: http.StatusRequestTimeout, cause: snipeford.CauseDeadline, reason: "request body did not arrive in time"}
	case err != nil:
		c.Log.Decided("could not read request body", c.head.RequestID, "Error", err)
		return &refusal{status: http.StatusBadRequest, cause: snipeford.CauseBadRequest}
	}
	c.body = body
	return nil
}

// crashKeys returns what may make an upstream crash that runs the request.
func (c *requestState) crashKeys() []snipeford.PrefixPart {
	return append(slices.Clone(c.head.PrefixParts), c.key)
}

// serve forwards the request to a service that is drawn by the route's weights.
func (c *requestState) serve() {
	defer c.freeBodies()
	// Without a deadline, a caller that no longer reads would hold the request, and
	// its engine, until the connection is closed.
	if err := http.NewResponseController(c.w).SetWriteDeadline(c.Timer.Deadline(c.timeLeft() + writeGrace)); err != nil {
		c.Log.Decided("no write deadline", c.head.RequestID, "Error", err)
	}
	service := plan.Pick(c.route, rand.Float64())
	c.Balancer.CountRequest(service)
	c.key = snipeford.RequestKey(c.route.Host, c.r.RequestURI, c.org, c.body)
	if c.route.Kind == snipeford.RouteStream {
		newStreamRequest(c, service).serve()
		return
	}
	c.servePlain(service)
}

const (
	// A request that has not been sent is given up once no connection could be opened to
	// minUnreached upstreams and that took maxUnreachedTime. The nodes asked for detours may
	// be cut off themselves.
	minUnreached     = 3
	maxUnreachedTime = time.Second
)

// countUnreached records that no connection to an upstream could be opened since an instant.
func (c *requestState) countUnreached(since snipeford.Instant) {
	c.unreached++
	c.unreachedFor += c.Timer.Now().Sub(since)
}

// noWay reports whether no node reaches an upstream of a service, as far as is known or
// as the request has found out.
func (c *requestState) noWay(service snipeford.ServiceName) bool {
	if c.possibleRuns == 0 && c.unreached >= minUnreached && c.unreachedFor >= maxUnreachedTime {
		return true
	}
	return c.Pool.NoWay(addressesOf(c.view, service))
}

// addressesOf returns a function that lists the addresses of a service's upstreams.
func addressesOf(v *directory.View, service snipeford.ServiceName) func() []string {
	return func() []string {
		var out []string
		for _, u := range v.Usable[service] {
			out = append(out, u.Address)
		}
		return out
	}
}

// timeLeft returns the time until the deadline.
func (c *requestState) timeLeft() time.Duration { return c.deadline.Sub(c.Timer.Now()) }

// allowSend reports whether the request may be sent to one more upstream.
// Once an upstream may have received it, this takes a retry from the budget, which lasts
// until a further one may have.
func (c *requestState) allowSend(service snipeford.ServiceName) bool {
	if c.possibleReceipts == 0 || c.hasRetry {
		return true
	}
	c.hasRetry = c.Balancer.AllowRetry(service)
	if !c.hasRetry {
		c.Log.Decided("retry budget exhausted", c.head.RequestID, "Service", service)
	}
	return c.hasRetry
}

// countReceipt records that an upstream may have received the request.
func (c *requestState) countReceipt() {
	if c.possibleReceipts > 0 {
		c.Metrics.Retried(c.route.Kind)
	}
	c.possibleReceipts++
	c.hasRetry = false
}

// upstreamRequest builds the request to an upstream. It is repeatable if it may be sent
// again although the upstream may have run it.
func (c *requestState) upstreamRequest(a snipeford.AttemptHeader, repeatable bool) connection.Request {
	a.Organisation, a.TimeLeft = c.org, c.timeLeft()
	c.progress.sent(c.Timer.Now())
	return connection.Request{
		ID: c.head.RequestID, Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host,
		Header: c.Codec.EncodeAttempt(c.r.Header, a), Body: c.body, Repeatable: repeatable,
	}
}
