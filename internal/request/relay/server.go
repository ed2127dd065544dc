// Package relay serves callers on the users' platform: it finds the route and
// the organisation of a request, sends it to an upstream and passes the answer
// on as it arrives.
package relay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/trace"

	"snipeford"
	"snipeford/internal/control/directory"
	"snipeford/internal/control/freshness"
	"snipeford/internal/control/timer"
	"snipeford/internal/operate/decision"
	"snipeford/internal/rule/plan"
	"snipeford/internal/upstream/connection"
)

// Placer finds engines for requests.
type Placer interface {
	Place(ctx context.Context, ask snipeford.PlacementRequest) (snipeford.Placement, snipeford.NodeID)
	Began(name snipeford.ServiceName, call snipeford.RequestID, load snipeford.EngineLoad)
	Ended(name snipeford.ServiceName, call snipeford.RequestID, failed bool, fault snipeford.UpstreamID)
}

// Balancer finds upstreams of plain services and bounds repeats.
type Balancer interface {
	Pick(v *directory.View, name snipeford.ServiceName, excluded []snipeford.UpstreamID) (snipeford.UpstreamID, bool)
	Ended(id snipeford.UpstreamID, failed bool)
	ReportLoad(id snipeford.UpstreamID, busy int)
	CountRequest(name snipeford.ServiceName)
	AllowRetry(name snipeford.ServiceName) bool
}

// Metrics is told of each finished request.
type Metrics interface {
	Answered(kind snipeford.RouteKind, firstByte, whole time.Duration)
	Refused(kind snipeford.RouteKind, cause snipeford.Cause)
	Broken(kind snipeford.RouteKind)
	Repeated(kind snipeford.RouteKind)
}

// Server takes callers' requests.
type Server struct {
	Node         snipeford.NodeID
	Domain       snipeford.FailureDomain
	View         func() *directory.View
	Freshness    *freshness.Tracker
	Timer        *timer.Clock
	Pool         *connection.Pool
	Codec        snipeford.HeaderCodec
	Placer       Placer
	Balancer     Balancer
	Reservations snipeford.Reservations
	Metrics      Metrics
	Log          *decision.Log
	// Tracer gets a span for each request and for each attempt at an upstream.
	Tracer trace.Tracer
	// MaxKeyAge is how old the knowledge of keys may be, and AbsenceAge how old
	// that of what is not there.
	MaxKeyAge      time.Duration
	MaxNegativeAge time.Duration
	active         atomic.Int64
	// leavingAt is when the node began to leave, zero before that.
	leavingAt atomic.Int64
}

const (
	// defaultPatience stands in for a caller that does not say how long it
	// waits.
	defaultPatience = 10 * time.Second
	// longestBody bounds a body where the routing sets no limit, in bytes.
	longestBody = 4 << 20
	// elsewhere is when a caller may come back that another node can serve now.
	elsewhere = 50 * time.Millisecond
	// soon is when a caller may come back after a trouble of this node alone.
	soon = 300 * time.Millisecond
)

// Leave lets the node end its connections with their next answers.
func (s *Server) Leave() { s.leavingAt.Store(int64(max(s.Timer.Now(), 1))) }

// Leaving reports whether the node has begun to leave.
func (s *Server) Leaving() bool { return s.leavingAt.Load() > 0 }

// lastStreams is how long after it began to leave a node takes streams: later
// ones might not end before the process does. Callers then find other nodes, as
// the balancer has learned by then that this one leaves.
const lastStreams = 2700 * time.Millisecond

// closing reports whether the node is too close to its end for a new stream.
func (s *Server) closing() bool {
	at := snipeford.Instant(s.leavingAt.Load())
	return at > 0 && s.Timer.Now().Sub(at) > lastStreams
}

// Active returns how many requests are being served.
func (s *Server) Active() int64 { return s.active.Load() }

// call is one caller's request on its way.
type call struct {
	*Server
	w      http.ResponseWriter
	r      *http.Request
	ctx    context.Context
	head   snipeford.CallHeader
	view   *directory.View
	route  *snipeford.Route
	org    snipeford.Organisation
	rank   int
	body   []byte
	start  snipeford.Instant
	giveUp snipeford.Instant
	// attempts counts the upstreams that may have run the request, arrivals
	// those that it may have reached, and tries all that were asked.
	attempts int
	arrivals int
	tries    int
	excluded []snipeford.UpstreamID
	// last is the final answer of an upstream that failed the request.
	last *answer
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	c := &call{Server: s, w: w, r: r, head: s.Codec.DecodeCall(r.Header), view: s.View(), start: s.Timer.Now()}
	if s.Leaving() {
		w.Header().Set("Connection", "close")
	}
	if refusal := c.admit(); refusal != nil {
		c.refuse(refusal)
		return
	}
	traced, span := s.Tracer.Start(r.Context(), "entry")
	defer span.End()
	ctx, cancel := context.WithTimeoutCause(traced, c.giveUp.Sub(c.start), errGiveUp)
	defer cancel()
	c.ctx = ctx
	c.serve()
}

