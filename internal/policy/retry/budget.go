// Package retry bounds retries to a share of the offered load and spreads them
// in time.
package retry

import (
	"math/rand/v2"
	"time"

	"snipeford"
)

// Ratio is the part of the offered requests that may be retries.
const Ratio = 0.1

const (
	// burst is how many retries may come at once after a quiet time: the running
	// requests of one lost engine.
	burst = 30
	// attempts is the highest number of dispatches of one request.
	attempts = 4
	// firstDelay and longestDelay bound the exponential delay of a retry.
	firstDelay   = 20 * time.Millisecond
	longestDelay = 2 * time.Second
)

// Budget is a bucket that each offered request fills by Share. Its zero value
// works and starts with a full burst.
type Budget struct {
	spent   float64
	Offered int
	Retried int
}

// RecordRequest counts one request that callers sent.
func (b *Budget) RecordRequest() {
	b.Offered++
	b.spent = max(0, b.spent-Ratio)
}

// Allowed reports whether a request may be dispatched once more at all.
func Allowed(attemptsMade int) bool { return attemptsMade < attempts }

// CanTake reports whether Take would allow a retry now.
func (b *Budget) CanTake() bool { return b.spent+1 <= burst }

// Take allows one retry now, or not. A refused one may come later.
func (b *Budget) Take() bool {
	if !b.CanTake() {
		return false
	}
	b.spent++
	b.Retried++
	return true
}

// Delay returns the jittered wait before an attempt, from a seed of the event.
func Delay(attemptsMade int, seed uint64) time.Duration {
	top := min(firstDelay<<min(attemptsMade, 10), longestDelay)
	r := rand.New(rand.NewPCG(seed, uint64(attemptsMade)))
	return time.Duration(r.Int64N(int64(top))) + time.Millisecond
}

// NextAttemptTime returns the instant of the next attempt.
func NextAttemptTime(now snipeford.Instant, attemptsMade int, seed uint64) snipeford.Instant {
	return now.Add(Delay(attemptsMade, seed))
}
