package snipeford

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryGone says that a feed's history no longer reaches back to the asked
// version: the follower has to read a whole snapshot.
var ErrHistoryGone = errors.New("history of the table is gone")

// Collection names a set of rows that nodes follow.
type Collection string

// Collections of the users' platform.
const (
	// OperatorRows hold the routing and the failure domains that are out.
	OperatorRows Collection = "Operator"
	// UpstreamRows hold the upstreams that have registered themselves.
	UpstreamRows Collection = "Upstreams"
	// MemberRows hold the nodes of this system.
	MemberRows Collection = "Members"
)

// Change is one row of a collection that was written or removed.
type Change struct {
	Key     string
	Value   []byte
	Removed bool
}

// Batch is what a feed answered: the changes up to a version.
type Batch struct {
	Changes []Change
	// Snapshot batches hold all rows that there are.
	Snapshot bool `json:"Whole"`
	// Version is where the next read goes on.
	Version uint64
	// StoreTime is the store's own steady clock at the answer.
	StoreTime time.Duration
}

// Feed reads the rows that nodes follow. Errors other than ErrHistoryGone wrap
// ErrUnavailable.
type Feed interface {
	// Snapshot reads all rows.
	Snapshot(ctx context.Context, c Collection) (Batch, error)
	// Watch waits up to wait for changes after the version.
	Watch(ctx context.Context, c Collection, after uint64, wait time.Duration) (Batch, error)
	// Put writes one row of MemberRows.
	Put(ctx context.Context, key string, value []byte) error
}
