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
)

// errUnreachable is the cancellation cause of an attempt whose engine crashed or
// is cut off from the network.
var errUnreachable = errors.New("engine does not accept connections")

// watchReachability cancels the attempt if its engine sends no events and does not
// accept connections. Without it the caller would disconnect before the kernel
// times out the connection. Each event must reset the returned watchdog. If the
// upstream is not known or the request cannot fail over, the watchdog does
// nothing.
func (s *streamRequest) watchReachability(ctx context.Context, p snipeford.Placement, through *atomic.Pointer[snipeford.NodeID], cancel context.CancelCauseFunc) *timer.Watchdog {
	u, ok := s.findUpstream(s.service, p.Upstream)
	if !ok || !s.mayFailOver() {
		return s.Timer.StartWatchdog(s.timeLeft(), func() {})
	}
	var w atomic.Pointer[timer.Watchdog]
	check := func() {
		var node snipeford.NodeID
		if known := through.Load(); known != nil {
			node = *known
		}
		err := s.Pool.CheckReachable(ctx, u.Address, node, reachabilityCheckTimeout)
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
