package snipeford

import "time"

// Waiting is a request in the queue of a group's home.
type Waiting struct {
	Call         CallID
	Organisation Organisation
	Weight       float64
	Prompt       Tokens
	Output       Tokens
	MaxOutput    Tokens
	Offset       Tokens
	Prefix       []uint64
	Arrival      Instant
	// GiveUp is when the request leaves the queue unserved.
	GiveUp Instant
	// NotBefore delays a retry.
	NotBefore Instant
	Attempts  int
	// Favoured marks requests of organisations that use little.
	Favoured bool
}

// Memory returns the engine memory that the request takes.
func (w *Waiting) Memory() Tokens { return w.Prompt + w.MaxOutput }

// Work returns the request's service in tokens, as fairness counts it.
func (w *Waiting) Work() Tokens { return w.Prompt + w.Output }

// Band returns the request's length band.
func (w *Waiting) Band() LengthBand { return BandOf(w.Prompt) }

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
	// Prefill is the estimated prompt work that is not yet done, and
	// ShortPrefill the part of it that belongs to short prompts.
	Prefill      Tokens
	ShortPrefill Tokens
	// Rate is the learned prefill speed.
	Rate TokensPerSecond
	// Short marks the replicas that the split keeps for short prompts.
	Short bool
}

// Fits reports whether window and memory allow one more request.
func (r *Replica) Fits(w *Waiting) bool {
	return r.Usable && r.Running < r.Window && r.Committed+r.Reserved+w.Memory() <= r.Memory
}

// Queue orders the waiting requests of one group.
type Queue interface {
	Push(w *Waiting)
	// Remove takes a request out, or returns nil where it is not queued.
	Remove(id CallID) *Waiting
	// Take takes a request out to serve it, out of its turn.
	Take(id CallID) *Waiting
	// Next offers requests to place in the policy's order, and takes out and
	// returns the first one that place accepts, or nil.
	Next(now Instant, place func(*Waiting) bool) *Waiting
	// Expired takes out the requests whose GiveUp has passed.
	Expired(now Instant) []*Waiting
	// Ahead returns the work of a new request's band that would be served
	// before it, and Backlog all waiting work of a band.
	Ahead(w *Waiting) Tokens
	Backlog(band LengthBand) Tokens
	Len() int
	Work() Tokens
	// ByOrganisation counts the waiting requests of each organisation.
	ByOrganisation() map[Organisation]int
}

// Router picks the replica of a group for a request.
type Router interface {
	// Arrange sets the replicas' Short marks from the load of each band, in
	// tokens a second, that the group gets.
	Arrange(replicas []*Replica, load [BandCount]TokensPerSecond)
	// Pick returns the replica, or nil where the request has to wait.
	Pick(w *Waiting, replicas []*Replica, cached func(UpstreamID) Tokens) *Replica
	// ShortWait returns the wait of a short prompt at a replica, in tokens of
	// prompt work.
	ShortWait(r *Replica) Tokens
	// Priority returns the engine priority of a request; lower goes first.
	Priority(w *Waiting) int
}

// WindowState tells how warm the home believes an upstream to be.
type WindowState string

// States of an upstream.
const (
	StateCold    WindowState = "Cold"
	StateWarming WindowState = "Warming"
	StateWarm    WindowState = "Warm"
	StateLeaving WindowState = "Leaving"
	StateOut     WindowState = "Out"
)

// Window bounds what one upstream gets, by what it has borne.
type Window interface {
	// Limit returns how many requests may run.
	Limit() int
	State() WindowState
	// Reported takes a load report, and Succeeded and Failed an attempt's end.
	Reported(l Load, now Instant)
	Succeeded(now Instant, firstToken, expected time.Duration)
	Failed(now Instant)
	// Rejected says that the upstream bore no more.
	Rejected(now Instant)
}
