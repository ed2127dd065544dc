package reducer

import (
	"time"

	"snipeford"
)

// Effect is an action to carry out, as data. The executor carries it out and
// reports the result as an event.
type Effect interface{ effect() }

// Refuse ends a call at its entry node with a refusal.
type Refuse struct {
	Call    snipeford.CallID
	Refusal snipeford.Refusal
}

// Forward sends a call to the home of a group, which may be this node.
type Forward struct {
	Call   snipeford.CallID
	Group  snipeford.Group
	Node   snipeford.NodeID
	Offset snipeford.Tokens
}

// ReturnToEntry returns a call from its home to its entry node.
type ReturnToEntry struct {
	Call       snipeford.CallID
	Group      snipeford.Group
	Cause      snipeford.Cause
	Outcome    snipeford.Outcome
	RetryAfter time.Duration
}

// PromptPart is the range of prompt tokens that one upstream prefills. A prompt
// that is larger than one engine's memory has several parts, in the order of
// the prompt.
type PromptPart struct {
	Upstream snipeford.Upstream
	From, To snipeford.Tokens
}

// Dispatch sends a call to upstreams. The upstream of the last part sends
// the response.
type Dispatch struct {
	Call      snipeford.CallID
	Parts     []PromptPart
	Priority  int
	Fence     snipeford.FencingToken
	Offset    snipeford.Tokens
	Attempt   int
	QueueTime time.Duration
	// StartBefore is the time before which the send must start; later the
	// node's lease may have expired.
	StartBefore snipeford.Instant
}

// Cancel ends a cancelled call at its home.
type Cancel struct{ Call snipeford.CallID }

// Complete ends a call at its home after the whole response was passed on.
type Complete struct{ Call snipeford.CallID }

// RenewLease rewrites this node's lease row.
type RenewLease struct{ Member snipeford.Member }

// ReadMembership reads all lease rows and home rows.
type ReadMembership struct{}

// ClaimHome writes the home row if its version in the table still is
// Row.RowVersion.
type ClaimHome struct{ Row snipeford.HomeRow }

// TransferHome makes the node in Row the home by a conditional write.
type TransferHome struct{ Row snipeford.HomeRow }

// SendHeartbeat sends a heartbeat to one peer.
type SendHeartbeat struct {
	Peer      snipeford.Member
	Heartbeat snipeford.Heartbeat
}

// PollLoad requests a load report from an upstream.
type PollLoad struct{ Upstream snipeford.Upstream }

// ReadUpstreams reads the platform's list of VMs.
type ReadUpstreams struct{}

// ReadConfiguration reads the configuration if it is newer than CurrentVersion.
type ReadConfiguration struct{ CurrentVersion snipeford.Version }

// FetchConfiguration requests a peer's configuration.
type FetchConfiguration struct{ Peer snipeford.Member }

// PublishConfiguration puts a configuration into force for the traffic
// goroutines of this node.
type PublishConfiguration struct{ Configuration snipeford.Configuration }

// ReleaseStaleReservations releases the memory that homes with a lower
// fencing token reserved at an engine and did not release.
type ReleaseStaleReservations struct {
	Upstream snipeford.Upstream
	Fence    snipeford.FencingToken
}

func (Refuse) effect()                   {}
func (Forward) effect()                  {}
func (ReturnToEntry) effect()            {}
func (Dispatch) effect()                 {}
func (Cancel) effect()                   {}
func (Complete) effect()                 {}
func (RenewLease) effect()               {}
func (ReadMembership) effect()           {}
func (ClaimHome) effect()                {}
func (TransferHome) effect()             {}
func (SendHeartbeat) effect()            {}
func (PollLoad) effect()                 {}
func (ReadUpstreams) effect()            {}
func (ReadConfiguration) effect()        {}
func (FetchConfiguration) effect()       {}
func (PublishConfiguration) effect()     {}
func (ReleaseStaleReservations) effect() {}
