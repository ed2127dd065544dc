package snipeford

import "time"

// PlaceAsk asks where a request to a model engine shall run.
type PlaceAsk struct {
	Call RequestID
	// Node is the entry node, which sends the request itself.
	Node    NodeID
	Domain  FailureDomain
	Service ServiceName
	Prompt  Tokens
	Output  Tokens
	// Target is how long the first event may take from now to be timely, and
	// MaxPause the longest timely pause between two events.
	Target   time.Duration
	MaxPause time.Duration
	// Silence is how long the caller bears a silent stream, and FirstWithin how
	// long from now it still waits for the first event.
	Silence     time.Duration
	FirstWithin time.Duration
	// Patience is how long the caller still waits.
	Patience time.Duration
	Priority int
	// Excluded upstreams have failed this request.
	Excluded []UpstreamID
	// Alone asks for one engine without helpers, where its memory holds the
	// prompt: several helpers have failed this request.
	Alone bool
}

// Placement says where a request runs.
type Placement struct {
	Call RequestID
	// Node is the entry node that asked.
	Node     NodeID
	Upstream UpstreamID
	// Helpers read parts of the prompt.
	Helpers []UpstreamID
	// Reserve is the memory that the upstream and each helper set aside under
	// one ticket each, zero where the prompt fits the first engine.
	Reserve  Tokens
	Priority int
	// Due is how long the first event should take.
	Due time.Duration
	// Queued placements name no upstream yet: the answer comes later.
	Queued bool
	// Refused placements name no upstream; RetryAfter says when to come back.
	Refused    bool
	RetryAfter time.Duration
}

// PlacedCall is a request that runs, as its entry node tells a new home.
type PlacedCall struct {
	Ask       PlaceAsk
	Placement Placement
	// Age is how long ago it was sent.
	Age time.Duration
	// Writing requests have sent their first event.
	Writing bool
}

// EngineLoad is an engine's own word on its load at a request's first event.
// Its zero value says nothing.
type EngineLoad struct {
	Known   bool
	Running int
	Waiting int
}
