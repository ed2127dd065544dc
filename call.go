package snipeford

// CallID identifies one call: an HTTP request at its entry node, the node that
// received it. A request can take several calls: a caller that resumes a stream at
// another node keeps its RequestID and gets a new CallID.
type CallID string

// Call is one HTTP request at its entry node, with the metadata that scheduling
// uses. The body stays with the goroutines that forward traffic.
type Call struct {
	ID           CallID
	RequestID    RequestID `json:"Request"`
	Organisation Organisation
	Model        Model
	Prompt       Tokens
	MaxOutput    Tokens
	// Offset is the number of response tokens that the caller already has.
	Offset Tokens
	// Prefix holds the hashes of the leading blocks of the prompt.
	Prefix []uint64
	// Idempotent calls may be retried after an upstream may have run them.
	Idempotent bool
	// QueueDeadline is when the call is removed from a queue if it has not been
	// dispatched, and Deadline when it must end.
	QueueDeadline Instant `json:"GiveUp"`
	Deadline      Instant
	// Seed seeds the retry jitter.
	Seed uint64
}

// ServiceModel returns the model name that groups the replicas of a plain
// service.
func ServiceModel(s ServiceName) Model { return Model("service/" + string(s)) }
