package snipeford

import (
	"context"
	"errors"
	"time"
)

// Errors of a Table. ErrUnavailable leaves open whether a write took effect.
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

// RowWrite sets one row on the condition that its version is still IfVersion.
// IfVersion zero demands that the row is absent. A nil Value deletes the row.
// A TTL above zero lets the table delete the row that long after the write.
type RowWrite struct {
	Key       string
	Value     []byte
	IfVersion uint64
	TTL       time.Duration
}

// Table is the platform's transactional table service.
type Table interface {
	// Get returns a row, or a row of version zero where there is none.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns the rows whose keys start with the prefix, in key order.
	Scan(ctx context.Context, prefix string) ([]Row, error)
	// Write applies all writes or none and returns the version that they gave
	// the rows. It returns ErrConflict where a condition failed and
	// ErrUnavailable where the effect is not known.
	Write(ctx context.Context, writes ...RowWrite) (uint64, error)
}
