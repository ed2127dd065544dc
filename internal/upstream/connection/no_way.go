package connection

import (
	"context"

	"snipeford"
)

// waiter is a request that waits for a place at one of some upstreams.
type waiter struct {
	addresses func() []string
	cancel    context.CancelCauseFunc
}

// WhileReachable returns a context that ends, with ErrNoWay as its cause, when it turns out
// that neither this node nor others reach the upstreams. The returned function must be
// called.
func (p *Pool) WhileReachable(ctx context.Context, addresses func() []string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &waiter{addresses, cancel}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links.waiting == nil {
		p.links.waiting = map[*waiter]bool{}
	}
	p.links.waiting[w] = true
	return ctx, func() {
		cancel(nil)
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.links.waiting, w)
	}
}

// cancelWaiting ends the contexts of WhileReachable whose upstreams nobody reaches.
func (p *Pool) cancelWaiting(now snipeford.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.links.reach.HasUnreached() {
		return
	}
	for w := range p.links.waiting {
		if p.links.reach.NoWay(now, snipeford.Instant(p.links.anyContactAt.Load()), w.addresses()) {
			w.cancel(ErrNoWay)
		}
	}
}

// probeUnreached finds out soon whether an upstream that nobody reaches is the only one,
// unless others have just sent something.
func (p *Pool) probeUnreached(ctx context.Context, now snipeford.Instant) {
	p.mu.Lock()
	address, found := p.links.reach.AnyUnreached()
	p.mu.Unlock()
	quiet := now.Sub(snipeford.Instant(p.links.anyContactAt.Load())) >= silenceTime
	if !found || !quiet || now.Sub(p.links.probedAt) < silenceProbeInterval || p.NoWay(p.known) {
		return
	}
	p.links.probedAt = now
	go p.probeUntilCertain(ctx, address)
}
