// Package limit holds the organisations' limits: rates that all nodes share by
// lent parts, and counts of concurrent requests.
package limit

import (
	"time"

	"golang.org/x/time/rate"

	"snipeford"
)

// epoch gives the rate library's wall-clock argument a fixed origin, so that
// only the instants of events count.
var epoch = time.Unix(0, 0)

func at(now snipeford.Instant) time.Time { return epoch.Add(time.Duration(now)) }

// Sizes of a node's buckets.
const (
	// BurstSeconds is how many seconds of its rate an organisation may use at once.
	BurstSeconds = 2
	// MinRequestBurst is the least number of requests that may come at once.
	MinRequestBurst = 4
)

// Rule is what operators allow one organisation in the whole fleet.
type Rule struct {
	TokensPerSecond   snipeford.TokensPerSecond
	RequestsPerSecond float64
	MaxConcurrent     int
	MaxPrompt         snipeford.Tokens
}

// Limiter is one node's part of an organisation's limits.
type Limiter struct {
	rule     Rule
	share    float64
	tokens   *rate.Limiter
	requests *rate.Limiter
	running  int
	// Demand is the work that callers asked for since the last report.
	Demand snipeford.Tokens
}

// NewLimiter returns an account that may use the given share of the rule.
func NewLimiter(rule Rule, share float64, now snipeford.Instant) *Limiter {
	a := &Limiter{rule: rule, share: share}
	a.tokens = rate.NewLimiter(a.tokenRate(), a.tokenBurst())
	a.requests = rate.NewLimiter(a.requestRate(), a.requestBurst())
	return a
}

func (a *Limiter) tokenRate() rate.Limit {
	return rate.Limit(float64(a.rule.TokensPerSecond) * a.share)
}

// tokenBurst admits the longest prompt even where the share is small.
func (a *Limiter) tokenBurst() int {
	burst := float64(a.rule.TokensPerSecond) * a.share * BurstSeconds
	return max(int(burst), int(a.rule.MaxPrompt))
}

func (a *Limiter) requestRate() rate.Limit { return rate.Limit(a.rule.RequestsPerSecond * a.share) }

func (a *Limiter) requestBurst() int {
	return max(MinRequestBurst, int(a.rule.RequestsPerSecond*a.share*BurstSeconds))
}

// Share returns the node's part of the organisation's limits, from 0 to 1.
func (a *Limiter) Share() float64 { return a.share }

// Running returns the organisation's requests that run through this node.
func (a *Limiter) Running() int { return a.running }

// SetRule sets the rule and the share.
func (a *Limiter) SetRule(rule Rule, share float64, now snipeford.Instant) {
	if rule == a.rule && share == a.share {
		return
	}
	a.rule, a.share = rule, share
	a.tokens.SetLimitAt(at(now), a.tokenRate())
	a.tokens.SetBurstAt(at(now), a.tokenBurst())
	a.requests.SetLimitAt(at(now), a.requestRate())
	a.requests.SetBurstAt(at(now), a.requestBurst())
}

// Admit counts a request in, or returns the cause and when to come back.
func (a *Limiter) Admit(now snipeford.Instant, work snipeford.Tokens) (snipeford.Cause, time.Duration) {
	a.Demand += work
	if a.rule.MaxConcurrent > 0 && a.running >= a.concurrent() {
		return snipeford.CauseConcurrencyLimit, time.Second
	}
	if wait := blocked(a.requests, a.rule.RequestsPerSecond > 0, now, 1); wait > 0 {
		return snipeford.CauseRateLimit, wait
	}
	if wait := blocked(a.tokens, a.rule.TokensPerSecond > 0, now, int(work)); wait > 0 {
		return snipeford.CauseRateLimit, wait
	}
	a.running++
	return "", 0
}

func (a *Limiter) concurrent() int {
	return max(1, int(float64(a.rule.MaxConcurrent)*a.share+0.5))
}

// blocked takes n from the bucket, or returns how long until it holds n.
func blocked(l *rate.Limiter, limited bool, now snipeford.Instant, n int) time.Duration {
	if !limited {
		return 0
	}
	r := l.ReserveN(at(now), min(n, l.Burst()))
	wait := r.DelayFrom(at(now))
	if wait > 0 {
		r.CancelAt(at(now))
	}
	return wait
}

// Done counts a request out.
func (a *Limiter) Done() { a.running = max(0, a.running-1) }
