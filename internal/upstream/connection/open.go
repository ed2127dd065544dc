package connection

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"snipeford"
	"snipeford/internal/policy/reach"
)

// open opens a connection to an upstream, directly or through another node.
func (p *Pool) open(ctx context.Context, address string) (*link, error) {
	if p.Detours == nil {
		return p.openDirect(ctx, address, dialTimeout)
	}
	return p.race(ctx, address, p.PrefersDetour(address))
}

// opened is the result of one way to open a connection.
type opened struct {
	link   *link
	err    error
	detour bool
}

// race opens a connection in one way, and in the other one as well once the first has
// failed or takes long. The connection that is open first is used.
func (p *Pool) race(ctx context.Context, address string, detourFirst bool) (*link, error) {
	p.mu.Lock()
	delay, timeout := p.links.reach.DetourDelay(), dialTimeout
	if p.links.reach.IsUnreached(p.Timer.Now(), address) {
		delay, timeout = 0, probeTimeout
	}
	p.mu.Unlock()
	return p.raceWithin(ctx, address, detourFirst, delay, timeout)
}

// raceWithin does the same as race, with a delay of the second way and a timeout for both.
func (p *Pool) raceWithin(ctx context.Context, address string, detourFirst bool, delay, timeout time.Duration) (*link, error) {
	if p.Detours == nil {
		return p.openDirect(ctx, address, timeout)
	}
	parent := ctx
	ctx, cancel := context.WithTimeout(parent, timeout)
	results := make(chan opened, 2)
	directTimeout := dialTimeout
	if detourFirst {
		directTimeout = probeTimeout
	}
	openWay := func(detour bool) {
		l, err := p.openDirectOrDetour(ctx, address, detour, directTimeout)
		results <- opened{l, err, detour}
	}
	waiting, startSecond := context.WithCancel(ctx)
	defer startSecond()
	go openWay(detourFirst)
	go func() {
		p.Timer.Sleep(waiting, delay)
		openWay(!detourFirst)
	}()
	var failed []opened
	for len(failed) < 2 {
		r := <-results
		if r.err == nil {
			cancel()
			go closeOther(results, 1-len(failed))
			directTried := !detourFirst
			if r.detour && directTried {
				p.updateReach(func(now snipeford.Instant, s *reach.State) { s.Lost(now, address) })
			}
			return r.link, nil
		}
		failed = append(failed, r)
		startSecond()
		if r.detour && !errors.Is(r.err, snipeford.ErrNoDetour) && !detourFirst {
			// Other nodes do not reach the upstream either.
			break
		}
	}
	cancel()
	go closeOther(results, 2-len(failed))
	return nil, p.recordFailure(parent, address, failed)
}

func (p *Pool) openDirectOrDetour(ctx context.Context, address string, detour bool, directTimeout time.Duration) (*link, error) {
	if !detour {
		return p.openDirect(ctx, address, directTimeout)
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	c, through, err := p.Detours.Open(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("detour: %w", err)
	}
	p.updateReach(func(_ snipeford.Instant, s *reach.State) { s.Detoured() })
	return p.newLink(c, address, through), nil
}

// openDirect opens a direct connection, and records that the upstream was reached.
func (p *Pool) openDirect(ctx context.Context, address string, timeout time.Duration) (*link, error) {
	started := p.Timer.Now()
	c, err := Dial(ctx, address, timeout)
	if err != nil {
		return nil, err
	}
	l := p.newLink(c, address, "")
	p.updateReach(func(now snipeford.Instant, s *reach.State) {
		l.touched(now)
		s.Connected(now, address, now.Sub(started))
	})
	return l, nil
}

// closeOther closes the connections that lost the race.
func closeOther(results <-chan opened, count int) {
	for range count {
		if r := <-results; r.err == nil {
			_ = r.link.Close()
		}
	}
}

// recordFailure records that an upstream was not reached in any way, and returns why.
func (p *Pool) recordFailure(ctx context.Context, address string, failed []opened) error {
	var errs []error
	detoursFailed := false
	for _, f := range failed {
		errs = append(errs, f.err)
		detoursFailed = detoursFailed || f.detour && !errors.Is(f.err, context.Canceled)
	}
	// A request that has ended tells nothing about the upstream.
	if detoursFailed && ctx.Err() == nil {
		p.updateReach(func(now snipeford.Instant, s *reach.State) { s.Unreached(now, address) })
	}
	return errors.Join(errs...)
}

// updateReach changes the state of the links and reports a change of CutOff.
func (p *Pool) updateReach(update func(now snipeford.Instant, s *reach.State)) {
	p.mu.Lock()
	was := p.links.reach.CutOff()
	update(p.Timer.Now(), &p.links.reach)
	is, lost := p.links.reach.CutOff(), p.links.reach.LostCount()
	p.mu.Unlock()
	if is && !was {
		p.closeIdle()
	}
	if is != was && p.OnCutOff != nil {
		p.OnCutOff(is, lost)
	}
}

// closeIdle closes all idle connections.
func (p *Pool) closeIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			c.close()
		}
	}
}

// usesIdle reports whether a request may be sent over an idle connection. While direct
// connections fail, a repeatable one may be, unless no upstream has sent anything lately.
func (p *Pool) usesIdle(address string, repeatable bool) bool {
	quiet := p.Timer.Now().Sub(snipeford.Instant(p.links.anyContactAt.Load())) >= silenceTime
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.links.reach.PrefersDetour(address) && (repeatable && !quiet || !p.links.reach.Failing())
}

// PrefersDetour reports whether a detour to an upstream is tried before a direct
// connection.
func (p *Pool) PrefersDetour(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.links.reach.PrefersDetour(address)
}

// DialContext opens a connection to an upstream, directly or through another node. It has
// the type of the field of that name of http.Transport.
func (p *Pool) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	l, err := p.open(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("connect to upstream: %w", err)
	}
	return l, nil
}

// CutOff reports whether the node has lost its links to upstreams that other nodes
// reach.
func (p *Pool) CutOff() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.links.reach.CutOff()
}

// NoWay reports whether neither this node nor others have lately reached any of the
// upstreams with the addresses that were tried.
func (p *Pool) NoWay(addresses func() []string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.links.reach.HasUnreached() {
		return false
	}
	return p.links.reach.NoWay(p.Timer.Now(), snipeford.Instant(p.links.anyContactAt.Load()), addresses())
}

// Retain forgets what is known of the links to other upstreams than the given ones.
func (p *Pool) Retain(known func(address string) bool) {
	p.updateReach(func(_ snipeford.Instant, s *reach.State) { s.Retain(known) })
}

// IsRefused reports whether an upstream's VM refused a connection, from this node or from
// another one.
func IsRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, snipeford.ErrUpstreamRefuses)
}
