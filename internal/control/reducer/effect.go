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

// Bounce sends a call back to its entry node.
type Bounce struct {
	Call       snipeford.CallID
	Group      snipeford.Group
	Cause      snipeford.Cause
	Outcome    snipeford.Outcome
	RetryAfter time.Duration
}

// Part is one replica's part of a dispatched call. A prompt that is larger
// than one engine's memory has several, in the order of the prompt.
type Part struct {
	Upstream snipeford.Upstream
	From, To snipeford.Tokens
}

// Dispatch sends a call to upstreams. The last part's upstream answers.
type Dispatch struct {
	Call     snipeford.CallID
	Parts    []Part
	Priority int
	Fence    snipeford.FencingToken
	Offset   snipeford.Tokens
	Attempt  int
	Waited   time.Duration
	// Until is when the send must not start any more.
	Until snipeford.Instant
}

// Cancel ends a call's attempt at its upstream.
type Cancel struct{ Call snipeford.CallID }

// Complete ends a call at its home: the whole answer has passed.
type Complete struct{ Call snipeford.CallID }

// RenewLease rewrites this node's lease row.
type RenewLease struct{ Member snipeford.Member }

// ReadRows scans the lease rows and the home rows.
type ReadRows struct{}

// ClaimHome writes the row on the condition that its version still is
// Row.RowVersion.
type ClaimHome struct{ Row snipeford.HomeRow }

// HandHome gives a home to the node that Row names, by a conditional write.
type HandHome struct{ Row snipeford.HomeRow }

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
type ReadConfiguration struct{ Have snipeford.Version }

// FetchConfiguration asks a peer for its configuration.
type FetchConfiguration struct{ Peer snipeford.Member }

// Adopted says that a configuration came into force at this node.
type Adopted struct{ Configuration snipeford.Configuration }

// SweepReservations frees what a dead home left reserved at an engine.
type SweepReservations struct {
	Upstream snipeford.Upstream
	Fence    snipeford.FencingToken
}

func (Refuse) effect()             {}
func (Forward) effect()            {}
func (Bounce) effect()             {}
func (Dispatch) effect()           {}
func (Cancel) effect()             {}
func (Complete) effect()           {}
func (RenewLease) effect()         {}
func (ReadRows) effect()           {}
func (ClaimHome) effect()          {}
func (HandHome) effect()           {}
func (SendHeartbeat) effect()      {}
func (PollLoad) effect()           {}
func (ReadUpstreams) effect()      {}
func (ReadConfiguration) effect()  {}
func (FetchConfiguration) effect() {}
func (Adopted) effect()            {}
func (SweepReservations) effect()  {}
