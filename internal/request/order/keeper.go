package order

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"snipeford"
	"snipeford/internal/control/timer"
	"snipeford/internal/request/stream"
)

// Times of an order's dealings with the table.
const (
	// resolveFor bounds how long a lost answer of the table is resolved.
	resolveFor = 2 * time.Second
	// waitFor bounds how long a repeated request waits for the first one.
	waitFor = 5 * time.Second
	// pollEvery is the time between two reads of a row, retryEvery between
	// two tries at the table.
	pollEvery  = 500 * time.Millisecond
	retryEvery = 200 * time.Millisecond
	// finishFor bounds how long an outcome is tried to be written.
	finishFor = 60 * time.Second
	// comeBack is when a caller may ask again for an order in progress.
	comeBack = 2 * time.Second
	// keptAttempts bounds the memory of given up attempts.
	keptAttempts = 100_000
)

// Peers asks the node that holds an attempt whether it gave it up.
type Peers interface {
	GivenUp(ctx context.Context, n snipeford.NodeID, inc snipeford.Incarnation, a snipeford.AttemptID) bool
}

// Coordinator keeps this node's orders.
type Coordinator struct {
	Table       snipeford.Table
	Timer       *timer.Clock
	Peers       Peers
	Node        snipeford.NodeID
	Incarnation snipeford.Incarnation

	mu sync.Mutex
	// open holds this node's attempts until they are given up or have ended.
	open    map[snipeford.AttemptID]phase
	givenUp []snipeford.AttemptID
}

type phase int

const (
	phaseHeld phase = iota + 1
	phaseDeparted
	phaseGivenUp
)

// Claim allows one dispatch of an order.
type Claim struct {
	name    ID
	record  Record
	version uint64
}

// Attempt returns the id under which the order is dispatched.
func (t *Claim) Attempt() snipeford.AttemptID { return t.record.Attempt }

// Begin asks for the right to dispatch an order under a fresh attempt id. It
// returns a ticket, or the stored answer of an earlier dispatch, or a Refusal
// as error.
func (k *Coordinator) Begin(ctx context.Context, name ID, hash string, attempt snipeford.AttemptID) (*Claim, *stream.Response, error) {
	t := &Claim{name: name, record: Record{
		State:       Started,
		Attempt:     attempt,
		Node:        k.Node,
		Incarnation: k.Incarnation,
		BodyHash:    hash,
	}}
	k.set(attempt, phaseHeld)
	answer, err := k.begin(ctx, t)
	if err != nil || answer != nil {
		k.giveUp(attempt)
		return nil, answer, err
	}
	return t, nil, nil
}

// begin inserts the order's row, or finds out what an earlier request with the
// key came to. A row that stands there but can't be read may have run.
func (k *Coordinator) begin(ctx context.Context, t *Claim) (*stream.Response, error) {
	replace := uint64(0)
	outcome := snipeford.NotRun
	resolveUntil := k.Timer.Now().Add(resolveFor)
	waitUntil := k.Timer.Now().Add(waitFor)
	for {
		version, err := k.write(ctx, t.name, t.record, replace)
		if err == nil {
			t.version = version
			return nil, nil
		}
		if errors.Is(err, snipeford.ErrConflict) {
			outcome = snipeford.Unknown
		}
		row, readErr := k.read(ctx, t.name, err)
		if readErr == nil && row.Version == 0 {
			outcome = snipeford.NotRun
		}
		if readErr != nil || row.Version == 0 {
			if k.Timer.Now() >= resolveUntil || !k.Timer.Sleep(ctx, retryEvery) {
				return nil, refuse(http.StatusServiceUnavailable, snipeford.CauseTableDown, outcome, "table did not answer; this request was not sent")
			}
			replace = 0
			continue
		}
		found, err := decode(row)
		if err != nil {
			return nil, refuse(http.StatusInternalServerError, snipeford.CauseTableDown, snipeford.Unknown, "order row can't be read")
		}
		if found.Attempt == t.record.Attempt {
			t.version = row.Version
			return nil, nil
		}
		answer, takeOver, err := k.examine(ctx, found, t.record.BodyHash)
		if err != nil || answer != nil {
			return answer, err
		}
		if takeOver {
			replace = row.Version
			continue
		}
		if k.Timer.Now() >= waitUntil || !k.Timer.Sleep(ctx, pollEvery) {
			return nil, refuse(http.StatusConflict, snipeford.CauseOrderInProgress, snipeford.Unknown, "an earlier request with this key has not ended")
		}
	}
}

