package reducer

import (
	"time"

	"snipeford"
)

// Event is an input of the reducer. Traffic goroutines and the timer service
// send events; only the control goroutine applies them.
type Event interface{ event() }

// Ticked is sent every TickInterval.
type Ticked struct{}

// CallArrived reports that a caller's request arrived at this entry node.
type CallArrived struct{ Call snipeford.Call }

// CallReturned reports that a home returned a call to this entry node: no byte
// of it has reached an upstream, or an attempt was lost. Outcome tells which.
type CallReturned struct {
	Call       snipeford.CallID
	Group      snipeford.Group
	Cause      snipeford.Cause
	Outcome    snipeford.Outcome
	RetryAfter time.Duration
	// Offset is the number of response tokens that the caller has received.
	Offset snipeford.Tokens
}

// CallEnded reports that a call got its final response at this entry node.
type CallEnded struct{ Call snipeford.CallID }

// CallForwarded reports that an entry node forwarded a call to this home.
type CallForwarded struct {
	Call  snipeford.Call
	Group snipeford.Group
}

// CallCancelled reports that the caller or the entry node cancelled a call.
type CallCancelled struct{ Call snipeford.CallID }

// FirstTokenReceived reports that the first token of an attempt arrived.
type FirstTokenReceived struct{ Call snipeford.CallID }

// PromptPartStarted reports that prefill of a later part of a prompt that spans
// several engines has started; the parts before it are done.
type PromptPartStarted struct {
	Call snipeford.CallID
	Part int
}

// AttemptEnded reports how an attempt at an upstream ended.
type AttemptEnded struct {
	Call snipeford.CallID
	End  snipeford.AttemptEnd
	// Offset is the number of response tokens passed on over all attempts.
	Offset snipeford.Tokens
}

// LoadReported carries an upstream's load report.
type LoadReported struct{ Load snipeford.LoadReport }

// CacheEvicted reports that an upstream evicted a block from its prefix cache.
// Such events may be late or lost.
type CacheEvicted struct {
	Upstream  snipeford.UpstreamID
	BlockHash uint64
}

// UpstreamsListed carries the platform's list of VMs.
type UpstreamsListed struct{ Upstreams []snipeford.Upstream }

// ConfigurationRead carries a configuration that was read from the table or
// from a peer.
type ConfigurationRead struct{ Configuration snipeford.Configuration }

// LeaseRenewalEnded reports the result of the lease renewal that was sent at
// SentAt.
type LeaseRenewalEnded struct {
	SentAt snipeford.Instant
	Err    error
}

// MembershipRead carries all lease rows and home rows.
type MembershipRead struct {
	Leases []snipeford.LeaseRow
	Homes  []snipeford.HomeRow
	Err    error
}

// HomeClaimed reports whether the conditional write of ClaimHome made this node
// a home.
type HomeClaimed struct {
	Row snipeford.HomeRow
	Won bool
}

// HomeTransferred reports that the conditional write of TransferHome made
// another node a home.
type HomeTransferred struct{ Row snipeford.HomeRow }

// HeartbeatReceived carries a peer's heartbeat.
type HeartbeatReceived struct{ Heartbeat snipeford.Heartbeat }

// LeaveRequested starts the graceful shutdown of this node.
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
