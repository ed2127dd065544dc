package snipeford

import "time"

// PlacementRequest asks where a request to a model engine shall run.
type PlacementRequest struct {
	RequestID RequestID `json:"Call"`
	// EntryNode is the entry node, which sends the request itself.
	EntryNode      NodeID `json:"Node"`
	Domain         FailureDomain
	Service        ServiceName
	Prompt         Tokens
	ExpectedOutput Tokens `json:"Output"`
	// FirstEventTarget is how long the first event may take from now to be timely, and
	// MaxPause the longest timely pause between two events.
	FirstEventTarget time.Duration `json:"Target"`
	EventGapTarget   time.Duration `json:"MaxPause"`
	// StreamIdleTimeout is how long the caller bears a silent stream, and FirstWithin how
	// long from now it still waits for the first event.
	StreamIdleTimeout time.Duration `json:"Silence"`
	FirstEventTimeout time.Duration `json:"FirstWithin"`
	// TimeLeft is how long the caller still waits.
	TimeLeft time.Duration `json:"Patience"`
	Priority int
	// Excluded upstreams have failed this request.
	Excluded []UpstreamID
	// AvoidHelpers asks for one engine without helpers, where its memory holds the
	// prompt: several helpers have failed this request.
	AvoidHelpers bool `json:"Alone"`
}

// Placement says where a request runs.
type Placement struct {
	RequestID RequestID `json:"Call"`
	// EntryNode is the entry node that asked.
	EntryNode NodeID `json:"Node"`
	Upstream  UpstreamID
	// Helpers read parts of the prompt.
	Helpers []UpstreamID
	// ReservedMemory is the memory that the upstream and each helper set aside under
	// one ticket each, zero where the prompt fits the first engine.
	ReservedMemory Tokens `json:"Reserve"`
	Priority       int
	// ExpectedFirstEvent is how long the first event should take.
	ExpectedFirstEvent time.Duration `json:"Due"`
	// Queued placements name no upstream yet: the answer comes later.
	Queued bool
	// Refused placements name no upstream; RetryAfter says when to come back.
	Refused    bool
	RetryAfter time.Duration
}

// PlacedCall is a request that runs, as its entry node tells a new home.
type PlacedCall struct {
	Request   PlacementRequest `json:"Ask"`
	Placement Placement
	// Age is how long ago it was sent.
	Age time.Duration
	// Streaming requests have sent their first event.
	Streaming bool `json:"Writing"`
}

// EngineLoad is an engine's own word on its load at a request's first event.
// Its zero value says nothing.
type EngineLoad struct {
	Known   bool
	Running int
	Waiting int
}