// read gets the row after a write that conflicted or whose answer was lost.
func (k *Coordinator) read(ctx context.Context, name ID, cause error) (snipeford.Row, error) {
	if !errors.Is(cause, snipeford.ErrConflict) && !errors.Is(cause, snipeford.ErrUnavailable) {
		return snipeford.Row{}, cause
	}
	row, err := k.Table.Get(ctx, name.row())
	if err != nil {
		return row, fmt.Errorf("read order row: %w", err)
	}
	return row, nil
}

// examine decides about an order whose key stands in the table under another
// attempt: its stored answer, a refusal, a take-over, or none, which means wait.
func (k *Coordinator) examine(ctx context.Context, found Record, hash string) (*stream.Response, bool, error) {
	if found.BodyHash != hash {
		return nil, false, refuse(http.StatusUnprocessableEntity, snipeford.CauseKeyReused, snipeford.NotRun, "the idempotency key belongs to another request")
	}
	switch found.State {
	case Done:
		answer := found.response()
		return &answer, false, nil
	case Unknown:
		return nil, false, refuse(http.StatusConflict, snipeford.CauseOrderInProgress, snipeford.Unknown, "the order was sent and its outcome is not known")
	}
	if found.Node == k.Node && found.Incarnation == k.Incarnation {
		return nil, k.GivenUp(found.Attempt), nil
	}
	return nil, k.Peers.GivenUp(ctx, found.Node, found.Incarnation, found.Attempt), nil
}

func refuse(status int, cause snipeford.Cause, outcome snipeford.Outcome, message string) error {
	r := &snipeford.Refusal{Status: status, Cause: cause, Outcome: outcome, Message: message}
	if cause != snipeford.CauseKeyReused {
		r.RetryAfter = comeBack
	}
	return r
}

func (k *Coordinator) write(ctx context.Context, name ID, r Record, replace uint64) (uint64, error) {
	raw, err := r.encode()
	if err != nil {
		return 0, err
	}
	version, err := k.Table.Write(ctx, snipeford.RowWrite{Key: name.row(), Value: raw, IfVersion: replace, TTL: keepFor})
	if err != nil {
		return 0, fmt.Errorf("write order row: %w", err)
	}
	return version, nil
}

// StartDispatch allows the dispatch, unless the attempt was given up. After it, the
// attempt may have run.
func (k *Coordinator) StartDispatch(t *Claim) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.open[t.Attempt()] != phaseHeld {
		return trace.AccessDenied("attempt was given up")
	}
	k.open[t.Attempt()] = phaseDeparted
	return nil
}

// GivenUp reports whether this node holds the attempt and will never dispatch it.
func (k *Coordinator) GivenUp(a snipeford.AttemptID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.open[a] == phaseGivenUp
}

func (k *Coordinator) set(a snipeford.AttemptID, p phase) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.open == nil {
		k.open = map[snipeford.AttemptID]phase{}
	}
	k.open[a] = p
}

func (k *Coordinator) giveUp(a snipeford.AttemptID) {
	k.set(a, phaseGivenUp)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.givenUp = append(k.givenUp, a)
	if len(k.givenUp) > keptAttempts {
		delete(k.open, k.givenUp[0])
		k.givenUp = k.givenUp[1:]
	}
}

// Release ends an order that certainly was not sent, so that its key is free
// again. Callers must know that no byte of it reached the application.
func (k *Coordinator) Release(ctx context.Context, t *Claim) {
	k.giveUp(t.Attempt())
	// Where the write fails, the next request with the key asks this node.
	_, _ = k.Table.Write(ctx, snipeford.RowWrite{Key: t.name.row(), IfVersion: t.version})
}

// Finish records the application's answer. It tries for a while, as the order
// has run whatever the table says.
func (k *Coordinator) Finish(ctx context.Context, t *Claim, answer stream.Response) error {
	return k.conclude(ctx, t, t.record.done(answer))
}

// FinishUnknown records that an order was sent and got no answer.
func (k *Coordinator) FinishUnknown(ctx context.Context, t *Claim) error {
	r := t.record
	r.State = Unknown
	return k.conclude(ctx, t, r)
}

func (k *Coordinator) conclude(ctx context.Context, t *Claim, r Record) error {
	defer k.forget(t.Attempt())
	until := k.Timer.Now().Add(finishFor)
	for {
		_, err := k.write(ctx, t.name, r, t.version)
		if err == nil || errors.Is(err, snipeford.ErrConflict) {
			// A conflict is an earlier try of this loop that took effect: only
			// a given up attempt's row is ever taken over.
			return nil
		}
		if k.Timer.Now() >= until || !k.Timer.Sleep(ctx, pollEvery) {
			return fmt.Errorf("record order outcome: %w", err)
		}
	}
}

func (k *Coordinator) forget(a snipeford.AttemptID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.open, a)
}
