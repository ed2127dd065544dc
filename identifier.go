// Package snipeford holds the named types and the interfaces that every part
// of the serving layer shares. Implementations live below internal/.
package snipeford

import "time"

// NodeID names one snipeford process, as written in its settings.
type NodeID string

// Incarnation tells two runs of one process or upstream apart. It is drawn at
// the start of each run.
type Incarnation string

// FailureDomain names a set of VMs that operators may take out together.
type FailureDomain string

// Organisation names a subscriber whose requests share one set of limits.
type Organisation string

// Model names what an engine serves.
type Model string

// ServiceName names a plain service beside the model engines.
type ServiceName string

// UpstreamID names one replica of a model or of a plain service.
type UpstreamID string

// RequestID names one request of a caller. It stays the same across retries,
// homes and resumed streams.
type RequestID string

// AttemptID names one dispatch of a request to one upstream. It is unguessable
// and every chunk of the upstream's stream carries it.
type AttemptID string

// IdempotencyKey is the caller's name for an order that must run at most once.
type IdempotencyKey string

// Version counts accepted configurations, from 1.
type Version uint64

// FencingToken is a fencing number. A later holder of a group has a higher one.
type FencingToken uint64

// Tokens counts prompt or answer tokens.
type Tokens int64

// TokensPerSecond is a rate of service.
type TokensPerSecond float64

// Instant is a monotonic time in nanoseconds since the process started, or
// since the start of a run in virtual time.
type Instant int64

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Seconds returns the instant in seconds.
func (i Instant) Seconds() float64 { return time.Duration(i).Seconds() }

// Group names the replicas of one model in one failure domain. One node, its
// home, queues and dispatches for the whole group.
type Group struct {
	Model  Model
	Domain FailureDomain
}

// String returns "model@domain".
func (g Group) String() string { return string(g.Model) + "@" + string(g.Domain) }
