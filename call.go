package snipeford

// CallID names one HTTP request at its entry node. A caller that resumes a
// stream elsewhere keeps its RequestID and gets another CallID.
type CallID string

// Call is what the decisions know of a request. The body stays with the
// traffic goroutines.
type Call struct {
	ID           CallID
	RequestID    RequestID `json:"Request"`
	Organisation Organisation
	Model        Model
	Prompt       Tokens
	MaxOutput    Tokens
	// Offset is the number of answer tokens that the caller already has.
	Offset Tokens
	// Prefix holds the hashes of the prompt's leading blocks.
	Prefix []uint64
	// Idempotent calls may be dispatched again.
	Idempotent bool
	// QueueDeadline is when the call leaves a queue, and Deadline when it must end.
	QueueDeadline Instant `json:"GiveUp"`
	Deadline      Instant
	// Seed feeds the jitter of retries.
	Seed uint64
}

// ServiceModel returns the name under which a plain service's replicas are
// grouped.
func ServiceModel(s ServiceName) Model { return Model("service/" + string(s)) }