// errGiveUp is the cause of a context that ended at the request's time limit.
var errGiveUp = errors.New("time limit of the request")

// admit finds route and organisation, and reads the body.
func (c *call) admit() *refusal {
	if c.view.Plan == nil {
		return notReady("no routing known")
	}
	c.route = c.view.Plan.Route(c.r.Host, c.r.URL.Path)
	if c.route == nil {
		return c.absent(http.StatusNotFound, snipeford.CauseUnknownService)
	}
	if refusal := c.authenticate(); refusal != nil {
		return refusal
	}
	if c.route.Kind == snipeford.RouteStream && c.closing() {
		return &refusal{status: http.StatusServiceUnavailable, cause: snipeford.CauseNodeLeaving, retryAfter: elsewhere}
	}
	patience := c.head.Timeout
	if patience <= 0 {
		patience = defaultPatience
	}
	if c.route.Timeout > 0 {
		patience = min(patience, c.route.Timeout)
	}
	c.giveUp = c.start.Add(patience)
	return c.readBody()
}

// absent answers that something is not there, where the knowledge of that is
// recent enough.
func (c *call) absent(status int, cause snipeford.Cause) *refusal {
	age, ok := c.Freshness.Age(c.Timer.SinceBoot())
	if !ok || age > c.MaxNegativeAge {
		return notReady("knowledge of what is not there is too old")
	}
	return &refusal{status: status, cause: cause}
}

// authenticate finds the organisation that holds the key.
func (c *call) authenticate() *refusal {
	if c.route.Anonymous || !c.view.Plan.Keyed() {
		c.rank = c.route.Priority
		return nil
	}
	if age, ok := c.Freshness.Age(c.Timer.SinceBoot()); !ok || age > c.MaxKeyAge {
		return notReady("knowledge of keys is too old")
	}
	holder := c.view.Plan.Holder(c.head.Key)
	if holder == nil {
		return c.absent(http.StatusUnauthorized, snipeford.CauseUnknownKey)
	}
	c.org, c.rank = holder.Organisation, c.route.Priority
	if holder.HasPriority {
		c.rank = holder.Priority
	}
	return nil
}

func (c *call) readBody() *refusal {
	limit := c.view.Plan.Limits.BodyBytes
	if limit <= 0 {
		limit = longestBody
	}
	if c.r.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, cause: snipeford.CauseTooLarge}
	}
	if c.r.ContentLength == 0 {
		return nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var long *http.MaxBytesError
	switch {
	case errors.As(err, &long):
		return &refusal{status: http.StatusRequestEntityTooLarge, cause: snipeford.CauseTooLarge}
	case err != nil:
		c.Log.Decided("request not read", c.head.RequestID, "Error", err)
		return &refusal{status: http.StatusBadRequest, cause: snipeford.CauseBadRequest}
	}
	c.body = body
	return nil
}

// serve sends the request to the service that the route draws for it.
func (c *call) serve() {
	name := plan.Pick(c.route, rand.Float64())
	c.Balancer.CountRequest(name)
	if c.route.Kind == snipeford.RouteStream {
		newStream(c, name).serve()
		return
	}
	c.servePlain(name)
}

// left returns how long the request may still take.
func (c *call) left() time.Duration { return c.giveUp.Sub(c.Timer.Now()) }

// mayArrive reports whether the request may go to one more upstream: any after
// the first arrival is a repeat.
func (c *call) mayArrive(name snipeford.ServiceName) bool {
	if c.arrivals == 0 || c.Balancer.AllowRetry(name) {
		return true
	}
	c.Log.Decided("no repeat left in the budget", c.head.RequestID, "Service", name)
	return false
}

// request returns the request for an upstream.
func (c *call) request(a snipeford.AttemptHeader) connection.Request {
	a.Organisation, a.TimeLeft = c.org, c.left()
	return connection.Request{
		ID: c.head.RequestID, Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host,
		Header: c.Codec.EncodeAttempt(c.r.Header, a), Body: c.body,
	}
}
