package reducer

import (
	"time"

	"snipeford"
)

// Event is one thing that happened. Traffic goroutines and the timer service
// send events; only the control goroutine applies them.
type Event interface{ event() }

// Ticked comes every TickEvery.
type Ticked struct{}

// Arrived says that a caller's request reached this entry node.
type Arrived struct{ Call snipeford.Call }

// Bounced says that a home sent a call back without a byte having reached an
// upstream, or, for idempotent calls, after a lost attempt.
type Bounced struct {
	Call       snipeford.CallID
	Group      snipeford.Group
	Cause      snipeford.Cause
	Outcome    snipeford.Outcome
	RetryAfter time.Duration
	// Offset is the number of answer tokens that the caller now has.
	Offset snipeford.Tokens
}

// Ended says that a call got its final answer at this entry node.
type Ended struct{ Call snipeford.CallID }

// Offered says that an entry node forwarded a call to this home.
type Offered struct {
	Call  snipeford.Call
	Group snipeford.Group
}

// Withdrawn says that the caller or the entry node gave up on a call.
type Withdrawn struct{ Call snipeford.CallID }

// FirstToken says that the first token of an attempt arrived.
type FirstToken struct{ Call snipeford.CallID }

// PartStarted says that a later part of a prompt that spans several engines
// began; the parts before it are computed.
type PartStarted struct {
	Call snipeford.CallID
	Part int
}

// AttemptEnded says how an attempt at an upstream ended.
type AttemptEnded struct {
	Call snipeford.CallID
	End  snipeford.AttemptEnd
	// Offset is the number of answer tokens that were passed on in all.
	Offset snipeford.Tokens
}

// LoadReported brings an upstream's own report.
type LoadReported struct{ Load snipeford.LoadReport }

// CacheEvicted brings an upstream's cache event, late or never.
type CacheEvicted struct {
	Upstream snipeford.UpstreamID
	Block    uint64
}

// UpstreamsListed brings the platform's list of VMs.
type UpstreamsListed struct{ Upstreams []snipeford.Upstream }

// ConfigurationRead brings a configuration, from the table or from a peer.
type ConfigurationRead struct{ Configuration snipeford.Configuration }

// LeaseAnswered says how a renewal that was sent at Sent ended.
type LeaseAnswered struct {
	Sent snipeford.Instant
	Err  error
}

// RowsRead brings a scan of the lease rows and the home rows.
type RowsRead struct {
	Leases []snipeford.LeaseRow
	Homes  []snipeford.HomeRow
	Err    error
}

// HomeClaimed says whether a conditional write made this node a home.
type HomeClaimed struct {
	Row snipeford.HomeRow
	Won bool
}

// HomeHanded says that a conditional write gave a home to another node.
type HomeHanded struct{ Row snipeford.HomeRow }

// HeartbeatHeard brings a peer's heartbeat.
type HeartbeatHeard struct{ Heartbeat snipeford.Heartbeat }

// LeaveOrdered starts the graceful stop of this node.
type LeaveOrdered struct{}

func (Ticked) event()            {}
func (Arrived) event()           {}
func (Bounced) event()           {}
func (Ended) event()             {}
func (Offered) event()           {}
func (Withdrawn) event()         {}
func (FirstToken) event()        {}
func (PartStarted) event()       {}
func (AttemptEnded) event()      {}
func (LoadReported) event()      {}
func (CacheEvicted) event()      {}
func (UpstreamsListed) event()   {}
func (ConfigurationRead) event() {}
func (LeaseAnswered) event()     {}
func (RowsRead) event()          {}
func (HomeClaimed) event()       {}
func (HomeHanded) event()        {}
func (HeartbeatHeard) event()    {}
func (LeaveOrdered) event()      {}
