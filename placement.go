package snipeford

import "time"

// PlacementRequest asks the home of a service which engines should run a request.
// An entry node that cannot reach the home places its own requests.
type PlacementRequest struct {
	RequestID RequestID `json:"Call"`
	// EntryNode received the request and sends it to the chosen engine.
	EntryNode NodeID `json:"Node"`
	Domain    FailureDomain
	Service   ServiceName
	// Organisation sent the request. It is empty for anonymous requests and for those of
	// nodes of earlier versions, which count as one organisation.
	Organisation   Organisation `json:",omitempty"`
	Prompt         Tokens
	ExpectedOutput Tokens `json:"Output"`
	// FirstEventTarget and EventGapTarget are the latency targets for the first
	// event, counted from now, and for the gap between two events. A response
	// that exceeds them counts as late.
	FirstEventTarget time.Duration `json:"Target"`
	EventGapTarget   time.Duration `json:"MaxPause"`
	// StreamIdleTimeout is how long the caller keeps a stream without events open,
	// and FirstEventTimeout how long from now it still waits for the first event.
	StreamIdleTimeout time.Duration `json:"Silence"`
	FirstEventTimeout time.Duration `json:"FirstWithin"`
	// TimeLeft is the time left until the caller's deadline.
	TimeLeft time.Duration `json:"Patience"`
	// Priority orders the requests; 0 goes first. HasPriority is set if other requests of
	// the service may have another priority, so that the engine has to be told. Nodes of
	// earlier versions do not set it.
	Priority    int
	HasPriority bool `json:",omitempty"`
	// Excluded lists upstreams that have already failed this request.
	Excluded []UpstreamID
	// AvoidHelpers requests a single engine if the prompt fits its memory. It is
	// set after several helpers have failed this request.
	AvoidHelpers bool `json:"Alone"`
	// PrefixParts lists the parts of the prompt that other requests may share.
	PrefixParts []PrefixPart `json:"Parts,omitempty"`
	// Permit, if set, asks only for a permit to send the request to this upstream of a
	// service without engines: the upstream limits its requests, or the key of the request
	// in PrefixParts is watched.
	Permit UpstreamID `json:",omitempty"`
	// Substitute is set if the entry node places the request in place of a home that
	// did not reply.
	Substitute bool `json:",omitempty"`
	// Trial, if set, is an upstream that may get the request although it wants none from
	// the entry node now.
	Trial UpstreamID `json:",omitempty"`
}

// Placement is the reply to a PlacementRequest.
type Placement struct {
	RequestID RequestID `json:"Call"`
	// EntryNode is the node that sent the PlacementRequest.
	EntryNode NodeID `json:"Node"`
	Upstream  UpstreamID
	// Helpers prefill parts of the prompt.
	Helpers []UpstreamID
	// ReservedMemory is the memory to reserve on Upstream and on each helper, with
	// one reservation each, or zero if the request fits Upstream.
	ReservedMemory Tokens `json:"Reserve"`
	// Priority is sent to the engine if HasPriority is set; 0 goes first. A home of an
	// earlier version sets neither, and the engine then assumes its default.
	Priority    int
	HasPriority bool `json:",omitempty"`
	// ExpectedFirstEvent is the predicted time to the first event.
	ExpectedFirstEvent time.Duration `json:"Due"`
	// Queued is set if no upstream is assigned yet. The placement follows later.
	Queued bool
	// Refused is set if the request is rejected. RetryAfter is the time after
	// which the caller should retry.
	Refused    bool
	RetryAfter time.Duration
	// Cause is the reason for a refusal if it is not overload, and Part then the
	// prefix part concerned. Quarantine is the decision on it, if there is one.
	Cause      Cause       `json:",omitempty"`
	Part       PrefixPart  `json:",omitempty"`
	Quarantine *Quarantine `json:",omitempty"`
	// Limited is set if Upstream limits its requests, as far as the home knows.
	Limited bool `json:",omitempty"`
	// Pace is how many requests the home allows in flight at Upstream, which has started or
	// failed lately, or zero if it does not limit them.
	Pace float64 `json:",omitempty"`
	// Contention is set if the request was queued or refused.
	Contention *Contention `json:",omitempty"`
}

// PlacedCall is a placed request that has not ended. Entry nodes report theirs to
// a new home of the service.
type PlacedCall struct {
	Request   PlacementRequest `json:"Ask"`
	Placement Placement
	// Age is the time since the request was placed.
	Age time.Duration
	// Streaming is set once the first event has arrived.
	Streaming bool `json:"Writing"`
}

// RequestEnd says how a placed request ended.
type RequestEnd struct {
	Failed bool
	// FaultUpstream names the upstream that made it fail, or is empty if that is the
	// one on which it was placed.
	FaultUpstream UpstreamID
	// Completed is set if the response is complete.
	Completed bool
	// Keys are the watched keys of a request that had a permit, and Age is the time since
	// it was sent.
	Keys []PrefixPart  `json:",omitempty"`
	Age  time.Duration `json:",omitempty"`
}

// UpstreamCrash reports that an engine ended while a request ran on it.
type UpstreamCrash struct {
	Service     ServiceName
	Upstream    UpstreamID
	PrefixParts []PrefixPart
	// Age is the time since the request was sent, and DecodeTime that since its first
	// event, or zero if there was none.
	Age        time.Duration
	DecodeTime time.Duration
	// Ago is the time since the engine ended, in a repeated report.
	Ago time.Duration `json:",omitempty"`
}

// EngineLoad is the load that an engine reports with the first event of a
// response. The values are valid only if Known is set.
type EngineLoad struct {
	Known   bool
	Running int
	Waiting int
}
