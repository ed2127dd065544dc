// Package load sends an experiment's requests to running nodes, checks every
// answer, and reports what callers saw.
package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"snipeford/internal/control/timer"
)

// Target is one node as a balancer knows it.
type Target struct {
	CallerAddress   string
	OperatorAddress string
}

// checkEvery is the time between two readiness checks, as balancers make them.
const checkEvery = 250 * time.Millisecond

// Balancer stands for the platform's balancer: it spreads requests over the
// nodes that say they are ready.
type Balancer struct {
	Targets []Target
	Timer   *timer.Clock
	client  http.Client
	mu      sync.Mutex
	ready   []string
	next    int
}

// Run checks the nodes until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	b.client.Timeout = checkEvery
	b.check(ctx)
	ticks := b.Timer.Every(ctx, checkEvery)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			b.check(ctx)
		}
	}
}

func (b *Balancer) check(ctx context.Context) {
	var ready []string
	for _, t := range b.Targets {
		if b.isReady(ctx, t) {
			ready = append(ready, t.CallerAddress)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

func (b *Balancer) isReady(ctx context.Context, t Target) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.OperatorAddress+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// ReadyCount returns how many nodes are ready.
func (b *Balancer) ReadyCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.ready)
}

// Pick returns the next ready node's address, or an empty text.
func (b *Balancer) Pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return ""
	}
	b.next++
	return b.ready[b.next%len(b.ready)]
}
