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

// Timeouts and limits of a Coordinator.
const (
	// resolveTimeout limits how long claimKey retries to learn whether a write
	// whose reply was lost took effect.
	resolveTimeout = 2 * time.Second
	// inProgressTimeout limits how long a duplicate request waits for the first
	// one to finish.
	inProgressTimeout = 5 * time.Second
	// pollInterval is the time between two reads of a row in progress and
	// between two writes of an outcome; retryInterval is the time between two
	// attempts to claim a key while the table does not respond.
	pollInterval  = 500 * time.Millisecond
	retryInterval = 200 * time.Millisecond
	// finishTimeout limits how long the write of an order's outcome is retried.
	finishTimeout = 60 * time.Second
	// retryAfter is the Retry-After of all refusals but CauseKeyReused.
	retryAfter = 2 * time.Second
	// maxGivenUp limits how many given-up attempts are remembered.
	maxGivenUp = 100_000
)

// Peers asks the node that owns an attempt whether it gave the attempt up and
// will never dispatch it.
type Peers interface {
	GivenUp(ctx context.Context, n snipeford.NodeID, inc snipeford.Incarnation, a snipeford.AttemptID) bool
}

// Coordinator runs this node's orders at most once by claiming their
// idempotency keys in the table.
type Coordinator struct {
	Table       snipeford.Table
	Timer       *timer.Clock
	Peers       Peers
	Node        snipeford.NodeID
	Incarnation snipeford.Incarnation

	mu sync.Mutex
	// phases holds this node's attempts until writeOutcome returns. Given-up
	// attempts stay until maxGivenUp newer ones have followed.
	phases  map[snipeford.AttemptID]phase
	givenUp []snipeford.AttemptID
}

type phase int

const (
	phasePending phase = iota + 1
	phaseDispatched
	phaseGivenUp
)

// Claim is the right to dispatch an order once.
type Claim struct {
	id      ID
	record  Record
	version uint64
}

// Attempt returns the attempt id under which the order is dispatched.
func (c *Claim) Attempt() snipeford.AttemptID { return c.record.Attempt }

// Begin claims an order's key for a new attempt. It returns a claim, the stored
// response of an earlier dispatch, or a *snipeford.Refusal as the error.
func (c *Coordinator) Begin(ctx context.Context, id ID, hash string, attempt snipeford.AttemptID) (*Claim, *stream.Response, error) {
	claim := &Claim{id: id, record: Record{
		State:       StateStarted,
		Attempt:     attempt,
		Node:        c.Node,
		Incarnation: c.Incarnation,
		RequestHash: hash,
	}}
	c.setPhase(attempt, phasePending)
	response, err := c.claimKey(ctx, claim)
	if err != nil || response != nil {
		c.giveUpAttempt(attempt)
		return nil, response, err
	}
	return claim, nil, nil
}

// claimKey inserts the order's row or, if there is one, determines how the
// earlier request with the key ended. If a row exists but cannot be read, the
// outcome is Unknown, because the earlier request may have run.
func (c *Coordinator) claimKey(ctx context.Context, claim *Claim) (*stream.Response, error) {
	expectedVersion := uint64(0)
	outcome := snipeford.NotRun
	resolveDeadline := c.Timer.Now().Add(resolveTimeout)
	waitDeadline := c.Timer.Now().Add(inProgressTimeout)
	for {
		version, err := c.write(ctx, claim.id, claim.record, expectedVersion)
		if err == nil {
			claim.version = version
			return nil, nil
		}
		if errors.Is(err, snipeford.ErrConflict) {
			outcome = snipeford.Unknown
		}
		row, readErr := c.read(ctx, claim.id, err)
		if readErr == nil && row.Version == 0 {
			outcome = snipeford.NotRun
		}
		if readErr != nil || row.Version == 0 {
			if c.Timer.Now() >= resolveDeadline || !c.Timer.Sleep(ctx, retryInterval) {
				return nil, refuse(http.StatusServiceUnavailable, snipeford.CauseTableDown, outcome, "table did not answer; this request was not sent")
			}
			expectedVersion = 0
			continue
		}
		existing, err := decodeRecord(row)
		if err != nil {
			return nil, refuse(http.StatusInternalServerError, snipeford.CauseTableDown, snipeford.Unknown, "order row can't be read")
		}
		if existing.Attempt == claim.record.Attempt {
			claim.version = row.Version
			return nil, nil
		}
		response, takeOver, err := c.resolveExisting(ctx, existing, claim.record.RequestHash)
		if err != nil || response != nil {
			return response, err
		}
		if takeOver {
			expectedVersion = row.Version
			continue
		}
		if c.Timer.Now() >= waitDeadline || !c.Timer.Sleep(ctx, pollInterval) {
			return nil, refuse(http.StatusConflict, snipeford.CauseOrderInProgress, snipeford.Unknown, "an earlier request with this key has not ended")
		}
	}
}

