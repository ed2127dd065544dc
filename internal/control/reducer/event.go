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

// CallArrived says that a caller's request reached this entry node.
type CallArrived struct{ Call snipeford.Call }

// CallReturned says that a home sent a call back without a byte having reached an
// upstream, or, for idempotent calls, after a lost attempt.
type CallReturned struct {
	Call       snipeford.CallID
	Group      snipeford.Group
	Cause      snipeford.Cause
	Outcome    snipeford.Outcome
	RetryAfter time.Duration
	// Offset is the number of answer tokens that the caller now has.
	Offset snipeford.Tokens
}

// CallEnded says that a call got its final answer at this entry node.
type CallEnded struct{ Call snipeford.CallID }

// CallForwarded says that an entry node forwarded a call to this home.
type CallForwarded struct {
	Call  snipeford.Call
	Group snipeford.Group
}

// CallCancelled says that the caller or the entry node gave up on a call.
type CallCancelled struct{ Call snipeford.CallID }

// FirstTokenReceived says that the first token of an attempt arrived.
type FirstTokenReceived struct{ Call snipeford.CallID }

// PromptPartStarted says that a later part of a prompt that spans several engines
// began; the parts before it are computed.
type PromptPartStarted struct {
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
	Upstream  snipeford.UpstreamID
	BlockHash uint64
}

// UpstreamsListed brings the platform's list of VMs.
type UpstreamsListed struct{ Upstreams []snipeford.Upstream }

// ConfigurationRead brings a configuration, from the table or from a peer.
type ConfigurationRead struct{ Configuration snipeford.Configuration }

// LeaseRenewalEnded says how a renewal that was sent at Sent ended.
type LeaseRenewalEnded struct {
	SentAt snipeford.Instant
	Err    error
}

// MembershipRead brings a scan of the lease rows and the home rows.
type MembershipRead struct {
	Leases []snipeford.LeaseRow
	Homes  []snipeford.HomeRow
	Err    error
}

// HomeClaimed says whether a conditional write made this node a home.
type HomeClaimed struct {
	Row snipeford.HomeRow
	Won bool
}

// HomeTransferred says that a conditional write gave a home to another node.
type HomeTransferred struct{ Row snipeford.HomeRow }

// HeartbeatReceived brings a peer's heartbeat.
type HeartbeatReceived struct{ Heartbeat snipeford.Heartbeat }

// LeaveRequested starts the graceful stop of this node.
type LeaveRequested struct{}

func (Ticked) event()             {}
func (CallArrived) event()        {}
func (CallReturned) event()       {}
func (CallEnded) event()          {}
func (CallForwarded) event()      {}
func (CallCancelled) event()      {}
func (FirstTokenReceived) event() {}
func (PromptPartStarted) event()  {}
func (AttemptEnded) event()       {}
func (LoadReported) event()       {}
func (CacheEvicted) event()       {}
func (UpstreamsListed) event()    {}
func (ConfigurationRead) event()  {}
func (LeaseRenewalEnded) event()  {}
func (MembershipRead) event()     {}
func (HomeClaimed) event()        {}
func (HomeTransferred) event()    {}
func (HeartbeatReceived) event()  {}
func (LeaveRequested) event()     {}
