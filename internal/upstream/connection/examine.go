package connection

import (
	"context"
	"errors"
	"fmt"
	"time"

	"snipeford"
	"snipeford/internal/policy/reach"
)

// CheckReachable returns nil if an upstream accepts connections over the link of an
// exchange: directly, or through another node. It tries twice, each time for at most
// timeout, because a single lost packet does not mean that the upstream is unreachable.
// The error is ErrLinkLost if the upstream is reachable, but over another link.
func (p *Pool) CheckReachable(ctx context.Context, address string, through snipeford.NodeID, timeout time.Duration) error {
	if through != "" {
		return p.checkDetour(ctx, address, through)
	}
	l, err := p.openDirect(ctx, address, timeout)
	if err != nil {
		// Another node tries beside the second attempt.
		detoured := make(chan error, 1)
		go func() { detoured <- p.openDetour(ctx, address, timeout) }()
		if l, err = p.openDirect(ctx, address, timeout); err != nil && <-detoured == nil {
			p.updateReach(func(now snipeford.Instant, s *reach.State) { s.Lost(now, address) })
			return ErrLinkLost
		}
	}
	if err != nil {
		return fmt.Errorf("upstream does not accept connections: %w", err)
	}
	// No data was sent, so an error of Close does not matter.
	_ = l.Close()
	return nil
}

// reachabilityTries is how many times Examine tries to connect directly.
const reachabilityTries = 2

func (p *Pool) checkDetour(ctx context.Context, address string, through snipeford.NodeID) error {
	err := p.Detours.Reaches(ctx, through, address)
	if err == nil {
		return nil
	}
	if p.openDetour(ctx, address, detourCheckTimeout) == nil {
		return fmt.Errorf("%w: through %s: %w", ErrLinkLost, through, err)
	}
	return fmt.Errorf("upstream does not accept connections: %w", err)
}

// reachedByDetour returns nil if another node reaches an upstream that a direct
// connection has not reached.
func (p *Pool) reachedByDetour(ctx context.Context, address string) error {
	if err := p.openDetour(ctx, address, detourCheckTimeout); err != nil {
		return err
	}
	p.updateReach(func(now snipeford.Instant, s *reach.State) { s.Lost(now, address) })
	return nil
}

// openDetour returns nil if another node reaches an upstream within a time.
func (p *Pool) openDetour(ctx context.Context, address string, timeout time.Duration) error {
	if p.Detours == nil {
		return snipeford.ErrNoDetour
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, _, err := p.Detours.Open(ctx, address)
	if err != nil {
		return err
	}
	_ = c.Close()
	return nil
}

// Verdict tells why an exchange ended without a complete response.
type Verdict int

const (
	// VerdictUnknown means that the upstream accepts connections or does not respond.
	VerdictUnknown Verdict = iota
	// VerdictEnded means that the upstream has ended, whereas its VM has not.
	VerdictEnded
	// VerdictLinkLost means that only the link of this node is lost.
	VerdictLinkLost
)

// Examine tells whether an upstream has ended: its VM refuses connections, from this node
// and from another one. It tries a second time after endedRetryDelay, because a process
// that ends may close its listener last.
func (p *Pool) Examine(ctx context.Context, address string) Verdict {
	for try := range reachabilityTries {
		if try > 0 && !p.Timer.Sleep(ctx, endedRetryDelay) {
			return VerdictUnknown
		}
		l, err := p.openDirect(ctx, address, endedCheckTimeout)
		if err != nil {
			return p.examineFailure(ctx, address, IsRefused(err))
		}
		// No data was sent, so an error of Close does not matter.
		_ = l.Close()
	}
	return VerdictUnknown
}

func (p *Pool) examineFailure(ctx context.Context, address string, refused bool) Verdict {
	err := p.reachedByDetour(ctx, address)
	switch {
	case err == nil:
		return VerdictLinkLost
	case !refused:
		return VerdictUnknown
	case errors.Is(err, snipeford.ErrUpstreamRefuses):
		return VerdictEnded
	case p.ConfirmsRefusal(ctx, address):
		return VerdictEnded
	}
	return VerdictUnknown
}

const (
	// endedCheckTimeout limits one attempt of Examine. A VM refuses a connection within
	// a network round trip.
	endedCheckTimeout = 100 * time.Millisecond
	endedRetryDelay   = 20 * time.Millisecond
	// detourCheckTimeout limits the detour of a check. Another node takes a few network
	// round trips to reach an upstream.
	detourCheckTimeout = 150 * time.Millisecond
	// maxConfirmations is the number of upstreams that are tried to confirm that this node
	// still reaches others. Those that refuse, which takes a network round trip, may have
	// ended as well, and count only towards maxRefusals.
	maxConfirmations = 3
	maxRefusals      = 16
)

// ConfirmsRefusal reports whether a refused connection shows that the upstream has ended:
// this node reaches another upstream. Links that are cut may refuse connections, too, and
// an earlier contact does not show that they are not.
func (p *Pool) ConfirmsRefusal(ctx context.Context, address string) bool {
	others := p.known()
	if len(others) == 0 {
		return true
	}
	silent, refusals := 0, 0
	for _, other := range others {
		if other == address || silent >= maxConfirmations || refusals >= maxRefusals {
			continue
		}
		l, err := p.openDirect(ctx, other, endedCheckTimeout)
		switch {
		case err == nil:
			p.put(newConn(l, other), 0)
			return true
		case IsRefused(err):
			refusals++
		default:
			silent++
		}
	}
	return silent+refusals == 0
}
