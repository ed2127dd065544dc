package snipeford

import "time"

// RouteKind says what may be repeated of the requests on a route.
type RouteKind string

// Kinds of route.
const (
	// RouteSafe requests may run more than once.
	RouteSafe RouteKind = "Safe"
	// RouteUnsafe requests run at most once.
	RouteUnsafe RouteKind = "Unsafe"
	// RouteStream requests are answered by a stream of events. They run at most
	// once, unless the route is resumable.
	RouteStream RouteKind = "Stream"
)

// WeightedService is the part of a route's requests that a service gets.
type WeightedService struct {
	Service ServiceName
	Weight  float64
}

// Route is one rule of the operators' routing: which requests it takes, where
// they go and how long they may take.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix           string
	Kind             RouteKind
	WeightedServices []WeightedService
	// Resumable streams may go on at another upstream after a given event.
	Resumable bool
	// Anonymous routes take requests without a key.
	Anonymous bool
	// MaxAttempts is how many upstreams one request may be sent to.
	MaxAttempts int
	// Timeout is the longest that a caller is kept waiting.
	Timeout time.Duration
	// LatencyTarget is the time to the answer, or to a stream's first event, within
	// which an answer counts as timely.
	LatencyTarget time.Duration
	// EventGapTarget is the longest pause between two events of a timely stream.
	EventGapTarget time.Duration
	// Priority is the route's rank; 0 goes first.
	Priority int
}

// Idempotent reports whether a request on the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == RouteSafe || r.Kind == RouteStream && r.Resumable
}

// Figures of callers' patience with streams, from the users' pages: they leave
// after a silence of two seconds, four targets or eight longest timely pauses,
// whichever is longest.
const (
	leastSilence  = 2 * time.Second
	silentTargets = 4
	silentPauses  = 8
)

// StreamIdleTimeout returns how long a caller bears a silent stream, also before its first
// event.
func (r *Route) StreamIdleTimeout() time.Duration {
	return max(leastSilence, silentTargets*r.LatencyTarget, silentPauses*r.EventGapTarget)
}

// Access is what operators allow one organisation on the users' platform.
type Access struct {
	Organisation Organisation
	Keys         []string
	// Priority takes precedence over the route's where HasPriority is set.
	Priority    int
	HasPriority bool
}

// EngineProfile gives the speed and size of a service's model engines.
type EngineProfile struct {
	// Slots is how many requests an engine runs at once.
	Slots  int
	Memory Tokens
	// StepTime is the time of one token step, StepTimePerSequence what each request that
	// writes adds to it, and StepTimePerThousandTokens what each 1,000 tokens of context of
	// such a request add.
	StepTime, StepTimePerSequence, StepTimePerThousandTokens time.Duration
	// PrefillRate is the speed of reading prompts, in tokens a second.
	PrefillRate TokensPerSecond
	// AttentionTimePerMillionPairs is what a million pairs of a prompt token and an earlier
	// one add to reading.
	AttentionTimePerMillionPairs time.Duration
	// PrefillChunk bounds the prompt tokens of one step, and Stride is how many steps
	// a pass has in which a request writes.
	PrefillChunk       Tokens
	DecodeStepsPerPass int
	// SharedPrefillStepTime is what joint reading adds to each step of the first engine.
	SharedPrefillStepTime time.Duration
	// SharedPrefill engines can read one prompt together.
	SharedPrefill bool
}

// ServiceProfile is what operators say of one service.
type ServiceProfile struct {
	Name           ServiceName
	MaxConnections int
	// ColdPeriod is how long an upstream stays cold after its start, and
	// ColdRate the requests a second that it bears meanwhile.
	ColdPeriod            time.Duration
	ColdRequestsPerSecond float64
	// Engine is set where the upstreams are model engines.
	Engine *EngineProfile
}

// CallerLimits bound what a caller may send.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Routing is one version of the operators' configuration on the users'
// platform.
type Routing struct {
	Version  Version
	Routes   []Route
	Services []ServiceProfile
	Access   []Access
	Limits   CallerLimits
}
