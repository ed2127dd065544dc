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
	// QueueDeadline is when the request leaves the queue unserved.
	QueueDeadline Instant
	// NotBefore delays a retry.
	NotBefore Instant
	Attempts  int
	// LowUsage marks requests of organisations that use little.
	LowUsage bool
}

// Memory returns the engine memory that the request takes.
func (w *QueuedCall) Memory() Tokens { return w.Prompt + w.MaxOutput }

// Work returns the request's service in tokens, as fairness counts it.
func (w *QueuedCall) Work() Tokens { return w.Prompt + w.ExpectedOutput }

// Band returns the request's length band.
func (w *QueuedCall) Band() LengthBand { return BandOf(w.Prompt) }

// Replica is what the policies see of one upstream of a group.
type Replica struct {
	ID     UpstreamID
	Usable bool
	// Cold replicas are slow and bear little.
	Cold   bool
	Memory Tokens
	// Committed is the memory of the requests that the home dispatched.
	Committed Tokens
	// Reserved is the memory that a claim of a longer prompt waits for.
	Reserved Tokens
	// Running counts dispatched requests, and Window how many are allowed.
	Running int
	Window  int
	// PrefillBacklog is the estimated prompt work that is not yet done, and
	// ShortPrefill the part of it that belongs to short prompts.
	PrefillBacklog      Tokens
	ShortPrefillBacklog Tokens
	// PrefillRate is the learned prefill speed.
	PrefillRate TokensPerSecond
	// DedicatedToShort marks the replicas that the split keeps for short prompts.
	DedicatedToShort bool
}

// Fits reports whether window and memory allow one more request.
func (r *Replica) Fits(w *QueuedCall) bool {
	return r.Usable && r.Running < r.Window && r.Committed+r.Reserved+w.Memory() <= r.Memory
}

// Queue orders the waiting requests of one group.
type Queue interface {
	Push(w *QueuedCall)
	// Remove takes a request out, or returns nil where it is not queued.
	Remove(id CallID) *QueuedCall
	// PopCall takes a request out to serve it, out of its turn.
	PopCall(id CallID) *QueuedCall
	// PopFirst offers requests to place in the policy's order, and takes out and
	// returns the first one that place accepts, or nil.
	PopFirst(now Instant, place func(*QueuedCall) bool) *QueuedCall
	// PopExpired takes out the requests whose GiveUp has passed.
	PopExpired(now Instant) []*QueuedCall
	// WorkAhead returns the work of a new request's band that would be served
	// before it, and Backlog all waiting work of a band.
	WorkAhead(w *QueuedCall) Tokens
	Backlog(band LengthBand) Tokens
	Len() int
	Work() Tokens
	// ByOrganisation counts the waiting requests of each organisation.
	ByOrganisation() map[Organisation]int
}

// Router picks the replica of a group for a request.
type Router interface {
	// AssignShortReplicas sets the replicas' Short marks from the load of each band, in
	// tokens a second, that the group gets.
	AssignShortReplicas(replicas []*Replica, load [BandCount]TokensPerSecond)
	// Pick returns the replica, or nil where the request has to wait.
	Pick(w *QueuedCall, replicas []*Replica, cached func(UpstreamID) Tokens) *Replica
	// ShortPromptCost returns the wait of a short prompt at a replica, in tokens of
	// prompt work.
	ShortPromptCost(r *Replica) Tokens
	// Priority returns the engine priority of a request; lower goes first.
	Priority(w *QueuedCall) int
}

// UpstreamState tells how warm the home believes an upstream to be.
type UpstreamState string

// States of an upstream.
const (
	StateCold    UpstreamState = "Cold"
	StateWarming UpstreamState = "Warming"
	StateWarm    UpstreamState = "Warm"
	StateLeaving UpstreamState = "Leaving"
	StateOut     UpstreamState = "Out"
)

// Window bounds what one upstream gets, by what it has borne.
type Window interface {
	// Limit returns how many requests may run.
	Limit() int
	State() UpstreamState
	// LoadReported takes a load report, and Succeeded and Failed an attempt's end.
	LoadReported(l LoadReport, now Instant)
	Succeeded(now Instant, firstToken, expected time.Duration)
	Failed(now Instant)
	// Rejected says that the upstream bore no more.
	Rejected(now Instant)
}
