package snipeford

// Quarantine is the decision on a prefix part that crashed engines of a service: to
// refuse the requests with it, or, if Released is set, to accept them again.
type Quarantine struct {
	Service ServiceName
	Part    PrefixPart
	// Generation orders the decisions on a part. The highest is in force.
	Generation uint64
	Released   bool `json:",omitempty"`
	// Trials is the number of requests that were sent to an engine in spite of the
	// quarantine, to find out whether the part still crashes it.
	Trials int `json:",omitempty"`
	// Upstreams lists engines that crashed, the evidence for the quarantine.
	Upstreams []UpstreamID `json:",omitempty"`
}
