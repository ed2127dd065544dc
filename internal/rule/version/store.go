// Package version keeps the accepted configurations in the platform's table:
// one small row with the newest version's number, one row a version with its
// content. Both are written in one transaction, on the condition that nobody
// else wrote the number in between.
package version

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"snipeford"
)

const (
	numberKey     = "Configuration/Number"
	contentPrefix = "Configuration/Content/"
	// resolveTries is how often a lost answer is read back.
	resolveTries = 5
)

// number is the content of the number row.
type number struct {
	Version snipeford.Version
	Change  string
}

// ConflictError says which version beat a change.
type ConflictError struct {
	Base  snipeford.Version
	Found snipeford.Configuration
}

// Error names the version, its author and what it changed.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("change is based on version %d, but version %d is in force: %s by %s at %s",
		e.Base, e.Found.Version, e.Found.ChangeSummary, e.Found.ChangedBy, e.Found.ChangedAt.Format(time.RFC3339))
}

// ErrOutcomeUnknown says that the table's answer was lost and could not be read back.
var ErrOutcomeUnknown = errors.New("not known whether the change was accepted")

// Store reads and writes configurations.
type Store struct{ Table snipeford.Table }

// LatestVersion returns the newest version's number, or zero where there is none.
func (s *Store) LatestVersion(ctx context.Context) (snipeford.Version, error) {
	n, _, err := s.number(ctx)
	return n.Version, err
}

func (s *Store) number(ctx context.Context) (number, uint64, error) {
	row, err := s.Table.Get(ctx, numberKey)
	if err != nil {
		return number{}, 0, fmt.Errorf("read version number: %w", err)
	}
	if row.Version == 0 {
		return number{}, 0, nil
	}
	var n number
	if err := json.Unmarshal(row.Value, &n); err != nil {
		return number{}, 0, fmt.Errorf("decode version number: %w", trace.Wrap(err))
	}
	return n, row.Version, nil
}

// Configuration returns a version.
func (s *Store) Configuration(ctx context.Context, v snipeford.Version) (snipeford.Configuration, error) {
	var c snipeford.Configuration
	row, err := s.Table.Get(ctx, contentKey(v))
	if err != nil {
		return c, fmt.Errorf("read version %d: %w", v, err)
	}
	if row.Version == 0 {
		return c, fmt.Errorf("read version: %w", trace.NotFound("version %d has no content", v))
	}
	if err := json.Unmarshal(row.Value, &c); err != nil {
		return c, fmt.Errorf("decode version %d: %w", v, trace.Wrap(err))
	}
	return c, nil
}

func contentKey(v snipeford.Version) string { return fmt.Sprintf("%s%020d", contentPrefix, v) }

// Commit makes c the version after base. Change is a fresh id of this change.
// It returns a *ConflictError where another version came between, and
// ErrUndecided where the table's answer was lost for good.
func (s *Store) Commit(ctx context.Context, base snipeford.Version, c snipeford.Configuration, change string) error {
	c.Version = base + 1
	c.ChangeID = change
	n, rowVersion, err := s.number(ctx)
	if err != nil {
		return err
	}
	if n.Version != base {
		return s.conflict(ctx, base, n.Version)
	}
	content, err := json.Marshal(c)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", trace.Wrap(err))
	}
	next, err := json.Marshal(number{c.Version, change})
	if err != nil {
		return fmt.Errorf("encode version number: %w", trace.Wrap(err))
	}
	_, err = s.Table.Write(ctx,
		snipeford.RowWrite{Key: numberKey, Value: next, IfVersion: rowVersion},
		snipeford.RowWrite{Key: contentKey(c.Version), Value: content})
	if err == nil {
		return nil
	}
	return s.resolve(ctx, base, change)
}

// resolve reads back what became of a write whose answer was an error.
func (s *Store) resolve(ctx context.Context, base snipeford.Version, change string) error {
	for range resolveTries {
		n, _, err := s.number(ctx)
		if err != nil {
			continue
		}
		if n.Change == change {
			return nil
		}
		if n.Version > base {
			return s.beaten(ctx, base, n.Version, change)
		}
		// Nothing stands there yet: the write may still take effect.
	}
	return fmt.Errorf("read change back: %w", ErrOutcomeUnknown)
}

// beaten tells a change that lost from one that took effect and was followed
// by others.
func (s *Store) beaten(ctx context.Context, base, newest snipeford.Version, change string) error {
	first, err := s.Configuration(ctx, base+1)
	if err != nil {
		return fmt.Errorf("read change back: %w: %w", ErrOutcomeUnknown, err)
	}
	if first.ChangeID == change {
		return nil
	}
	return s.conflict(ctx, base, newest)
}

func (s *Store) conflict(ctx context.Context, base, newest snipeford.Version) error {
	found, err := s.Configuration(ctx, newest)
	if err != nil {
		found.Version = newest
	}
	return &ConflictError{Base: base, Found: found}
}
