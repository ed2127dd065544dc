package edge

import (
	"math/rand/v2"
	"sync"

	"snipeford"
	"snipeford/internal/control/directory"
	"snipeford/internal/control/timer"
	"snipeford/internal/operate/settings"
	"snipeford/internal/policy/balance"
	"snipeford/internal/policy/retry"
)

// balancer shares the pure policies among the traffic goroutines.
type balancer struct {
	timer    *timer.Clock
	domain   snipeford.FailureDomain
	settings settings.Edge

	mu      sync.Mutex
	state   balance.Balancer
	windows map[snipeford.ServiceName]*retry.WindowBudget
	nodes   int
}

// leastNodes is how many nodes share the slack of repeats at least: a node that
// has just started does not know the others yet.
const leastNodes = 6

// view takes in a new view: which upstreams and how many nodes there are.
func (b *balancer) view(v *directory.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := map[snipeford.UpstreamID]bool{}
	for _, list := range v.Usable {
		for _, u := range list {
			known[u.ID] = true
		}
	}
	b.state.Retain(known)
	b.nodes = max(len(v.Peers), leastNodes)
	for _, w := range b.windows {
		w.SlackShare = 1 / float64(b.nodes)
	}
}

// Pick chooses an upstream and counts a request on its way there.
func (b *balancer) Pick(v *directory.View, name snipeford.ServiceName, excluded []snipeford.UpstreamID) (snipeford.UpstreamID, bool) {
	now := b.timer.Now()
	list := make([]balance.Candidate, 0, len(v.Usable[name]))
	for _, u := range v.Usable[name] {
		list = append(list, balance.Candidate{ID: u.ID, Domain: u.Domain, Slots: u.Slots, Cold: u.ColdUntil > now})
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	id, ok := b.state.Pick(now, list, excluded, b.domain, rand.Uint64())
	if ok {
		b.state.RequestSent(id)
	}
	return id, ok
}

// Ended counts the end of a request at an upstream.
func (b *balancer) Ended(id snipeford.UpstreamID, failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.RequestEnded(b.timer.Now(), id, failed)
}

// ReportLoad takes in an upstream's word on its load.
func (b *balancer) ReportLoad(id snipeford.UpstreamID, busy int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.LoadReported(b.timer.Now(), id, busy)
}

// CountRequest counts a caller's request for the budget of repeats.
func (b *balancer) CountRequest(name snipeford.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(name).RecordRequest(b.timer.Now())
}

// AllowRetry takes one repeat out of the budget.
func (b *balancer) AllowRetry(name snipeford.ServiceName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.window(name).Take(b.timer.Now())
}

func (b *balancer) window(name snipeford.ServiceName) *retry.WindowBudget {
	if b.windows == nil {
		b.windows = map[snipeford.ServiceName]*retry.WindowBudget{}
	}
	w, ok := b.windows[name]
	if !ok {
		w = &retry.WindowBudget{
			Length: b.settings.RetryWindow, Ratio: b.settings.RetryRatio,
			Slack: b.settings.RetrySlack, SlackShare: 1 / float64(max(b.nodes, leastNodes)),
		}
		b.windows[name] = w
	}
	return w
}
