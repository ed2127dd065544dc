package order

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"snipeford"
	"snipeford/internal/control/timer"
	"snipeford/internal/request/stream"
)

// memoryTable is a table in memory that can lose replies and fail.
type memoryTable struct {
	mu       sync.Mutex
	rows     map[string]snipeford.Row
	sequence uint64
	random   *rand.Rand
	// lossRate is the fraction of writes whose replies are lost, half of them
	// after the write took effect; down makes all operations fail, readsFail the
	// reads.
	lossRate  float64
	down      bool
	readsFail bool
}

func newMemoryTable(seed uint64, lossRate float64) *memoryTable {
	return &memoryTable{rows: map[string]snipeford.Row{}, random: rand.New(rand.NewPCG(seed, 1)), lossRate: lossRate}
}

func (r *memoryTable) Get(_ context.Context, key string) (snipeford.Row, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down || r.readsFail {
		return snipeford.Row{}, snipeford.ErrUnavailable
	}
	return r.rows[key], nil
}

func (r *memoryTable) Scan(context.Context, string) ([]snipeford.Row, error) { return nil, nil }

func (r *memoryTable) Write(_ context.Context, writes ...snipeford.RowWrite) (uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return 0, snipeford.ErrUnavailable
	}
	w := writes[0]
	lost := r.random.Float64() < r.lossRate
	if lost && r.random.Float64() < 0.5 {
		return 0, snipeford.ErrUnavailable
	}
	if r.rows[w.Key].Version != w.IfVersion {
		return 0, snipeford.ErrConflict
	}
	r.sequence++
	if w.Value == nil {
		delete(r.rows, w.Key)
	} else {
		r.rows[w.Key] = snipeford.Row{Key: w.Key, Value: w.Value, Version: r.sequence}
	}
	if lost {
		return 0, snipeford.ErrUnavailable
	}
	return r.sequence, nil
}

// fleet is a set of coordinators that share one table and are each other's Peers.
type fleet struct {
	coordinators map[snipeford.NodeID]*Coordinator
}

func (f *fleet) GivenUp(_ context.Context, n snipeford.NodeID, inc snipeford.Incarnation, a snipeford.AttemptID) bool {
	c, ok := f.coordinators[n]
	return ok && c.Incarnation == inc && c.GivenUp(a)
}

func newFleet(table snipeford.Table, nodes int) *fleet {
	f := &fleet{coordinators: map[snipeford.NodeID]*Coordinator{}}
	for i := range nodes {
		id := snipeford.NodeID(fmt.Sprint("node-", i))
		f.coordinators[id] = &Coordinator{Table: table, Timer: &timer.Clock{}, Peers: f, Node: id, Incarnation: "one"}
	}
	return f
}

func (f *fleet) node(i int) *Coordinator {
	return f.coordinators[snipeford.NodeID(fmt.Sprint("node-", i))]
}

var testID = ID{Organisation: "care", Key: "k"}

func wantRefusal(t *testing.T, err error, cause snipeford.Cause, outcome snipeford.Outcome) {
	t.Helper()
	var r *snipeford.Refusal
	if !errors.As(err, &r) || r.Cause != cause || r.Outcome != outcome {
		t.Errorf("got %v, want %s and %s", err, cause, outcome)
	}
}

func mustBegin(t *testing.T, c *Coordinator, attempt snipeford.AttemptID) *Claim {
	t.Helper()
	claim, response, err := c.Begin(t.Context(), testID, "hash", attempt)
	if err != nil || response != nil {
		t.Fatalf("got response %v and error %v, want a claim", response, err)
	}
	return claim
}

