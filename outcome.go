package snipeford

import (
	"fmt"
	"time"
)

// Outcome states whether an upstream ran a request that got no answer.
type Outcome string

const (
	// NotRun is said only where no upstream can have received any of the request.
	NotRun Outcome = "NotRun"
	// Ran is said where an upstream answered.
	Ran Outcome = "Ran"
	// Unknown is said where an upstream may have received the request.
	Unknown Outcome = "Unknown"
)

// OutcomeHeader carries the Outcome of each error answer.
const OutcomeHeader = "Snipeford-Outcome"

// Cause is the machine-readable reason of a refusal or failure.
type Cause string

// Causes of refusals and failures, as callers see them in the error body.
const (
	CauseBadRequest       Cause = "BadRequest"
	CauseUnknownKey       Cause = "UnknownKey"
	CauseUnknownModel     Cause = "UnknownModel"
	CauseUnknownService   Cause = "UnknownService"
	CauseTooLarge         Cause = "TooLarge"
	CausePromptTooLong    Cause = "PromptTooLong"
	CauseRateLimit        Cause = "RateLimit"
	CauseConcurrencyLimit Cause = "ConcurrencyLimit"
	CauseOverload         Cause = "Overload"
	CauseDeadline         Cause = "Deadline"
	CauseNoUpstream       Cause = "NoUpstream"
	CauseUpstreamFailed   Cause = "UpstreamFailed"
	CauseNodeLeaving      Cause = "NodeLeaving"
	CauseNotReady         Cause = "NotReady"
	CauseTableDown        Cause = "TableDown"
	CauseKeyReused        Cause = "KeyReused"
	CauseKeyMissing       Cause = "KeyMissing"
	CauseOrderInProgress  Cause = "OrderInProgress"
	CauseCancelled        Cause = "Cancelled"
	CauseNotHome          Cause = "NotHome"
)

// Refusal is the error that a caller gets in place of an answer.
type Refusal struct {
	Status     int
	Cause      Cause
	Outcome    Outcome
	Field      string
	Message    string
	RetryAfter time.Duration
}

// Error returns the cause, the outcome and the message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Cause, r.Outcome, r.Message)
}