// read returns the row after a write that conflicted or whose reply was lost.
// It returns any other write error unchanged.
func (c *Coordinator) read(ctx context.Context, id ID, cause error) (snipeford.Row, error) {
	if !errors.Is(cause, snipeford.ErrConflict) && !errors.Is(cause, snipeford.ErrUnavailable) {
		return snipeford.Row{}, cause
	}
	row, err := c.Table.Get(ctx, id.rowKey())
	if err != nil {
		return row, fmt.Errorf("read order row: %w", err)
	}
	return row, nil
}

// resolveExisting handles an order whose key is claimed by another attempt. It
// returns the stored response, a refusal, or true if the key may be taken over.
// If it returns none of them, the order is in progress and the caller waits.
func (c *Coordinator) resolveExisting(ctx context.Context, existing Record, hash string) (*stream.Response, bool, error) {
	if existing.RequestHash != hash {
		return nil, false, refuse(http.StatusUnprocessableEntity, snipeford.CauseKeyReused, snipeford.NotRun, "the idempotency key belongs to another request")
	}
	switch existing.State {
	case StateDone:
		response := existing.storedResponse()
		return &response, false, nil
	case StateUnknown:
		return nil, false, refuse(http.StatusConflict, snipeford.CauseOrderInProgress, snipeford.Unknown, "the order was sent and its outcome is not known")
	}
	if existing.Node == c.Node && existing.Incarnation == c.Incarnation {
		return nil, c.GivenUp(existing.Attempt), nil
	}
	return nil, c.Peers.GivenUp(ctx, existing.Node, existing.Incarnation, existing.Attempt), nil
}

func refuse(status int, cause snipeford.Cause, outcome snipeford.Outcome, message string) error {
	r := &snipeford.Refusal{Status: status, Cause: cause, Outcome: outcome, Message: message}
	if cause != snipeford.CauseKeyReused {
		r.RetryAfter = retryAfter
	}
	return r
}

func (c *Coordinator) write(ctx context.Context, id ID, r Record, expectedVersion uint64) (uint64, error) {
	raw, err := r.encode()
	if err != nil {
		return 0, err
	}
	version, err := c.Table.Write(ctx, snipeford.RowWrite{Key: id.rowKey(), Value: raw, IfVersion: expectedVersion, TTL: rowTTL})
	if err != nil {
		return 0, fmt.Errorf("write order row: %w", err)
	}
	return version, nil
}

// StartDispatch marks the attempt as dispatched. It returns an error if the
// attempt was given up. Once it has succeeded, the attempt may have run.
func (c *Coordinator) StartDispatch(claim *Claim) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phases[claim.Attempt()] != phasePending {
		return trace.AccessDenied("attempt was given up")
	}
	c.phases[claim.Attempt()] = phaseDispatched
	return nil
}

// GivenUp reports whether this node owns the attempt and will never dispatch it.
func (c *Coordinator) GivenUp(a snipeford.AttemptID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phases[a] == phaseGivenUp
}

func (c *Coordinator) setPhase(a snipeford.AttemptID, p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phases == nil {
		c.phases = map[snipeford.AttemptID]phase{}
	}
	c.phases[a] = p
}

func (c *Coordinator) giveUpAttempt(a snipeford.AttemptID) {
	c.setPhase(a, phaseGivenUp)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.givenUp = append(c.givenUp, a)
	if len(c.givenUp) > maxGivenUp {
		delete(c.phases, c.givenUp[0])
		c.givenUp = c.givenUp[1:]
	}
}

// Release deletes the row of an order that was not sent, so that its key can be
// claimed again. Callers must be certain that no byte reached the upstream.
func (c *Coordinator) Release(ctx context.Context, claim *Claim) {
	c.giveUpAttempt(claim.Attempt())
	// If the write fails, the next request with the key asks this node through
	// GivenUp and takes the key over.
	_, _ = c.Table.Write(ctx, snipeford.RowWrite{Key: claim.id.rowKey(), IfVersion: claim.version})
}

// Finish records the upstream's response. It retries failed writes for up to
// finishTimeout, because the order has run even if the table is unavailable.
func (c *Coordinator) Finish(ctx context.Context, claim *Claim, response stream.Response) error {
	return c.writeOutcome(ctx, claim, claim.record.withResponse(response))
}

// FinishUnknown records that an order was sent and got no response.
func (c *Coordinator) FinishUnknown(ctx context.Context, claim *Claim) error {
	r := claim.record
	r.State = StateUnknown
	return c.writeOutcome(ctx, claim, r)
}

func (c *Coordinator) writeOutcome(ctx context.Context, claim *Claim, r Record) error {
	defer c.forget(claim.Attempt())
	deadline := c.Timer.Now().Add(finishTimeout)
	for {
		_, err := c.write(ctx, claim.id, r, claim.version)
		if err == nil || errors.Is(err, snipeford.ErrConflict) {
			// A conflict means that an earlier write of this loop took effect
			// although its reply was lost: only rows of given-up attempts are
			// ever taken over.
			return nil
		}
		if c.Timer.Now() >= deadline || !c.Timer.Sleep(ctx, pollInterval) {
			return fmt.Errorf("record order outcome: %w", err)
		}
	}
}

func (c *Coordinator) forget(a snipeford.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.phases, a)
}