func TestBegin(t *testing.T) {
	t.Run("a finished order gets its stored response at any node", func(t *testing.T) {
		f := newFleet(newMemoryTable(1, 0), 2)
		claim := mustBegin(t, f.node(0), "a")
		if err := f.node(0).Finish(t.Context(), claim, stream.Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte("two crates")}); err != nil {
			t.Fatal(err)
		}
		_, response, err := f.node(1).Begin(t.Context(), testID, "hash", "b")
		if err != nil || response == nil || string(response.Body) != "two crates" {
			t.Errorf("got %v and %v, want the stored response", response, err)
		}
	})
	t.Run("another body with the same key is refused", func(t *testing.T) {
		f := newFleet(newMemoryTable(1, 0), 2)
		mustBegin(t, f.node(0), "a")
		_, _, err := f.node(1).Begin(t.Context(), testID, "other", "b")
		wantRefusal(t, err, snipeford.CauseKeyReused, snipeford.NotRun)
	})
	t.Run("with the table down the order is refused as not run", func(t *testing.T) {
		table := newMemoryTable(1, 0)
		table.down = true
		_, _, err := newFleet(table, 1).node(0).Begin(t.Context(), testID, "hash", "a")
		wantRefusal(t, err, snipeford.CauseTableDown, snipeford.NotRun)
	})
	t.Run("the outcome is unknown if the row exists and can't be read", func(t *testing.T) {
		table := newMemoryTable(1, 0)
		f := newFleet(table, 2)
		mustBegin(t, f.node(0), "a")
		table.readsFail = true
		_, _, err := f.node(1).Begin(t.Context(), testID, "hash", "b")
		wantRefusal(t, err, snipeford.CauseTableDown, snipeford.Unknown)
	})
	t.Run("the key of a given-up attempt can be taken over", func(t *testing.T) {
		f := newFleet(newMemoryTable(1, 0), 2)
		claim := mustBegin(t, f.node(0), "a")
		f.node(0).giveUpAttempt(claim.Attempt())
		mustBegin(t, f.node(1), "b")
	})
	t.Run("an attempt that was given up is never dispatched", func(t *testing.T) {
		f := newFleet(newMemoryTable(1, 0), 1)
		claim := mustBegin(t, f.node(0), "a")
		f.node(0).Release(t.Context(), claim)
		if err := f.node(0).StartDispatch(claim); err == nil {
			t.Error("got no error, want one")
		}
	})
	t.Run("the key of an attempt on a node that is gone is not taken over", func(t *testing.T) {
		f := newFleet(newMemoryTable(1, 0), 2)
		mustBegin(t, f.node(0), "a")
		delete(f.coordinators, "node-0")
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, _, err := f.node(1).Begin(ctx, testID, "hash", "b")
		wantRefusal(t, err, snipeford.CauseOrderInProgress, snipeford.Unknown)
	})
}

// operation is the result of one runOrder call.
type operation struct{ dispatched, stored bool }

// keyModel is the sequential model of one key: not started, or done by the one
// attempt that was dispatched.
var keyModel = porcupine.Model{
	Init: func() any { return "NotStarted" },
	Step: func(state, _, output any) (bool, any) {
		out := output.(operation)
		switch {
		case out.dispatched:
			return state == "NotStarted", "Done"
		case out.stored:
			return state == "Done", state
		}
		return true, state
	},
}

// TestOrderRunsAtMostOnce runs one order from many callers at several nodes while
// the table loses replies. The history must fit keyModel: at most one attempt is
// dispatched, and a stored response is only returned after it.
func TestOrderRunsAtMostOnce(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(newMemoryTable(seed, 0.4), 3)
			var mu sync.Mutex
			var history []porcupine.Operation
			ran := 0
			clock := &timer.Clock{}
			var group sync.WaitGroup
			for caller := range 9 {
				group.Go(func() {
					call := int64(clock.Now())
					out := runOrder(t.Context(), f.node(caller%3), snipeford.AttemptID(fmt.Sprint(caller)))
					mu.Lock()
					defer mu.Unlock()
					history = append(history, porcupine.Operation{ClientId: caller, Call: call, Output: out, Return: int64(clock.Now())})
					if out.dispatched {
						ran++
					}
				})
			}
			group.Wait()
			if !porcupine.CheckOperations(keyModel, history) {
				t.Errorf("got a history that is not linearizable: %+v", history)
			}
			if ran > 1 {
				t.Errorf("got %d dispatches, want at most 1", ran)
			}
		})
	}
}

// runOrder runs one order through a coordinator.
func runOrder(ctx context.Context, c *Coordinator, attempt snipeford.AttemptID) operation {
	claim, response, err := c.Begin(ctx, testID, "hash", attempt)
	if err != nil || response != nil {
		return operation{stored: response != nil}
	}
	if c.StartDispatch(claim) != nil {
		return operation{}
	}
	// The order has run even if its outcome can't be written.
	_ = c.Finish(ctx, claim, stream.Response{Status: http.StatusOK, Header: http.Header{}})
	return operation{dispatched: true}
}
