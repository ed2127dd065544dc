package snipeford

import (
	"cmp"
	"context"
	"errors"
	"time"
)

// ErrHistoryGone reports that the feed no longer has the changes since the
// requested version. The reader must read a full snapshot.
var ErrHistoryGone = errors.New("change history no longer reaches back to the requested version")

// ErrWatchInterrupted reports a watch whose connection was closed without a response. It
// tells nothing about the store: the reader calls again, without waiting for changes.
var ErrWatchInterrupted = errors.New("watch was interrupted")

// Collection names a set of rows that nodes watch.
type Collection string

// Collections that the platform provides.
const (
	// OperatorRows hold the routing and the failure domains that are out of
	// service.
	OperatorRows Collection = "Operator"
	// UpstreamRows hold the upstreams, which register themselves.
	UpstreamRows Collection = "Upstreams"
	// MemberRows hold the snipeford nodes.
	MemberRows Collection = "Members"
)

// Collections lists all collections.
var Collections = []Collection{OperatorRows, UpstreamRows, MemberRows}

// Change is the write or removal of one row of a collection.
type Change struct {
	Key     string
	Value   []byte
	Removed bool
}

// Batch is a response of a Feed: the changes up to a version.
type Batch struct {
	Changes []Change
	// Snapshot reports whether Changes holds all rows of the collection.
	Snapshot bool `json:"Whole"`
	// Era is the era of the store's versions, or zero if the store states none.
	Era Era `json:",omitempty"`
	// Version is the version to pass to the next Watch.
	Version uint64
	// After is the version that the changes follow: a reader whose rows are older lacks
	// changes. It is zero for a snapshot.
	After uint64 `json:",omitempty"`
	// StoreTime is the monotonic clock of the store when it responded. The store
	// is the platform service that holds the collections.
	StoreTime time.Duration
}

// Era is the number of times that the store has come back from a copy of its rows, plus
// a constant. Writes after the copy was made are gone, and their versions are given out
// again, so that versions of different eras cannot be compared.
type Era uint64

// Revision is a version of the store in one of its eras.
type Revision struct {
	Era     Era `json:",omitempty"`
	Version uint64
}

// Compare orders revisions by era, and within an era by version. It returns -1, 0 or 1.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Version, other.Version))
}

// Revision returns the revision up to which the batch is complete.
func (b *Batch) Revision() Revision { return Revision{b.Era, b.Version} }

// Feed reads and watches the collections that nodes share. Errors other than
// ErrHistoryGone and ErrWatchInterrupted wrap ErrUnavailable.
type Feed interface {
	// Snapshot reads all rows.
	Snapshot(ctx context.Context, c Collection) (Batch, error)
	// Watch waits up to wait for changes after a version. The response may belong to
	// another era than that version; its changes are then not those that the reader lacks.
	// With ErrHistoryGone, the batch states the era.
	Watch(ctx context.Context, c Collection, after uint64, wait time.Duration) (Batch, error)
	// Put writes one row of MemberRows.
	Put(ctx context.Context, key string, value []byte) error
}
