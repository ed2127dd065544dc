package reducer

import (
	"time"

	"snipeford"
)

// Effect is one thing to do, as data. The runner carries it out and answers
// with an event.
type Effect interface{ effect() }

// Refuse ends a call at its entry node.
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

// ReturnToEntry sends a call back to its entry node.
type ReturnToEntry struct {
	Call       snipeford.CallID
	Group      snipeford.Group
	Cause      snipeford.Cause
	Outcome    snipeford.Outcome
	RetryAfter time.Duration
}

// PromptPart is one replica's part of a dispatched call. A prompt that is larger
// than one engine's memory has several, in the order of the prompt.
type PromptPart struct {
	Upstream snipeford.Upstream
	From, To snipeford.Tokens
}

// Dispatch sends a call to upstreams. The last part's upstream answers.
type Dispatch struct {
	Call      snipeford.CallID
	Parts     []PromptPart
	Priority  int
	Fence     snipeford.FencingToken
	Offset    snipeford.Tokens
	Attempt   int
	QueueTime time.Duration
	// StartBefore is when the send must not start any more.
	StartBefore snipeford.Instant
}

// Cancel ends a call's attempt at its upstream.
type Cancel struct{ Call snipeford.CallID }

// Complete ends a call at its home: the whole answer has passed.
type Complete struct{ Call snipeford.CallID }

// RenewLease rewrites this node's lease row.
type RenewLease struct{ Member snipeford.Member }

// ReadMembership scans the lease rows and the home rows.
type ReadMembership struct{}

// ClaimHome writes the row on the condition that its version still is
// Row.RowVersion.
type ClaimHome struct{ Row snipeford.HomeRow }

// TransferHome gives a home to the node that Row names, by a conditional write.
type TransferHome struct{ Row snipeford.HomeRow }

// SendHeartbeat tells one peer.
type SendHeartbeat struct {
	Peer      snipeford.Member
	Heartbeat snipeford.Heartbeat
}

// PollLoad asks an upstream for its load.
type PollLoad struct{ Upstream snipeford.Upstream }

// ReadUpstreams reads the platform's list of VMs.
type ReadUpstreams struct{}

// ReadConfiguration reads the version row and what is newer than Have.
type ReadConfiguration struct{ CurrentVersion snipeford.Version }

// FetchConfiguration asks a peer for its configuration.
type FetchConfiguration struct{ Peer snipeford.Member }

// PublishConfiguration says that a configuration came into force at this node.
type PublishConfiguration struct{ Configuration snipeford.Configuration }

// ReleaseStaleReservations frees what a dead home left reserved at an engine.
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
