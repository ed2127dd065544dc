package snipeford

import "time"

// QueuedCall is a request in the queue of a group's home.
type QueuedCall struct {
	ID             CallID
	Organisation   Organisation
	Weight         float64
	Prompt         Tokens
	ExpectedOutput Tokens
	MaxOutput      Tokens
	Offset         Tokens
	Prefix         []uint64
	Arrival        Instant
	// QueueDeadline is when the request is removed from the queue if it has not
	// been dispatched.
	QueueDeadline Instant
	// NotBefore is the earliest time at which a retry may be dispatched.
	NotBefore Instant
	Attempts  int
	// LowUsage marks requests of organisations with low recent usage. They get a
	// higher priority.
	LowUsage bool
}

// Memory returns the engine memory that the request needs, in tokens.
func (c *QueuedCall) Memory() Tokens { return c.Prompt + c.MaxOutput }

// Work returns the cost of the request for fair queueing, in tokens.
func (c *QueuedCall) Work() Tokens { return c.Prompt + c.ExpectedOutput }

// Band returns the length band of the prompt.
func (c *QueuedCall) Band() LengthBand { return BandOf(c.Prompt) }

// Replica is the state of one upstream of a group that the policies use.
type Replica struct {
	ID     UpstreamID
	Usable bool
	// Cold replicas are slow and support few concurrent requests.
	Cold   bool
	Memory Tokens
	// Committed is the memory of the requests that the home has dispatched.
	Committed Tokens
	// Reserved is the memory that is kept free for a longer prompt that is queued
	// for it.
	Reserved Tokens
	// Running counts the dispatched requests, and Window is their maximum.
	Running int
	Window  int
	// PrefillBacklog is the estimated prefill work that is not yet done, and
	// ShortPrefillBacklog the part of it that belongs to short prompts.
	PrefillBacklog      Tokens
	ShortPrefillBacklog Tokens
	// PrefillRate is the estimated prefill speed, learned from past requests.
	PrefillRate TokensPerSecond
	// DedicatedToShort marks replicas that the router dedicates to short prompts.
	DedicatedToShort bool
}

// Fits reports whether the window and the memory allow c to be dispatched.
func (r *Replica) Fits(c *QueuedCall) bool {
	return r.Usable && r.Running < r.Window && r.Committed+r.Reserved+c.Memory() <= r.Memory
}

// Queue orders the queued requests of one group.
type Queue interface {
	Push(c *QueuedCall)
	// Remove removes a request, for example a cancelled one. It returns nil if the
	// request is not queued.
	Remove(id CallID) *QueuedCall
	// PopCall removes a request out of order to dispatch it. Unlike Remove, it
	// counts the request as served.
	PopCall(id CallID) *QueuedCall
	// PopFirst calls dispatch for queued requests in the order of the policy. A
	// policy may offer only some of them, such as the first one of each band. It
	// removes and returns the first one for which dispatch returns true, or nil.
	PopFirst(now Instant, dispatch func(*QueuedCall) bool) *QueuedCall
	// PopExpired removes the requests whose QueueDeadline has passed.
	PopExpired(now Instant) []*QueuedCall
	// WorkAhead returns the work in the band of a new request that would be
	// dispatched before it, and Backlog all queued work of a band.
	WorkAhead(c *QueuedCall) Tokens
	Backlog(band LengthBand) Tokens
	Len() int
	Work() Tokens
	// ByOrganisation counts the queued requests of each organisation.
	ByOrganisation() map[Organisation]int
}

// Router selects a replica of a group for a request.
type Router interface {
	// DedicateReplicas sets DedicatedToShort of the replicas from the load of
	// each band on the group, in tokens a second.
	DedicateReplicas(replicas []*Replica, load [BandCount]TokensPerSecond)
	// Pick returns the replica, or nil if the request stays queued. cached returns
	// the number of prompt tokens that a replica probably has in its prefix cache.
	Pick(c *QueuedCall, replicas []*Replica, cached func(UpstreamID) Tokens) *Replica
	// ShortPromptCost returns the estimated wait of a short prompt at a replica,
	// in tokens of prefill work.
	ShortPromptCost(r *Replica) Tokens
	// Priority returns the priority of a request in the engine's queue; lower goes
	// first.
	Priority(c *QueuedCall) int
}

// UpstreamState is the state of an upstream as seen by the group's home.
type UpstreamState string

// States of an upstream.
const (
	StateCold    UpstreamState = "Cold"
	StateWarming UpstreamState = "Warming"
	StateWarm    UpstreamState = "Warm"
	StateLeaving UpstreamState = "Leaving"
	StateOut     UpstreamState = "Out"
)

// Window is an adaptive concurrency limit for one upstream.
type Window interface {
	// Limit returns the maximum number of concurrent requests.
	Limit() int
	State() UpstreamState
	// LoadReported records a load report, and Succeeded and Failed the end of an
	// attempt.
	LoadReported(l LoadReport, now Instant)
	Succeeded(now Instant, firstToken, expected time.Duration)
	Failed(now Instant)
	// Rejected records that the upstream rejected a request because it was full.
	Rejected(now Instant)
}
