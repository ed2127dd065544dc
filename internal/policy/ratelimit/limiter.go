// Package ratelimit keeps the requests to upstreams within the limits that they state
// in their responses. The limit of an upstream holds for all nodes together, so one
// Limiter counts the requests of all of them. It does no I/O and reads no clock.
package ratelimit

import (
	"cmp"
	"slices"
	"time"

	"snipeford"
)

const (
	// burstPeriod is the period whose requests a bucket holds, if they are more than
	// one.
	burstPeriod = 250 * time.Millisecond
	// maxDebtPeriod limits how long requests that were sent in spite of the limit delay
	// later ones.
	maxDebtPeriod = 4 * time.Second
	// minPerSecond is the least rate of requests. An upstream states the end of its
	// limit only in a response.
	minPerSecond = 0.2
	// retainTime is how long the limit of an upstream that is no longer listed is kept.
	// Rows of live upstreams expire in outages of the store.
	retainTime = time.Minute
)

// Limiter holds the limits of upstreams, and a token bucket for each of them. The zero
// value has none.
type Limiter struct {
	limits map[snipeford.UpstreamID]*limit
}

type limit struct {
	perSecond float64
	// statedAt is when the latest response that states the limit arrived.
	statedAt snipeford.Instant
	// tokens is the number of requests that may be sent at filledAt. It starts at zero:
	// an earlier home of the service may have sent others just before.
	tokens   float64
	filledAt snipeford.Instant
	listedAt snipeford.Instant
}

// rate returns the requests per second that are sent.
func (l *limit) rate() float64 { return max(l.perSecond, minPerSecond) }

// fill adds the tokens since the last call.
func (l *limit) fill(now snipeford.Instant) {
	if elapsed := now.Sub(l.filledAt); elapsed > 0 {
		l.tokens += l.rate() * elapsed.Seconds()
		l.filledAt = now
	}
	l.tokens = min(l.tokens, max(1, l.rate()*burstPeriod.Seconds()))
}

// Report records what a response that arrived at an instant states. Responses overtake
// each other: one ends or raises a limit only if its request was sent after the latest
// response with the limit arrived. Report returns whether the limit has changed.
func (l *Limiter) Report(arrivedAt, sentAt snipeford.Instant, id snipeford.UpstreamID, stated snipeford.RequestLimit) bool {
	known := l.limits[id]
	switch {
	case stated.Unreadable:
		return false
	case !stated.Stated:
		if known == nil || sentAt <= known.statedAt {
			return false
		}
		delete(l.limits, id)
		return true
	case known == nil:
		l.add(arrivedAt, id, stated.PerSecond)
		return true
	}
	newer := sentAt > known.statedAt
	known.statedAt = max(known.statedAt, arrivedAt)
	if stated.PerSecond == known.perSecond || stated.PerSecond > known.perSecond && !newer {
		return false
	}
	known.fill(arrivedAt)
	known.perSecond = stated.PerSecond
	return true
}

func (l *Limiter) add(now snipeford.Instant, id snipeford.UpstreamID, perSecond float64) {
	if l.limits == nil {
		l.limits = map[snipeford.UpstreamID]*limit{}
	}
	l.limits[id] = &limit{perSecond: perSecond, statedAt: now, filledAt: now, listedAt: now}
}

// Limit returns the limit of an upstream in requests per second, and false if it has
// none.
func (l *Limiter) Limit(id snipeford.UpstreamID) (float64, bool) {
	known := l.limits[id]
	if known == nil {
		return 0, false
	}
	return known.perSecond, true
}

// Wait returns how long it takes until a request may be sent to an upstream, which is
// zero if it may be sent now.
func (l *Limiter) Wait(now snipeford.Instant, id snipeford.UpstreamID) time.Duration {
	known := l.limits[id]
	if known == nil {
		return 0
	}
	known.fill(now)
	if known.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - known.tokens) / known.rate() * float64(time.Second))
}

// Sent counts a request that is sent to an upstream.
func (l *Limiter) Sent(now snipeford.Instant, id snipeford.UpstreamID) {
	known := l.limits[id]
	if known == nil {
		return
	}
	known.fill(now)
	known.tokens = max(known.tokens-1, -1-known.rate()*maxDebtPeriod.Seconds())
}

// Retain forgets the limits of upstreams that are not listed and have not been for
// retainTime.
func (l *Limiter) Retain(now snipeford.Instant, listed func(snipeford.UpstreamID) bool) {
	for id, known := range l.limits {
		switch {
		case listed(id):
			known.listedAt = now
		case now.Sub(known.listedAt) > retainTime:
			delete(l.limits, id)
		}
	}
}

// Stated is the limit of an upstream that a response stated some time ago.
type Stated struct {
	Upstream  snipeford.UpstreamID
	PerSecond float64
	Ago       time.Duration
}

// Stated returns the limits that responses stated within a period.
func (l *Limiter) Stated(now snipeford.Instant, period time.Duration) []Stated {
	var out []Stated
	for id, known := range l.limits {
		if ago := now.Sub(known.statedAt); ago <= period {
			out = append(out, Stated{id, known.perSecond, ago})
		}
	}
	slices.SortFunc(out, func(a, b Stated) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return out
}
