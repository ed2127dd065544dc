package snipeford

import "time"

// UpstreamKind distinguishes model engines from plain services.
type UpstreamKind string

// Kinds of upstream.
const (
	KindEngine  UpstreamKind = "Engine"
	KindService UpstreamKind = "Service"
)

// Upstream is one replica. `snipeford serve` reads the upstreams from the
// platform's VM list, and `snipeford edge` from UpstreamRows.
type Upstream struct {
	ID                 UpstreamID
	Kind               UpstreamKind
	Model              Model
	Service            ServiceName
	Domain             FailureDomain
	Address            string
	Memory             Tokens
	ChecksFencingToken bool `json:"HonoursFences"`
	Leaving            bool
	// Slots is the number of concurrent requests that the upstream reports it
	// supports.
	Slots int
	// Incarnation changes each time the upstream starts.
	Incarnation Incarnation
	// ColdTimeLeft is the remaining time that the upstream is cold.
	ColdTimeLeft time.Duration `json:"ColdLeft"`
}

// Group returns the group of an engine.
func (u Upstream) Group() Group { return Group{Model: u.Model, Domain: u.Domain} }

// LoadReport is the load that an upstream reports. It may be out of date.
type LoadReport struct {
	Upstream       UpstreamID
	Incarnation    Incarnation
	Running        int
	Waiting        int
	MemoryUsed     Tokens
	MemorySize     Tokens
	PrefillBacklog Tokens `json:"Prefill"`
	Cold           bool
}

// AttemptEnd is the result of an attempt at an upstream.
type AttemptEnd string

// Results of an attempt.
const (
	// EndDone means that the complete response arrived.
	EndDone AttemptEnd = "Done"
	// EndRejected means that the upstream rejected the request without running it.
	EndRejected AttemptEnd = "Rejected"
	// EndUnsent means that no byte was sent to the upstream.
	EndUnsent AttemptEnd = "Unsent"
	// EndBroken means that the stream ended early, stalled or had a gap.
	EndBroken AttemptEnd = "Broken"
	// EndCancelled means that the caller or the node cancelled the attempt.
	EndCancelled AttemptEnd = "Cancelled"
)

// LengthBand classifies prompts by length, for reports, queues and routers. Package
// placement classifies prompts by their prefill time instead.
type LengthBand int

// Length bands.
const (
	BandShort LengthBand = iota
	BandMedium
	BandLong
	BandHuge
	BandCount
)

// Maximum prompt lengths of the bands, in tokens.
const (
	MaxShortPrompt  Tokens = 4_096
	MaxMediumPrompt Tokens = 32_768
	MaxLongPrompt   Tokens = 100_000
)

// BandOf returns the length band of a prompt of n tokens.
func BandOf(n Tokens) LengthBand {
	switch {
	case n <= MaxShortPrompt:
		return BandShort
	case n <= MaxMediumPrompt:
		return BandMedium
	case n <= MaxLongPrompt:
		return BandLong
	}
	return BandHuge
}

// String returns the token range of the band, as printed in reports.
func (b LengthBand) String() string {
	return [...]string{"1-4k", "4-32k", "32-100k", ">100k"}[b]
}

// StallTimeout is the maximum time without data on a stream from an engine.
const StallTimeout = 5 * time.Second
