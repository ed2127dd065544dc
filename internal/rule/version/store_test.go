package version

import (
	"context"
	"errors"
	"strings"
	"testing"

	"snipeford"
)

// rows is a table in memory that loses the answers of writes on demand.
type rows struct {
	rows     map[string]snipeford.Row
	sequence uint64
	// lose and drop fail the next write after and before its effect.
	lose, drop bool
}

func (r *rows) Get(_ context.Context, key string) (snipeford.Row, error) { return r.rows[key], nil }

func (r *rows) Scan(context.Context, string) ([]snipeford.Row, error) { return nil, nil }

func (r *rows) Write(_ context.Context, writes ...snipeford.RowWrite) (uint64, error) {
	if r.drop {
		r.drop = false
		return 0, snipeford.ErrUnavailable
	}
	for _, w := range writes {
		if r.rows[w.Key].Version != w.IfVersion {
			return 0, snipeford.ErrConflict
		}
	}
	r.sequence++
	for _, w := range writes {
		r.rows[w.Key] = snipeford.Row{Key: w.Key, Value: w.Value, Version: r.sequence}
	}
	if r.lose {
		r.lose = false
		return 0, snipeford.ErrUnavailable
	}
	return r.sequence, nil
}

func store() (*Store, *rows) {
	r := &rows{rows: map[string]snipeford.Row{}}
	return &Store{Table: r}, r
}

func change(by string) snipeford.Configuration {
	return snipeford.Configuration{ChangedBy: by, ChangeSummary: "apply"}
}

func TestCommit(t *testing.T) {
	t.Run("the second of two changes is told which version beat it", func(t *testing.T) {
		s, _ := store()
		if err := s.Commit(t.Context(), 0, change("first"), "a"); err != nil {
			t.Fatal(err)
		}
		err := s.Commit(t.Context(), 0, change("second"), "b")
		var conflict *ConflictError
		if !errors.As(err, &conflict) || conflict.Found.Version != 1 || !strings.Contains(err.Error(), "by first") {
			t.Errorf("got %v, want a conflict with version 1 by first", err)
		}
	})
	t.Run("a lost answer is resolved by reading back", func(t *testing.T) {
		s, r := store()
		r.lose = true
		if err := s.Commit(t.Context(), 0, change("me"), "a"); err != nil {
			t.Errorf("got %v, want the change accepted", err)
		}
	})
	t.Run("a write that may still take effect is undecided", func(t *testing.T) {
		s, r := store()
		r.drop = true
		if err := s.Commit(t.Context(), 0, change("me"), "a"); !errors.Is(err, ErrOutcomeUnknown) {
			t.Errorf("got %v, want %v", err, ErrOutcomeUnknown)
		}
	})
	t.Run("a change that took effect and was followed by another is accepted", func(t *testing.T) {
		s, r := store()
		r.lose = true
		if err := s.Commit(t.Context(), 0, change("me"), "a"); err != nil {
			t.Fatal(err)
		}
		if err := s.Commit(t.Context(), 1, change("other"), "b"); err != nil {
			t.Fatal(err)
		}
		if err := s.resolve(t.Context(), 0, "a"); err != nil {
			t.Errorf("got %v, want the change accepted", err)
		}
	})
}
