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

// rows is a table in memory whose answers can be lost.
type rows struct {
	mu       sync.Mutex
	rows     map[string]snipeford.Row
	sequence uint64
	random   *rand.Rand
	// loses is the part of the writes whose answers are lost, half of them
	// after they took effect; down fails everything, unread the reads.
	loses  float64
	down   bool
	unread bool
}

func newRows(seed uint64, loses float64) *rows {
	return &rows{rows: map[string]snipeford.Row{}, random: rand.New(rand.NewPCG(seed, 1)), loses: loses}
}

func (r *rows) Get(_ context.Context, key string) (snipeford.Row, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down || r.unread {
		return snipeford.Row{}, snipeford.ErrUnavailable
	}
	return r.rows[key], nil
}

func (r *rows) Scan(context.Context, string) ([]snipeford.Row, error) { return nil, nil }

func (r *rows) Write(_ context.Context, writes ...snipeford.RowWrite) (uint64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return 0, snipeford.ErrUnavailable
	}
	w := writes[0]
	lost := r.random.Float64() < r.loses
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

// fleet is several keepers over one table.
type fleet struct {
	keepers map[snipeford.NodeID]*Coordinator
}

func (f *fleet) GivenUp(_ context.Context, n snipeford.NodeID, inc snipeford.Incarnation, a snipeford.AttemptID) bool {
	k, ok := f.keepers[n]
	return ok && k.Incarnation == inc && k.GivenUp(a)
}

func newFleet(table snipeford.Table, nodes int) *fleet {
	f := &fleet{keepers: map[snipeford.NodeID]*Coordinator{}}
	for i := range nodes {
		id := snipeford.NodeID(fmt.Sprint("node-", i))
		f.keepers[id] = &Coordinator{Table: table, Timer: &timer.Clock{}, Peers: f, Node: id, Incarnation: "one"}
	}
	return f
}

func (f *fleet) node(i int) *Coordinator { return f.keepers[snipeford.NodeID(fmt.Sprint("node-", i))] }

var name = ID{Organisation: "care", Key: "k"}

func wantRefusal(t *testing.T, err error, cause snipeford.Cause, outcome snipeford.Outcome) {
	t.Helper()
	var r *snipeford.Refusal
	if !errors.As(err, &r) || r.Cause != cause || r.Outcome != outcome {
		t.Errorf("got %v, want %s and %s", err, cause, outcome)
	}
}

func begin(t *testing.T, k *Coordinator, attempt snipeford.AttemptID) *Claim {
	t.Helper()
	ticket, answer, err := k.Begin(t.Context(), name, "hash", attempt)
	if err != nil || answer != nil {
		t.Fatalf("got answer %v and error %v, want a ticket", answer, err)
	}
	return ticket
}

func TestBegin(t *testing.T) {
	t.Run("a done order answers from its row at any node", func(t *testing.T) {
		f := newFleet(newRows(1, 0), 2)
		ticket := begin(t, f.node(0), "a")
		if err := f.node(0).Finish(t.Context(), ticket, stream.Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte("two crates")}); err != nil {
			t.Fatal(err)
		}
		_, answer, err := f.node(1).Begin(t.Context(), name, "hash", "b")
		if err != nil || answer == nil || string(answer.Body) != "two crates" {
			t.Errorf("got %v and %v, want the stored answer", answer, err)
		}
	})
	t.Run("another body under the key is refused", func(t *testing.T) {
		f := newFleet(newRows(1, 0), 2)
		begin(t, f.node(0), "a")
		_, _, err := f.node(1).Begin(t.Context(), name, "other", "b")
		wantRefusal(t, err, snipeford.CauseKeyReused, snipeford.NotRun)
	})
	t.Run("with the table down the order is refused as not run", func(t *testing.T) {
		table := newRows(1, 0)
		table.down = true
		_, _, err := newFleet(table, 1).node(0).Begin(t.Context(), name, "hash", "a")
		wantRefusal(t, err, snipeford.CauseTableDown, snipeford.NotRun)
	})
	t.Run("a row that stands there and can't be read is not said not to have run", func(t *testing.T) {
		table := newRows(1, 0)
		f := newFleet(table, 2)
		begin(t, f.node(0), "a")
		table.unread = true
		_, _, err := f.node(1).Begin(t.Context(), name, "hash", "b")
		wantRefusal(t, err, snipeford.CauseTableDown, snipeford.Unknown)
	})
	t.Run("an abandoned order may be taken over", func(t *testing.T) {
		f := newFleet(newRows(1, 0), 2)
		ticket := begin(t, f.node(0), "a")
		f.node(0).giveUp(ticket.Attempt())
		begin(t, f.node(1), "b")
	})
	t.Run("an attempt that was given up never departs", func(t *testing.T) {
		f := newFleet(newRows(1, 0), 1)
		ticket := begin(t, f.node(0), "a")
		f.node(0).Release(t.Context(), ticket)
		if err := f.node(0).StartDispatch(ticket); err == nil {
			t.Error("got no error, want one")
		}
	})
	t.Run("the attempt of a node that is gone is not taken over", func(t *testing.T) {
		f := newFleet(newRows(1, 0), 2)
		begin(t, f.node(0), "a")
		delete(f.keepers, "node-0")
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, _, err := f.node(1).Begin(ctx, name, "hash", "b")
		wantRefusal(t, err, snipeford.CauseOrderInProgress, snipeford.Unknown)
	})
}

// operation is one Begin of a key, with what it returned.
type operation struct{ departed, stored bool }

// keyModel is the sequential model of one key: not started, started by one
// attempt that departed, or done.
var keyModel = porcupine.Model{
	Init: func() any { return "NotStarted" },
	Step: func(state, _, output any) (bool, any) {
		out := output.(operation)
		switch {
		case out.departed:
			return state == "NotStarted", "Done"
		case out.stored:
			return state == "Done", state
		}
		return true, state
	},
}

// TestHistory lets many callers place one order at several nodes while the
// table loses answers, and checks the history against the model: one attempt
// departs, and a stored answer only comes after it.
func TestHistory(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(newRows(seed, 0.4), 3)
			var mu sync.Mutex
			var history []porcupine.Operation
			ran := 0
			clock := &timer.Clock{}
			var group sync.WaitGroup
			for caller := range 9 {
				group.Go(func() {
					call := int64(clock.Now())
					out := place(t.Context(), f.node(caller%3), snipeford.AttemptID(fmt.Sprint(caller)))
					mu.Lock()
					defer mu.Unlock()
					history = append(history, porcupine.Operation{ClientId: caller, Call: call, Output: out, Return: int64(clock.Now())})
					if out.departed {
						ran++
					}
				})
			}
			group.Wait()
			if !porcupine.CheckOperations(keyModel, history) {
				t.Errorf("got a history that no order of the operations explains: %+v", history)
			}
			if ran > 1 {
				t.Errorf("got %d departures, want at most 1", ran)
			}
		})
	}
}

// place runs one order through a keeper.
func place(ctx context.Context, k *Coordinator, attempt snipeford.AttemptID) operation {
	ticket, answer, err := k.Begin(ctx, name, "hash", attempt)
	if err != nil || answer != nil {
		return operation{stored: answer != nil}
	}
	if k.StartDispatch(ticket) != nil {
		return operation{}
	}
	// The outcome's row may fail: the order has run all the same.
	_ = k.Finish(ctx, ticket, stream.Response{Status: http.StatusOK, Header: http.Header{}})
	return operation{departed: true}
}
