package relay

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"snipeford"
	"snipeford/internal/control/timer"
)

const (
	// movedShare is the share of its caller's patience with silence after which
	// a stream is moved: another engine needs the rest for its first event.
	movedShare = 0.8
	// overdue is how many times the predicted time a first event may take.
	overdue = 1.6
	// leastMoved is the shortest silence after which a stream is moved: passes of
	// a living engine take up to two seconds, and reading a prompt again
	// elsewhere delays others.
	leastMoved = 2500 * time.Millisecond
	// leastPatience is the silence that an engine is allowed at least.
	leastPatience = 300 * time.Millisecond
)

const (
	// checkAfter is the silence after which it is checked whether an engine still
	// accepts connections. Passes that read much take as long.
	checkAfter = 700 * time.Millisecond
	// checkWithin is how long an engine may take to accept one; they are some
	// milliseconds away.
	checkWithin = 200 * time.Millisecond
)

// errUnreachable is the cause of an attempt whose engine is gone or cut off.
var errUnreachable = errors.New("engine accepts no connection")

// guard gives the attempt up where its engine is silent and accepts no
// connection: the caller would leave before the kernel notices. It is fed with
// each event.
func (s *stream) guard(ctx context.Context, p snipeford.Placement, cancel context.CancelCauseFunc) *timer.Watchdog {
	u, ok := s.find(p.Upstream)
	if !ok || !s.route.Resumable || s.attempts+1 >= s.route.MaxAttempts {
		return s.Timer.StartWatchdog(s.left(), func() {})
	}
	var w atomic.Pointer[timer.Watchdog]
	check := func() {
		err := s.Pool.CheckReachable(ctx, u.Address, checkWithin)
		if err == nil {
			w.Load().Reset()
			return
		}
		if ctx.Err() == nil {
			s.Log.Decided("engine is gone", s.head.RequestID, "Upstream", p.Upstream, "Error", err)
			cancel(errUnreachable)
		}
	}
	w.Store(s.Timer.StartWatchdog(checkAfter, check))
	return w.Load()
}

// errSilent is the cause of an attempt that was given up for its silence.
var errSilent = errors.New("engine was silent for too long")

// patience returns the silence after which a stream is moved.
func (s *stream) patience() time.Duration {
	return max(leastMoved, time.Duration(movedShare*float64(s.route.StreamIdleTimeout())))
}

// watchFirst gives the attempt up where its first event does not come.
func (s *stream) watchFirst(p snipeford.Placement, cancel context.CancelCauseFunc) *timer.Watchdog {
	limit := s.left()
	if s.route.Resumable && s.attempts+1 < s.route.MaxAttempts {
		limit = max(s.patience()-s.silent(), leastPatience, time.Duration(overdue*float64(p.ExpectedFirstEvent)))
	}
	return s.Timer.StartWatchdog(limit, func() { cancel(errSilent) })
}

// watch gives the attempt up after a silence, where the stream can still go on
// at another engine.
func (s *stream) watch(limit time.Duration, cancel context.CancelCauseFunc) *timer.Watchdog {
	if !s.mayRepeat() {
		limit = s.left()
	}
	return s.Timer.StartWatchdog(limit, func() { cancel(errSilent) })
}
