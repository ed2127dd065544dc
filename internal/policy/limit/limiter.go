// Package limit enforces each organisation's rate and concurrency limits. The
// limits are fleet-wide; each node enforces the share of them granted to it.
package limit

import (
	"time"

	"golang.org/x/time/rate"

	"snipeford"
)

// epoch is the time that stands for instant 0 in calls of the rate library, which
// takes wall-clock times. It is fixed so that the results depend only on the given
// instants.
var epoch = time.Unix(0, 0)

func asTime(now snipeford.Instant) time.Time { return epoch.Add(time.Duration(now)) }

// Token bucket sizes on one node.
const (
	// BurstSeconds is the burst, in seconds of the organisation's rate.
	BurstSeconds = 2
	// MinRequestBurst is the minimum burst in requests.
	MinRequestBurst = 4
)

// Rule holds the fleet-wide limits of one organisation. Zero means no limit.
type Rule struct {
	TokensPerSecond   snipeford.TokensPerSecond
	RequestsPerSecond float64
	MaxConcurrent     int
	MaxPrompt         snipeford.Tokens
}

// Limiter enforces one node's share of an organisation's limits.
type Limiter struct {
	rule     Rule
	share    float64
	tokens   *rate.Limiter
	requests *rate.Limiter
	running  int
	// Demand is the work requested since the last report, including refused
	// requests.
	Demand snipeford.Tokens
}

// NewLimiter returns a limiter for the given share of the rule, with full buckets.
func NewLimiter(rule Rule, share float64) *Limiter {
	l := &Limiter{rule: rule, share: share}
	l.tokens = rate.NewLimiter(l.tokenRate(), l.tokenBurst())
	l.requests = rate.NewLimiter(l.requestRate(), l.requestBurst())
	return l
}

func (l *Limiter) tokenRate() rate.Limit {
	return rate.Limit(float64(l.rule.TokensPerSecond) * l.share)
}

// tokenBurst is at least the longest allowed prompt, so that a node with a
// small share can still admit it.
func (l *Limiter) tokenBurst() int {
	burst := float64(l.rule.TokensPerSecond) * l.share * BurstSeconds
	return max(int(burst), int(l.rule.MaxPrompt))
}

func (l *Limiter) requestRate() rate.Limit { return rate.Limit(l.rule.RequestsPerSecond * l.share) }

func (l *Limiter) requestBurst() int {
	return max(MinRequestBurst, int(l.rule.RequestsPerSecond*l.share*BurstSeconds))
}

// Share returns the node's share of the organisation's limits, from 0 to 1.
func (l *Limiter) Share() float64 { return l.share }

// Running returns the number of the organisation's requests that this node has
// admitted and that have not ended.
func (l *Limiter) Running() int { return l.running }

// SetRule updates the rule and the node's share of it.
func (l *Limiter) SetRule(rule Rule, share float64, now snipeford.Instant) {
	if rule == l.rule && share == l.share {
		return
	}
	l.rule, l.share = rule, share
	l.tokens.SetLimitAt(asTime(now), l.tokenRate())
	l.tokens.SetBurstAt(asTime(now), l.tokenBurst())
	l.requests.SetLimitAt(asTime(now), l.requestRate())
	l.requests.SetBurstAt(asTime(now), l.requestBurst())
}

// Admit admits a request, or returns the cause of refusal and the delay after
// which the caller may retry. Call Done when an admitted request ends.
func (l *Limiter) Admit(now snipeford.Instant, work snipeford.Tokens) (snipeford.Cause, time.Duration) {
	l.Demand += work
	if l.rule.MaxConcurrent > 0 && l.running >= l.maxConcurrent() {
		return snipeford.CauseConcurrencyLimit, time.Second
	}
	request, requestWait := reserve(l.requests, l.rule.RequestsPerSecond > 0, now, 1)
	tokens, tokensWait := reserve(l.tokens, l.rule.TokensPerSecond > 0, now, int(work))
	if wait := max(requestWait, tokensWait); wait > 0 {
		request.CancelAt(asTime(now))
		tokens.CancelAt(asTime(now))
		return snipeford.CauseRateLimit, wait
	}
	l.running++
	return "", 0
}

func (l *Limiter) maxConcurrent() int {
	return max(1, int(float64(l.rule.MaxConcurrent)*l.share+0.5))
}

// reserve takes n tokens from the bucket and returns the time until it holds them.
// An n above the burst counts as the burst. Canceling the reservation returns the
// tokens only while that time is not over.
func reserve(l *rate.Limiter, limited bool, now snipeford.Instant, n int) (*rate.Reservation, time.Duration) {
	if !limited {
		return &rate.Reservation{}, 0
	}
	r := l.ReserveN(asTime(now), min(n, l.Burst()))
	return r, r.DelayFrom(asTime(now))
}

// Done records the end of an admitted request.
func (l *Limiter) Done() { l.running = max(0, l.running-1) }
