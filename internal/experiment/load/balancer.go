// Package load sends the requests of an experiment to running nodes, checks every
// response and summarizes the results.
package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"snipeford/internal/control/timer"
)

// Target holds the addresses of a node for callers and for operators.
type Target struct {
	CallerAddress   string
	OperatorAddress string
}

// readinessCheckInterval is the time between two readiness checks, and also the
// timeout of each check.
const readinessCheckInterval = 250 * time.Millisecond

// Balancer emulates the load balancer of the platform. It distributes requests
// round-robin over the ready nodes.
type Balancer struct {
	Targets []Target
	Timer   *timer.Clock
	client  http.Client
	mu      sync.Mutex
	ready   []string
	next    int
}

// Run checks the readiness of the nodes until ctx is cancelled.
func (b *Balancer) Run(ctx context.Context) {
	b.client.Timeout = readinessCheckInterval
	b.check(ctx)
	ticks := b.Timer.Every(ctx, readinessCheckInterval)
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

// ReadyCount returns the number of ready nodes.
func (b *Balancer) ReadyCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.ready)
}

// Pick returns the address of the next ready node, or an empty string if none is
// ready.
func (b *Balancer) Pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return ""
	}
	b.next++
	return b.ready[b.next%len(b.ready)]
}
