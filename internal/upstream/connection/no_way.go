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
// and whether requests wait in vain, unless upstreams have just sent something.
func (p *Pool) probeUnreached(ctx context.Context, now snipeford.Instant) {
	quiet := now.Sub(snipeford.Instant(p.links.anyContactAt.Load())) >= silenceTime
	if !quiet || now.Sub(p.links.undecidedProbedAt) < silenceProbeInterval {
		return
	}
	if _, found := p.undecided(); !found {
		return
	}
	p.links.undecidedProbedAt = now
	go p.probeUndecided(ctx)
}

// probeUndecided probes upstreams until one is reached directly, or it is certain for the
// waiting requests whether there is a way. The probes run one after the other: a node that
// could not help with one is asked last for the next.
func (p *Pool) probeUndecided(ctx context.Context) {
	if !p.links.undecidedProbing.TryLock() {
		return
	}
	defer p.links.undecidedProbing.Unlock()
	for range maxProbes {
		address, found := p.undecided()
		if !found || p.keepDirect(p.raceWithin(ctx, address, false, 0, probeTimeout)) {
			return
		}
	}
}

// undecided returns an upstream that was not tried lately, while others were found to be
// reached by nobody: one of those for which requests wait or, without such requests, any.
// Three unreached upstreams of one service tell nothing about another service.
func (p *Pool) undecided() (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.links.reach.HasUnreached() {
		return "", false
	}
	now, contactAt := p.Timer.Now(), snipeford.Instant(p.links.anyContactAt.Load())
	for w := range p.links.waiting {
		if address, found := p.links.reach.Undecided(now, contactAt, w.addresses()); found {
			return address, true
		}
	}
	return p.links.reach.Undecided(now, contactAt, p.known())
}
