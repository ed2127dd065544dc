// Package retry limits retries to a ratio of the offered requests and spaces them
// by a jittered exponential backoff.
package retry

import (
	"math/rand/v2"
	"time"

	"snipeford"
)

// Ratio is the number of retries allowed for each offered request.
const Ratio = 0.1

const (
	// maxBurst is the number of retries that a full budget allows at once. It
	// covers the running requests of one lost engine.
	maxBurst = 30
	// maxAttempts is the maximum number of dispatches of one request.
	maxAttempts = 4
	// baseDelay is the initial upper bound of the backoff. It doubles with each
	// attempt, up to maxDelay.
	baseDelay = 20 * time.Millisecond
	maxDelay  = 2 * time.Second
)

// Budget is a token bucket for retries that each offered request refills by
// Ratio. The zero value is ready to use and allows a full burst.
type Budget struct {
	spent   float64
	Offered int
	Retried int
}

// RecordRequest records a request from a caller.
func (b *Budget) RecordRequest() {
	b.Offered++
	b.spent = max(0, b.spent-Ratio)
}

// Allowed reports whether a request that was dispatched attempts times may be
// dispatched again.
func Allowed(attempts int) bool { return attempts < maxAttempts }

// CanTake reports whether Take would allow a retry now.
func (b *Budget) CanTake() bool { return b.spent+1 <= maxBurst }

// Take takes one retry from the budget and reports whether the budget had one.
// After a refusal, the retry may be tried again later.
func (b *Budget) Take() bool {
	if !b.CanTake() {
		return false
	}
	b.spent++
	b.Retried++
	return true
}

// Delay returns the jittered delay before the next attempt. The same attempts and
// seed give the same delay.
func Delay(attempts int, seed uint64) time.Duration {
	upper := min(baseDelay<<min(attempts, 10), maxDelay)
	r := rand.New(rand.NewPCG(seed, uint64(attempts)))
	return time.Duration(r.Int64N(int64(upper))) + time.Millisecond
}

// NextAttemptTime returns the earliest instant of the next attempt.
func NextAttemptTime(now snipeford.Instant, attempts int, seed uint64) snipeford.Instant {
	return now.Add(Delay(attempts, seed))
}
