package snipeford

import (
	"fmt"
	"time"
)

// Outcome states whether an upstream ran a request.
type Outcome string

const (
	// NotRun is used only if no upstream can have run the request: each one that it
	// was sent to received no part of it or reported that it did not run it.
	NotRun Outcome = "NotRun"
	// Ran is used if an upstream sent the complete response.
	Ran Outcome = "Ran"
	// Unknown is used if an upstream may have run the request.
	Unknown Outcome = "Unknown"
)

// OutcomeHeader is the response header that carries the Outcome.
const OutcomeHeader = "Snipeford-Outcome"

// Cause is the machine-readable reason for a refusal or failure.
type Cause string

// Causes of refusals and failures, as sent in the body of error responses. An
// order is a request with an idempotency key, which must run at most once.
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
	// CauseQuarantined means that a part of the prompt has crashed engines, and
	// CauseSuspectPrompt that it may have.
	CauseQuarantined   Cause = "Quarantined"
	CauseSuspectPrompt Cause = "SuspectPrompt"
)

// Refusal is the error that a caller gets instead of a response.
type Refusal struct {
	Status     int
	Cause      Cause
	Outcome    Outcome
	Field      string
	Message    string
	RetryAfter time.Duration
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Cause, r.Outcome, r.Message)
}
