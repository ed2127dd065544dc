// Package snipeford declares the types and interfaces that all parts of the
// serving layer share. Implementations are in internal/.
//
// The snipeford program runs in one of two modes. In the mode serve it offers its
// own interface, with Call, QueuedCall, Router, Table, LeaseRow and Rules. In the
// mode edge it runs behind the interfaces of the platform, with PlacementRequest,
// Placement, Feed and Routing.
//
// The home of a group is the node that queues and dispatches the group's calls, in
// the mode serve. The home of a service is the node that places the service's
// requests, in the mode edge.
package snipeford

import "time"

// NodeID identifies one snipeford process, as written in its settings.
type NodeID string

// Incarnation distinguishes the runs of one process or upstream. It is
// generated at the start of each run.
type Incarnation string

// FailureDomain names a set of VMs that operators can take out of service
// together.
type FailureDomain string

// Organisation identifies a subscriber whose requests share one set of
// limits.
type Organisation string

// Model names the model that an engine serves.
type Model string

// ServiceName names a plain HTTP service, as opposed to a model.
type ServiceName string

// UpstreamID identifies one replica of a model or of a plain service.
type UpstreamID string

// RequestID identifies one request of a caller. It stays the same across
// retries, changes of the group's home and resumed streams.
type RequestID string

// AttemptID identifies one dispatch of a request to one upstream. It is
// unguessable and is part of every chunk of the upstream's stream.
type AttemptID string

// IdempotencyKey is a key that the caller chooses for a request that must run at
// most once.
type IdempotencyKey string

// Version numbers the accepted versions of a Configuration, starting at 1, or the
// versions of a Routing.
type Version uint64

// FencingToken is the fencing token of a group's home. Each later home of the
// group has a higher one.
type FencingToken uint64

// PrefixPart identifies a part of a prompt that several requests may share, such
// as a system prompt or a document.
type PrefixPart string

// Tokens is a number of prompt or output tokens.
type Tokens int64

// TokensPerSecond is a throughput.
type TokensPerSecond float64

// Instant is a monotonic time in nanoseconds since the origin of the clock that
// returned it: the first use of a timer.Clock for its Now, the boot of the VM for
// its SinceBoot, or the start of a simulation in virtual time. Instants of
// different clocks must not be compared.
type Instant int64

// Add returns i plus d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Seconds returns i in seconds.
func (i Instant) Seconds() float64 { return time.Duration(i).Seconds() }

// Group identifies the replicas of one model in one failure domain.
type Group struct {
	Model  Model
	Domain FailureDomain
}

// String returns "model@domain".
func (g Group) String() string { return string(g.Model) + "@" + string(g.Domain) }
