package edge

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"snipeford"
	"snipeford/internal/control/directory"
	"snipeford/internal/control/timer"
	"snipeford/internal/operate/settings"
	"snipeford/internal/policy/balance"
	"snipeford/internal/policy/ratelimit"
	"snipeford/internal/policy/retry"
)

// balancer makes the balancing and retry policies safe for concurrent use by
// traffic goroutines. It implements relay.Balancer.
type balancer struct {
	timer    *timer.Clock
	domain   snipeford.FailureDomain
	settings settings.Edge

	mu           sync.Mutex
	loads        balance.Balancer
	limits       ratelimit.Limiter
	heldBack     map[snipeford.UpstreamID]snipeford.Instant
	retryBudgets map[snipeford.ServiceName]*retry.WindowBudget
	nodeCount    int
}

// minNodeCount is the minimum number of nodes among which the retry slack is
// divided. A node that has just started does not know the other nodes yet.
const minNodeCount = 6

// setView updates the known upstreams and the number of nodes from a new view, and returns
// the known upstreams.
func (b *balancer) setView(v *directory.View) map[snipeford.UpstreamID]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := map[snipeford.UpstreamID]bool{}
	for _, list := range v.Usable {
		for _, u := range list {
			known[u.ID] = true
		}
	}
	b.loads.Retain(known)
	b.limits.Retain(b.timer.Now(), func(id snipeford.UpstreamID) bool { return known[id] })
	maps.DeleteFunc(b.heldBack, func(id snipeford.UpstreamID, _ snipeford.Instant) bool { return !known[id] })
	b.nodeCount = max(len(v.Peers), minNodeCount)
	for _, w := range b.retryBudgets {
		w.SlackShare = 1 / float64(b.nodeCount)
	}
	return known
}

// Pick selects an upstream and counts a request as in flight there.
func (b *balancer) Pick(v *directory.View, name snipeford.ServiceName, excluded []snipeford.UpstreamID) (snipeford.UpstreamID, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.timer.Now()
	list := make([]balance.Candidate, 0, len(v.Usable[name]))
	for _, u := range v.Usable[name] {
		if b.heldBack[u.ID] <= now {
			list = append(list, balance.Candidate{ID: u.ID, Domain: u.Domain, Slots: u.Slots, Cold: u.ColdUntil > now})
		}
	}
	id, ok := b.loads.Pick(now, list, excluded, b.domain, rand.Uint64())
	if ok {
		b.loads.RequestSent(id)
	}
	return id, ok
}

// Ended records the end of a request that Pick counted.
func (b *balancer) Ended(id snipeford.UpstreamID, failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loads.RequestEnded(b.timer.Now(), id, failed)
}

// ReportLoad records the load that an upstream reports.
func (b *balancer) ReportLoad(id snipeford.UpstreamID, busy int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loads.LoadReported(b.timer.Now(), id, busy)
}

// ReportDirectives records what an upstream asks in a response, and returns whether its
// request limit has changed.
func (b *balancer) ReportDirectives(id snipeford.UpstreamID, d snipeford.Directives, sentAt snipeford.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limits.Report(b.timer.Now(), sentAt, id, d.RequestLimit)
}

// Limited reports whether the upstream limits its requests, as far as this node knows.
func (b *balancer) Limited(id snipeford.UpstreamID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, limited := b.limits.Limit(id)
	return limited
}

// HoldBack undoes a Pick of an upstream that may get no request for a while.
func (b *balancer) HoldBack(id snipeford.UpstreamID, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.heldBack == nil {
		b.heldBack = map[snipeford.UpstreamID]snipeford.Instant{}
	}
	b.heldBack[id] = b.timer.Now().Add(d)
	b.loads.RequestWithdrawn(id)
}

// HeldBack returns how long it takes until the first of the upstreams that are held back
// may be picked again, or zero if none is.
func (b *balancer) HeldBack(v *directory.View, name snipeford.ServiceName) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, shortest := b.timer.Now(), time.Duration(0)
	for _, u := range v.Usable[name] {
		if left := b.heldBack[u.ID].Sub(now); left > 0 && (shortest == 0 || left < shortest) {
			shortest = left
		}
	}
	return shortest
}

// CountRequest adds a caller's request to the retry budget.
func (b *balancer) CountRequest(name snipeford.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retryBudget(name).RecordRequest(b.timer.Now())
}

// AllowRetry takes one retry from the retry budget, and returns false if the
// budget is exhausted.
func (b *balancer) AllowRetry(name snipeford.ServiceName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retryBudget(name).Take(b.timer.Now())
}

func (b *balancer) retryBudget(name snipeford.ServiceName) *retry.WindowBudget {
	if b.retryBudgets == nil {
		b.retryBudgets = map[snipeford.ServiceName]*retry.WindowBudget{}
	}
	w, ok := b.retryBudgets[name]
	if !ok {
		w = &retry.WindowBudget{
			Length: b.settings.RetryWindow, Ratio: b.settings.RetryRatio,
			Slack: b.settings.RetrySlack, SlackShare: 1 / float64(max(b.nodeCount, minNodeCount)),
		}
		b.retryBudgets[name] = w
	}
	return w
}
