package snipeford

import "time"

// RouteKind states whether the requests on a route may be retried.
type RouteKind string

// Kinds of route.
const (
	// RouteSafe requests may run more than once.
	RouteSafe RouteKind = "Safe"
	// RouteUnsafe requests run at most once.
	RouteUnsafe RouteKind = "Unsafe"
	// RouteStream requests get a stream of events as response. They run at most
	// once, unless the route is resumable.
	RouteStream RouteKind = "Stream"
)

// WeightedService is a service and its weight in the distribution of a route's
// requests.
type WeightedService struct {
	Service ServiceName
	Weight  float64
}

// Route is a routing rule. It selects requests and sets their services, latency
// targets and timeout.
type Route struct {
	Name string
	Host string
	// Prefix is a path prefix that begins and ends with a slash.
	Prefix           string
	Kind             RouteKind
	WeightedServices []WeightedService
	// Resumable is set if another upstream can continue a stream after a given
	// event.
	Resumable bool
	// Anonymous is set if requests need no API key.
	Anonymous bool
	// MaxAttempts is the maximum number of attempts that may have run the request.
	// Attempts that were not sent, or whose upstream reports that it did not run
	// the request, do not count.
	MaxAttempts int
	// Timeout is the maximum time that a caller waits.
	Timeout time.Duration
	// LatencyTarget is the target time to the response, or to the first event of
	// a stream. A response that exceeds it counts as late.
	LatencyTarget time.Duration
	// EventGapTarget is the target for the gap between two events of a stream.
	EventGapTarget time.Duration
	// Priority orders the requests of different routes; 0 goes first.
	Priority int
	// Err is set if the route could not be decoded. Its requests cannot be served.
	Err error `json:"-"`
}

// Idempotent reports whether a request on the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == RouteSafe || r.Kind == RouteStream && r.Resumable
}

// Callers disconnect after a stream has been idle for two seconds, four latency
// targets or eight event gap targets, whichever is longest.
const (
	minStreamIdleTimeout      = 2 * time.Second
	idleTimeoutLatencyTargets = 4
	idleTimeoutEventGaps      = 8
)

// StreamIdleTimeout returns how long a caller keeps a stream without events open,
// also before the first event.
func (r *Route) StreamIdleTimeout() time.Duration {
	return max(minStreamIdleTimeout, idleTimeoutLatencyTargets*r.LatencyTarget, idleTimeoutEventGaps*r.EventGapTarget)
}

// Access holds the API keys and the priority of an organisation. It is a part of
// Routing.
type Access struct {
	Organisation Organisation
	Keys         []string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// EngineProfile describes the speed and capacity of a service's model engines. An
// engine schedules its work in passes: it admits queued requests before a pass and
// sends events after it. A pass consists of one or more steps.
type EngineProfile struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots  int
	Memory Tokens
	// StepTime is the base time of one decode step. Each decoding request adds
	// StepTimePerSequence, and StepTimePerThousandTokens for each 1,000 tokens of
	// its context.
	StepTime, StepTimePerSequence, StepTimePerThousandTokens time.Duration
	// PrefillRate is the prefill speed without attention, in tokens a second.
	PrefillRate TokensPerSecond
	// AttentionTimePerMillionPairs is the prefill time for attention: the time for
	// a million pairs of a prompt token and an earlier one.
	AttentionTimePerMillionPairs time.Duration
	// PrefillChunk is the maximum number of prompt tokens that one step prefills,
	// and DecodeStepsPerPass the number of steps in a pass with a decoding request.
	// Other passes have one step.
	PrefillChunk       Tokens
	DecodeStepsPerPass int
	// SharedPrefillStepTime is the time that each decode step takes longer on the
	// primary engine of a request whose prompt was prefilled with helpers.
	SharedPrefillStepTime time.Duration
	// SharedPrefill is set if several engines can prefill one prompt together.
	SharedPrefill bool
}

// ServiceProfile is the configuration of a service. It is a part of Routing.
type ServiceProfile struct {
	Name           ServiceName
	MaxConnections int
	// ColdPeriod is how long an upstream stays cold after its start, and
	// ColdRequestsPerSecond the request rate that it supports while cold.
	ColdPeriod            time.Duration
	ColdRequestsPerSecond float64
	// Engine is set if the upstreams are model engines.
	Engine *EngineProfile
}

// CallerLimits limit the size and duration of requests from callers.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Routing is one version of the routing configuration that operators store on
// the platform, which `snipeford edge` uses. `snipeford serve` uses Configuration
// instead.
type Routing struct {
	Version  Version
	Routes   []Route
	Services []ServiceProfile
	Access   []Access
	// DeclaresOrganisations is set if the configuration has a list of organisations, which
	// may be empty. Requests then need an API key, except on anonymous routes.
	DeclaresOrganisations bool
	Limits                CallerLimits
	// Invalid holds the errors of entries that could not be decoded, at least in part.
	Invalid []error `json:"-"`
	// LacksRoutes is set if a route is left out since its host or prefix could not be
	// decoded, and LacksKeys if an API key is left out.
	LacksRoutes, LacksKeys bool
}
