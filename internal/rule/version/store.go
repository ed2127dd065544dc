// Package version stores the accepted configurations in a table: one row with
// the latest version number, and one row for each version with its content. A
// commit writes both in one transaction, on condition that the number row has
// not changed since it was read.
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
	// maxResolveAttempts limits the reads that find out whether a write took
	// effect after its response was lost.
	maxResolveAttempts = 5
)

// latestVersion is the value of the number row. ChangeID identifies the change
// that created the version.
type latestVersion struct {
	Version  snipeford.Version
	ChangeID string `json:"Change"`
}

// ConflictError reports a change that was rejected because Found was committed
// after its base version.
type ConflictError struct {
	Base  snipeford.Version
	Found snipeford.Configuration
}

// Error returns both versions, and the author and summary of the one in force.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("change is based on version %d, but version %d is in force: %s by %s at %s",
		e.Base, e.Found.Version, e.Found.ChangeSummary, e.Found.ChangedBy, e.Found.ChangedAt.Format(time.RFC3339))
}

// ErrOutcomeUnknown is returned if the table did not confirm a write and reading
// it back did not show whether it took effect.
var ErrOutcomeUnknown = errors.New("not known whether the change was accepted")

// Store reads and writes configurations.
type Store struct{ Table snipeford.Table }

// LatestVersion returns the latest version number, or zero if there is none.
func (s *Store) LatestVersion(ctx context.Context) (snipeford.Version, error) {
	latest, _, err := s.latest(ctx)
	return latest.Version, err
}

func (s *Store) latest(ctx context.Context) (latestVersion, uint64, error) {
	row, err := s.Table.Get(ctx, numberKey)
	if err != nil {
		return latestVersion{}, 0, fmt.Errorf("read version number: %w", err)
	}
	if row.Version == 0 {
		return latestVersion{}, 0, nil
	}
	var latest latestVersion
	if err := json.Unmarshal(row.Value, &latest); err != nil {
		return latestVersion{}, 0, fmt.Errorf("decode version number: %w", trace.Wrap(err))
	}
	return latest, row.Version, nil
}

// Configuration returns the configuration of version v.
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

// Commit stores c as the version after base. ChangeID must be unique to this
// change. Commit returns a *ConflictError if base is no longer the latest
// version, and ErrOutcomeUnknown if it cannot find out whether the table applied
// the write.
func (s *Store) Commit(ctx context.Context, base snipeford.Version, c snipeford.Configuration, changeID string) error {
	c.Version = base + 1
	c.ChangeID = changeID
	latest, rowVersion, err := s.latest(ctx)
	if err != nil {
		return err
	}
	if latest.Version != base {
		return s.conflict(ctx, base, latest.Version)
	}
	content, err := json.Marshal(c)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", trace.Wrap(err))
	}
	numberRow, err := json.Marshal(latestVersion{c.Version, changeID})
	if err != nil {
		return fmt.Errorf("encode version number: %w", trace.Wrap(err))
	}
	_, err = s.Table.Write(ctx,
		snipeford.RowWrite{Key: numberKey, Value: numberRow, IfVersion: rowVersion},
		snipeford.RowWrite{Key: contentKey(c.Version), Value: content})
	if err == nil {
		return nil
	}
	return s.resolve(ctx, base, changeID)
}

// resolve reads back whether a write took effect for which the table returned an
// error.
func (s *Store) resolve(ctx context.Context, base snipeford.Version, changeID string) error {
	for range maxResolveAttempts {
		latest, _, err := s.latest(ctx)
		if err != nil {
			continue
		}
		if latest.ChangeID == changeID {
			return nil
		}
		if latest.Version > base {
			return s.resolveOverwritten(ctx, base, latest.Version, changeID)
		}
		// The row is unchanged, but the write may still take effect.
	}
	return fmt.Errorf("read back change: %w", ErrOutcomeUnknown)
}

// resolveOverwritten handles a number row that holds another change. It returns
// nil if the change took effect and others followed, or a *ConflictError if
// another change was committed instead.
func (s *Store) resolveOverwritten(ctx context.Context, base, latest snipeford.Version, changeID string) error {
	first, err := s.Configuration(ctx, base+1)
	if err != nil {
		return fmt.Errorf("read back change: %w: %w", ErrOutcomeUnknown, err)
	}
	if first.ChangeID == changeID {
		return nil
	}
	return s.conflict(ctx, base, latest)
}

func (s *Store) conflict(ctx context.Context, base, latest snipeford.Version) error {
	found, err := s.Configuration(ctx, latest)
	if err != nil {
		found.Version = latest
	}
	return &ConflictError{Base: base, Found: found}
}
