package snipeford

import "time"

// UpstreamKind tells model engines from plain services.
type UpstreamKind string

// Kinds of upstream.
const (
	KindEngine  UpstreamKind = "Engine"
	KindService UpstreamKind = "Service"
)

// Upstream is one replica as the platform's VM list names it.
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
	// Slots is how many requests it runs at once, as it says itself.
	Slots int
	// Incarnation tells its starts apart.
	Incarnation Incarnation
	// ColdTimeLeft is how much longer it is cold.
	ColdTimeLeft time.Duration `json:"ColdLeft"`
}

// Group returns the group that an engine belongs to.
func (u Upstream) Group() Group { return Group{Model: u.Model, Domain: u.Domain} }

// LoadReport is an upstream's own report. It lags behind what it describes.
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

// AttemptEnd says how one attempt at an upstream ended.
type AttemptEnd string

// Ends of an attempt.
const (
	// EndDone means that the whole answer arrived.
	EndDone AttemptEnd = "Done"
	// EndRejected means that the upstream refused before it ran anything.
	EndRejected AttemptEnd = "Rejected"
	// EndUnsent means that no byte left for the upstream.
	EndUnsent AttemptEnd = "Unsent"
	// EndBroken means that the stream stopped, stalled or carried a gap.
	EndBroken AttemptEnd = "Broken"
	// EndCancelled means that the caller or the node gave the attempt up.
	EndCancelled AttemptEnd = "Cancelled"
)

// LengthBand sorts prompts for reports and for the split of replicas.
type LengthBand int

// Bands of prompt length.
const (
	BandShort LengthBand = iota
	BandMedium
	BandLong
	BandHuge
	BandCount
)

// Upper ends of the length bands, in tokens.
const (
	MaxShortPrompt  Tokens = 4_096
	MaxMediumPrompt Tokens = 32_768
	MaxLongPrompt   Tokens = 100_000
)

// BandOf returns the band of a prompt length.
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

// String returns the band as reports print it.
func (b LengthBand) String() string {
	return [...]string{"1-4k", "4-32k", "32-100k", ">100k"}[b]
}

// StallTimeout bounds the silence of an engine between two signs of life.
const StallTimeout = 5 * time.Second
