package relay

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"snipeford"
	"snipeford/internal/control/timer"
	"snipeford/internal/upstream/connection"
)

const (
	// failoverShare is the share of the caller's idle timeout after which a stream
	// fails over. Another engine needs the rest for its first event.
	failoverShare = 0.8
	// firstEventTolerance is the factor by which a first event may exceed its
	// expected time.
	firstEventTolerance = 1.6
	// minFailoverTimeout is the minimum idle time before a stream fails over. A
	// forward pass of a healthy engine takes up to two seconds, and a second
	// prefill at another engine delays other requests.
	minFailoverTimeout = 2500 * time.Millisecond
	// minFirstEventTimeout is the minimum time that an engine gets for its first
	// event, even if the caller's idle timeout is almost used up.
	minFirstEventTimeout = 300 * time.Millisecond
)

const (
	// reachabilityCheckDelay is the idle time after which a connection to the engine
	// is opened as a check. Forward passes with much prefill can take as long; the
	// check then succeeds and the attempt continues.
	reachabilityCheckDelay = 700 * time.Millisecond
	// reachabilityCheckTimeout limits that connection attempt. The network round
	// trip to an engine takes a few milliseconds.
	reachabilityCheckTimeout = 200 * time.Millisecond
	// maxPause and pauseShare, a share of the caller's idle timeout, limit the time for
	// which an engine may be silent and let connections hang.
	maxPause   = 1400 * time.Millisecond
	pauseShare = 0.7
	// recheckDelay is the time between two checks within that limit.
	recheckDelay = 20 * time.Millisecond
)

// errUnreachable is the cancellation cause of an attempt whose engine crashed or
// is cut off from the network.
var errUnreachable = errors.New("engine does not accept connections")

// contact is what an attempt has had of its engine. Its zero value means nothing yet.
type contact struct {
	// through is the node that the connection leads through, which is empty if it is
	// direct.
	through atomic.Pointer[snipeford.NodeID]
	// progressAt is the time of the last event, or of the start of the attempt.
	progressAt atomic.Int64
}

func (c *contact) throughNode() snipeford.NodeID {
	if node := c.through.Load(); node != nil {
		return *node
	}
	return ""
}

// silence returns the time since the last event.
func (c *contact) silence(now snipeford.Instant) time.Duration {
	return now.Sub(snipeford.Instant(c.progressAt.Load()))
}

// pauseLimit returns how long an engine to which connections hang may be silent: a sound
// engine may pause for a second or so, and another one needs the rest of the caller's
// patience for its first event.
func (s *streamRequest) pauseLimit() time.Duration {
	return min(maxPause, time.Duration(pauseShare*float64(s.route.StreamIdleTimeout())))
}

// watchReachability cancels the attempt if its engine sends no events and does not
// accept connections. Without it the caller would disconnect before the kernel
// times out the connection. Each event must reset the returned watchdog. If the
// upstream is not known or the request cannot fail over, the watchdog does
// nothing.
func (s *streamRequest) watchReachability(ctx context.Context, p snipeford.Placement, c *contact, cancel context.CancelCauseFunc) *timer.Watchdog {
	u, ok := s.findUpstream(s.service, p.Upstream)
	if !ok || !s.mayFailOver() {
		return s.Timer.StartWatchdog(s.timeLeft(), func() {})
	}
	var w atomic.Pointer[timer.Watchdog]
	check := func() {
		node := c.throughNode()
		err := s.checkReachable(ctx, u.Address, c)
		switch {
		case err == nil:
			w.Load().Reset()
		case ctx.Err() != nil:
		case errors.Is(err, connection.ErrLinkLost):
			s.Log.Decided("link to engine is lost", s.head.RequestID, "Upstream", p.Upstream, "Through", node, "Error", err)
			cancel(connection.ErrLinkLost)
		default:
			s.Log.Decided("engine is gone", s.head.RequestID, "Upstream", p.Upstream, "Error", err)
			cancel(errUnreachable)
		}
	}
	w.Store(s.Timer.StartWatchdog(reachabilityCheckDelay, check))
	return w.Load()
}

// mayFailOver reports whether the request may be sent to another engine after the
// attempt that is about to be made.
func (s *streamRequest) mayFailOver() bool {
	return s.route.Resumable && s.possibleRuns+1 < s.route.MaxAttempts
}

// checkReachable returns nil if the engine of an attempt accepts connections. While they
// hang, it tries again until the engine has been silent for pauseLimit.
func (s *streamRequest) checkReachable(ctx context.Context, address string, c *contact) error {
	for {
		err := s.Pool.CheckReachable(ctx, address, c.throughNode(), reachabilityCheckTimeout)
		certain := err == nil || errors.Is(err, connection.ErrLinkLost) || connection.IsRefused(err)
		if certain || c.silence(s.Timer.Now()) >= s.pauseLimit() || !s.Timer.Sleep(ctx, recheckDelay) {
			return err
		}
	}
}

// errNoProgress is the cancellation cause of an attempt whose engine sent no event
// in time or did not use its reserved memory.
var errNoProgress = errors.New("engine makes no progress")

// failoverTimeout returns the idle time after which a stream fails over to
// another engine.
func (s *streamRequest) failoverTimeout() time.Duration {
	return max(minFailoverTimeout, time.Duration(failoverShare*float64(s.route.StreamIdleTimeout())))
}

// watchFirstEvent cancels the attempt if its first event does not arrive in time.
func (s *streamRequest) watchFirstEvent(p snipeford.Placement, cancel context.CancelCauseFunc) *timer.Watchdog {
	limit := s.timeLeft()
	if s.mayFailOver() {
		limit = max(s.failoverTimeout()-s.idleTime(), minFirstEventTimeout, time.Duration(firstEventTolerance*float64(p.ExpectedFirstEvent)))
	}
	return s.Timer.StartWatchdog(limit, func() { cancel(errNoProgress) })
}

// watchNextEvent cancels the attempt if its next event does not arrive within
// limit. If the stream cannot be resumed at another engine, the deadline of the
// request applies instead. A leaving node does not cancel it: another engine would
// have to read the prompt again and would hardly end before the process exits.
func (s *streamRequest) watchNextEvent(limit time.Duration, cancel context.CancelCauseFunc) *timer.Watchdog {
	if !s.mayRetry() {
		limit = s.timeLeft()
	}
	return s.Timer.StartWatchdog(limit, func() {
		if !s.Leaving() {
			cancel(errNoProgress)
		}
	})
}
