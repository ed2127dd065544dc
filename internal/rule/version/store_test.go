package version

import (
	"context"
	"errors"
	"strings"
	"testing"

	"snipeford"
)

// memoryTable is a table in memory with injected write failures.
type memoryTable struct {
	rows     map[string]snipeford.Row
	sequence uint64
	// loseResponse and loseWrite fail the next write after and before it takes
	// effect.
	loseResponse, loseWrite bool
}

func (r *memoryTable) Get(_ context.Context, key string) (snipeford.Row, error) {
	return r.rows[key], nil
}

func (r *memoryTable) Scan(context.Context, string) ([]snipeford.Row, error) { return nil, nil }

func (r *memoryTable) Write(_ context.Context, writes ...snipeford.RowWrite) (uint64, error) {
	if r.loseWrite {
		r.loseWrite = false
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
	if r.loseResponse {
		r.loseResponse = false
		return 0, snipeford.ErrUnavailable
	}
	return r.sequence, nil
}

func newStore() (*Store, *memoryTable) {
	r := &memoryTable{rows: map[string]snipeford.Row{}}
	return &Store{Table: r}, r
}

func configuration(by string) snipeford.Configuration {
	return snipeford.Configuration{ChangedBy: by, ChangeSummary: "apply"}
}

func TestCommit(t *testing.T) {
	t.Run("the second of two changes gets the version that it conflicts with", func(t *testing.T) {
		s, _ := newStore()
		if err := s.Commit(t.Context(), 0, configuration("first"), "a"); err != nil {
			t.Fatal(err)
		}
		err := s.Commit(t.Context(), 0, configuration("second"), "b")
		var conflict *ConflictError
		if !errors.As(err, &conflict) || conflict.Found.Version != 1 || !strings.Contains(err.Error(), "by first") {
			t.Errorf("got %v, want a conflict with version 1 by first", err)
		}
	})
	t.Run("a lost response is resolved by reading back", func(t *testing.T) {
		s, r := newStore()
		r.loseResponse = true
		if err := s.Commit(t.Context(), 0, configuration("me"), "a"); err != nil {
			t.Errorf("got %v, want the change accepted", err)
		}
	})
	t.Run("the outcome of a write that may still take effect is unknown", func(t *testing.T) {
		s, r := newStore()
		r.loseWrite = true
		if err := s.Commit(t.Context(), 0, configuration("me"), "a"); !errors.Is(err, ErrOutcomeUnknown) {
			t.Errorf("got %v, want %v", err, ErrOutcomeUnknown)
		}
	})
	t.Run("a change that took effect and was followed by another is accepted", func(t *testing.T) {
		s, r := newStore()
		r.loseResponse = true
		if err := s.Commit(t.Context(), 0, configuration("me"), "a"); err != nil {
			t.Fatal(err)
		}
		if err := s.Commit(t.Context(), 1, configuration("other"), "b"); err != nil {
			t.Fatal(err)
		}
		if err := s.resolve(t.Context(), 0, "a"); err != nil {
			t.Errorf("got %v, want the change accepted", err)
		}
	})
}
