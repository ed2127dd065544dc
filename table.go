package snipeford

import (
	"context"
	"errors"
	"time"
)

// Errors of a Table. After ErrUnavailable, it is unknown whether a write took
// effect. The errors of a Feed wrap ErrUnavailable, too, except ErrHistoryGone.
var (
	ErrConflict    = errors.New("row version differs")
	ErrUnavailable = errors.New("table unavailable")
)

// Row is one row of the platform's transactional table.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// RowWrite writes one row if its version is still IfVersion. If IfVersion is
// zero, the row must not exist. A nil Value deletes the row. If TTL is above
// zero, the table deletes the row that long after the write.
type RowWrite struct {
	Key       string
	Value     []byte
	IfVersion uint64
	TTL       time.Duration
}

// Table is the platform's transactional table service.
type Table interface {
	// Get returns a row, or a row of version zero if it does not exist.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns the rows whose keys start with prefix, in key order.
	Scan(ctx context.Context, prefix string) ([]Row, error)
	// Write applies all writes or none and returns the new version of the rows.
	// It returns ErrConflict if a condition failed and ErrUnavailable if it is
	// unknown whether the writes took effect.
	Write(ctx context.Context, writes ...RowWrite) (uint64, error)
}
